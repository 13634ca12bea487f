#!/usr/bin/env python3
"""Compares the router's throughput with a minimal relay of the same build.

Starts a target, the relay and one instance with 1, 2 and 4 traffic threads, and
applies load to the instance and the relay one after the other. Prints one JSON
line per value. The load generator runs on the same machine, so only the ratios
are meaningful. Usage: bench/throughput.py BUILD_DIR
"""

import hashlib
import json
import os
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

from processes import Fleet, put_object, read_resident_bytes

THREADS = (1, 2, 4)
SECONDS = 4
IDLE_CONNECTIONS = (10, 100, 1000)


def configuration(target):
    content = {
        "workspaces": {"w": {"rate_per_second": 10000000, "burst": 1000000,
                             "queue_limit": 1000}},
        "caller_keys": {"k": {"digest": hashlib.sha256(b"key").hexdigest(),
                              "workspace": "w"}},
        "services": {"bench": {"kind": "undivided", "slots_per_target": 64,
                               "targets": {"t": {"address": target,
                                                 "data_centre": "a"}}}},
        "routes": {"bench": {"path_prefix": "/bench", "service": "bench"}},
        "data_centres": {"a": {}},
    }
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return {"generation": 1,
            "digest": hashlib.sha256(text.encode()).hexdigest(),
            "history": [[1, "measure"]], "content": content}


def load(build, port, pid, callers):
    output = subprocess.run(
        [os.path.join(build, "bench_load"), "--port", port, "--path",
         "/bench/x", "--key", "key", "--callers", str(callers), "--seconds",
         str(SECONDS), "--pid", str(pid)],
        capture_output=True, text=True, check=False).stdout
    return json.loads(output)


def wait_until_served(address):
    request = urllib.request.Request(f"http://{address}/bench/x",
                                     headers={"X-Caller-Key": "key"})
    for _ in range(300):
        try:
            urllib.request.urlopen(request, timeout=2).close()
            return
        except (urllib.error.URLError, OSError):
            time.sleep(0.1)
    raise RuntimeError("the instance answered none of 300 requests")


def start(fleet, threads):
    _, line = fleet.start("standin_target", "--name", "t", "--slots", "64",
                          "--queue", "1000", "--service-us", "0")
    target = line.split()[-1]
    _, line = fleet.start("standin_platform")
    platform = line.split()[-1]
    put_object(platform, "config/current", configuration(target))
    settings = os.path.join(fleet.folder.name, "instance.json")
    with open(settings, "w", encoding="ascii") as file:
        json.dump({"instance": "i", "data_centre": "a", "failure_domain": "r",
                   "caller_address": "127.0.0.1:0",
                   "admin_address": "127.0.0.1:0",
                   "link_address": "127.0.0.1:0",
                   "platform_address": platform,
                   "traffic_threads": threads}, file)
    router, line = fleet.start("buckthornringd", "--settings", settings)
    caller = dict(part.split("=") for part in line.split()[1:])["caller"]
    relay, line = fleet.start("bench_relay", "--target",
                              target.split(":")[1], "--threads", str(threads))
    wait_until_served(caller)
    return {"router": (router.pid, caller.split(":")[1]),
            "relay": (relay.pid, line.split(":")[1])}


def print_measurement(measure, policy, value, unit, target=0.0, at_most=False):
    met = value <= target if at_most else value >= target
    print(json.dumps({"measure": measure, "policy": policy, "seed": 1,
                      "value": round(value, 4), "unit": unit,
                      "target": target, "met": met}), flush=True)


def compare(build, threads):
    fleet = Fleet(build)
    try:
        servers = start(fleet, threads)
        full_load, light_load = {}, {}
        for name, (pid, port) in servers.items():
            full_load[name] = load(build, port, pid, 16 * threads)
            light_load[name] = load(build, port, pid, 2 * threads)
        policy = f"threads={threads}"
        for name, result in full_load.items():
            print_measurement(f"throughput.{name}", policy,
                              result["per_second"], "requests/s")
            print_measurement(f"throughput.{name}.cpu", policy,
                              result["cpu_us_per_answer"], "us/request")
        print_measurement(
            "throughput.ratio", policy, full_load["router"]["per_second"] /
            max(1, full_load["relay"]["per_second"]), "router/relay", 0.8)
        print_measurement(
            "throughput.p99_ratio", policy, light_load["router"]["p99_ms"] /
            max(0.001, light_load["relay"]["p99_ms"]), "router/relay", 1.3,
            True)
    finally:
        fleet.stop()


def idle_memory(build):
    fleet = Fleet(build)
    sockets = []
    try:
        pid, port = start(fleet, 1)["router"]
        for count in IDLE_CONNECTIONS:
            while len(sockets) < count:
                sockets.append(socket.create_connection(("127.0.0.1",
                                                         int(port))))
            time.sleep(1)
            print_measurement("memory.idle_connections", f"size={count}",
                              read_resident_bytes(pid) / 1e6, "MB")
    finally:
        for connection in sockets:
            connection.close()
        fleet.stop()


def main():
    build = sys.argv[1]
    for threads in THREADS:
        compare(build, threads)
    idle_memory(build)


if __name__ == "__main__":
    main()
