"""A small deployment: the store, backends and the routers as processes."""

import asyncio
import json
import os
import re
import resource
import shlex
import socket
import subprocess
import sys
import tempfile

from backend_standin import Backend
from keyed_backend import KeyedBackend
from messages import MessageError, message, read_message
from platform_standin import Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
ADDRESS = "127.0.0.1"
ZONE = "kingston"
HOST = "screens.example"
SAFE_PATH, UNSAFE_PATH = "/read/", "/command/"
SAFE_SERVICE, UNSAFE_SERVICE = "reads", "commands"
DIVIDED_PATH, DIVIDED_SERVICE = "/media/", "media"
TENANT, KEY = "vendor1", "k1q8w2e7r3t6y5u4i9op"

# The limits of the deployment that the claims name.
MAX_HEADER_BYTES = 16384
MAX_BODY_BYTES = 67108864
MEMORY_MB = 260
MEBIBYTE = 1 << 20  # the larger reading of MB
MAX_FDS = 4100
RESTART_DELAY = 0.5  # seconds
BOUNDS = {"retry_ratio": 0.2, "retry_slack": 62, "retry_window_s": 10,
          "rate_excess": 0.1, "rate_slack": 20, "rate_window_s": 5,
          "cold_excess": 1.5, "cold_slack": 5, "stop_grace_s": 6,
          "longest_hold_s": 10, "exposure_share": None,
          "exposure_slack": None, "rollback_s": None}


class CannotRun(Exception):
    """The case cannot be played on this machine."""


def candidate_ports():
    """Ports below the range that the system uses for outgoing connections."""
    first, last = 10000, 32000
    start = os.getpid() * 37 % (last - first)
    for number in range(last - first):
        yield first + (start + number) % (last - first)


CANDIDATES = candidate_ports()


def free_ports(count):
    """Each port is handed out once."""
    ports = []
    while len(ports) < count:
        port = next(CANDIDATES)
        with socket.socket() as probe:
            try:
                probe.bind((ADDRESS, port))
                ports.append(port)
            except OSError:
                continue
    return ports


def raise_descriptor_limit(wanted):
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < wanted:
        raise CannotRun(f"only {hard} descriptors")
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def configuration(version="r1", divided=False):
    def rule(name, kind, path, service, latency, timeout, priority):
        return {"name": name, "kind": kind, "target_latency_s": latency,
                "priority": priority, "public": False,
                "match": {"path_prefix": path},
                "action": {"service": service, "timeout_s": timeout,
                           "max_attempts": 2}}

    def cluster(name):
        return {"name": name, "health_path": "/health", "max_conns": 130,
                "protocol": "h1", "tls": False, "warmup_s": 3.0,
                "warmup_per_s": 7.8}

    rules = [
        rule("r-read", "safe", SAFE_PATH, SAFE_SERVICE, 0.4, 1.2, 2),
        rule("r-command", "unsafe", UNSAFE_PATH, UNSAFE_SERVICE, 0.5, 1.5, 1)]
    clusters = [cluster(SAFE_SERVICE), cluster(UNSAFE_SERVICE)]
    if divided:
        rules.append(rule("r-media", "safe", DIVIDED_PATH, DIVIDED_SERVICE,
                          0.8, 2.5, 2))
        clusters.append({**cluster(DIVIDED_SERVICE), "sharded": True,
                         "warm_s": 3.0, "grants": "invoke"})
    return {
        "version": version,
        "limits": {"max_header_bytes": MAX_HEADER_BYTES,
                   "max_body_bytes": MAX_BODY_BYTES,
                   "header_timeout_s": 3, "idle_timeout_s": 15},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1,
                     "rate_per_s": 0, "burst": 0}],
        "listeners": [{"host": HOST, "route_rules": rules}],
        "clusters": clusters}


def run_command(settings):
    """The command of the deploy file, with the path of the settings."""
    with open(os.path.join(ROOT, "deploy/system.toml"),
              encoding="utf-8") as file:
        command = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)
    return [settings if word.endswith("boot.conf") else word
            for word in shlex.split(command)]


