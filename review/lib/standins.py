"""Stand-ins of the review: the platform's store, servers, clients and the start of gateways, in one asyncio loop.

All sockets are on loopback addresses. The stand-ins behave like a sound platform, server and client; a script switches
the disruption of its case on explicitly.
"""

import asyncio
import base64
import collections
import itertools
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
GATEWAY = os.path.join(ROOT, "target", "platform", "papayabend-gateway")
HEARTBEAT_S = 1.2

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up, so that nothing can be said about the rule."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write("%9.3f %s\n" % (self.now(), text))

    def close(self):
        self.file.close()


async def read_message(reader):
    """Returns (first line, headers, body) of an HTTP message with a length."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def message(first, headers, body=b""):
    lines = [first] + ["%s: %s" % item for item in headers.items()] + ["Content-Length: %d" % len(body)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


def free_ports(ip, count):
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Store:
    """The platform's metadata store: ranges, watches and 20 s of history."""

    HISTORY_S = 20

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 1
        self.history = collections.deque()
        self.dropped_to = 1
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Writes an item, or removes it if the value is None; returns the time of the acknowledgement."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "tombstone": True}
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            made = self.items[key]["created-rev"] if key in self.items else self.revision
            event = {"key": key, "value": text, "revision": self.revision, "created-rev": made, "lease": 0}
            self.items[key] = event
        now = self.record.now()
        self.history.append((now, event))
        while self.history and now - self.history[0][0] > self.HISTORY_S:
            self.dropped_to = self.history.popleft()[1]["revision"]
        self.changed.set()
        self.changed = asyncio.Event()
        return now

    async def answer(self, target):
        path, _, query = target.partition("?")
        values = dict(part.partition("=")[::2] for part in query.split("&"))
        if path == "/kv-range":
            after = values.get("after", "").replace("%2F", "/")
            keys = sorted(k for k in self.items if k.startswith(values.get("prefix", "")) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]], "has-more": len(keys) > 500,
                         "as-of": self.revision}
        if path != "/kv-watch":
            return 404, {}
        after = int(values["after"])
        if after < self.dropped_to:
            return 410, {}
        if after >= self.revision:
            try:
                await asyncio.wait_for(self.changed.wait(), int(values["wait-ms"]) / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"events": [e for _, e in self.history if e["revision"] > after], "as-of": self.revision}

    async def serve(self, reader, writer):
        try:
            while True:
                first, _, _ = await read_message(reader)
                status, body = await self.answer(first.split(" ")[1])
                await asyncio.sleep(0.004)
                writer.write(message("HTTP/1.1 %d X" % status, {"Content-Type": "application/json"},
                                     json.dumps(body).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return self.address


class Server:
    """A sound server: runs requests in its slots, queues a few, rejects the others, and signs what it has run.

    A script may replace work_time() and the two hooks before_answer() and after_answer().
    """

    def __init__(self, bed, service, zone, slots, queue, max_connections):
        self.bed, self.service, self.zone = bed, service, zone
        self.slots, self.queue_size, self.max_connections = slots, queue, max_connections
        self.id = "i-%s-%d" % (service, next(bed.numbers))
        self.free = asyncio.Semaphore(slots)
        self.present = 0
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.writers = set()
        self.beats = None

    def work_time(self, request):
        return 0.02

    async def before_answer(self, request, connection):
        """Returns False if the answer is not to be sent."""
        return True

    async def after_answer(self, request, connection, answer):
        pass

    async def next_request(self, request, connection):
        """Called when a request has arrived, before it is handled."""

    def beat(self):
        self.sequence += 1
        return self.bed.store.put("servers/" + self.id, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "max-concurrency": self.slots, "state": self.state, "warmup-left-ms": 0, "sequence": self.sequence,
            "born": self.born})

    async def beat_always(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    def drain(self):
        """Reports that the server leaves; returns the time of the store's acknowledgement."""
        self.state = "draining"
        return self.beat()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        self.beat()
        self.beats = asyncio.ensure_future(self.beat_always())

    async def serve(self, reader, writer):
        if len(self.writers) >= self.max_connections:
            return reset(writer)
        self.writers.add(writer)
        connection = {"writer": writer, "pending": b"", "number": next(self.bed.numbers)}
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                request = {"id": headers.get("x-papayabend-request-id", ""), "method": method, "target": target,
                           "deadline": float(headers.get("x-papayabend-deadline-ms", "60000")) / 1000,
                           "expected": headers.get("x-papayabend-expect-instance"), "arrived": self.bed.record.now()}
                work = asyncio.ensure_future(self.handle(request, connection))
                closed = asyncio.ensure_future(self.wait_closed(reader, work))
                try:
                    await work
                finally:
                    closed.cancel()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def wait_closed(self, reader, work):
        """Drops the work if the caller closes its connection."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.005)
        work.cancel()

    async def handle(self, request, connection):
        bed, writer = self.bed, connection["writer"]
        bed.arrived(self, request)
        await self.next_request(request, connection)
        echo = {"X-Papayabend-Request-Id": request["id"]}
        if request["expected"] not in (None, self.id):
            answer = message("HTTP/1.1 421 Misdirected Request", {**echo, "X-Papayabend-Instance-Id": self.id})
        elif self.present >= self.slots + self.queue_size:
            answer = message("HTTP/1.1 503 Service Unavailable", {**echo, "X-Papayabend-Not-Executed": "1"})
            bed.record("server %s connection %d rejects %s" % (self.id, connection["number"], request["id"]))
            request["rejected"] = True
        else:
            self.present += 1
            try:
                async with self.free:
                    bed.ran(self, request)
                    await asyncio.sleep(self.work_time(request))
                    bed.ended(self, request)
            finally:
                self.present -= 1
            proof = "%s.%s.%s" % (request["id"], self.service, self.id)
            answer = message("HTTP/1.1 200 OK", {**echo, "X-Papayabend-Server-Stamp": proof}, proof.encode())
        if not await self.before_answer(request, connection):
            return
        writer.write(answer)
        await writer.drain()
        await self.after_answer(request, connection, answer)


class Gateway:
    """A process of the project, with the settings that the platform's template gives."""

    def __init__(self, bed, index, zone):
        self.bed, self.index, self.zone = bed, index, zone
        self.ip = "127.%d.%d.%d" % (20 + os.getpid() // 250 % 200, os.getpid() % 250 + 1, index + 1)
        self.process = None

    async def start(self, grace=6):
        bed = self.bed
        if not bed.ports:
            bed.ports = dict(zip(("callers", "readiness", "entry", "peers", "metrics"), free_ports(self.ip, 5)))
        settings = {
            "host": {"name": "front-%s-%d" % (self.zone, self.index), "failureDomain": self.zone, "region": "r",
                     "cores": 0.25},
            "listen": {key: "%s:%d" % (self.ip, port) for key, port in bed.ports.items()},
            "peers": {"seeds": ["%s:%d" % (g.ip, bed.ports["peers"]) for g in bed.gateways[:3]]},
            "store": {"address": bed.store.address},
            "retryBudget": {"ratio": 0.2, "extra": 56, "windowSeconds": 10},
            "stop": {"graceSeconds": grace}}
        path = os.path.join(bed.folder, "front-%d.json" % self.index)
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(os.path.join(bed.folder, "front-%d.log" % self.index), "ab")
        self.process = await asyncio.create_subprocess_exec(GATEWAY, "--settings", path, stdout=log, stderr=log, cwd=ROOT)
        log.close()
        bed.record("gateway %s starts" % self.ip)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.bed.ports["readiness"])
            writer.write(message("GET /ready HTTP/1.1", {"Host": "ready"}))
            first, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return first.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Connection:
    """A client's connection to a gateway, kept for many requests."""

    def __init__(self, bed, gateway):
        self.bed, self.gateway = bed, gateway
        self.reader = self.writer = None
        self.answered = 0

    async def send(self, request_id, target, limit_ms=6000):
        """Returns the status, "cut" if the gateway closed the connection instead, or None if there was no answer."""
        bed = self.bed
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(self.gateway.ip, bed.ports["callers"])
                self.answered = 0
        except OSError:
            bed.record("client cannot connect to %s" % self.gateway.ip)
            return None
        bed.record("client sends %s GET %s to %s, request %d on its connection" % (
            request_id, target, self.gateway.ip, self.answered + 1))
        self.writer.write(message("GET %s HTTP/1.1" % target, {
            "Host": "bed.example", "X-Papayabend-Request-Id": request_id, "X-Papayabend-Deadline-Ms": str(limit_ms)}))
        try:
            first, headers, _ = await asyncio.wait_for(read_message(self.reader), limit_ms / 1000 + 0.5)
        except (asyncio.IncompleteReadError, OSError):
            bed.record("client finds that %s has closed the connection without an answer to %s" % (
                self.gateway.ip, request_id))
            self.close()
            return "cut"
        except asyncio.TimeoutError:
            bed.record("client gets no answer for %s" % request_id)
            self.close()
            return None
        self.answered += 1
        status = int(first.split(" ")[1])
        bed.record("client gets %d for %s" % (status, request_id))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None


class Bed:
    """What a script plays with: a store, servers, gateways, and the record of all that they saw."""

    def __init__(self, record):
        self.record = record
        self.numbers = itertools.count(1)
        self.store = Store(record)
        self.servers, self.gateways, self.ports = [], [], {}
        self.runs = collections.defaultdict(list)
        self.arrivals = collections.defaultdict(list)
        self.answers = {}

    def arrived(self, server, request):
        self.arrivals[request["id"]].append((self.record.now(), server.id))
        self.record("server %s gets %s, deadline %.0f ms" % (server.id, request["id"], request["deadline"] * 1000))

    def ran(self, server, request):
        self.runs[request["id"]].append((self.record.now(), server.id))
        self.record("server %s runs %s" % (server.id, request["id"]))

    def ended(self, server, request):
        self.record("server %s has run %s" % (server.id, request["id"]))

    async def configure(self, version, routes, services):
        self.store.put("op/config", {
            "version": version, "routes": routes,
            "services": [{"name": name, "health-path": "/health", "max-connections": count, "protocol": "h1", "tls": False}
                         for name, count in services.items()],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}})
        self.record("configuration %d" % version)

    async def start(self, gateways):
        if not os.access(GATEWAY, os.X_OK):
            raise CannotRun("the gateway has not been built")
        self.gateways = [Gateway(self, n, zone) for n, zone in enumerate(gateways)]
        for server in self.servers:
            await server.start()
        for gateway in self.gateways:
            await gateway.start()
        for _ in range(100):
            if all([await gateway.is_ready() for gateway in self.gateways]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the gateways did not become ready")

    async def send(self, gateway, request_id, target, method="GET", body=b"", limit_ms=6000):
        """Sends a request on a new connection; returns the status, or None if there was no complete answer."""
        self.record("client sends %s %s %s to %s" % (request_id, method, target, gateway.ip))
        status = None
        try:
            reader, writer = await asyncio.open_connection(gateway.ip, self.ports["callers"])
            writer.write(message("%s %s HTTP/1.1" % (method, target), {
                "Host": "bed.example", "X-Papayabend-Request-Id": request_id,
                "X-Papayabend-Deadline-Ms": str(limit_ms)}, body))
            first, headers, content = await asyncio.wait_for(read_message(reader), limit_ms / 1000 + 0.5)
            status = int(first.split(" ")[1])
            self.record("client gets %s for %s, stamp %s, %d bytes" % (
                status, request_id, headers.get("x-papayabend-server-stamp"), len(content)))
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record("client gets no answer for %s: %s" % (request_id, type(error).__name__))
        self.answers[request_id] = status
        return status

    async def end(self):
        for gateway in self.gateways:
            if gateway.process and gateway.process.returncode is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                await gateway.process.wait()

    def check_alive(self):
        for gateway in self.gateways:
            if gateway.process.returncode is not None:
                raise CannotRun("gateway %s has ended with %s" % (gateway.ip, gateway.process.returncode))


def run(case, folder):
    """Plays case(bed, trouble), which returns the list of what broke the rule, and ends the process with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record("disruption: %s" % ("on" if trouble else "off"))

    async def play():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        bed = Bed(record)
        await bed.store.start()
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            bed.folder = temporary
            try:
                return await asyncio.wait_for(case(bed, trouble), 110)
            finally:
                await bed.end()

    try:
        broken = asyncio.run(play())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record("the case could not run: %r" % error)
        record.close()
        print("the case could not run: %r" % error)
        sys.exit(EXIT_NOT_RUN)
    for text in broken:
        record("BROKEN " + text)
        print("BROKEN " + text)
    record("result: %s" % ("broken" if broken else "held"))
    record.close()
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
