#!/bin/sh
# Checks what the scripts need besides the gateway. The stand-ins are Python programs of the standard library, which
# need no build; they are compiled once so that an error shows here.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py [1-5]/*.py; do
    [ -e "$file" ] && python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "the stand-ins can be run"
