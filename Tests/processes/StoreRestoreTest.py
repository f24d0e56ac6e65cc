"""A store that returns from an older copy of its data, and real gateways on loopback: `StoreRestoreTest.py --gateway
PROGRAM CASE`. A case polls for outcomes and checks no times."""

import argparse
import asyncio
import contextlib
import json
import os
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
from standins import Store, message, read_message  # noqa: E402

PORTS = {"callers": 7001, "readiness": 7002, "entry": 7003, "peers": 7004, "metrics": 7005}
HOSTS = 3
# Far above the time that a change takes; a host that does not learn of it never does.
PATIENCE = 15
# Calls to the store of all hosts in a second that no orderly reader exceeds.
CALLS_PER_SECOND = 60
# Changes that raise the revision, more than a case writes of others.
OTHER_KEYS = 30


class World:
    def __init__(self, program, folder):
        self.program, self.folder = program, folder
        self.store = Store()
        self.gateways = {}

    async def start(self):
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        for uid in ("old", "new"):
            upstream = await asyncio.start_server(lambda r, w, uid=uid: self.serve(uid, r, w), "127.0.0.1", 0)
            self.put_upstream(uid, "127.0.0.1:%d" % upstream.sockets[0].getsockname()[1])
        self.configure(1, [])
        for n in range(HOSTS):
            self.start_gateway(n)
        for n in range(HOSTS):
            await self.until(n, "/first/", 200)

    def put_upstream(self, uid, address):
        self.store.put("servers/" + uid, {
            "service": "desk", "address": address, "zone": "z", "version": "v1", "max-concurrency": 50, "state": "ready",
            "warmup-left-ms": 0, "sequence": 1, "born": int(time.time() * 1000)})

    def configure(self, version, added):
        """Writes a configuration with the route /first/ and those in `added`."""
        route = {"host": "restore.example", "type": "idempotent", "service": "desk", "timeout-ms": 2000,
                 "target-latency-ms": 1000, "max-attempts": 2}
        self.store.put("op/config", {
            "version": version,
            "routes": [{**route, "name": name, "prefix": "/%s/" % name} for name in ["first"] + added],
            "services": [{"name": "desk", "max-connections": 100}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}})

    async def serve(self, uid, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            while True:
                _, headers, _ = await read_message(reader)
                rid = headers.get("x-papayabend-request-id", "")
                writer.write(message("HTTP/1.1 200 OK", {"X-Papayabend-Request-Id": rid,
                                     "X-Papayabend-Server-Stamp": rid + ".desk." + uid}, b"whole"))
                await writer.drain()
        writer.close()

    def address(self, n):
        return "127.212.%d.%d" % (os.getpid() % 250 + 1, n + 1)

    def start_gateway(self, n):
        seeds = ["%s:%d" % (self.address(other), PORTS["peers"]) for other in range(HOSTS)]
        settings = {"host": {"name": "h%d" % n, "failureDomain": "z%d" % n, "region": "r"},
                    "listen": {name: "%s:%d" % (self.address(n), port) for name, port in PORTS.items()},
                    "peers": {"seeds": seeds}, "store": {"address": self.store_address}}
        path = os.path.join(self.folder, "settings%d.json" % n)
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.folder, "log%d" % n), "a")
        self.gateways[n] = subprocess.Popen([self.program, "--settings", path], stdout=log, stderr=log)

    def kill(self, n):
        self.gateways[n].kill()
        self.gateways[n].wait()

    async def status(self, n, target):
        """Returns the status of a request, or None if it got no answer."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(self.address(n), PORTS["callers"])
            rid = "%016x" % time.monotonic_ns()
            writer.write(message("GET %sx HTTP/1.1" % target, {"Host": "restore.example", "X-Papayabend-Request-Id": rid,
                                                               "X-Papayabend-Deadline-Ms": "2000"}))
            first, _, _ = await asyncio.wait_for(read_message(reader), 5)
            writer.close()
            return int(first.split(" ")[1])
        return None

    async def until(self, n, target, expected):
        """Waits until host n answers with a status; fails if it never does."""
        end = time.monotonic() + PATIENCE
        while True:
            status = await self.status(n, target)
            if status == expected:
                return
            if time.monotonic() > end:
                raise AssertionError("h%d answers %s to %s, expected %d; the end of its log:\n%s" % (
                    n, status, target, expected, self.log_of(n)[-1500:]))
            await asyncio.sleep(0.05)

    def log_of(self, n):
        with open(os.path.join(self.folder, "log%d" % n)) as file:
            return file.read()

    def end(self):
        for gateway in self.gateways.values():
            gateway.kill()
            gateway.wait()

    def write_other_keys(self):
        for n in range(OTHER_KEYS):
            self.store.put("other/%d" % n, {})

    async def lose_the_second_configuration(self):
        """A version is confirmed and in force; then the store returns from a copy that does not have it."""
        copy = self.store.copy()
        self.configure(3, ["second"])
        self.write_other_keys()
        for n in range(HOSTS):
            await self.until(n, "/second/", 200)
        await asyncio.sleep(1)
        self.store.stop()
        await asyncio.sleep(0.5)
        self.store.restore(copy)


async def changes_after_a_restore_come_into_force(world):
    """Guards against hosts that take revisions which the store gives out again for old ones."""
    await world.lose_the_second_configuration()
    world.configure(3, ["second"])
    world.configure(5, ["second", "third"])
    for n in range(HOSTS):
        await world.until(n, "/third/", 200)
        await world.until(n, "/second/", 200)


async def confirmed_version_outlives_the_store_that_lost_it(world):
    """Guards against a host that starts with the older configuration of the store while the others have a newer one."""
    await world.lose_the_second_configuration()
    world.write_other_keys()
    world.write_other_keys()
    world.kill(0)
    world.start_gateway(0)
    await world.until(0, "/first/", 200)
    for n in range(HOSTS):
        await world.until(n, "/second/", 200)


async def restored_store_is_not_asked_in_a_loop(world):
    """Guards against readers that list the store again and again because their revision is above that of the store."""
    await world.lose_the_second_configuration()
    calls = world.store.calls
    await asyncio.sleep(3)
    calls = world.store.calls - calls
    if calls > 3 * CALLS_PER_SECOND:
        raise AssertionError("%d calls in 3 s" % calls)


CASES = {case.__name__: case for case in (
    changes_after_a_restore_come_into_force, confirmed_version_outlives_the_store_that_lost_it,
    restored_store_is_not_asked_in_a_loop)}


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--gateway", required=True)
    parser.add_argument("case", choices=CASES)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        world = World(options.gateway, folder)
        try:
            await world.start()
            await CASES[options.case](world)
        finally:
            world.end()
            await asyncio.sleep(0.2)  # for the ends of the connections


if __name__ == "__main__":
    asyncio.run(main())
