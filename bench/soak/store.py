"""Stand-in for the platform's object store, with its documented faults."""

import asyncio
import collections
import json
import time
import urllib.parse

from wire import ConnectionFailed, json_response, read_message, reset

PREFIX = "/v1/objects/"
COPY_INTERVAL = 0.25  # seconds
COPIES = 48
RECORD_EXPIRY = 1.5  # a record is dropped after three missed heartbeats

Copy = collections.namedtuple("Copy", "time revision oldest objects log")


class Store:
    """Versioned objects in memory.

    mode: None, "busy" (503), "reset" or "silent" (no response).
    response_delay: seconds added to each response.
    response_loss: share of the writes that are done without a response.
    late_write_share: share of the writes without a response that are attempted
    1 to 4 s later and take effect if their condition still holds.
    """

    def __init__(self, port, random):
        self.port, self.random = port, random
        self.objects, self.log = {}, []
        self.revision, self.oldest_revision, self.era = 1, 0, 1
        self.outside, self.away = {}, None
        self.copies = collections.deque(maxlen=COPIES)
        self.mode, self.response_delay, self.response_loss, \
            self.late_write_share = None, 0.0, 0.0, 0.0
        self.calls, self.calls_by_second = 0, collections.Counter()
        self.changed = asyncio.Event()
        self.on_status = lambda kind, name, status: None

    async def start(self):
        await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.copier = asyncio.ensure_future(self.copy_regularly())

    def available(self):
        return not self.mode and not self.away

    # Copies. Everything is lost that was written after the copy was taken.

    async def copy_regularly(self):
        while True:
            if not self.away:
                self.copies.append(Copy(
                    time.monotonic(), self.revision, self.oldest_revision,
                    dict(self.objects), list(self.log)))
            await asyncio.sleep(COPY_INTERVAL)

    async def restore(self, age, duration):
        """Is away for duration s, then returns as it was age s before.

        Returns the revisions before and after. The copy may be from before an
        earlier restoration, and then have the higher one.
        """
        taken_by = time.monotonic() - age
        copy = next((each for each in reversed(self.copies)
                     if each.time <= taken_by), self.copies[0])
        self.away = self.random.choice(("busy", "reset", "silent"))
        self.wake_watches()
        await asyncio.sleep(duration)
        before = self.revision
        self.revision, self.oldest_revision = copy.revision, copy.oldest
        self.objects, self.log = dict(copy.objects), list(copy.log)
        self.era += 1
        self.away = None
        self.schedule_outside_writes()
        return before, self.revision

    def schedule_outside_writes(self):
        """Has the lost writes repeated that are not by the instances. Targets
        repeat their records themselves."""
        loop = asyncio.get_running_loop()
        for (kind, name), spec in self.outside.items():
            if kind == "servers" and spec is not None:
                continue
            latest = RECORD_EXPIRY if spec is None else 1.0
            loop.call_later(self.random.uniform(0.1, latest),
                            self.write_outside, kind, name)

    def write_outside(self, kind, name):
        if self.away:
            return
        spec, existing = self.outside[kind, name], self.objects.get(
            (kind, name))
        if spec is None:
            self.remove_object(kind, name)
        elif existing is None or existing["spec"] != spec:
            self.put_object(kind, name, spec)

    # Objects. The operator and the targets change them directly.

    def put(self, kind, name, spec):
        self.outside[kind, name] = spec
        self.write_outside(kind, name)

    def remove(self, kind, name):
        self.outside[kind, name] = None
        self.write_outside(kind, name)

    def put_object(self, kind, name, spec, status=None):
        self.revision += 1
        existing = self.objects.get((kind, name))
        created = existing["metadata"][
            "created_rev"] if existing else self.revision
        self.objects[kind, name] = {
            "metadata": {"name": name, "revision": self.revision,
                         "created_rev": created, "finalizers": [],
                         "deleting": False},
            "spec": spec, "status": status or {}}
        self.append_event(kind, self.objects[kind, name], False)
        return self.objects[kind, name]

    def remove_object(self, kind, name):
        existing = self.objects.pop((kind, name), None)
        if existing:
            self.revision += 1
            removed = dict(existing, metadata=dict(existing["metadata"],
                                                   revision=self.revision))
            self.append_event(kind, removed, True)

    def append_event(self, kind, value, deleted):
        self.log.append((self.revision, kind,
                         {"object": value, "deleted": deleted}))
        self.wake_watches()

    def wake_watches(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def compact_history(self):
        self.log.clear()
        self.oldest_revision = self.revision

    # HTTP interface.

    async def serve(self, reader, writer):
        try:
            while True:
                first, _, body = await read_message(reader)
                self.calls += 1
                kind = "reads" if first.startswith("GET") else "writes"
                self.calls_by_second[kind, int(time.monotonic())] += 1
                fault = self.away or self.mode
                if fault == "reset":
                    return reset(writer)
                if fault == "silent":
                    await asyncio.sleep(30)
                    return reset(writer)
                if fault == "busy":
                    writer.write(self.answer(503, {}))
                    continue
                method, target, _ = first.split(" ")
                response = await self.call(method, target, body)
                if self.response_delay:
                    await asyncio.sleep(self.response_delay)
                if response is None or self.away:
                    return reset(writer)
                writer.write(response)
        except (ConnectionFailed, ConnectionError, OSError, ValueError):
            writer.close()

    def answer(self, status, value):
        return json_response(status, value, {"Store-Era": self.era})

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        parts = [urllib.parse.unquote(each)
                 for each in path[len(PREFIX):].split("/")]
        options = dict(urllib.parse.parse_qsl(query))
        if method == "GET" and "watch" in options:
            return await self.watch(parts[0], int(options["watch"]),
                                    int(options["wait_ms"]) / 1000)
        if method == "GET":
            items = [value for (kind, name), value in
                     sorted(self.objects.items()) if kind == parts[0]]
            return self.answer(200, {"items": items, "has_more": False,
                                     "store_revision": self.revision})
        request = json.loads(body)
        if self.random.random() < self.late_write_share:
            asyncio.get_running_loop().call_later(
                self.random.uniform(1, 4), self.write, method, parts, request)
            return None
        response = self.write(method, parts, request)
        return None if self.random.random() < self.response_loss else response

    def write(self, method, parts, request):
        if self.away:
            return None
        name = request["metadata"]["name"]
        existing = self.objects.get((parts[0], name))
        if method == "POST":
            if existing:
                return self.answer(409, existing)
        elif not existing:
            return self.answer(404, {})
        elif request["metadata"].get("revision") not in (
                None, existing["metadata"]["revision"]):
            return self.answer(409, existing)
        if parts[2:] == ["status"]:
            self.on_status(parts[0], name, request["status"])
            return self.answer(200, self.put_object(
                parts[0], name, existing["spec"], request["status"]))
        return self.answer(200, self.put_object(
            parts[0], name, request["spec"]))

    async def watch(self, kind, revision, wait):
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        while True:
            if not self.oldest_revision <= revision <= self.revision:
                return self.answer(410, {})
            events = [event for event_revision, event_kind, event in self.log
                      if event_kind == kind and event_revision > revision]
            if events or loop.time() >= until or not self.available():
                return self.answer(200, {"events": events,
                                         "store_revision": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       min(0.5, until - loop.time()))
            except asyncio.TimeoutError:
                pass
