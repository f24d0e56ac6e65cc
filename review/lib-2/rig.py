"""Stand-ins for the cases of the second review: the platform's store, servers and clients in one asyncio loop, and the
start of real gateways with the command and the settings template of the deploy file. Only the standard library."""

import asyncio
import base64
import functools
import json
import os
import random
import re
import signal
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "shop.example"


class CannotRun(Exception):
    """The case could not be run, which says nothing about the rule."""


async def read_message(reader):
    """Returns (first line, header fields as pairs, body) of a message with a length or without a body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head[:-4].split("\r\n")
    fields = [(name.strip().lower(), value.strip()) for name, _, value in (line.partition(":") for line in lines[1:])]
    length = next((int(value) for name, value in fields if name == "content-length"), 0)
    return lines[0], fields, await reader.readexactly(length)


def field(fields, name, default=None):
    return next((value for key, value in fields if key == name), default)


def message(first, fields, body=b""):
    text = first + "\r\n" + "".join("%s: %s\r\n" % it for it in fields) + "Content-Length: %d\r\n\r\n" % len(body)
    return text.encode("latin-1") + body


class Store:
    """The platform's store: list and watch, as PROTOCOL.md describes them."""

    def __init__(self):
        self.items, self.history, self.revision = {}, [], 1
        self.calls = {}
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "tombstone": True}
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            event = {"key": key, "value": text, "revision": self.revision, "created-rev": self.revision, "lease": 0}
            self.items[key] = event
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, target):
        path, _, text = target.partition("?")
        query = dict(pair.partition("=")[::2] for pair in text.split("&"))
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return {"items": [self.items[k] for k in keys[:500]], "has-more": len(keys) > 500, "as-of": self.revision}
        after = int(query["after"])
        if after >= self.revision:
            try:
                await asyncio.wait_for(self.changed.wait(), int(query["wait-ms"]) / 1000)
            except asyncio.TimeoutError:
                pass
        return {"events": [it for it in self.history if it["revision"] > after], "as-of": self.revision}

    async def serve(self, host, reader, writer):
        try:
            while True:
                first, _, _ = await read_message(reader)
                self.calls[host] = self.calls.get(host, 0) + 1
                body = json.dumps(await self.answer(first.split(" ")[1])).encode()
                writer.write(message("HTTP/1.1 200 OK", [("Content-Type", "application/json")], body))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Server:
    """A server of a service. It runs a request when it begins to work on it, and records each request that it got."""

    def __init__(self, world, service, uid):
        self.world, self.service, self.uid = world, service, uid
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.work = 0.01
        self.writers = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.announce()
        return self

    def announce(self, state="ready"):
        self.sequence += 1
        self.world.store.put("servers/" + self.uid, {
            "service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": "ruwi", "version": "v1",
            "max-concurrency": 6, "state": state, "warmup-left-ms": 0, "sequence": self.sequence, "born": self.born})

    def success(self, rid, body=b""):
        stamp = "%s.%s.%s" % (rid, self.service, self.uid)
        return message("HTTP/1.1 200 OK", [("X-Papayabend-Request-Id", rid), ("X-Papayabend-Server-Stamp", stamp),
                                           ("Keep-Alive", "timeout=8")], body)

    async def handle(self, first, fields, body, writer):
        """Answers a request; returns whether the connection is kept. To be replaced by a case."""
        rid = field(fields, "x-papayabend-request-id", "")
        self.world.record("run", server=self.uid, id=rid, line=first, body=body.decode("latin-1"))
        await asyncio.sleep(self.work)
        writer.write(self.success(rid, b"done"))
        return True

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields, body = await read_message(reader)
                expected = field(fields, "x-papayabend-expect-instance", self.uid)
                if expected != self.uid:
                    rid = field(fields, "x-papayabend-request-id", "")
                    writer.write(message("HTTP/1.1 421 Misdirected", [("X-Papayabend-Request-Id", rid)]))
                    continue
                if not await self.handle(first, fields, body, writer):
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def render(text, fields):
    """Fills the placeholders that the project's settings template uses, as DEPLOY.md describes them."""
    def value(path):
        it = fields
        for key in path.split("."):
            it = it[int(key)] if isinstance(it, list) else (it or {}).get(key)
        return it
    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", lambda m: m[2] if value(m[1]) else "", text, flags=re.S)
    text = re.sub(r"\{\{([\w.-]+)\|json\}\}", lambda m: json.dumps(value(m[1])), text)
    return re.sub(r"\{\{([\w.-]+)\}\}", lambda m: str(value(m[1])), text)


