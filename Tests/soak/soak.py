"""Fault soak: real gateways as separate processes, faults from outside, promises checked from what callers and
upstreams see. `soak.py --gateway PROGRAM --seed N --seconds S`; exit status 1 and a list if a promise was broken."""

import argparse
import asyncio
import collections
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from standins import Proxy, Store, Upstream, message, read_message  # noqa: E402

HOSTS = 4
SHARDS = 6
TOP = 5
MIN_SHARE = 0.5
# Bounds of the platform's deployments.
RATIO, EXTRA, WINDOW = 0.2, 52, 10.0
GRACE = 6.0
APPLY = 3.0
DRAIN = 3.0
LIMIT = 3.0
LIMIT_WINDOW = 4.0
EVACUATE = 5.0
# Requests a second that a cold upstream tolerates, and the bound that follows for any one second.
COLD_PER_SECOND, COLD_OVERAGE, COLD_SLACK = 10, 1.5, 5
COLD_TIME = 9.0
# A request that ends upstreams: losses after which it is refused, time in which all hosts learn of it, repeats after that.
LOSSES = 3
LEARN = 4.0
REPEATS = 3
# Requests sent to a stopping host during its grace time.
LATE_CALLERS = 8
PORTS = {"callers": 7001, "readiness": 7002, "entry": 7003, "peers": 7004, "metrics": 7005}


def send_signal(gateway, number):
    """Sends a signal to a process unless its end is known. Process.send_signal() would also collect the exit status of one
    that has just ended, which asyncio then reports as 255."""
    if gateway["process"].returncode is None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(gateway["process"].pid, number)