class Router:
    def __init__(self, folder, name, store_port):
        self.name = name
        self.port, self.ready_port, self.peer_port = free_ports(3)
        self.settings = os.path.join(folder, name + ".json")
        self.log_path = os.path.join(folder, name + ".log")
        with open(self.settings, "w", encoding="ascii") as file:
            json.dump({
                "instance": name, "data_centre": ZONE,
                "caller_address": f"{ADDRESS}:{self.port}",
                "ready_address": f"{ADDRESS}:{self.ready_port}",
                "peer_address": f"{ADDRESS}:{self.peer_port}",
                "store_address": f"{ADDRESS}:{store_port}",
                "processor_share": 0.2, "memory_mb": MEMORY_MB,
                "max_descriptors": MAX_FDS, "first_start": True,
                "bounds": BOUNDS}, file)

    def start(self, log=None):
        """`log`: a descriptor for standard output and standard error."""
        self.peak = 0
        with open(self.log_path, "ab") as file:
            output = file if log is None else log
            self.process = subprocess.Popen(
                run_command(self.settings), cwd=ROOT, stdout=output,
                stderr=output)

    def peak_memory_bytes(self):
        """The most memory that the process has held since its start."""
        try:
            with open(f"/proc/{self.process.pid}/status",
                      encoding="ascii") as file:
                found = re.search(r"VmHWM:\s+(\d+) kB", file.read())
            self.peak = int(found.group(1)) * 1024 if found else self.peak
        except OSError:
            pass
        return self.peak

    async def bound_memory(self, on_end):
        """Does what the platform does: a process that holds more than the
        memory of its machine is killed, and started again."""
        while True:
            await asyncio.sleep(0.02)
            peak = self.peak_memory_bytes()
            if peak <= MEMORY_MB * MEBIBYTE:
                continue
            self.process.kill()
            self.process.wait()
            on_end(self, peak)
            await asyncio.sleep(RESTART_DELAY)
            self.start()

    async def ready(self):
        status, _, _ = await call(self.ready_port, message(
            "GET /v1/ready HTTP/1.1", {"Host": ADDRESS}), 1.0)
        return status == 200


async def call(port, text, timeout):
    """Sends one request on a new connection. The status is 0 if there was no
    answer."""
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(ADDRESS, port)
            writer.write(text)
            first, fields, body = await read_message(reader)
            return int(first.split(" ")[1]), fields, body
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, MessageError, OSError, ValueError):
        return 0, {}, b""
    finally:
        if writer:
            writer.close()


def request(method, path, attempt, deadline_ms, body=b"", fields=None):
    return message(f"{method} {path} HTTP/1.1", {
        "Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": deadline_ms,
        "Api-Key": KEY, **(fields or {})}, body)


class Deployment:
    """Starts the store, backends of each service and routers, and ends the
    processes that it started."""

    def __init__(self, routers=1, backends=3, work=0.05, log=None,
                 keyed=0):
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        store_port, *ports = free_ports(1 + 2 * backends + keyed)
        self.store = Store(ADDRESS, store_port)
        self.backends = [
            Backend(self.store, f"i-{service}-{number}", service, ZONE,
                    ADDRESS, ports.pop(), work)
            for service in (SAFE_SERVICE, UNSAFE_SERVICE)
            for number in range(backends)]
        self.keyed = [
            KeyedBackend(self.store, f"i-{DIVIDED_SERVICE}-{number}",
                         DIVIDED_SERVICE, ZONE, ADDRESS, ports.pop(), work)
            for number in range(keyed)]
        self.routers = []
        self.router_count, self.store_port = routers, store_port
        self.log = log

    async def __aenter__(self):
        try:
            await self.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def start(self):
        await self.store.start()
        self.store.put("config", "main",
                       configuration(divided=bool(self.keyed)))
        for backend in self.backends + self.keyed:
            await backend.start()
        for number in range(self.router_count):
            router = Router(self.folder.name, f"edge-{ZONE}-{number + 1}",
                            self.store_port)
            router.start(self.log)
            self.routers.append(router)
            await asyncio.sleep(0.05)
        for _ in range(150):
            if all([await router.ready() for router in self.routers]):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the routers did not become ready")
        await asyncio.sleep(2)

    async def __aexit__(self, *_):
        for router in self.routers:
            if router.process.poll() is None:
                router.process.kill()
            router.process.wait()
        self.folder.cleanup()


def play(case, folder):
    """Runs the case, which returns whether the rule held, and exits."""
    lines = []

    def record(line):
        lines.append(line)

    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'yes' if trouble else 'no'}")
    try:
        held = asyncio.run(case(trouble, record))
    except Exception as reason:  # whatever it is, the rule was not tested
        record(f"could not run: {type(reason).__name__} {reason}")
        held = None
    record("result: " + {None: "not run", True: "the rule held",
                         False: "the rule was broken"}[held])
    with open(os.path.join(folder, "record.txt"), "w",
              encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")
    print("\n".join(lines[-12:]))
    sys.exit({None: 2, True: 0, False: 1}[held])
