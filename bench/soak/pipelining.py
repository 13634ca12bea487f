"""Pipelining callers that are slow, and planned work around them."""

import asyncio
import collections
import signal
import socket
import time

from callers import CONNECT_TIMEOUT, Caller
from faults import after_pause, evacuate, move_route, some_instance, \
    terminate, withdraw_key
from targets import body_for
from wire import ConnectionFailed, message, read_message

DEADLINES = (3.0, 7.0)
IDLE_LIMIT = 15.0         # idle time-out in the configuration of the soak
LARGE_BODY = 90000
RECEIVE_BUFFER = 8192     # small, so that slow readers delay the writer
APPLY_LIMIT = 2.0
GRACE = 6.0
UNREAD_SLACK = 0.2        # a request may cross the end of its connection
ROUTE_TIMEOUT = 8.0


class Connection:
    """A connection on which a failure to send does not discard what has
    arrived, unlike the streams of asyncio."""

    def __init__(self, connected):
        self.socket, self.received = connected, b""
        self.loop = asyncio.get_running_loop()

    async def send(self, data):
        await self.loop.sock_sendall(self.socket, data)

    async def receive(self):
        data = await self.loop.sock_recv(self.socket, 8192)
        self.received += data
        return data

    async def readuntil(self, end):
        while end not in self.received:
            if not await self.receive():
                raise ConnectionFailed(
                    "ended within a head" if self.received else "ended")
        return await self.read(self.received.index(end) + len(end))

    async def read(self, limit):
        if not self.received:
            await self.receive()
        data, self.received = self.received[:limit], self.received[limit:]
        return data

    def close(self):
        self.socket.close()


