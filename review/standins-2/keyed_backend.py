"""Stand-in for a backend of a service that is divided by key. It can crash and
start again under its id."""

import asyncio
import json
import time

from backend_standin import HEARTBEAT, Backend
from messages import MessageError, read_message, response


class KeyedBackend(Backend):
    """Holds keys by grants, and nothing of an earlier life. `on_grant` is told
    of each grant that a life has accepted. Its entry in the store is written
    every heartbeat, counted from its start."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.life = 0
        self.on_grant = lambda backend, order: None

    async def start(self):
        self.life += 1
        self.started_ms = int(time.time() * 1000)
        self.highest = []  # (from, to, fence) that this life has seen
        self.grants = []   # (from, to, until)
        self.writers = set()
        self.server = await asyncio.start_server(
            self.serve, self.address, self.port)
        self.task = asyncio.ensure_future(self.heartbeat())

    def crash(self):
        self.task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def heartbeat(self):
        while True:
            if self.life > 1:
                await asyncio.sleep(HEARTBEAT)
            self.sequence += 1
            self.store.put("servers", self.id, {
                "service": self.service, "zone": self.zone,
                "address": f"{self.address}:{self.port}", "version": "v1",
                "slots": 4, "state": "ready", "warmup_left_s": 0,
                "seq": self.life, "born": self.started_ms})
            if self.life == 1:
                await asyncio.sleep(HEARTBEAT)

    def grant(self, order):
        first, last, fence = order["from"], order["to"], order["fence"]
        if any(low <= last and high >= first and seen > fence
               for low, high, seen in self.highest):
            return response(409)
        self.highest.append((first, last, fence))
        self.release(order)
        self.grants.append((first, last, time.monotonic() + order["hold_s"]))
        self.on_grant(self, order)
        return response(200)

    def release(self, order):
        kept = []
        for low, high, until in self.grants:
            if low < order["from"]:
                kept.append((low, min(high, order["from"] - 1), until))
            if high > order["to"]:
                kept.append((max(low, order["to"] + 1), high, until))
        self.grants = kept
        return response(200, {"Handover": "0" * 16})

    def holds(self, key):
        return any(low <= key <= high and time.monotonic() < until
                   for low, high, until in self.grants)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields, body = await read_message(reader)
                _, path, _ = first.split(" ")
                misdirected = fields.get("expect-instance",
                                         self.id) != self.id
                if misdirected:
                    writer.write(self.rejected(421, ""))
                elif path == "/v1/grant":
                    writer.write(self.grant(json.loads(body)))
                elif path == "/v1/release":
                    writer.write(self.release(json.loads(body)))
                elif not self.holds(int(fields.get("shard-key", "-1"))):
                    writer.write(self.rejected(
                        421, fields.get("attempt-id", "")))
                else:
                    writer.write(await self.answer(fields, path, body))
                await writer.drain()
        except (MessageError, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
