"""Stand-in for the platform's object store, with its documented faults."""

import asyncio
import json
import urllib.parse

from wire import ConnectionFailed, json_response, read_message, reset

PREFIX = "/v1/objects/"


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
        self.revision, self.oldest_revision = 1, 0
        self.mode, self.response_delay, self.response_loss, \
            self.late_write_share = None, 0.0, 0.0, 0.0
        self.calls = 0
        self.changed = asyncio.Event()

    async def start(self):
        await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    # Objects. The operator and the targets change them directly.

    def put(self, kind, name, spec):
        self.revision += 1
        existing = self.objects.get((kind, name))
        created = existing["metadata"][
            "created_rev"] if existing else self.revision
        self.objects[kind, name] = {
            "metadata": {"name": name, "revision": self.revision,
                         "created_rev": created, "finalizers": [],
                         "deleting": False},
            "spec": spec, "status": {}}
        self.append_event(kind, self.objects[kind, name], False)
        return self.objects[kind, name]

    def remove(self, kind, name):
        existing = self.objects.pop((kind, name), None)
        if existing:
            self.revision += 1
            removed = dict(existing, metadata=dict(existing["metadata"],
                                                   revision=self.revision))
            self.append_event(kind, removed, True)

    def append_event(self, kind, value, deleted):
        self.log.append((self.revision, kind,
                         {"object": value, "deleted": deleted}))
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
                if self.mode == "reset":
                    return reset(writer)
                if self.mode == "silent":
                    await asyncio.sleep(30)
                    return reset(writer)
                if self.mode == "busy":
                    writer.write(json_response(503, {}))
                    continue
                method, target, _ = first.split(" ")
                response = await self.call(method, target, body)
                if self.response_delay:
                    await asyncio.sleep(self.response_delay)
                if response is None:
                    return reset(writer)
                writer.write(response)
        except (ConnectionFailed, ConnectionError, OSError, ValueError):
            writer.close()

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
            return json_response(200, {"items": items, "has_more": False,
                                       "store_revision": self.revision})
        request = json.loads(body)
        if self.random.random() < self.late_write_share:
            asyncio.get_running_loop().call_later(
                self.random.uniform(1, 4), self.write, method, parts, request)
            return None
        response = self.write(method, parts, request)
        return None if self.random.random() < self.response_loss else response

    def write(self, method, parts, request):
        name = request["metadata"]["name"]
        existing = self.objects.get((parts[0], name))
        if method == "POST":
            if existing:
                return json_response(409, existing)
        elif not existing:
            return json_response(404, {})
        elif request["metadata"].get("revision") not in (
                None, existing["metadata"]["revision"]):
            return json_response(409, existing)
        return json_response(200, self.put(parts[0], name, request["spec"]))

    async def watch(self, kind, revision, wait):
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        while True:
            if revision < self.oldest_revision:
                return json_response(410, {})
            events = [event for event_revision, event_kind, event in self.log
                      if event_kind == kind and event_revision > revision]
            if events or loop.time() >= until or self.mode:
                return json_response(200, {"events": events,
                                           "store_revision": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       min(0.5, until - loop.time()))
            except asyncio.TimeoutError:
                pass