class Gateway:
    """One gateway process on its own loopback address, with the bounds of the deployment mmtbw-search."""

    def __init__(self, world, index, zone):
        self.world, self.index, self.zone = world, index, zone
        self.ip = "%s.%d" % (world.net, index + 1)
        self.process = None

    def settings(self):
        ports = {"front": 8104, "ready": 8108, "control": 8106, "directory": 8100}
        fields = {
            "node-name": "front-%s-%d" % (self.zone, self.index + 1), "zone": self.zone, "region": "muscat", "ip": self.ip,
            "listen-addrs": {name: "%s:%d" % (self.ip, port) for name, port in ports.items()},
            "internal-ports": [7380, 7395], "limits": {"cpu-share": 0.25},
            "seeds": ["%s.%d:8106" % (self.world.net, n + 1) for n in range(min(3, self.world.hosts))],
            "platform": {"address": "127.0.0.1:%d" % self.world.store_ports[self.index]},
            "bounds": {"retry-budget-ratio": 0.2, "retry-budget-extra": 56, "retry-window-s": 10, "grace-s": 6}}
        with open(os.path.join(ROOT, "platform/settings.template")) as file:
            return render(file.read(), fields)

    async def start(self):
        path = os.path.join(self.world.folder, "settings-%d.json" % self.index)
        with open(path, "w") as file:
            file.write(self.settings())
        command = os.path.join(ROOT, "target/platform/papayabend-gateway")
        if not os.path.exists(command):
            raise CannotRun("the gateway is not built")
        with open(os.path.join(self.world.folder, "log-%d" % self.index), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(command, "--settings", path, cwd=ROOT, stdout=log,
                                                                stderr=log)
        self.world.record("start", host=self.ip)
        return self

    async def wait_until_ready(self):
        end = time.monotonic() + 10
        while time.monotonic() < end:
            try:
                status = await self.get("8108", "/ready")
                if status == 200:
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.05)
        raise CannotRun("the gateway did not become ready")

    async def get(self, port, target):
        reader, writer = await asyncio.open_connection(self.ip, int(port))
        try:
            writer.write(message("GET %s HTTP/1.1" % target, [("Host", self.ip)]))
            first, _, _ = await asyncio.wait_for(read_message(reader), 1)
            return int(first.split(" ")[1])
        finally:
            writer.close()

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
        if self.process:
            await self.process.wait()


class World:
    def __init__(self, hosts=1):
        self.hosts, self.gateways, self.servers = hosts, [], []
        self.store = Store()
        self.version = 0
        self.events = []
        self.began = time.monotonic()
        self.net = "127.%d.%d" % (random.randint(20, 220), random.randint(1, 250))

    def now(self):
        return time.monotonic() - self.began

    def record(self, event, **values):
        self.events.append({"t": round(self.now(), 3), "event": event, **values})

    def of(self, event, **values):
        return [it for it in self.events
                if it["event"] == event and all(it.get(key) == value for key, value in values.items())]

    async def start(self, folder, services):
        self.folder = folder
        # A port for each host, so that the store knows who calls.
        listeners = [await asyncio.start_server(functools.partial(self.store.serve, n), "127.0.0.1", 0)
                     for n in range(self.hosts)]
        self.store_ports = [it.sockets[0].getsockname()[1] for it in listeners]
        for service, count in services.items():
            for n in range(count):
                self.servers.append(await Server(self, service, "i-%s-%d" % (service, n + 1)).start())

    def configure(self, routes, limits=None):
        self.version += 1
        self.store.put("op/config", {
            "version": self.version, "routes": routes,
            "services": [{"name": name, "max-connections": 110} for name in sorted({it.service for it in self.servers})],
            "limits": limits or {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                                 "idle-timeout-ms": 15000}})

    async def start_gateways(self):
        zones = ["ruwi", "seeb", "qurum"]
        self.gateways = [Gateway(self, n, zones[n % len(zones)]) for n in range(self.hosts)]
        for it in self.gateways:
            await it.start()
        for it in self.gateways:
            await it.wait_until_ready()


def route(prefix, kind, service, **more):
    return {"name": "r" + prefix.replace("/", "-"), "host": HOST, "prefix": prefix, "type": kind, "service": service,
            "timeout-ms": 6000, "target-latency-ms": 600, "max-attempts": 2, "priority": 1, **more}


def play(case, hosts=1):
    """Plays case(world), which returns the broken promises; writes record.txt beside the case and exits."""
    place = os.path.dirname(os.path.abspath(sys.argv[0]))

    async def run():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.set_exception_handler(lambda loop, context: None)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        world = World(hosts)
        with tempfile.TemporaryDirectory(prefix="review-") as world.folder:
            try:
                broken = await case(world)
                status = BROKEN if broken else HELD
            except (CannotRun, OSError, asyncio.CancelledError) as error:
                broken, status = ["the case could not run: %r" % error], NOT_RUN
            finally:
                for it in world.gateways:
                    await it.end()
            with open(os.path.join(place, "record.txt"), "w") as file:
                file.write("trouble %d, exit %d\n" % (TROUBLE, status))
                file.writelines("%s\n" % it for it in broken)
                file.writelines(json.dumps(it) + "\n" for it in world.events)
        return status, broken

    status, broken = asyncio.run(run())
    print("\n".join(broken) if broken else "held")
    sys.exit(status)
