"""Stand-ins for the soak: the store, upstreams and a proxy, in one asyncio loop."""

import asyncio
import base64
import collections
import json
import urllib.parse

# Work of an upstream on a request that takes long, in seconds.
LONG_WORK = 0.4


async def read_message(reader):
    """Returns (first line, headers, body) of an HTTP message with a length, or None at the end of the stream."""
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


def wrong_answer(answer, random):
    """Returns bytes that are no proper answer: odd lengths, numbers and framings, or noise."""
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
    length = random.choice([b"300000000000000", b"4000000000000000000", b"18446744073709551615", b"16777000", b"-1"])
    size = random.choice([b"110d9316ec000", b"ffffffffffffffff", b"-1", b"xyz"])
    return random.choice([
        b"\r\n".join(lines + [b"Content-Length: " + length, b"", body]),
        b"\r\n".join(lines + [b"Content-Length: " + length, b"", body]),
        b"\r\n".join(lines + [b"Transfer-Encoding: chunked", b"", size, body]),
        b"\r\n".join(lines + [b"Keep-Alive: timeout=18446744073709551615", b"Retry-After: 1e999",
                              b"Content-Length: %d" % len(body), b"", body]),
        b"\r\n".join(lines + [b"X-Long: "]) + b"a" * 100000,
        bytes(random.randrange(256) for _ in range(200)),
    ])


