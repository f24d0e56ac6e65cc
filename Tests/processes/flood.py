"""Clients that misbehave, for ClientFloodTest.py: many non-blocking connections that one loop drives."""

import errno
import selectors
import socket
import time

# A flood has ended when no client has got further for this long.
STALL_SECONDS = 0.4
# Pause between the bytes of clients that send or read slowly, and the number of these bytes.
SLOW_PAUSE_SECONDS = 0.02
SLOW_BYTES = 20
SEND_BYTES = 64 * 1024


class Client:
    """A connection that sends pieces and then stays open. It reads `reads` bytes, one at a time, and nothing else.
    `is_slow`: sends byte by byte; `is_paced`: piece by piece, each in a round of its own."""

    def __init__(self, address, pieces=(), reads=0, is_slow=False, is_paced=False, half_closes=False):
        self.pieces = iter(pieces)
        self.rest = memoryview(b"")
        self.reads = reads
        self.is_slow = is_slow
        self.is_paced = is_paced
        self.half_closes = half_closes
        self.is_closed = False
        self.has_sent_all = False
        self.sent = 0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # A small window, so that an unread response stays in the gateway instead of in the kernel.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.socket.setblocking(False)
        problem = self.socket.connect_ex(address)
        if problem not in (0, errno.EINPROGRESS):
            self.is_closed = True

    def write(self):
        """Sends what the kernel takes; returns whether anything was sent."""
        has_sent = False
        try:
            while not self.has_sent_all:
                if not self.rest:
                    piece = next(self.pieces, None)
                    if piece is None:
                        self.has_sent_all = True
                        if self.half_closes:
                            self.socket.shutdown(socket.SHUT_WR)
                        break
                    self.rest = memoryview(piece)
                n = self.socket.send(self.rest[:1] if self.is_slow else self.rest[:SEND_BYTES])
                self.rest = self.rest[n:]
                self.sent += n
                has_sent = True
                if self.is_slow or (self.is_paced and not self.rest):
                    break
        except BlockingIOError:
            pass
        except OSError:
            self.is_closed = True
        return has_sent

    def read_byte(self):
        if self.reads <= 0 or self.is_closed:
            return
        try:
            if self.socket.recv(1):
                self.reads -= 1
        except BlockingIOError:
            pass
        except OSError:
            self.is_closed = True

    def close(self):
        self.socket.close()


def drive(clients, check):
    """Lets clients send until they have ended or get no further. `check` is called often and may raise."""
    selector = selectors.DefaultSelector()
    for client in clients:
        if not client.is_closed:
            selector.register(client.socket, selectors.EVENT_WRITE, client)
    last_progress = time.monotonic()
    slow_rounds = 0
    has_slow = any(client.is_slow or client.reads for client in clients)
    while selector.get_map() and time.monotonic() - last_progress < STALL_SECONDS:
        has_progress = False
        for key, _ in selector.select(0.05):
            client = key.data
            has_progress = client.write() or has_progress
            if client.is_closed or client.has_sent_all:
                selector.unregister(client.socket)
        check()
        if has_progress:
            last_progress = time.monotonic()
        if any(client.is_paced for client in clients):
            # So that the gateway reads each piece alone, and finds complete header lines in it.
            time.sleep(SLOW_PAUSE_SECONDS)
        if has_slow and any(client.is_slow for client in clients):
            slow_rounds += 1
            if slow_rounds > SLOW_BYTES:
                break
            time.sleep(SLOW_PAUSE_SECONDS)
    for _ in range(SLOW_BYTES if any(client.reads for client in clients) else 0):
        for client in clients:
            client.read_byte()
        check()
        time.sleep(SLOW_PAUSE_SECONDS)
    selector.close()
    check()


def head(target, *fields, method="POST", length=None):
    lines = ["%s %s HTTP/1.1" % (method, target), "Host: flood.example", *fields]
    lines.append("Transfer-Encoding: chunked" if length is None else "Content-Length: %d" % length)
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def many_fields(target, n, length):
    """A head of n fields of three bytes beside the necessary ones."""
    return head(target, *["a:b"] * n, length=length)
