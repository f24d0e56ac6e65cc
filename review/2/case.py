"""A faulty server repeats a rejection late, on the connection on which the gateway has sent the same request again."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import standins  # noqa: E402

WORK_S = 0.04
SERVICES = ["orders%d" % n for n in range(5)]
SERVERS_EACH = 2
# Of the site file: garble, "extra late", share 0.6 of the servers, 0.03 of their answers, for 5 s.
GARBLED_SERVERS = 6
GARBLED_ANSWERS = 0.03
GARBLED_S = 5
WINDOWS = 4
PAUSE_S = 11
HOSTS = ["a", "b", "a", "b", "a", "b"]
CLIENTS_EACH = 12
LIMIT_MS = 3000


class Server(standins.Server):
    """Sends the copy of an answer where the next response on the connection is expected."""

    is_garbling = False
    random = random.Random()

    def work_time(self, request):
        return WORK_S * (0.5 + self.random.random())

    async def after_answer(self, request, connection, answer):
        if self.is_garbling and self.random.random() < GARBLED_ANSWERS:
            connection["extra"] = (request["id"], answer)

    async def next_request(self, request, connection):
        extra = connection.pop("extra", None)
        if extra:
            self.bed.record("server %s sends another copy of its answer to %s on connection %d" % (
                self.id, extra[0], connection["number"]))
            connection["writer"].write(extra[1])


async def case(bed, trouble):
    bed.servers = [Server(bed, service, "ab"[n], 2, 2, 26) for service in SERVICES for n in range(SERVERS_EACH)]
    await bed.configure(1, [{
        "name": service, "host": "bed.example", "prefix": "/%s/" % service, "type": "non_idempotent",
        "timeout-ms": LIMIT_MS, "target-latency-ms": 500, "priority": 1, "service": service, "max-attempts": 2}
        for service in SERVICES], dict.fromkeys(SERVICES, 26))
    await bed.start(HOSTS)
    ends = bed.record.now() + PAUSE_S + WINDOWS * (GARBLED_S + PAUSE_S)
    count = 0
    is_busy = False

    async def client(n, service):
        nonlocal count
        gateway = bed.gateways[n % len(bed.gateways)]
        while bed.record.now() < ends:
            count += 1
            await bed.send(gateway, "r%d" % count, "/%s/%d" % (service, count), "POST", b"order", LIMIT_MS)
            # Servers reject requests only while many come at a time.
            await asyncio.sleep(random.uniform(0, 0.04 if is_busy else 0.6))

    async def disturb():
        nonlocal is_busy
        for _ in range(WINDOWS):
            is_busy = False
            await asyncio.sleep(PAUSE_S)
            is_busy = True
            for server in bed.servers[:GARBLED_SERVERS]:
                server.is_garbling = trouble
            await asyncio.sleep(GARBLED_S)
            for server in bed.servers:
                server.is_garbling = False

    await asyncio.gather(disturb(), *[
        client(n, service) for service in SERVICES for n in range(CLIENTS_EACH)])
    await asyncio.sleep(1)
    bed.check_alive()
    statuses = list(bed.answers.values())
    bed.record("%d requests: %s" % (count, {str(s): statuses.count(s) for s in set(statuses)}))
    if statuses.count(200) < count / 10:
        raise standins.CannotRun("too few requests were served")
    broken = []
    for request, runs in bed.runs.items():
        if len(runs) > 1:
            broken.append("TWICE: %s isn't idempotent and ran %d times: %s" % (
                request, len(runs), ["%.3f s on %s" % run for run in runs]))
        if bed.answers.get(request) in (429, 503, 408, 421):
            broken.append("REFUSED: %s isn't idempotent, was answered %d and has run" % (request, bed.answers[request]))
    return broken


standins.run(case, HERE)
