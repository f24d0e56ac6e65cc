"""Shows a fleet of three hosts over the stand-ins of one deployment. Run by Utilities/demo."""

import argparse
import subprocess

from fleet import SERVICES, Fleet, check, wait_until


def show(text):
    print(text, flush=True)


def run(fleet):
    search, _, pool, _ = SERVICES[fleet.deployment]
    first = fleet.hosts[0]
    show("hosts: " + ", ".join("%s (%s)" % (host.name, host.caller) for host in fleet.hosts))

    answered = 0
    for n in range(30):
        host = fleet.hosts[n % len(fleet.hosts)]
        account = ["tailor", "cobbler"][n % 2]
        status, answer = wait_until("complete answer", lambda: (
            lambda reply: reply if reply[0] == 200 and reply[1]["coverage"]["complete"] else None)(
                host.search(account, search, "query %d" % n)))
        answered += 1
    coverage = answer["coverage"]
    show("searches: %d complete answers on 3 hosts for 2 client accounts; the last searched %d of %d units of snapshot %d"
         % (answered, coverage["unitsSearched"], coverage["unitsTotal"], answer["snapshot"]))

    for n in range(20):
        host = fleet.hosts[n % len(fleet.hosts)]
        ticket, status, answer = host.execute(["tailor", "cobbler"][n % 2], pool, "order %d" % n)
        check(status == 200 and answer["verdict"] == "ran", "order %d: %s %s" % (n, status, answer))
    counts = fleet.standin("executions")
    check(len(counts) == 20 and set(counts.values()) == {1}, "executions: %s" % counts)
    show("non-idempotent requests: 20 ran, each once, as the upstreams counted them")

    fleet.standin("upstreams?prefix=%s-3" % search, {"down": True})
    status, answer = wait_until("partial answer", lambda: (
        lambda reply: reply if reply[0] == 200 and not reply[1]["coverage"]["complete"] else None)(
            first.search("tailor", search, "strap", 1000)))
    missing = answer["coverage"]["missing"]
    check([it["shard"] for it in missing] == ["s3"], "missing: %s" % missing)
    show("both replicas of one shard down: partial answer, share %.3f, missing %s (%s)"
         % (answer["coverage"]["share"], missing[0]["shard"], missing[0]["reason"]))
    fleet.standin("upstreams?prefix=%s-3" % search, {"down": False})

    fleet.publish_table(2, {"tailor": "weight=1", "saddler": "weight=2"})
    wait_until("version 2 on all hosts", lambda: all(host.table_version() == 2 for host in fleet.hosts))
    status, answer = first.search("cobbler", search, "strap")
    check(status == 403 and answer["verdict"] == "not_run", "removed account: %s %s" % (status, answer))
    show("table: version 2 in force on all hosts; the removed account gets %d %s, %s"
         % (status, answer["reason"], answer["verdict"]))

    report = subprocess.run([fleet.program("papayabend"), "report", "--host", first.operator], text=True,
                            capture_output=True, check=False)
    check(report.returncode == 0, "report: " + report.stderr)
    show("burn report of %s:\n%s" % (first.name, report.stdout))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("deployment", choices=sorted(SERVICES))
    arguments = parser.parse_args()
    with Fleet(arguments.build, arguments.deployment, upstreams={"serviceTimeMs": 2}) as fleet:
        run(fleet)
    show("all checks held")


main()
