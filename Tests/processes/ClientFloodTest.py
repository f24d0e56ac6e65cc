"""Clients that nobody controls against one real gateway on loopback: `ClientFloodTest.py --gateway PROGRAM CASE`.

Each case guards against clients that end the process, fill its memory or take all of its descriptors. The number of
clients and the bounds were fixed on the code without limits of `clients.*`. No case checks times or a share of requests.
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
from flood import Client, drive, head, many_fields  # noqa: E402
from standins import Store, message, read_message  # noqa: E402

MEGABYTE = 1024 * 1024
PAGE = resource.getpagesize()
PORTS = {"callers": 7001, "readiness": 7002, "entry": 7003, "peers": 7004, "metrics": 7005}
# The listeners at which each flood is played, with the path of the requests.
TARGETS = [("callers", "/one/flood"), ("callers", "/nowhere"), ("readiness", "/ready"),
           ("entry", "/resolve?name=flood.example&region=r&zone=z"), ("peers", "/content?after=0"),
           ("metrics", "/metrics")]
# Groups of more than LARGE_GROUP clients are played at one of them only.
LARGE_GROUP = 1000
LARGE_GROUP_TARGETS = TARGETS[1:2]
BODY_LIMIT = 262144
GROUPS = 4200
DEPTH = 500
LARGE_ANSWER = b"x" * MEGABYTE

# Lowered limits: a small group of clients then shows what a large one does with the defaults.
LOWERED = {"bufferedBytes": 4 * MEGABYTE}
LOWERED_DESCRIPTORS = 256
# Growth of the resident memory from the start: five times what all connections may hold, for the allocator.
LOWERED_GROWTH = 20 * MEGABYTE
# Descriptors that stay free for upstreams, store and hosts.
LOWERED_FREE_DESCRIPTORS = 32
# The smallest host: 160 MB and 4,100 descriptors.
DEFAULT_DESCRIPTORS = 4100
DEFAULT_RESIDENT = 128 * MEGABYTE
DEFAULT_FREE_DESCRIPTORS = 512
# Tries of an ordinary request, which may be refused as not run, and the time after which one counts as not answered: it
# ends before the gateway closes an idle connection by itself (16 s).
TRIES = 3
ANSWER_SECONDS = 12


class StandIns:
    """The store and an upstream, in a thread of their own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.store_address = asyncio.run_coroutine_threadsafe(self.start(), self.loop).result()

    async def start(self):
        self.store = store = Store()
        upstream = await asyncio.start_server(self.serve_upstream, "127.0.0.1", 0)
        store.put("servers/u-1", {
            "service": "desk", "address": "127.0.0.1:%d" % upstream.sockets[0].getsockname()[1], "zone": "z",
            "version": "v1", "max-concurrency": 50, "state": "ready", "warmup-left-ms": 0, "sequence": 1,
            "born": int(time.time() * 1000)})
        store.put("op/config", {
            "version": 1,
            "routes": [{"name": "one", "host": "flood.example", "prefix": "/one/", "type": "idempotent",
                        "service": "desk", "timeout-ms": 10000, "target-latency-ms": 5000, "max-attempts": 2}],
            "services": [{"name": "desk", "max-connections": 100}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": BODY_LIMIT, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}})
        server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, key, value):
        async def put():
            self.store.put(key, value)
        asyncio.run_coroutine_threadsafe(put(), self.loop).result()

    async def serve_upstream(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            while True:
                first, headers, _ = await read_message(reader)
                rid = headers.get("x-papayabend-request-id", "")
                body = LARGE_ANSWER if "/large" in first else b"ordinary"
                writer.write(message("HTTP/1.1 200 OK", {"X-Papayabend-Request-Id": rid,
                                     "X-Papayabend-Server-Stamp": rid + ".desk.u-1"}, body))
                await writer.drain()
        writer.close()


class Gateway:
    def __init__(self, program, folder, descriptors, clients):
        self.ip = "127.211.%d.1" % (os.getpid() % 250 + 1)
        self.stand_ins = stand_ins = StandIns()
        settings = {
            "host": {"name": "flooded", "failureDomain": "z", "region": "r"},
            "listen": {name: "%s:%d" % (self.ip, port) for name, port in PORTS.items()},
            "store": {"address": stand_ins.store_address}, "clients": clients}
        path = os.path.join(folder, "settings.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        self.log = open(os.path.join(folder, "log"), "w")
        self.process = subprocess.Popen(
            [program, "--settings", path], stdout=self.log, stderr=self.log,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors)))
        self.resident = self.descriptors = 0
        self.sampled_at = 0.0
        self.wait_until_ready()
        self.first_resident = self.resident_now()

    def wait_until_ready(self):
        end = time.monotonic() + 30
        while self.request("readiness", "/ready") != 200:
            if self.process.poll() is not None or time.monotonic() > end:
                raise AssertionError("the gateway does not get ready: " + self.log_text()[-2000:])
            time.sleep(0.05)

    def address(self, listener):
        return self.ip, PORTS[listener]

    def connect(self, listener):
        return socket.create_connection(self.address(listener), ANSWER_SECONDS)

    def request(self, listener, target, connection=None):
        """Returns the status of an ordinary request, or None if it got no answer."""
        try:
            with contextlib.ExitStack() as stack:
                if connection is None:
                    connection = stack.enter_context(self.connect(listener))
                connection.settimeout(ANSWER_SECONDS)
                connection.sendall(head(target, method="GET", length=0))
                answer = b""
                while b"\r\n\r\n" not in answer:
                    data = connection.recv(65536)
                    if not data:
                        return None
                    answer += data
                headers, _, body = answer.partition(b"\r\n\r\n")
                length = next(int(line.split(b":")[1]) for line in headers.split(b"\r\n")
                              if line.lower().startswith(b"content-length"))
                while len(body) < length:
                    data = connection.recv(65536)
                    if not data:
                        return None
                    body += data
                return int(answer.split(b" ")[1])
        except OSError:
            return None

    def resident_now(self):
        with open("/proc/%d/statm" % self.process.pid) as file:
            return int(file.read().split()[1]) * PAGE

    def sample(self, now=False):
        """Records the largest resident memory and number of descriptors."""
        if not now and time.monotonic() - self.sampled_at < 0.01:
            return
        if self.process.poll() is not None:
            raise AssertionError("the gateway has ended with %s: %s" % (self.process.returncode, self.log_text()[-2000:]))
        self.resident = max(self.resident, self.resident_now())
        self.descriptors = max(self.descriptors, len(os.listdir("/proc/%d/fd" % self.process.pid)))
        self.sampled_at = time.monotonic()

    def log_text(self):
        # A file of its own, since the process writes at the position of the other one.
        with open(self.log.name) as file:
            return file.read()

    def end(self):
        self.process.kill()
        self.process.wait()
        self.log.close()


def tries(ask):
    """Returns the statuses of an ordinary request up to the first 200."""
    statuses = []
    end = time.monotonic() + ANSWER_SECONDS
    while len(statuses) < TRIES and 200 not in statuses and time.monotonic() < end:
        statuses.append(ask())
    return statuses


def play(gateway, make_client, n, problems, targets):
    """Plays n clients at each target, with the clients still open when ordinary requests are sent."""
    for listener, target in targets:
        earlier = gateway.connect("callers")
        first = gateway.request("callers", "/one/earlier", earlier)
        if first != 200:
            problems.append("%s %s: the connection before the flood got %s" % (listener, target, first))
        clients = []
        try:
            for index in range(n):
                clients.append(make_client(gateway.address(listener), target, index))
                if index % 50 == 0:
                    gateway.sample()
            drive(clients, gateway.sample)
            gateway.sample(now=True)
            asks = {"earlier connection": lambda: gateway.request("callers", "/one/earlier", earlier),
                    "new connection": lambda: gateway.request("callers", "/one/new"),
                    "readiness": lambda: gateway.request("readiness", "/ready")}
            for name, ask in asks.items():
                statuses = tries(ask)
                if statuses[-1] != 200:
                    problems.append("%s %s: %s got %s" % (listener, target, name, statuses))
            gateway.sample(now=True)
        finally:
            earlier.close()
            for client in clients:
                client.close()


def play_store_value(gateway, problems):
    """Puts a value of 4 MB into the store that is a tree of 2.1 million arrays."""
    nested = []
    for _ in range(DEPTH):
        nested = [nested]
    gateway.stand_ins.put("servers/u-odd", [nested] * GROUPS)
    end = time.monotonic() + 30
    while '"refused"' not in gateway.log_text() and time.monotonic() < end:
        gateway.sample()
        time.sleep(0.005)
    if '"refused"' not in gateway.log_text():
        problems.append("the value was not refused")
    gateway.sample(now=True)
    statuses = tries(lambda: gateway.request("callers", "/one/new"))
    if statuses[-1] != 200:
        problems.append("new connection got %s" % statuses)


def body_whole(address, target, _):
    return Client(address, [head(target, length=BODY_LIMIT), bytes(BODY_LIMIT - 1)])


def body_pieces(address, target, _):
    return Client(address, itertools.chain([head(target, length=BODY_LIMIT)],
                                           itertools.repeat(bytes(1000), 262), [bytes(143)]))


def body_chunks(address, target, _):
    return Client(address, itertools.chain([head(target)], itertools.repeat(b"200\r\n" + bytes(512) + b"\r\n", 511),
                                           [b"200\r\n" + bytes(511)]))


def body_over_limit(address, target, index):
    if index % 2:
        return Client(address, itertools.chain([head(target, length=100 * MEGABYTE)],
                                               itertools.repeat(bytes(65536), 64)))
    return Client(address, itertools.chain([head(target)],
                                           itertools.repeat(b"10000\r\n" + bytes(65536) + b"\r\n", 64)))


def chunk_extension(address, target, _):
    return Client(address, itertools.chain([head(target), b"1;a="], itertools.repeat(b"b" * 65536, 320)))


def chunk_extensions(address, target, _):
    chunk = b"1;a=" + b"b" * 8000 + b"\r\nx\r\n"
    return Client(address, itertools.chain([head(target)], itertools.repeat(chunk, 800)))


def trailer(address, target, _):
    return Client(address, itertools.chain([head(target), b"0\r\n"], itertools.repeat(b"a:b\r\n" * 13000, 160)))


def fields(address, target, _):
    return Client(address, [many_fields(target, 3100, 10), bytes(9)])


def head_without_end(address, target, _):
    start = head(target, length=1)[:-2]
    return Client(address, itertools.chain([start], itertools.repeat(b"a:b\r\n" * 600, 100)), is_paced=True)


def pipelined(address, target, _):
    return Client(address, itertools.repeat(head(target, method="GET", length=0), 600))


def pipelined_large(address, target, _):
    return Client(address, itertools.repeat(head(target + "/large", method="GET", length=0), 20))


def slow(address, target, index):
    """Clients that send or read a byte at a time, or stop halfway through head, body or response."""
    request = head(target, length=1000)
    get = head(target, method="GET", length=0)
    kinds = [dict(pieces=[request], is_slow=True), dict(pieces=[request[:40]]),
             dict(pieces=[request + bytes(400)]), dict(pieces=[request[:-1], request[-1:], bytes(3)]),
             dict(pieces=[get], reads=10), dict(pieces=[head(target + "/large", method="GET", length=0)], reads=10)]
    return Client(address, **kinds[index % len(kinds)])


def silent(address, *_):
    return Client(address)


def half_closed(address, target, index):
    request = head(target, length=1000)
    return Client(address, [[], [request[:30]], [request + bytes(10)], [head(target, length=0)]][index % 4],
                  half_closes=True)


# Name: kind of client, number of clients at each target.
LOWERED_CASES = {
    "bodies_whole": (body_whole, 100), "bodies_in_pieces": (body_pieces, 100), "bodies_in_chunks": (body_chunks, 100),
    "bodies_over_limit": (body_over_limit, 20), "chunk_extension_without_end": (chunk_extension, 8),
    "chunk_extensions_without_number": (chunk_extensions, 8), "trailer_without_end": (trailer, 8),
    "many_fields": (fields, 150), "head_without_end": (head_without_end, 20), "pipelined_unread": (pipelined, 60),
    "pipelined_large_unread": (pipelined_large, 40), "slow": (slow, 120), "silent": (silent, 300),
    "half_closed": (half_closed, 300),
}
# The reason that the log and the metrics have to name.
REASONS = {
    "bodies_whole": "memory", "bodies_over_limit": "body_bytes", "chunk_extension_without_end": "chunk_framing",
    "trailer_without_end": "chunk_framing", "many_fields": "memory", "head_without_end": "header_bytes",
    "silent": "connections", "default_many_fields": "memory", "default_silent": "connections",
}
DEFAULT_CASES = {"default_many_fields": (fields, 1500), "default_silent": (silent, 4300),
                 "default_chunk_extension": (chunk_extension, 20), "default_store_value": (None, 0)}


def check_reason(gateway, reason, problems):
    """Checks that the metrics and a log line name the reason for which clients were refused or closed."""
    with gateway.connect("metrics") as connection:
        connection.sendall(head("/metrics", "Connection: close", method="GET", length=0))
        text = b"".join(iter(lambda: connection.recv(65536), b"")).decode()
    name = 'papayabend_gateway_client_refusals_total{reason="%s"} ' % reason
    if float(text.partition(name)[2].partition("\n")[0] or 0) < 1:
        problems.append("no counter of reason " + reason)
    end = time.monotonic() + ANSWER_SECONDS
    while '"reason":"%s"' % reason not in gateway.log_text() and time.monotonic() < end:
        time.sleep(0.05)
    if '"reason":"%s"' % reason not in gateway.log_text():
        problems.append("no log line of reason " + reason)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--gateway", required=True)
    parser.add_argument("--any-resident-memory", action="store_true")
    parser.add_argument("case", choices=[*LOWERED_CASES, *DEFAULT_CASES])
    options = parser.parse_args()
    is_default = options.case in DEFAULT_CASES
    make_client, n = (DEFAULT_CASES if is_default else LOWERED_CASES)[options.case]
    descriptors = DEFAULT_DESCRIPTORS if is_default else LOWERED_DESCRIPTORS
    problems = []
    with tempfile.TemporaryDirectory() as folder:
        gateway = Gateway(options.gateway, folder, descriptors, {} if is_default else LOWERED)
        try:
            if make_client:
                play(gateway, make_client, n, problems, LARGE_GROUP_TARGETS if n > LARGE_GROUP else TARGETS)
            else:
                play_store_value(gateway, problems)
            if options.case in REASONS:
                check_reason(gateway, REASONS[options.case], problems)
        except AssertionError as error:
            problems.append(str(error))
        finally:
            gateway.end()
    bound = DEFAULT_RESIDENT if is_default else gateway.first_resident + LOWERED_GROWTH
    free = DEFAULT_FREE_DESCRIPTORS if is_default else LOWERED_FREE_DESCRIPTORS
    print("resident: %.1f MB at the start, %.1f MB at most, bound %.1f MB; descriptors: %d of %d at most" % (
        gateway.first_resident / MEGABYTE, gateway.resident / MEGABYTE, bound / MEGABYTE, gateway.descriptors,
        descriptors))
    if gateway.resident > bound and not options.any_resident_memory:
        problems.append("too much resident memory")
    if gateway.descriptors > descriptors - free:
        problems.append("too many descriptors")
    for problem in problems:
        print("FAILED", problem)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
