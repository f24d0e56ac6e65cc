"""Tests of real processes on loopback. Each case asserts outcomes by polling, never times."""

import argparse
import os
import signal
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "Utilities"))
from fleet import Fleet, call, check, wait_until  # noqa: E402


def complete(host, query="strap", service="fitting-desk", account="tailor"):
    status, answer = host.search(account, service, query)
    return status == 200 and answer["coverage"]["complete"]


def serves_and_executes_once(fleet):
    """Guards against a fleet that starts but does not answer, and against double executions on the plain path."""
    for host in fleet.hosts:
        wait_until("complete answer of " + host.name, lambda: complete(host))
        for n in range(5):
            body = "order %s %d" % (host.name, n)
            _, status, answer = host.execute("tailor", "depot-counter", body)
            check(status == 200 and answer["verdict"] == "ran", "execution: %s %s" % (status, answer))
    counts = fleet.standin("executions")
    check(len(counts) == 15 and set(counts.values()) == {1}, "executions: %s" % counts)
    ticket, _, _ = fleet.hosts[0].execute("tailor", "depot-counter", "order again")
    status, answer = call(fleet.hosts[0].caller, "/v1/execute",
                          {"ticket": ticket, "account": "tailor", "service": "depot-counter", "body": "order again",
                           "deadlineMs": 5000})
    check(fleet.standin("executions")["order again"] == 1, "a resent ticket ran again: %s %s" % (status, answer))


def refuses_bad_input(fleet):
    """Guards against bad input without a reason that a program can read, or that stops the host."""
    host = fleet.hosts[0]
    good = {"account": "tailor", "service": "fitting-desk", "query": "x", "deadlineMs": 1000}
    cases = [(b"{", 400, "bad_request"), (b"[]", 400, "bad_request"), (b"\xff\xfe", 400, "bad_request"),
             ({**good, "deadlineMs": 0}, 400, "bad_request"), ({**good, "deadlineMs": "1"}, 400, "bad_request"),
             ({**good, "account": ""}, 400, "bad_request"), ({**good, "maxhits": 3}, 400, "bad_request"),
             ({k: v for k, v in good.items() if k != "deadlineMs"}, 400, "bad_request"),
             ({**good, "query": "x" * 70000}, 413, "body_too_large"),
             ({**good, "service": "nothing"}, 404, "unknown_service"),
             ({**good, "account": "nobody"}, 403, "unknown_account")]
    for body, status, reason in cases:
        got, answer = call(host.caller, "/v1/search", body)
        check(got == status and answer["reason"] == reason and answer["verdict"] == "not_run",
              "%s: %s %s" % (str(body)[:60], got, answer))
    check(complete(host), "the host answers after bad input")


def table_change_reaches_all_hosts(fleet):
    """Guards against a table that stays old on a host, and against an invalid table replacing a valid one."""
    fleet.publish_table(2, {"tailor": "weight=1", "saddler": "weight=2"})
    wait_until("version 2 on all hosts", lambda: all(host.table_version() == 2 for host in fleet.hosts))
    for host in fleet.hosts:
        check(host.search("cobbler", "fitting-desk", "x")[1]["reason"] == "unknown_account", "removed account served")
        check(host.search("saddler", "fitting-desk", "x")[0] == 200, "new account refused")
    fleet.publish_table(3, text="version,3\naccount,fitting-desk\ntailor,weight=0\n")
    calls = fleet.standin("calls")
    wait_until("the invalid table was read", lambda: fleet.standin("calls").get("table", 0) > calls["table"] + 3)
    check(all(host.table_version() == 2 for host in fleet.hosts), "an invalid table came into force")
    fleet.publish_table(4)
    wait_until("version 4 on all hosts", lambda: all(host.table_version() == 4 for host in fleet.hosts))


def partial_answer_names_the_shard(fleet):
    """Guards against a lost shard that the answer does not mention."""
    host = fleet.hosts[0]
    fleet.standin("upstreams?prefix=fitting-desk-3", {"down": True})
    status, answer = wait_until("partial answer", lambda: (
        lambda reply: reply if reply[0] == 200 and not reply[1]["coverage"]["complete"] else None)(
            host.search("tailor", "fitting-desk", "strap", 1000)))
    check([it["shard"] for it in answer["coverage"]["missing"]] == ["s3"], "missing: %s" % answer["coverage"])
    fleet.standin("upstreams?prefix=fitting-desk-3", {"down": False})
    wait_until("complete answer", lambda: complete(host))


