"""Stand-in targets, which run requests and hold leases on ranges of keys."""

import asyncio
import hashlib
import json
import time

from proxy import Proxy
from wire import ConnectionFailed, json_response, read_message, reset, response

HEARTBEAT = 0.5
SLOTS = 4
QUEUE = 16
CLOCK_SLOWDOWN = 1.02  # holds last longer by this factor on a slow clock


def signature(target, attempt):
    return hashlib.sha256(f"{target}/{attempt}".encode()).hexdigest()[:16]


def body_for(attempt):
    return (f"result of {attempt} " * 8).encode()


class Target:
    """One incarnation of a target; a restart creates a new object."""

    def __init__(self, soak, identity, service, data_centre, service_time,
                 version):
        self.soak, self.id, self.service = soak, identity, service
        self.version = version
        self.data_centre, self.service_time = data_centre, service_time
        self.started_ms = int(time.time() * 1000)
        self.sequence = 0
        self.grants = []  # [from, to, fence, since, until]
        self.highest_fences = {}  # (from, to) -> fence
        self.running = self.waiting = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.up, self.draining, self.registered = True, False, True
        self.error_share = self.response_loss = self.duplicate_share = 0.0
        self.slowdown = 1.0
        self.hides_leaving = False  # its record does not say that it leaves
        self.pause_until = 0.0      # it turns requests away until then
        self.writers = set()

    async def start(self):
        port, proxy_port = self.soak.ports(2)
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port)
        self.proxy = Proxy(proxy_port, port)
        await self.proxy.start()
        self.task = asyncio.ensure_future(self.heartbeat())
        self.register()

    # Registration.

    def register(self):
        self.sequence += 1
        self.soak.store.put("servers", self.id, {
            "service": self.service, "zone": self.data_centre,
            "address": f"127.0.0.1:{self.proxy.port}", "version": self.version,
            "slots": SLOTS, "state": "draining" if self.draining
            and not self.hides_leaving else "ready",
            "warmup_left_s": 0, "seq": self.sequence, "born": self.started_ms})

    def recorded_sequence(self):
        record = self.soak.store.objects.get(("servers", self.id))
        return record and record["spec"]["born"] == self.started_ms and \
            record["spec"]["seq"]

    async def heartbeat(self):
        while self.up:
            # Registers again when the store has lost the latest record.
            if self.registered and self.soak.store.available() and \
                    self.recorded_sequence() != self.sequence:
                self.register()
            await asyncio.sleep(HEARTBEAT)

    def drain(self):
        self.draining = True
        self.register()
        self.soak.invariants.drained_at[self] = time.monotonic()

    def announce_leaving(self):
        """Says in its responses that it leaves; its record stays as it is."""
        self.draining = self.hides_leaving = True

    def leave(self):
        """Removes the record; the target still serves until stop()."""
        self.registered, self.draining = False, True
        self.soak.store.remove("servers", self.id)
        self.soak.invariants.drained_at.setdefault(self, time.monotonic())

    def stop(self):
        self.up = False
        self.server.close()
        self.proxy.server.close()
        self.proxy.reset_all()
        for writer in list(self.writers):
            reset(writer)

    # Key ranges.

    def holds(self, key):
        now = time.monotonic()
        return any(low <= key <= high and now < until
                   for low, high, _, _, until in self.grants)

    def owned_since(self, key):
        return max((since for low, high, _, since, _ in self.grants
                    if low <= key <= high), default=0)

    def has_higher_fence(self, low, high, fence):
        return any(first <= high and last >= low and recorded > fence
                   for (first, last), recorded in self.highest_fences.items())

    def grant(self, order):
        low, high, fence = order["from"], order["to"], order["fence"]
        if self.has_higher_fence(low, high, fence):
            return json_response(409, {})
        now = time.monotonic()
        since = next((g[3] for g in self.grants if g[:3] == [low, high, fence]
                      and now < g[4]), now)
        self.withdraw(low, high)
        self.grants.append([low, high, fence, since,
                            now + order["hold_s"] * CLOCK_SLOWDOWN])
        self.highest_fences[low, high] = fence
        self.soak.invariants.on_grant(self, low, high, fence)
        return response(200, self.notice())

    def withdraw(self, low, high):
        kept = []
        for grant in self.grants:
            first, last = grant[:2]
            if last < low or first > high:
                kept.append(grant)
                continue
            if first < low:
                kept.append([first, low - 1, *grant[2:]])
            if last > high:
                kept.append([high + 1, last, *grant[2:]])
        self.grants = kept

    async def release(self, order):
        self.withdraw(order["from"], order["to"])
        while self.running:
            await asyncio.sleep(0.01)
        return response(200, {"Handover": f"state-{self.id}-{order['fence']}",
                              **self.notice()})

    # HTTP interface.

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.up:
                first, fields, body = await read_message(reader)
                method, path, _ = first.split(" ")
                if path == "/v1/grant":
                    writer.write(self.grant(json.loads(body)))
                elif path == "/v1/release":
                    writer.write(await self.release(json.loads(body)))
                elif not await self.run(writer, fields, path, body):
                    return reset(writer)
                await writer.drain()
        except (ConnectionFailed, ConnectionError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def load(self):
        return (f"{self.running},{self.waiting},{SLOTS},"
                f"{int(self.slowdown * 100)}")

    def notice(self):
        return {"Server-Leaving": "1"} if self.draining else {}

    def rejected(self, status, attempt, fields=None):
        return response(status, {"Attempt-Id": attempt, "Not-Executed": "1",
                                 "Backend-Load": self.load(), **self.notice(),
                                 **(fields or {})})

    def turn_away(self, attempt):
        """Rejects a request and asks for a pause."""
        rest = self.pause_until - time.monotonic()
        self.soak.notices.on_rejection(self, attempt, self.pause_until)
        return self.rejected(503, attempt, {"Retry-After": f"{rest:.3f}"})

    async def run(self, writer, fields, path, body):
        """Runs one request. Returns False if the connection must be reset."""
        attempt = fields.get("attempt-id", "")
        key = fields.get("shard-key")
        misdirected = fields.get("expect-instance", self.id) != self.id or (
            key is not None and not self.holds(int(key)))
        if not misdirected:
            self.soak.notices.on_arrival(self, attempt)
            self.soak.rollouts.on_arrival(self, attempt)
            if time.monotonic() < self.pause_until:
                writer.write(self.turn_away(attempt))
                return True
        if misdirected or self.waiting >= QUEUE:
            writer.write(self.rejected(421 if misdirected else 503, attempt))
            return True
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            if key is not None and not self.holds(int(key)):
                writer.write(self.rejected(421, attempt))
                return True
            self.running += 1
            try:
                return await self.execute(writer, fields, path, body, attempt)
            finally:
                self.running -= 1

    async def execute(self, writer, fields, path, body, attempt):
        self.soak.invariants.on_run(self, fields, path, body)
        record = self.soak.invariants.attempts.get(attempt)
        if self.soak.deadly.on_run(self, path, record):
            return False
        random = self.soak.random
        await asyncio.sleep(self.service_time * self.slowdown
                            * random.uniform(0.6, 1.4)
                            + (record.work if record else 0.0))
        if not self.up or random.random() < self.response_loss:
            return False
        failed = random.random() < self.error_share
        head = {"Attempt-Id": attempt, "Backend-Load": self.load(),
                "Response-Signature": signature(self.id, attempt),
                **self.notice()}
        if self.draining:
            self.soak.notices.on_leaving_response(self, attempt)
        writer.write(self.response_to(record, 500 if failed else 200, head,
                                      body_for(attempt)))
        self.soak.rollouts.on_response(self, failed)
        if record and not failed:
            record.completed = time.monotonic()
        if random.random() < self.duplicate_share:
            writer.write(response(200, head, b"once more"))
        if record and record.shape == "open":
            await writer.drain()
            writer.write_eof()
        return True

    def response_to(self, record, status, fields, body):
        """The response in the form that the request asks for."""
        if record is None:
            return response(status, fields, body)
        body *= record.repeats()
        if record.shape == "open":
            return response(status, fields, body).replace(
                f"Content-Length: {len(body)}\r\n".encode(), b"", 1)
        return response(status, fields, body)