class PipeliningCaller(Caller):
    """Sends while earlier requests are unanswered, until the connection ends."""

    async def run(self):
        while self.soak.calling:
            if not await self.connect():
                await asyncio.sleep(0.1)
                continue
            self.unanswered = collections.deque()
            self.ended = False
            self.depth = self.random.randint(2, 8)
            reading = asyncio.ensure_future(self.read_responses())
            try:
                await self.send_requests()
            except (OSError, ConnectionError):
                pass
            if self.ended or not self.soak.calling:
                reading.cancel()
            await asyncio.wait([reading])
            self.close()

    async def connect(self):
        self.slow_reader = self.random.random() < 0.3
        self.instance = self.random.choice(self.soak.instances)
        if not self.instance.ready:
            return False
        connected = socket.socket()
        connected.setblocking(False)
        if self.slow_reader:
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                 RECEIVE_BUFFER)
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(
                connected, ("127.0.0.1", self.instance.port)), CONNECT_TIMEOUT)
        except (OSError, asyncio.TimeoutError):
            connected.close()
            return False
        self.reader = self.writer = Connection(connected)
        return True

    async def send_requests(self):
        polls = self.random.random() < 0.15
        while self.soak.calling and not self.ended:
            if polls and not self.unanswered:
                # Just below the idle limit, or much below it.
                await self.pause(self.random.choice((1.0, IDLE_LIMIT - 0.1)))
            else:
                await self.pause(self.random.expovariate(20))
            if self.ended:
                return
            if len(self.unanswered) < (1 if polls else self.depth):
                await self.send_request()
        # Ends its connection only after the last response.
        while self.unanswered and not self.ended:
            await asyncio.sleep(0.02)
        self.ended = True

    async def pause(self, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until and not self.ended and \
                self.soak.calling:
            await asyncio.sleep(min(0.05, max(0, until - time.monotonic())))

    async def send_request(self):
        random = self.random
        attempt = self.attempt()
        attempt.shape = random.choice(("plain",) * 6 + ("large", "open"))
        attempt.work = random.uniform(0.3, 3) if random.random() < 0.06 else 0.0
        if attempt.route == "unsafe" and random.random() < 0.3:
            attempt.body = b"x" * random.randint(LARGE_BODY // 2, LARGE_BODY)
        attempt.deadline = random.choice(DEADLINES)
        attempt.behind = bool(self.unanswered)
        attempt.sent_at, attempt.last_byte_at = time.monotonic(), None
        fields = {"Host": "h", "Attempt-Id": attempt.id,
                  "Deadline-Ms": int(attempt.deadline * 1000),
                  "Api-Key": attempt.secret}
        if attempt.key is not None:
            fields["Shard-Key"] = attempt.key
        method = "POST" if attempt.route == "unsafe" else "GET"
        data = message(f"{method} {attempt.path} HTTP/1.1", fields,
                       attempt.body)
        self.unanswered.append(attempt)
        pieces = random.randint(2, 5) if random.random() < 0.2 else 1
        size = -(-len(data) // pieces)
        for start in range(0, len(data), size):
            if start:
                await asyncio.sleep(random.uniform(0.05, 0.3))
            if self.ended:
                return
            await self.writer.send(data[start:start + size])
        attempt.last_byte_at = time.monotonic()

    async def read_responses(self):
        try:
            while True:
                status, fields, body = await self.read_response()
                attempt = self.unanswered.popleft()
                self.soak.invariants.on_response(
                    attempt, status, fields, body,
                    fields.get("response-signature"),
                    body_for(attempt.id) * attempt.repeats())
                self.soak.deadly.check_refusal(attempt,
                                               fields.get("btr-refusal"))
                if "response-signature" not in fields:
                    self.check(attempt, f"answered {status} "
                               f"{fields.get('btr-refusal')}", True)
        except (ConnectionFailed, OSError, IndexError) as failure:
            self.on_ended(failure)

    async def read_response(self):
        first, fields, body = await read_message(self.reader, False)
        if body is None:
            pieces, left = [], int(fields.get("content-length", -1))
            while left:
                if self.slow_reader:
                    await asyncio.sleep(0.05)
                piece = await self.reader.read(
                    8192 if left < 0 else min(left, 8192))
                if not piece:
                    if left < 0:
                        break
                    raise ConnectionFailed("ended within a response")
                left -= len(piece) if left > 0 else 0
                pieces.append(piece)
            body = b"".join(pieces)
        return int(first.split(" ")[1]), fields, body

    def on_ended(self, failure):
        self.ended = True
        for attempt in self.unanswered:
            invariants = self.soak.invariants
            invariants.failed += 1
            invariants.reasons["ended"] = invariants.reasons.get("ended", 0) + 1
            self.check(attempt, f"connection ended: {failure!r}", False)

    def check(self, attempt, end, answered):
        """Reports a request that planned work has lost."""
        now, instance = time.monotonic(), self.instance
        if attempt.last_byte_at is None or \
                now >= attempt.sent_at + min(attempt.deadline, ROUTE_TIMEOUT):
            return
        at_work = attempt.runs and attempt.completed is None
        if answered and not at_work:
            return
        stops = [at for at in instance.stops if at <= now <= at + GRACE + 1]
        reloads = [at for at in instance.reloads if at <= now and
                   attempt.sent_at <= at + APPLY_LIMIT]
        changes = [at for at in self.soak.invariants.configured_at.values()
                   if at <= now <= at + APPLY_LIMIT + 1]
        if answered and not stops:
            return
        if not attempt.runs and (attempt.behind or now <= attempt.last_byte_at
                                 + UNREAD_SLACK
                                 or not (stops or reloads or changes)):
            return
        if at_work and any(attempt.sent_at <= at + GRACE / 2 and
                           now >= at + GRACE * 5 / 6 for at in stops):
            return
        at = f", {now - stops[-1]:.2f} s after SIGTERM" if stops else ""
        self.soak.invariants.report(
            "lost", f"{attempt.id} {attempt.route} {attempt.shape} at "
            f"{instance.name}: {end}{at}, {now - attempt.last_byte_at:.2f} s "
            f"after its last byte; runs {attempt.runs}, behind "
            f"{attempt.behind}, reloads {len(reloads)}, changes "
            f"{len(changes)}")


async def reload_repeatedly(soak):
    instance = some_instance(soak)
    for _ in range(soak.random.randint(1, 4)):
        instance.signal(signal.SIGHUP)
        await asyncio.sleep(soak.random.uniform(0, 0.6))


PLANNED_STEPS = (terminate, terminate, reload_repeatedly, reload_repeatedly,
                 move_route, withdraw_key, evacuate)


async def planned(soak):
    """A series of stops, reloads and changes that overlap."""
    steps = [soak.random.choice(PLANNED_STEPS)
             for _ in range(soak.random.randint(2, 5))]
    await asyncio.gather(*[after_pause(soak, each, 2) for each in steps])


PLANNED = ("planned", planned)
