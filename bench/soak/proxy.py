"""A loopback TCP proxy that injects faults between two programs."""

import asyncio
import time

from wire import reset

CHUNK = 65536


class Proxy:
    """Forwards connections to upstream_port, unless a fault is set.

    refuse: new connections are reset.  drop_requests, drop_responses: bytes to
    or from the upstream are discarded, on open and new connections.  delay:
    seconds by which each chunk of data is delayed.  rate: bytes a second from
    the upstream, over all connections.
    """

    def __init__(self, port, upstream_port):
        self.port, self.upstream_port = port, upstream_port
        self.refuse = self.drop_requests = self.drop_responses = False
        self.delay = self.rate = self.link_free_at = 0.0
        self.pairs = set()
        self.blackholed = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        if self.refuse:
            return reset(writer)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                "127.0.0.1", self.upstream_port)
        except OSError:
            return reset(writer)
        pair = (writer, upstream_writer)
        self.pairs.add(pair)
        await asyncio.gather(
            self.relay(pair, reader, upstream_writer, "drop_requests"),
            self.relay(pair, upstream_reader, writer, "drop_responses"))
        self.pairs.discard(pair)
        self.blackholed.discard(pair)

    async def relay(self, pair, reader, writer, drop):
        try:
            while data := await reader.read(CHUNK):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if self.rate and drop == "drop_responses":
                    await self.transfer(len(data))
                if getattr(self, drop) or pair in self.blackholed:
                    continue
                writer.write(data)
                await writer.drain()
            # While data is dropped, the end of the stream is withheld as well.
            while getattr(self, drop) or pair in self.blackholed:
                await asyncio.sleep(0.2)
            writer.close()
        except (ConnectionError, OSError):
            for each in pair:
                reset(each)

    async def transfer(self, size):
        now = time.monotonic()
        self.link_free_at = max(self.link_free_at, now) + size / self.rate
        await asyncio.sleep(self.link_free_at - now)

    def reset_all(self):
        for pair in list(self.pairs):
            for writer in pair:
                reset(writer)

    def blackhole_open(self):
        """Drops all data on the open connections; new connections work."""
        self.blackholed |= self.pairs

    def clear_faults(self):
        self.refuse = self.drop_requests = self.drop_responses = False
        self.delay = 0.0
