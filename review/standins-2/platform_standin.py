"""Stand-in for the platform's object store, for the scripts of this review.

It keeps objects by kind and name with one revision counter, and answers lists,
reads, watches and conditional writes. It has no faults of its own.
"""

import asyncio
import json
import urllib.parse

from messages import MessageError, json_response, read_message

PREFIX = "/v1/objects/"
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000


class Store:
    def __init__(self, address, port):
        self.address, self.port = address, port
        self.objects = {}  # (kind, name) -> object
        self.log = []      # (revision, kind, event)
        self.revision = 10
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.address, self.port)

    def put(self, kind, name, spec):
        """Creates or replaces an object."""
        existing = self.objects.get((kind, name))
        if existing and existing["spec"] == spec:
            return existing
        self.revision += 1
        created = (existing["metadata"]["created_rev"] if existing
                   else self.revision)
        value = {"metadata": {"name": name, "revision": self.revision,
                              "created_rev": created, "finalizers": [],
                              "deleting": False},
                 "spec": spec, "status": None}
        self.objects[kind, name] = value
        self.append_event(kind, value, False)
        return value

    def remove(self, kind, name):
        existing = self.objects.pop((kind, name), None)
        if existing:
            self.revision += 1
            removed = dict(existing, metadata=dict(
                existing["metadata"], revision=self.revision))
            self.append_event(kind, removed, True)

    def append_event(self, kind, value, deleted):
        self.log.append((self.revision, kind,
                         {"deleted": deleted, "object": value}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ")
                writer.write(await self.call(method, target, body))
                await writer.drain()
        except (MessageError, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        parts = [urllib.parse.unquote(each)
                 for each in path[len(PREFIX):].split("/")]
        options = dict(urllib.parse.parse_qsl(query))
        if method == "GET" and "watch" in options:
            return await self.watch(parts[0], int(options["watch"]),
                                    int(options.get("wait_ms", 0)) / 1000)
        if method == "GET" and len(parts) == 1:
            return self.page(parts[0], options.get("after", ""))
        if method == "GET":
            found = self.objects.get((parts[0], parts[1]))
            return json_response(200 if found else 404, found or {})
        return self.write(method, parts, json.loads(body or b"{}"))

    def page(self, kind, after):
        """Returns objects up to PAGE_ITEMS or PAGE_BYTES, but at least one."""
        names = sorted(name for of, name in self.objects
                       if of == kind and name > after)
        items, size = [], 0
        for name in names[:PAGE_ITEMS]:
            value = self.objects[kind, name]
            size += len(json.dumps(value))
            if items and size > PAGE_BYTES:
                break
            items.append(value)
        return json_response(200, {"items": items,
                                   "has_more": len(items) < len(names),
                                   "store_revision": self.revision})

    def write(self, method, parts, request):
        metadata = request.get("metadata", {})
        name = parts[1] if len(parts) > 1 else metadata["name"]
        existing = self.objects.get((parts[0], name))
        if method == "POST":
            if existing:
                return json_response(409, existing)
            return json_response(200, self.put(parts[0], name,
                                               request.get("spec")))
        if not existing:
            return json_response(404, {})
        expected = metadata.get("revision")
        if expected not in (None, existing["metadata"]["revision"]):
            return json_response(409, existing)
        if method == "DELETE":
            self.remove(parts[0], name)
            return json_response(200, existing)
        return json_response(200, self.put(parts[0], name,
                                           request.get("spec")))

    async def watch(self, kind, revision, wait):
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        while True:
            changed = self.changed
            events = [event for at, of, event in self.log
                      if of == kind and at > revision]
            left = until - loop.time()
            if events or left <= 0:
                return json_response(200, {"events": events,
                                           "store_revision": self.revision})
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