class World:
    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        self.store = Store()
        self.store_proxies = []
        self.upstreams = {}
        self.services = ["shard%d" % n for n in range(SHARDS)] + ["desk"]
        self.version = 0
        self.extra_routes = []
        self.evacuated = {}
        self.gateways = []
        self.broken = []
        self.runs = collections.Counter()
        self.run_ids = collections.defaultdict(set)
        self.arrivals = collections.defaultdict(list)
        self.requests = collections.defaultdict(list)
        self.sent_once = {}
        self.crashing_runs = collections.defaultdict(list)
        self.crashing_ends = collections.defaultdict(list)
        self.refused = collections.Counter()
        self.outcomes = collections.Counter()
        self.planned_only = options.planned
        self.log = []
        self.next_id = 0
        self.has_ended = False

    def now(self):
        return asyncio.get_running_loop().time()

    def note(self, text):
        self.log.append("%8.3f %s" % (self.now() - self.started, text))

    def fail(self, text):
        self.note("BROKEN " + text)
        self.broken.append(text)

    # What upstreams see.

    def arrived(self, upstream, rid):
        self.arrivals[upstream.service].append((self.now(), rid))
        since = upstream.draining_since
        if since and self.now() - since > DRAIN + self.options.slack and self.calm_since < since:
            self.fail("request %s reached %s %.1f s after it was draining" % (rid, upstream.uid, self.now() - since))

        upstream.arrived_at.append(self.now())
        while self.now() - upstream.arrived_at[0] > LIMIT_WINDOW:
            upstream.arrived_at.popleft()
        named = self.now() - upstream.limited_since
        if (upstream.limit and named > LIMIT_WINDOW + self.options.slack and self.calm_since < upstream.limited_since
                and len(upstream.arrived_at) > 1.5 * upstream.limit * LIMIT_WINDOW + 5):
            self.fail("%s got %d requests in %.0f s with a limit of %g a second" % (
                upstream.uid, len(upstream.arrived_at), LIMIT_WINDOW, upstream.limit))

    def accepted(self, upstream, rid):
        """Checks a request that has reached the upstream it was meant for."""
        evacuated = self.evacuated.get(upstream.domain)
        if evacuated and self.now() - evacuated > EVACUATE + self.options.slack and self.calm_since < evacuated:
            self.fail("request %s reached %s %.1f s after the evacuation of %s" % (
                rid, upstream.uid, self.now() - evacuated, upstream.domain))
        cold = self.now() - upstream.cold_since
        upstream.cold_arrivals.append(self.now())
        while self.now() - upstream.cold_arrivals[0] > 1:
            upstream.cold_arrivals.popleft()
        if (DRAIN + self.options.slack + 1 < cold < COLD_TIME and self.calm_since < upstream.cold_since
                and len(upstream.cold_arrivals) > COLD_PER_SECOND * COLD_OVERAGE + COLD_SLACK):
            self.fail("%s is cold and got %d requests in a second" % (upstream.uid, len(upstream.cold_arrivals)))

    def ran(self, upstream, rid, method, target):
        self.runs[rid] += 1
        self.run_ids[rid].add(upstream.uid)
        kind = self.sent_once.get(rid)
        if kind is None:
            self.fail("request %s that no client sent ran on %s" % (rid, upstream.uid))
        elif kind == "once" and self.runs[rid] > 1:
            self.fail("non-idempotent request %s ran %d times" % (rid, self.runs[rid]))
        if "/crashing" in target:
            self.crashing_runs[target].append(self.now())

    # The operator.

    def configure(self):
        self.version += self.random.randint(1, 3)
        shards = ["shard%d" % n for n in range(SHARDS)]
        route = {"host": "soak.example", "timeout-ms": int(LIMIT * 1000), "target-latency-ms": 400, "max-attempts": 2}
        routes = [{**route, "name": "all", "prefix": "/all/", "type": "idempotent", "gather": shards, "top-k": TOP,
                   "min-shard-ratio": MIN_SHARE},
                  {**route, "name": "once", "prefix": "/once/", "type": "non_idempotent", "service": "desk"},
                  {**route, "name": "again", "prefix": "/again/", "type": "idempotent", "service": "desk"}]
        added = "/v%d/" % self.version
        self.extra_routes = (self.extra_routes + [(self.version, added, self.now())])[-4:]
        routes += [{**route, "name": "r" + prefix, "prefix": prefix, "type": "idempotent", "service": "desk"}
                   for _, prefix, _ in self.extra_routes]
        self.store.put("op/config", {
            "version": self.version, "routes": routes,
            "services": [{"name": name, "max-connections": 26, "warmup-per-s": COLD_PER_SECOND} for name in self.services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 65536, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}})
        self.note("configuration %d" % self.version)

    async def add_upstream(self, service):
        self.next_id += 1
        uid = "u-%d" % self.next_id
        upstream = Upstream(self, service, uid)
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        upstream.server = server
        upstream.proxy = Proxy(lambda: asyncio.open_connection("127.0.0.1", port))
        upstream.address = await upstream.proxy.listen("127.0.0.1")
        upstream.sequence = 0
        upstream.domain = "z%d" % (self.next_id % 2)
        upstream.born = int(time.time() * 1000)
        self.upstreams[uid] = upstream
        self.announce(upstream, "ready")
        return upstream

    def announce(self, upstream, state):
        upstream.sequence += 1
        self.store.put("servers/" + upstream.uid, {
            "service": upstream.service, "address": upstream.address, "zone": upstream.domain,
            "version": "v1", "max-concurrency": 2, "state": state,
            "warmup-left-ms": int(1000 * max(0, upstream.cold_since + COLD_TIME - self.now())),
            "sequence": upstream.sequence, "born": upstream.born})

    async def replace(self, upstream):
        await self.add_upstream(upstream.service)
        await asyncio.sleep(0.3)
        self.announce(upstream, "draining")
        upstream.draining_since = self.now()
        self.note("upstream %s drains" % upstream.uid)
        await asyncio.sleep(DRAIN + self.options.slack + 1)
        self.store.put("servers/" + upstream.uid, None)
        self.upstreams.pop(upstream.uid, None)
        upstream.server.close()
        upstream.proxy.close()

    async def crash(self, upstream, target):
        """Ends the process of an upstream under a request; it is back after a while, in half of the cases under a new id."""
        if upstream.is_down:
            return
        upstream.is_down = True
        self.crashing_ends[target].append(self.now())
        self.note("%s ends under %s" % (upstream.uid, target))
        port = upstream.proxy.server.sockets[0].getsockname()[1]
        upstream.proxy.server.close()
        upstream.proxy.reset(1.1, self.random)
        upstream.end()
        await asyncio.sleep(self.random.uniform(1, 3))
        if upstream.draining_since or upstream.uid not in self.upstreams:
            return
        if self.random.random() < 0.5:
            self.store.put("servers/" + upstream.uid, None)
            self.upstreams.pop(upstream.uid)
            upstream.server.close()
            await self.add_upstream(upstream.service)
            return
        await upstream.proxy.listen("127.0.0.1", port)
        upstream.sequence = 0
        upstream.born = int(time.time() * 1000)
        upstream.is_down = False
        self.announce(upstream, "ready")

    # Hosts.

    async def start_gateway(self, index):
        ip = "127.%d.%d.%d" % (10 + self.options.seed % 200, os.getpid() % 250 + 1, index + 1)
        seeds = ["%s:%d" % (ip[:ip.rfind(".") + 1] + str(n + 1), PORTS["peers"]) for n in range(min(3, HOSTS))]
        proxy = self.store_proxies[index]
        settings = {
            "host": {"name": "host%d" % index, "failureDomain": "z%d" % (index % 2), "region": "r", "cores": 0.5},
            "listen": {key: "%s:%d" % (ip, port) for key, port in PORTS.items()},
            "peers": {"seeds": seeds}, "store": {"address": proxy.address},
            "retryBudget": {"ratio": RATIO, "extra": EXTRA, "windowSeconds": WINDOW},
            "stop": {"graceSeconds": GRACE},
            # With odd seeds entry answers are valid until the end of the grace time, so that a stop lasts that long.
            "entryAnswers": {"timeToLiveSeconds": 2 if self.options.seed % 2 else 1}, "log": {"failuresPerSecond": 2000, "successesPerSecond": 50},
            "coldUpstreams": {"overage": COLD_OVERAGE, "slack": COLD_SLACK},
            "routing": {"learnsCapacity": self.options.domains}}
        path = os.path.join(self.folder, "host%d.json" % index)
        with open(path, "w") as file:
            json.dump(settings, file)
        output = open(os.path.join(self.folder, "host%d.log" % index), "ab")
        process = await asyncio.create_subprocess_exec(self.options.gateway, "--settings", path, stdout=output,
                                                       stderr=output)
        output.close()
        gateway = {"index": index, "ip": ip, "process": process, "boot": self.now(), "stopping": None, "seen": 0,
                   "paused": False}
        self.gateways[index] = gateway
        self.note("host%d starts, process %d" % (index, process.pid))
        self.tasks.append(asyncio.ensure_future(self.watch(gateway)))
        return gateway

    async def watch(self, gateway):
        """Notices a process that ends by itself, and starts it again."""
        status = await gateway["process"].wait()
        if gateway["stopping"] is not None or self.has_ended:
            return
        gateway["stopping"] = -1
        self.fail("host%d has ended by itself with %s" % (gateway["index"], status))
        await self.start_gateway(gateway["index"])

    async def stop_gateway(self, gateway, how):
        if gateway["stopping"] is not None:
            return
        gateway["stopping"] = self.now() if how == signal.SIGTERM else -1
        self.note("host%d gets %s" % (gateway["index"], how.name))
        if gateway["paused"]:
            send_signal(gateway, signal.SIGCONT)
        if how == signal.SIGTERM:
            await self.start_late_callers(gateway)
        send_signal(gateway, how)
        try:
            await asyncio.wait_for(gateway["process"].wait(), GRACE + self.options.slack)
            if how == signal.SIGTERM and gateway["process"].returncode != 0:
                self.fail("host%d ended with %s" % (gateway["index"], gateway["process"].returncode))
        except asyncio.TimeoutError:
            self.fail("host%d did not stop within its grace time" % gateway["index"])
            gateway["process"].kill()
            await gateway["process"].wait()
        await self.start_gateway(gateway["index"])

    async def pause(self, gateway, seconds):
        if gateway["stopping"] is not None or gateway["paused"]:
            return
        gateway["paused"] = True
        self.note("host%d is paused" % gateway["index"])
        send_signal(gateway, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if gateway["stopping"] is None:
            send_signal(gateway, signal.SIGCONT)
        gateway["paused"] = False

    # Callers.

    async def caller(self, n):
        random_ = random.Random(self.options.seed * 1000 + n)
        connection = None
        while self.now() < self.ends:
            await asyncio.sleep(random_.uniform(0.01, 0.08))
            if connection is None or random_.random() < 0.05:
                if connection:
                    connection[2].close()
                connection = await self.connect(random_)
                if connection is None:
                    continue
            if not await self.request(connection, random_):
                connection[2].close()
                connection = None
        if connection:
            connection[2].close()

    async def connect(self, random_):
        asked = random_.choice(self.gateways)
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(asked["ip"], PORTS["entry"]), 1)
            writer.write(message("GET /resolve?name=soak.example&region=r&zone=z%d HTTP/1.1" % random_.randint(0, 1),
                                 {"Host": "entry"}))
            _, _, body = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            address = random_.choice(json.loads(body)["addrs"])
            ip, port = address.split(":")
            gateway = next(g for g in self.gateways if g["ip"] == ip)
            return (gateway, *await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError, KeyError):
            return None

    async def request(self, connection, random_):
        gateway, reader, writer = connection
        self.next_id += 1
        rid = "r%d-%d" % (self.options.seed, self.next_id)
        kind = random_.choice(["all", "all", "once", "again", "probe"])
        path = "/%s/%s" % (kind, rid)
        if kind == "once" and gateway["stopping"] is not None:
            path = "/once/long/" + rid
        chance = random_.random()
        if kind in ("all", "again") and chance < 0.02 and not self.options.wrong_bytes:
            path = "/%s/crashing%d" % (kind, random_.randint(0, 1))
        elif kind in ("all", "again") and chance < 0.2:
            path = "/%s/popular%d" % (kind, random_.randint(0, 2))
        probe = None
        if kind == "probe":
            probe = random_.choice(self.extra_routes)
            path = probe[1] + rid
        self.sent_once[rid] = "once" if kind == "once" else "again"
        services = ["shard%d" % n for n in range(SHARDS)] if kind == "all" else ["desk"]
        sent = self.now()
        for service in services:
            self.requests[service].append(sent)
        patience = 0.02 if random_.random() < 0.03 else LIMIT + self.options.slack
        method = "POST" if kind == "once" else "GET"
        try:
            writer.write(message("%s %s HTTP/1.1" % (method, path), {
                "Host": "soak.example", "X-Papayabend-Request-Id": rid, "X-Papayabend-Deadline-Ms": "3000"},
                b"order" if kind == "once" else b""))
            first, headers, body = await asyncio.wait_for(read_message(reader), patience)
        except asyncio.TimeoutError:
            self.outcomes["left" if patience < 1 else "late"] += 1
            if patience > 1 and not gateway["paused"] and self.calm_since < sent - 3 and gateway["stopping"] is None:
                self.fail("request %s got no answer within %.1f s" % (rid, patience))
            return False
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            self.outcomes["cut"] += 1
            if self.planned_only and self.runs[rid]:
                self.fail("request %s was cut by host%d after it had run" % (rid, gateway["index"]))
            return False
        self.count_refusal(path, int(first.split(" ")[1]), body)
        self.check(rid, kind, int(first.split(" ")[1]), headers, body, gateway, probe, sent)
        return headers.get("connection", "").lower() != "close"

    def check(self, rid, kind, status, headers, body, gateway, probe, sent):
        self.outcomes["%s %d" % (kind, status)] += 1
        if kind == "once" and status in (429, 503, 408, 421):
            if self.runs[rid]:
                self.fail("request %s was refused with %d and had run" % (rid, status))
            self.sent_once[rid] = "once"
            self.runs[rid] += 1  # a later run shows as the second one
        if kind == "once" and status == 504 and self.planned_only and gateway["stopping"] is not None:
            self.fail("request %s to host%d, which stops, ended with %d" % (rid, gateway["index"], status))
        if kind == "probe":
            self.check_version(rid, status, gateway, probe, sent)
        if status != 200:
            return
        if kind == "all":
            self.check_merged(rid, headers, body)
            return
        proof = headers.get("x-papayabend-server-stamp", "")
        if not proof.startswith(rid + ".") or headers.get("x-papayabend-request-id") != rid:
            self.fail("request %s got the answer %r" % (rid, proof))

    def count_refusal(self, path, status, body):
        kind = "crashing" if "/crashing" in path else "proper"
        self.refused[kind] += 1
        if status == 503 and b"quarantined" in body:
            self.refused[kind + " refused"] += 1

    def check_crashing(self):
        for target, ends in self.crashing_ends.items():
            if len(ends) < LOSSES:
                continue
            known = sorted(ends)[LOSSES - 1] + LEARN + self.options.slack
            late = {}
            for t in self.crashing_runs[target]:
                # A fan-out is sent to its shards at once and counts once.
                if t > known and not any(abs(t - other) < 0.2 for other in late):
                    late[t] = True
            if len(late) > REPEATS:
                self.fail("%s ran %d times later than %.1f s after it had ended %d upstreams; %d ended in all" % (
                    target, len(late), LEARN + self.options.slack, LOSSES, len(ends)))
        if self.refused["proper refused"] > 5 + self.refused["proper"] / 500:
            self.fail("%d of %d proper requests were refused as crashing" % (
                self.refused["proper refused"], self.refused["proper"]))
        self.outcomes["ends"] = sum(len(ends) for ends in self.crashing_ends.values())
        self.outcomes["crashing refused"] = self.refused["crashing refused"]
        self.outcomes["proper refused"] = self.refused["proper refused"]

    def check_version(self, rid, status, gateway, probe, sent):
        version, _, changed = probe
        if status == 404:
            if gateway["seen"] >= version:
                self.fail("host%d went back from version %d" % (gateway["index"], gateway["seen"]))
            late = sent - changed
            calm = min(sent - self.calm_since, sent - gateway["boot"])
            if late > APPLY + self.options.slack and calm > APPLY + self.options.slack and version >= self.extra_routes[0][0]:
                self.fail("host%d does not know version %d after %.1f s" % (gateway["index"], version, late))
        elif status in (200, 502, 503, 504) and status == 200:
            gateway["seen"] = max(gateway["seen"], version)

    def check_merged(self, rid, headers, body):
        proofs = [p.strip() for p in headers.get("x-papayabend-part-stamps", "").split(",") if p.strip()]
        missing = int(headers.get("x-papayabend-missing-parts", 0))
        parts = [p.split(".") for p in proofs]
        services = [p[1] for p in parts]
        if any(p[0] != rid for p in parts) or len(set(services)) != len(services):
            self.fail("answer to %s names the parts %s" % (rid, proofs))
        self.outcomes["partial"] += missing > 0
        if len(services) + missing != SHARDS or len(services) < MIN_SHARE * SHARDS:
            self.fail("answer to %s has %d parts and states %d missing" % (rid, len(services), missing))
        records = []
        for service in services:
            records += Upstream(self, service, "").records(rid)
        if body != b"".join(sorted(records, reverse=True)[:TOP]):
            self.fail("answer to %s is not the greatest records of its parts" % rid)

    def check_budget(self):
        for service, arrivals in self.arrivals.items():
            times = sorted(t for t, _ in arrivals)
            seen, repeats = set(), []
            for t, rid in sorted(arrivals):
                if rid in seen:
                    repeats.append(t)
                seen.add(rid)
            asked = sorted(self.requests[service])
            for n, start in enumerate(repeats):
                count = sum(1 for t in repeats[n:] if t <= start + WINDOW)
                base = max(sum(1 for t in asked if start - s <= t <= start - s + WINDOW) for s in (0, WINDOW / 2, WINDOW))
                if count > RATIO * base + EXTRA:
                    self.fail("%s got %d repeats in %.0f s for %d requests" % (service, count, WINDOW, base))
                    break
            del times

    async def start_late_callers(self, gateway):
        """Opens connections to a host that is about to stop; each is used at some moment of the grace time."""
        async def call(connection, random_):
            try:
                await asyncio.sleep(random_.uniform(0, GRACE))
                await self.request(connection, random_)
            finally:
                connection[2].close()

        for _ in range(LATE_CALLERS):
            self.next_id += 1
            random_ = random.Random(self.options.seed * 1000000 + self.next_id)
            try:
                streams = await asyncio.wait_for(asyncio.open_connection(gateway["ip"], PORTS["callers"]), 1)
            except (OSError, asyncio.TimeoutError):
                continue
            self.tasks.append(asyncio.ensure_future(call((gateway, *streams), random_)))

    # Faults.

    async def disturb(self):
        faults = self.planned() if self.planned_only else self.planned() + self.unplanned()
        while self.now() < self.ends - 4:
            await asyncio.sleep(self.random.uniform(0.05, 0.5))
            fault = self.random.choice(faults)
            self.outcomes["faults"] += 1
            self.tasks.append(asyncio.ensure_future(fault()))

    def planned(self):
        async def change():
            self.configure()

        async def roll():
            if sum(1 for g in self.gateways if g["stopping"] is not None) == 0:
                await self.stop_gateway(self.random.choice(self.gateways), signal.SIGTERM)

        async def hup():
            send_signal(self.random.choice(self.gateways), signal.SIGHUP)

        async def replace():
            ready = [u for u in self.upstreams.values() if u.draining_since is None]
            await self.replace(self.random.choice(ready))

        async def limit():
            upstream = self.random.choice(list(self.upstreams.values()))
            upstream.limit, upstream.limited_since = self.random.uniform(1, 20), self.now()
            self.note("%s names a limit of %.1f" % (upstream.uid, upstream.limit))
            await asyncio.sleep(self.random.uniform(1, 3 * LIMIT_WINDOW))
            upstream.limit = None

        async def ask_for_pause():
            upstream = self.random.choice(list(self.upstreams.values()))
            upstream.pauses_until = self.now() + self.random.uniform(0.1, 3)
            self.note("%s asks for a pause" % upstream.uid)

        async def evacuate():
            if self.evacuated:
                return
            domain = "z%d" % self.random.randint(0, 1)
            self.evacuated[domain] = self.now()
            self.store.put("op/evacuate/" + domain, {})
            self.note("%s is evacuated" % domain)
            await asyncio.sleep(EVACUATE + self.options.slack + self.random.uniform(1, 4))
            self.store.put("op/evacuate/" + domain, None)
            self.evacuated.clear()
            self.note("the evacuation of %s ends" % domain)

        async def turn_cold():
            upstream = self.random.choice(list(self.upstreams.values()))
            if upstream.draining_since or upstream.is_down:
                return
            upstream.cold_since = self.now()
            self.announce(upstream, "ready")
            self.note("%s is cold" % upstream.uid)
        domains = [evacuate, turn_cold] if self.options.domains else []
        return [change, roll, hup, replace, limit, ask_for_pause] + domains

    def unplanned(self):
        async def during(action, undo, seconds, text):
            self.note(text)
            self.calm_since = float("inf")
            self.disturbances += 1
            action()
            await asyncio.sleep(seconds)
            undo()
            self.disturbances -= 1
            if self.disturbances == 0:
                self.calm_since = self.now()

        def pick():
            service = self.random.choice(["desk", self.random.choice(self.services)])
            return self.random.choice([u for u in self.upstreams.values() if u.service == service])

        async def kill():
            await self.stop_gateway(self.random.choice(self.gateways), signal.SIGKILL)

        async def pause():
            await during(lambda: None, lambda: None, 0, "pause")
            await self.pause(self.random.choice(self.gateways), self.random.uniform(0.2, 3))
            self.calm_since = max(self.calm_since, self.now())

        async def silence():
            proxy = pick().proxy
            ways = self.random.choice([{"to"}, {"from"}, {"to", "from"}])
            await during(lambda: proxy.silent.update(ways), proxy.silent.clear, 2, "an upstream is silent %s" % ways)

        async def resets():
            proxy = pick().proxy
            await during(lambda: proxy.reset(0.7, self.random), lambda: None, 0.1, "connections are reset")

        async def lose():
            upstream = pick()
            await during(lambda: setattr(upstream, "lose", 0.4), lambda: setattr(upstream, "lose", 0), 2, "answers lost")

        async def extra():
            upstream = pick()
            await during(lambda: setattr(upstream, "extra", 0.4), lambda: setattr(upstream, "extra", 0), 2, "extra answers")

        async def slow():
            upstream = pick()
            await during(lambda: setattr(upstream, "work", 0.1), lambda: setattr(upstream, "work", 0.01), 3, "slow")

        async def store_down():
            proxies = self.random.choice([self.store_proxies, self.random.sample(self.store_proxies, 2)])

            def down():
                for proxy in proxies:
                    proxy.refuses = True
                    proxy.reset(1.1, self.random)

            def back():
                for proxy in proxies:
                    proxy.refuses = False
            await during(down, back, 3, "the store is down for %d hosts" % len(proxies))

        async def store_silent():
            proxy = self.random.choice(self.store_proxies)
            await during(lambda: proxy.silent.update({"to", "from"}), proxy.silent.clear, 4, "the store is silent")

        async def compact():
            self.note("the store drops its history")
            self.store.compact()

        async def restore():
            copy = self.store.copy()
            await asyncio.sleep(self.random.uniform(0.5, 5))
            self.note("the store goes away")
            self.calm_since = float("inf")
            self.disturbances += 1
            self.store.stop()
            await asyncio.sleep(self.random.uniform(0.2, 2))
            lost = self.store.restore(copy)
            self.note("the store returns without %d keys" % len(lost))
            await asyncio.sleep(self.random.uniform(0, 1.5))
            for key, value in lost.items():
                # Unless it was written since the return.
                if self.store.items.get(key) == copy[0].get(key):
                    self.store.put(key, value)
            self.disturbances -= 1
            if self.disturbances == 0:
                self.calm_since = self.now()

        odd = {"service": "desk", "address": "127.0.0.1:70000", "zone": "z0", "max-concurrency": 10 ** 30, "state": "ready",
               "warmup-left-ms": 1e300, "sequence": 1}
        nested = []
        for _ in range(800):
            nested = [nested]

        async def forged():
            self.store.put("servers/x-%d" % self.random.randint(0, 3), self.random.choice(
                [None, 7, {}, {"service": "desk"}, {"service": 1, "address": "x", "state": "up"}, odd, nested]))
        return [kill, pause, silence, resets, lose, extra, slow, store_down, store_silent, compact, forged] + (
            [restore, restore] if self.options.restores else [])

    async def send_wrong_bytes(self):
        """Lets upstreams, clients and peers send wrong bytes all the time, and upstreams repeat answers."""
        while self.options.wrong_bytes and self.now() < self.ends - 2:
            await asyncio.sleep(self.random.uniform(0.05, 0.5))
            upstream = self.random.choice(list(self.upstreams.values()))
            upstream.spoil = 0.05 if upstream.spoil == 0 else 0
            upstream = self.random.choice(list(self.upstreams.values()))
            upstream.reject, upstream.repeat = (0.4, 0.5) if upstream.repeat == 0 else (0, 0)
            self.calm_since = max(self.calm_since, self.now())
            await self.send_wrong_requests()
            await self.send_wrong_datagrams()

    async def send_wrong_requests(self):
        """Sends requests with odd lengths, framings and bytes to each kind of port."""
        gateway = self.random.choice(self.gateways)
        self.sent_once["\xff"] = "again"
        head = "POST %s HTTP/1.1\r\nHost: soak.example\r\n" % self.random.choice(["/once/x", "/all/x", "/content?after=0"])
        for port in PORTS.values():
            text = self.random.choice([
                head + "Content-Length: 300000000000000\r\n\r\npart", head + "Content-Length: 65000\r\n\r\npart",
                head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\npart",
                head + "Peer-Address: \xff\xfe\r\nX-Papayabend-Request-Id: \xff\r\n\r\n",
                head + "X-Long: " + "a" * 100000, "\x16\x03\x01\x02\xff" * 50])
            try:
                _, writer = await asyncio.wait_for(asyncio.open_connection(gateway["ip"], port), 1)
            except (OSError, asyncio.TimeoutError):
                continue
            writer.write(text.encode("latin-1"))
            await asyncio.sleep(self.random.uniform(0, 0.2))
            writer.transport.abort()

    async def send_wrong_datagrams(self):
        """Sends datagrams of odd lengths, counts and bytes to a host's port for other hosts."""
        gateway = self.random.choice(self.gateways)
        heads = [b"\x9b\xff\xff\xff\xff\xff\xff\xff\xfe", b"\x5b\x7f\xff\xff\xff\xff\xff\xff\xff",
                 b"\x9f" * 1000, b"\x81" * 1000, b"\x85\x81\x8d", b""]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for head in heads:
                noise = bytes(self.random.randrange(256) for _ in range(self.random.randint(0, 300)))
                sender.sendto(head + noise, (gateway["ip"], PORTS["peers"]))

    async def run(self):
        # Connections of the stand-ins are cut in the middle of their work, which asyncio would report.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        self.started = self.now()
        self.calm_since = self.started
        self.disturbances = 0
        self.tasks = []
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            self.folder = folder
            store = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
            port = store.sockets[0].getsockname()[1]
            for _ in range(HOSTS):
                proxy = Proxy(lambda: asyncio.open_connection("127.0.0.1", port))
                proxy.address = await proxy.listen("127.0.0.1")
                self.store_proxies.append(proxy)
            self.configure()
            for service in self.services:
                await self.add_upstream(service)
                await self.add_upstream(service)
            self.gateways = [None] * HOSTS
            for n in range(HOSTS):
                await self.start_gateway(n)
            await asyncio.sleep(1.5)
            self.ends = self.now() + self.options.seconds
            callers = [self.caller(n) for n in range(self.options.callers)]
            try:
                await asyncio.gather(self.disturb(), self.send_wrong_bytes(), *callers)
                await asyncio.sleep(0.5)
                self.check_budget()
                self.check_crashing()
                if sum(v for k, v in self.outcomes.items() if k.endswith(" 200")) == 0:
                    self.fail("nothing was served")
            finally:
                await self.end()
            if self.broken:
                self.keep_logs(folder)

    async def end(self):
        self.has_ended = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for gateway in self.gateways:
            if gateway["process"].returncode is None:
                gateway["process"].kill()
                await gateway["process"].wait()

    def keep_logs(self, folder):
        kept = os.path.join(self.options.logs, "soak-%d" % self.options.seed)
        os.makedirs(kept, exist_ok=True)
        for name in os.listdir(folder):
            with open(os.path.join(folder, name), "rb") as source, open(os.path.join(kept, name), "wb") as target:
                target.write(source.read())
        with open(os.path.join(kept, "events.log"), "w") as file:
            file.write("\n".join(self.log) + "\n")
        print("logs kept in " + kept)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateway", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--planned", action="store_true", help="planned work only; no answer may be cut")
    parser.add_argument("--wrong-bytes", action="store_true", help="upstreams, clients and peers also send wrong bytes; no request ends upstreams")
    parser.add_argument("--restores", action="store_true", help="the store also returns from older copies")
    parser.add_argument("--domains", action="store_true", help="also evacuations of failure domains and cold upstreams")
    parser.add_argument("--slack", type=float, default=1.0,
                        help="seconds added to bounds for the scheduling of some dozen processes on one machine")
    parser.add_argument("--logs", default="/tmp", help="folder for the logs of a run that broke a promise")
    options = parser.parse_args()
    world = World(options)
    asyncio.run(world.run())
    print("seed %d: %s" % (options.seed, dict(sorted(world.outcomes.items()))))
    for text in world.broken[:20]:
        print("BROKEN: " + text)
    sys.exit(1 if world.broken else 0)


if __name__ == "__main__":
    main()
