"""A faulty server spoils the length of an answer; the gateway that reads it ends."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import standins  # noqa: E402

# Of the site file: garble, share 0.35 of the servers, 0.02 of their answers, for 5.5 s.
SERVERS, SPOILING_SERVERS = 6, 2
SPOILED_ANSWERS = 0.02
SPOILED_S = 5.5
WINDOWS = 3
PAUSE_S = 8
# What a spoiled answer states instead of the length of its body.
SPOILED_LENGTH = b"300000000000000"
WORK_S = 0.16
LIMIT_MS = 6000
HOSTS = ["a", "b", "a", "b"]
CLIENTS = 32
RESTART_S = 0.5
# Requests passed on to a sound server and cut without an answer that the rule allows.
ALLOWED = 3


class Server(standins.Server):
    spoils = False
    has_spoiled = False
    random = random.Random()

    def work_time(self, request):
        return WORK_S * self.random.uniform(0.5, 1.5)

    async def before_answer(self, request, connection):
        if not self.spoils or request.get("rejected") or self.random.random() >= SPOILED_ANSWERS:
            return True
        self.bed.record("server %s spoils its answer to %s" % (self.id, request["id"]))
        proof = "%s.%s.%s" % (request["id"], self.service, self.id)
        answer = standins.message("HTTP/1.1 200 OK", {
            "X-Papayabend-Request-Id": request["id"], "X-Papayabend-Server-Stamp": proof}, proof.encode())
        length = b"Content-Length: %d" % len(proof)
        connection["writer"].write(answer.replace(length, b"Content-Length: " + SPOILED_LENGTH))
        return False


async def case(bed, trouble):
    bed.servers = [Server(bed, "desk", "ab"[n % 2], 6, 24, 110) for n in range(SERVERS)]
    await bed.configure(1, [{
        "name": "check", "host": "bed.example", "prefix": "/check/", "type": "idempotent", "timeout-ms": LIMIT_MS,
        "target-latency-ms": 600, "priority": 1, "service": "desk", "max-attempts": 2}], {"desk": 110})
    await bed.start(HOSTS)
    faulty = {server.id for server in bed.servers[:SPOILING_SERVERS]}
    ends = bed.record.now() + WINDOWS * (PAUSE_S + SPOILED_S) + 2
    count, cut, own_ends, statuses = 0, [], [], []

    async def client(n):
        nonlocal count
        connection = standins.Connection(bed, bed.gateways[n % len(bed.gateways)])
        while bed.record.now() < ends:
            count += 1
            request = "r%d" % count
            is_kept = connection.writer is not None and connection.answered > 0
            status = await connection.send(request, "/check/%d" % count, LIMIT_MS)
            statuses.append(status)
            if status == "cut" and is_kept and {server for _, server in bed.arrivals[request]} - faulty:
                cut.append(request)
            await asyncio.sleep(0.3 if status is None else random.uniform(0, 0.1))
        connection.close()

    async def restart(gateway):
        """Starts the process again after it has ended, as the platform does."""
        while True:
            status = await gateway.process.wait()
            own_ends.append(gateway.ip)
            bed.record("gateway %s has ended by itself with status %d" % (gateway.ip, status))
            await asyncio.sleep(RESTART_S)
            await gateway.start()

    async def disturb():
        for _ in range(WINDOWS):
            await asyncio.sleep(PAUSE_S)
            for server in bed.servers[:SPOILING_SERVERS]:
                server.spoils = trouble
            await asyncio.sleep(SPOILED_S)
            for server in bed.servers:
                server.spoils = False

    watches = [asyncio.ensure_future(restart(gateway)) for gateway in bed.gateways]
    await asyncio.gather(disturb(), *[client(n) for n in range(CLIENTS)])
    for watch in watches:
        watch.cancel()
    bed.record("%d requests, %d answered with 200, %d ends of gateways, %d requests cut at sound servers" % (
        count, statuses.count(200), len(own_ends), len(cut)))
    if statuses.count(200) < count / 4:
        raise standins.CannotRun("too few requests were served")
    if len(cut) <= ALLOWED:
        return []
    return ["LOST: gateways ended by themselves %d times; %d requests from kept connections were passed on to a sound "
            "server and cut without an answer, among them %s" % (len(own_ends), len(cut), cut[0])]


standins.run(case, HERE)