def paused_host_catches_up(fleet):
    """Guards against a host that acts on its old table after a pause, and against a pause that stops the others."""
    paused, others = fleet.hosts[0], fleet.hosts[1:]
    paused.process.send_signal(signal.SIGSTOP)
    fleet.publish_table(2, {"tailor": "weight=1"})
    wait_until("version 2 on the others", lambda: all(host.table_version() == 2 for host in others))
    check(all(complete(host) for host in others), "the others answer during the pause")
    paused.process.send_signal(signal.SIGCONT)
    wait_until("version 2 on the paused host", lambda: paused.table_version() == 2)
    wait_until("answer of the paused host", lambda: complete(paused))


def killed_host_restarts_from_peers(fleet):
    """Guards against a lost host stopping others, and against an empty host that needs the configuration service."""
    killed, others = fleet.hosts[0], fleet.hosts[1:]
    fleet.publish_table(2)
    wait_until("version 2 on all hosts", lambda: all(host.table_version() == 2 for host in fleet.hosts))
    killed.process.kill()
    killed.process.wait()
    check(all(complete(host) for host in others), "the others answer")
    fleet.standin("platform", {"down": True})
    fleet.start_host(killed)
    wait_until("the restarted host serves", killed.is_ready)
    check(killed.table_version() == 2, "the restarted host has the table of its peers")
    wait_until("complete answer of the restarted host", lambda: complete(killed))


def planned_stop_interrupts_no_request(fleet):
    """Guards against requests that a planned stop cuts off or refuses as possibly executed."""
    host, other = fleet.hosts[0], fleet.hosts[1]
    failures, answered = [], [0]
    stopping = threading.Event()

    def check_target(location):
        targets = ["http://%s/v1/search" % it.caller for it in fleet.hosts if it is not host]
        if location not in targets:
            failures.append("redirected to " + str(location))

    def caller(n):
        count = 0
        while not stopping.is_set() or count < 1:
            count += 1
            status, answer = host.search("tailor", "fitting-desk", "caller %d %d" % (n, count))
            if status == 200:
                answered[0] += 1
                continue
            # A caller turns to another host after a redirect, a refusal as not run or a refused connection.
            refused = status == 0 and "refused" in answer
            if status == 307:
                check_target(answer)
            elif not refused and not (isinstance(answer, dict) and answer.get("verdict") == "not_run"):
                failures.append((status, answer))
            if other.search("tailor", "fitting-desk", "caller %d %d" % (n, count))[0] != 200:
                failures.append("the other host did not answer")
            return

    threads = [threading.Thread(target=caller, args=(n,)) for n in range(8)]
    for it in threads:
        it.start()
    wait_until("requests run", lambda: answered[0] > 20)
    host.process.send_signal(signal.SIGTERM)
    code = host.process.wait(timeout=120)
    stopping.set()
    for it in threads:
        it.join()
    check(code == 0, "exit code %s" % code)
    check(not failures, "failures: %s" % failures[:3])


def crashing_upstream_runs_nothing_twice(fleet):
    """Guards against a second execution after an upstream crashed with requests in flight."""
    verdicts, lock = {}, threading.Lock()

    def caller(n):
        for count in range(20):
            body = "order %d %d" % (n, count)
            host = fleet.hosts[(n + count) % len(fleet.hosts)]
            _, status, answer = host.execute("tailor", "depot-counter", body)
            with lock:
                verdicts[body] = answer.get("verdict") if isinstance(answer, dict) else None

    threads = [threading.Thread(target=caller, args=(n,)) for n in range(6)]
    for it in threads:
        it.start()
    for n in range(3):
        wait_until("more requests", lambda: len(verdicts) >= 25 * (n + 1))
        fleet.standin("crash?name=depot-counter-%d" % n, {})
    for it in threads:
        it.join()
    counts = fleet.standin("executions")
    check(all(count == 1 for count in counts.values()), "executed twice: %s" % counts)
    for body, verdict in verdicts.items():
        check(verdict is not None, body + " got no verdict")
        check(verdict != "ran" or counts.get(body) == 1, body + " is reported as run and did not")
        check(verdict != "not_run" or body not in counts, body + " is reported as not run and did")


CASES = [serves_and_executes_once, refuses_bad_input, table_change_reaches_all_hosts, partial_answer_names_the_shard,
         paused_host_catches_up, killed_host_restarts_from_peers, planned_stop_interrupts_no_request,
         crashing_upstream_runs_nothing_twice]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("case", choices=[case.__name__ for case in CASES])
    arguments = parser.parse_args()
    case = next(it for it in CASES if it.__name__ == arguments.case)
    # Short phases of the planned stop keep the cases short.
    settings = {"stop": {"announcementMs": 500}, "entryAnswers": {"timeToLiveMs": 500}}
    with Fleet(arguments.build, upstreams={"serviceTimeMs": 2, "restartMs": 500}, settings=settings) as fleet:
        case(fleet)


main()
