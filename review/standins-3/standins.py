"""Stand-ins for the users' platform, backends and clients, on loopback.

They follow the users' pages: an object store with lists, watches and conditional
writes, backends that register there, and clients that write raw HTTP/1.1.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "buckthornringd")
HOST = "127.0.0.1"
HEARTBEAT = 0.87
STATUS_TEXT = {200: "OK", 409: "Conflict", 410: "Gone", 421: "Misdirected",
               404: "Not Found", 503: "Service Unavailable"}


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Returns the first line, lower-case fields and body, or None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        body = b""
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += part[:-2]
        elif int(fields.get("content-length", "0")):
            body = await reader.readexactly(int(fields["content-length"]))
        return first, fields, body
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ConnectionError, ValueError):
        return None


def response(status, fields=None, body=b""):
    lines = [f"HTTP/1.1 {status} {STATUS_TEXT.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def json_response(status, value):
    return response(status, {"Content-Type": "application/json"},
                    json.dumps(value).encode())


class Store:
    """The platform's metadata store."""

    PAGE = 500
    PAGE_BYTES = 1000000

    def __init__(self):
        self.objects, self.log, self.revision = {}, [], 1
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec, status=None, finalizers=()):
        known = self.objects.get((kind, name))
        if known and (known["spec"], known["status"]) == (spec, status):
            return known
        self.revision += 1
        self.objects[kind, name] = {
            "metadata": {"name": name, "revision": self.revision,
                         "created_rev": known["metadata"]["created_rev"]
                         if known else self.revision,
                         "finalizers": list(finalizers), "deleting": False},
            "spec": spec, "status": status}
        self.append(kind, self.objects[kind, name], False)
        return self.objects[kind, name]

    def remove(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if known:
            self.revision += 1
            self.append(kind, dict(known, metadata=dict(
                known["metadata"], revision=self.revision)), True)
        return known

    def append(self, kind, value, deleted):
        self.log.append((self.revision, kind,
                         {"object": value, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ")
                writer.write(await self.call(method, target, message[2]))
                await writer.drain()
        except (ConnectionError, ValueError, asyncio.CancelledError):
            pass
        writer.close()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        kind, *rest = [urllib.parse.unquote(each) for each in
                       path[len("/v1/objects/"):].split("/")]
        options = dict(urllib.parse.parse_qsl(query))
        if method == "GET":
            if rest:
                known = self.objects.get((kind, rest[0]))
                return json_response(200 if known else 404, known or {})
            if "watch" in options:
                return await self.watch(kind, int(options["watch"]),
                                        int(options.get("wait_ms", 0)) / 1000)
            names = sorted(name for each, name in self.objects
                           if each == kind and name > options.get("after", ""))
            items, size = [], 0
            for name in names[:self.PAGE]:
                size += len(json.dumps(self.objects[kind, name]))
                if items and size > self.PAGE_BYTES:
                    break
                items.append(self.objects[kind, name])
            return json_response(200, {
                "items": items, "has_more": len(names) > len(items),
                "store_revision": self.revision})
        request = json.loads(body) if body else {}
        metadata = request.get("metadata", {})
        name = rest[0] if rest else metadata["name"]
        known = self.objects.get((kind, name))
        if method == "POST":
            return json_response(409, known) if known else json_response(
                201, self.put(kind, name, request["spec"]))
        if not known:
            return json_response(404, {})
        wanted = metadata.get("revision", options.get("revision"))
        if wanted is not None and int(wanted) != known["metadata"]["revision"]:
            return json_response(409, known)
        if method == "DELETE":
            return json_response(200, self.remove(kind, name))
        if rest[1:] == ["status"]:
            return json_response(200, self.put(kind, name, known["spec"],
                                               request["status"]))
        return json_response(200, self.put(
            kind, name, request["spec"], known["status"],
            metadata.get("finalizers", ())))

    async def watch(self, kind, since, wait):
        loop = asyncio.get_running_loop()
        until = loop.time() + min(wait, 30)
        while True:
            events = [event for revision, each, event in self.log
                      if each == kind and revision > since]
            if events or loop.time() >= until:
                return json_response(200, {"events": events,
                                           "store_revision": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       until - loop.time())
            except asyncio.TimeoutError:
                pass


class Backend:
    """A backend that answers each request after its work time."""

    def __init__(self, store, record, service, zone, number, work=0.02,
                 slots=4):
        self.store, self.record, self.work = store, record, work
        self.service, self.zone, self.slots = service, zone, slots
        self.id = f"i-{service}-{number}"
        self.born, self.sequence = int(time.time() * 1000), 0
        self.runs, self.state, self.running = [], "ready", 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put("servers", self.id, {
                "service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "warmup_left_s": 0, "born": self.born,
                "seq": self.sequence})
            await asyncio.sleep(HEARTBEAT)

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.answer(writer, *message):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()

    async def answer(self, writer, first, fields, body):
        """Answers one request. Returns whether the connection stays open."""
        attempt = fields.get("attempt-id", "")
        if fields.get("expect-instance", self.id) != self.id:
            writer.write(response(421, {"Attempt-Id": attempt,
                                        "Not-Executed": "1"}))
            return True
        self.runs.append(attempt)
        self.record.add(f"{self.id} runs {attempt} {first} "
                        f"({len(body)} bytes)")
        self.running += 1
        await asyncio.sleep(self.work)
        self.running -= 1
        writer.write(response(200, {
            "Attempt-Id": attempt,
            "Backend-Load": f"{self.running},0,{self.slots}",
            "Response-Signature": f"{self.id}.{attempt}"}, b"body of " +
            attempt.encode()))
        return True


def configuration(version, routes, services, tenants=(), limits=None):
    """A configuration; routes: (name, kind, prefix, service) of one host."""
    rules = [{"name": name, "kind": kind, "target_latency_s": 0.5,
              "priority": 1, "public": not tenants,
              "match": {"path_prefix": prefix},
              "action": {"service": service, "timeout_s": 1.5,
                         "max_attempts": 2}}
             for name, kind, prefix, service in routes]
    return {"version": f"r{version}",
            "limits": limits or {
                "max_header_bytes": 16384, "max_body_bytes": 67108864,
                "header_timeout_s": 3, "idle_timeout_s": 15},
            "tenants": list(tenants),
            "listeners": [{"host": "case.example", "route_rules": rules}],
            "clusters": [{"name": name, "health_path": "/health",
                          "max_conns": 130, "warmup_s": 3.0,
                          "warmup_per_s": 7.8} | more
                         for name, more in services.items()]}


class Node:
    """One edge machine: the daemon with the settings of the deploy file."""

    def __init__(self, folder, store_port, zone, number, record, **settings):
        self.folder, self.zone, self.record = folder, zone, record
        self.name, self.store_port = f"edge-{zone}-{number}", store_port
        self.more, self.process = settings, None

    def settings(self):
        return {"instance": self.name, "data_centre": self.zone,
                "caller_address": f"{HOST}:{self.port}",
                "ready_address": f"{HOST}:{self.ready_port}",
                "peer_address": f"{HOST}:{self.peer_port}",
                "store_address": f"{HOST}:{self.store_port}",
                "processor_share": 0.2, "memory_mb": 260,
                "max_descriptors": 4100, "first_start": True,
                "bounds": {"retry_ratio": 0.2, "retry_slack": 62,
                           "retry_window_s": 10, "rate_excess": 0.1,
                           "rate_slack": 20, "rate_window_s": 5,
                           "cold_excess": 1.5, "cold_slack": 5,
                           "stop_grace_s": 6, "longest_hold_s": 10}} | self.more

    async def start(self, first=True):
        if first:
            self.port, self.ready_port, self.peer_port = free_ports(3)
        self.path = os.path.join(self.folder, self.name + ".json")
        with open(self.path, "w", encoding="ascii") as file:
            json.dump(self.settings() | {"first_start": first}, file)
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            DAEMON, "--settings", self.path, stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.record.add(f"{self.name} starts")

    async def ready(self, within=15):
        until = time.monotonic() + within
        while time.monotonic() < until:
            if self.process.returncode is not None:
                return False
            try:
                reader, writer = await asyncio.open_connection(
                    HOST, self.ready_port)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                answer = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if answer and " 200 " in answer[0]:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.2)
        return False

    def ended(self):
        return self.process.returncode is not None

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def log_lines(self, *events):
        found = []
        with open(os.path.join(self.folder, self.name + ".log"),
                  encoding="utf-8", errors="replace") as file:
            for line in file:
                if not events or any(f'"event":"{each}"' in line
                                     for each in events):
                    found.append(line.strip())
        return found


def free_ports(count):
    """Ports of loopback that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Client:
    """A connection to a node. Requests are written as raw bytes."""

    def __init__(self, port):
        self.port = port

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            HOST, self.port)
        return self

    async def write(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self, within=5):
        """The next answer; None: the connection ended or nothing came."""
        try:
            return await asyncio.wait_for(read_message(self.reader), within)
        except asyncio.TimeoutError:
            return None

    def close(self):
        self.writer.close()


def head(method, path, attempt, fields=None):
    lines = [f"{method} {path} HTTP/1.1", "Host: case.example",
             f"Attempt-Id: {attempt}", "Deadline-Ms: 3000"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class KeptCallers:
    """Ordinary clients, each with one kept connection to a node, that send one
    unsafe request after the other."""

    def __init__(self, node, backends, record, count, path="/orders/"):
        self.node, self.backends, self.record = node, backends, record
        self.path, self.answered, self.cut = path, 0, []
        self.stopping = False
        self.tasks = [asyncio.ensure_future(self.call(number))
                      for number in range(count)]

    async def call(self, number):
        client, sent = await Client(self.node.port).open(), 0
        while not self.stopping:
            sent += 1
            attempt = f"{self.node.name}-c{number}-{sent}"
            try:
                await client.write(head("POST", f"{self.path}{number}", attempt,
                                        {"Content-Length": 0}))
                answer = await client.answer()
            except ConnectionError:
                answer = None
            if answer:
                self.answered += 1
                continue
            passed_on = any(attempt in each.runs for each in self.backends)
            self.record.add(f"{attempt}: the connection ended without an "
                            f"answer; request {sent} on it; passed on to a "
                            f"sound backend: {passed_on}")
            if passed_on and sent > 1:
                self.cut.append(attempt)
            return
        client.close()

    async def stop(self):
        self.stopping = True
        await asyncio.gather(*self.tasks)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case, seconds=110):
    """Runs a case, which returns whether the rule was broken, and exits with 1
    if it was, 0 if it held and 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    nodes = []

    async def run():
        with tempfile.TemporaryDirectory(prefix="case-") as settings:
            try:
                return await asyncio.wait_for(case(record, settings, nodes),
                                              seconds)
            finally:
                for node in nodes:
                    await node.stop()

    if not os.path.exists(DAEMON):
        print("target/buckthornringd is missing")
        sys.exit(2)
    try:
        broken = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as failure:
        record.add(f"could not run: {failure!r}")
        print(f"could not run: {failure!r}")
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    record.add("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)


class CannotRun(Exception):
    """The case could not be set up."""


async def start_nodes(nodes, *new):
    for node in new:
        nodes.append(node)
        await node.start()
    for node in new:
        if not await node.ready():
            raise CannotRun(f"{node.name} was not ready")
