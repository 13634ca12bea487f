"""Clients that nobody controls: each sends a request with a body of legal size
and stops short of its end, or ends it, and stays open."""

import asyncio
import random

from deployment import (ADDRESS, HOST, KEY, MAX_HEADER_BYTES, SAFE_PATH,
                        UNSAFE_PATH, call, request)
from messages import message

CONNECTIONS_AT_ONCE = 100
RETURN_AFTER = 0.1  # seconds


class Crowd:
    """`missing`: bytes of each body that are not sent. A client whose
    connection ends without an answer comes back."""

    def __init__(self, port, clients, body_bytes, missing, fields=None):
        self.port, self.clients, self.fields = port, clients, fields or {}
        self.body_bytes, self.missing = body_bytes, missing
        self.opened = self.ended = 0
        self.statuses = {}
        self.head_bytes = 0
        self.tasks = []

    def text(self, number):
        text = message(f"POST {UNSAFE_PATH}upload HTTP/1.1", {
            "Host": HOST, "Attempt-Id": f"crowd-{number}",
            "Deadline-Ms": "30000", "Api-Key": KEY, **self.fields},
            b"b" * self.body_bytes)
        self.head_bytes = text.index(b"\r\n\r\n") + 4
        assert self.head_bytes <= MAX_HEADER_BYTES
        return text[:len(text) - self.missing]

    async def client(self, number):
        while not await self.stay(number):
            await asyncio.sleep(RETURN_AFTER)

    async def stay(self, number):
        """Sends the request on a new connection and keeps it until it ends.
        Returns whether there was an answer."""
        writer, answered = None, False
        try:
            reader, writer = await asyncio.open_connection(ADDRESS, self.port)
            self.opened += 1
            writer.write(self.text(number))
            await writer.drain()
            while answer := await reader.read(4096):
                answered = True
                status = answer[9:12].decode("latin-1")
                self.statuses[status] = self.statuses.get(status, 0) + 1
        except OSError:
            pass
        finally:
            if writer:
                self.ended += 1
                writer.close()
        return answered

    async def start(self):
        for number in range(self.clients):
            self.tasks.append(asyncio.ensure_future(self.client(number)))
            if number % CONNECTIONS_AT_ONCE == CONNECTIONS_AT_ONCE - 1:
                await asyncio.sleep(0.1)

    def open(self):
        return self.opened - self.ended

    async def leave(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class OrdinaryClients:
    """Each sends a small request on a new connection again and again."""

    def __init__(self, port, count, pause):
        self.port, self.count, self.pause = port, count, pause
        self.tries = []  # (start, end, name, status), 0: no answer
        self.stopped = False

    async def client(self, number):
        loop = asyncio.get_running_loop()
        sent = 0
        await asyncio.sleep(random.random() * self.pause)
        while not self.stopped:
            sent += 1
            start = loop.time()
            status, _, _ = await call(self.port, request(
                "GET", SAFE_PATH + "board", f"ordinary-{number}-{sent}",
                "2500"), 2.5)
            self.tries.append((start, loop.time(), number, status))
            await asyncio.sleep(self.pause)

    def start(self):
        self.tasks = [asyncio.ensure_future(self.client(number))
                      for number in range(self.count)]

    async def stop(self):
        self.stopped = True
        await asyncio.gather(*self.tasks)
