"""Stand-in for a backend: registers itself, runs requests, holds no keys."""

import asyncio
import hashlib
import time

from messages import MessageError, read_message, response

HEARTBEAT = 0.87  # seconds
SLOTS = 4
QUEUE = 16
LARGEST_REQUEST = 1 << 27


def body_for(attempt):
    return f"result of {attempt}".encode()


class Backend:
    """Runs requests for `work` seconds each. `on_run` is told of each run, and
    `outcome` returns the status of the answer and its further fields."""

    def __init__(self, store, identity, service, zone, address, port,
                 work=0.05):
        self.store, self.id, self.service = store, identity, service
        self.zone, self.address, self.port = zone, address, port
        self.work = work
        self.started_ms = int(time.time() * 1000)
        self.sequence = 0
        self.running = self.waiting = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.on_run = lambda backend, fields, path, body: None
        self.outcome = lambda backend, fields: (200, {})

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.address, self.port, limit=1 << 17, backlog=512)
        self.task = asyncio.ensure_future(self.heartbeat())

    async def heartbeat(self):
        while True:
            self.sequence += 1
            self.store.put("servers", self.id, {
                "service": self.service, "zone": self.zone,
                "address": f"{self.address}:{self.port}", "version": "v1",
                "slots": SLOTS, "state": "ready", "warmup_left_s": 0,
                "seq": 1, "born": self.started_ms})
            await asyncio.sleep(HEARTBEAT)

    def load(self):
        return f"{self.running},{self.waiting},{SLOTS},100"

    def rejected(self, status, attempt):
        return response(status, {"Attempt-Id": attempt, "Not-Executed": "1",
                                 "Instance-Id": self.id,
                                 "Backend-Load": self.load()})

    async def serve(self, reader, writer):
        try:
            while True:
                first, fields, body = await read_message(reader)
                _, path, _ = first.split(" ")
                writer.write(await self.answer(fields, path, body))
                await writer.drain()
        except (MessageError, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, fields, path, body):
        attempt = fields.get("attempt-id", "")
        if path == "/health":
            return response(200, {"Instance-Id": self.id,
                                  "Backend-Load": self.load()})
        if fields.get("expect-instance", self.id) != self.id:
            return self.rejected(421, attempt)
        if self.waiting >= QUEUE:
            return self.rejected(503, attempt)
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            try:
                self.on_run(self, fields, path, body)
                await asyncio.sleep(self.work)
            finally:
                self.running -= 1
        status, further = self.outcome(self, fields)
        stamp = hashlib.sha256(f"{self.id}/{attempt}".encode()).hexdigest()
        return response(status, {"Attempt-Id": attempt,
                                 "Response-Signature": stamp[:16],
                                 "Backend-Load": self.load(), **further},
                        body_for(attempt))