class Store:
    """The configuration store: keys with revisions, lists, watches, lost history, and the return from an older copy."""

    def __init__(self):
        self.era = 1
        self.is_down = False
        self.calls = 0
        self.writers = set()
        self.items = {}
        self.revision = 1
        self.history = []
        self.changed = asyncio.Event()
        self.acknowledged = {}
        self.written = []

    def put(self, key, value):
        self.revision += 1
        self.written.append((key, value))
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "tombstone": True}
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            event = {"key": key, "value": text, "revision": self.revision, "created-rev": self.revision, "lease": 0}
            self.items[key] = event
        self.history.append(event)
        self.acknowledged[self.revision] = asyncio.get_running_loop().time()
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def compact(self):
        self.history = self.history[-1:]

    def copy(self):
        return dict(self.items), self.revision, list(self.history), len(self.written)

    def stop(self):
        self.is_down = True
        for writer in list(self.writers):
            writer.transport.abort()

    def restore(self, copy):
        """Returns from a copy: what was written since is gone, and its revisions are given out again. Returns the newest
        value of each key that was written since."""
        self.items, self.revision, self.history = dict(copy[0]), copy[1], list(copy[2])
        self.era += 1
        self.is_down = False
        return dict(self.written[copy[3]:])

    def first_known(self):
        return self.history[0]["revision"] if self.history else self.revision + 1

    async def answer(self, target):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            page = keys[:20]
            return 200, {"items": [self.items[k] for k in page], "has-more": len(keys) > 20, "as-of": self.revision}
        after = int(query["after"])
        if after > self.revision:
            return 410, {}
        if after + 1 < self.first_known() and after < self.revision:
            return 410, {}
        if after >= self.revision:
            try:
                await asyncio.wait_for(self.changed.wait(), int(query["wait-ms"]) / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"events": [e for e in self.history if e["revision"] > after], "as-of": self.revision}

    async def serve(self, reader, writer):
        if self.is_down:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                first, _, _ = await read_message(reader)
                self.calls += 1
                status, body = await self.answer(first.split(" ")[1])
                writer.write(message("HTTP/1.1 %d X" % status, {"Content-Type": "application/json",
                                                                "Store-Era": str(self.era)},
                                     json.dumps(body).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Upstream:
    """A server: runs requests in two slots, signs its answers, records all that it ran."""

    def __init__(self, world, service, uid):
        self.world, self.service, self.uid = world, service, uid
        self.slots = asyncio.Semaphore(2)
        self.queue = 0
        self.work = 0.01
        self.lose = 0.0
        self.extra = 0.0
        self.spoil = 0.0
        self.reject = 0.0
        self.repeat = 0.0
        self.draining_since = None
        self.limit = None
        self.arrived_at = collections.deque()
        self.limited_since = 0.0
        self.pauses_until = 0.0
        self.cold_since = -1000.0
        self.cold_arrivals = collections.deque()
        self.is_down = False
        self.writers = set()

    def records(self, request_id):
        """Sixteen-byte records that follow from the request and the service, in no order."""
        seed = ("%s/%s" % (request_id, self.service)).encode()
        return [bytes((seed[(i * 7 + j) % len(seed)] * (i + 3) + j * 31) % 256 for j in range(16)) for i in range(4)]

    async def answer(self, first, headers):
        rid = headers.get("x-papayabend-request-id", "")
        method, target, _ = first.split(" ")
        echo = {"X-Papayabend-Request-Id": rid}
        if self.draining_since:
            echo["Server-Leaving"] = "1"
        if self.limit:
            echo["Server-Limit"] = "%g" % self.limit
        self.world.arrived(self, rid)
        if headers.get("x-papayabend-expect-instance") not in (None, self.uid):
            return message("HTTP/1.1 421 X", {**echo, "X-Papayabend-Instance-Id": self.uid})
        self.world.accepted(self, rid)
        pause = self.pauses_until - asyncio.get_running_loop().time()
        if self.reject and self.world.random.random() < self.reject:
            return message("HTTP/1.1 503 X", {**echo, "X-Papayabend-Not-Executed": "1"})
        if self.queue >= 12 or pause > 0:
            return message("HTTP/1.1 503 X", {**echo, "X-Papayabend-Not-Executed": "1",
                                             "Retry-After": "%.3f" % max(pause, 0.1)})
        self.queue += 1
        try:
            async with self.slots:
                self.world.ran(self, rid, method, target)
                work = LONG_WORK if "/long/" in target else self.work
                await asyncio.sleep(work * (0.5 + self.world.random.random()))
                if "/crashing" in target:
                    self.world.tasks.append(asyncio.ensure_future(self.world.crash(self, target)))
                    raise ConnectionError("the process has ended")
        finally:
            self.queue -= 1
        proof = "%s.%s.%s" % (rid, self.service, self.uid)
        return message("HTTP/1.1 200 OK", {**echo, "X-Papayabend-Server-Stamp": proof, "Keep-Alive": "timeout=8"},
                       b"".join(self.records(rid)))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        repeated = None
        try:
            while True:
                first, headers, _ = await read_message(reader)
                if repeated:
                    writer.write(repeated)
                    repeated = None
                answer = await self.answer(first, headers)
                chance = self.world.random.random()
                if chance < self.lose:
                    writer.transport.abort()
                    return
                if self.spoil and self.world.random.random() < self.spoil:
                    writer.write(wrong_answer(answer, self.world.random))
                    await writer.drain()
                    continue
                writer.write(answer)
                await writer.drain()
                if self.repeat and self.world.random.random() < self.repeat:
                    repeated = answer
                if chance > 1 - self.extra:
                    # The later it comes, the likelier the next request is waiting.
                    await asyncio.sleep(self.world.random.uniform(0, 0.04))
                    writer.write(message("HTTP/1.1 200 OK", {"X-Papayabend-Request-Id": "other",
                                                            "X-Papayabend-Server-Stamp": "other.desk.x"}, b"not yours"))
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def end(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Proxy:
    """Passes connections on; can delay them, reset them, or keep silent in one or both directions."""

    def __init__(self, connect):
        self.connect = connect
        self.delay = 0.0
        self.silent = set()
        self.refuses = False
        self.pairs = set()
        self.server = None

    async def listen(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await self.connect()
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        try:
            await asyncio.gather(self.pump("to", reader, far_writer), self.pump("from", far_reader, writer))
        except ConnectionError:
            pass
        finally:
            self.pairs.discard(pair)
            writer.close()
            far_writer.close()

    async def pump(self, direction, reader, writer):
        while True:
            data = await reader.read(65536)
            while direction in self.silent:
                await asyncio.sleep(0.05)
            if self.delay:
                await asyncio.sleep(self.delay)
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()

    def reset(self, share, random):
        for pair in list(self.pairs):
            if random.random() < share:
                for writer in pair:
                    writer.transport.abort()

    def close(self):
        if self.server:
            self.server.close()
        self.reset(1.1, __import__("random").Random(0))
