#!/usr/bin/env python3
"""Measures the control overhead of idle instances as real processes.

Starts a platform test server, targets and 5, 10, 20 or 40 instances in two data
centres, waits SETTLE_SECONDS for a steady state, and prints one JSON line per
value: processor time, resident memory and bytes on TCP connections per
instance, and the calls to the platform. Usage: bench/processes.py BUILD_DIR
"""

import hashlib
import json
import os
import re
import subprocess
import sys
import tempfile
import time
import urllib.request

FLEET_SIZES = (5, 10, 20, 40)
TARGETS = 8
SETTLE_SECONDS = 12
MEASURE_SECONDS = 10
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class Fleet:
    """Starts the processes of one run and stops exactly these."""

    def __init__(self, build):
        self.build = build
        self.processes = []
        self.folder = tempfile.TemporaryDirectory()

    def start(self, program, *arguments):
        process = subprocess.Popen(
            [os.path.join(self.build, program), *arguments],
            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
        self.processes.append(process)
        return process, process.stdout.readline().strip()

    def stop(self):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        self.folder.cleanup()


def configuration(targets):
    """Returns a configuration record, generation 1, with a divided service."""
    content = {
        "workspaces": {f"w{i}": {"rate_per_second": 1000, "burst": 100}
                       for i in range(8)},
        "caller_keys": {"k": {"digest": hashlib.sha256(b"key").hexdigest(),
                              "workspace": "w0"}},
        "services": {"content": {
            "kind": "divided", "verification": "verified", "slices": 256,
            "targets": {name: {"address": address,
                               "data_centre": "ab"[number % 2]}
                        for number, (name, address) in enumerate(targets)}}},
        "routes": {"content": {"path_prefix": "/content", "service": "content",
                               "key_source": "path-segment",
                               "key_segment": 0}},
        "data_centres": {"a": {}, "b": {}},
    }
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return {"generation": 1,
            "digest": hashlib.sha256(text.encode()).hexdigest(),
            "history": [[1, "measure"]], "content": content}


def put_object(platform, name, value):
    request = urllib.request.Request(
        f"http://{platform}/v1/objects/{name}", method="PUT",
        data=json.dumps(value).encode(), headers={"If-None-Match": "*"})
    urllib.request.urlopen(request).close()


def read_platform_calls(platform):
    with urllib.request.urlopen(f"http://{platform}/stats") as response:
        return json.load(response)


def read_cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def read_resident_bytes(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1)) * 1024


def read_connection_bytes():
    """Returns the sum of bytes sent and received per (pid, endpoints)."""
    output = subprocess.run(["ss", "-tniHOp"], capture_output=True, text=True,
                            check=True).stdout
    totals = {}
    for line in output.splitlines():
        owner = re.search(r"pid=(\d+)", line)
        if not owner:
            continue
        endpoints = tuple(line.split()[3:5])
        total = sum(int(value) for value in
                    re.findall(r"bytes_(?:sent|received):(\d+)", line))
        totals[(int(owner.group(1)), endpoints)] = total
    return totals


def bytes_between(before, after, pids):
    return sum(total - before.get(key, 0) for key, total in after.items()
               if key[0] in pids)


def start_fleet(fleet, size):
    _, line = fleet.start("standin_platform")
    platform = line.split()[-1]
    targets = []
    for number in range(TARGETS):
        name = f"content-{number}"
        _, line = fleet.start("standin_target", "--name", name, "--verified")
        targets.append((name, line.split()[-1]))
    put_object(platform, "config/current", configuration(targets))
    pids = []
    for number in range(size):
        settings = os.path.join(fleet.folder.name, f"{number}.json")
        with open(settings, "w", encoding="ascii") as file:
            json.dump({"instance": f"i{number}",
                       "data_centre": "ab"[number % 2],
                       "failure_domain": f"rack{number}",
                       "caller_address": "127.0.0.1:0",
                       "admin_address": "127.0.0.1:0",
                       "link_address": "127.0.0.1:0",
                       "platform_address": platform,
                       "traffic_threads": 1}, file)
        process, _ = fleet.start("buckthornringd", "--settings", settings)
        pids.append(process.pid)
    return platform, pids


def measure(build, size):
    fleet = Fleet(build)
    try:
        platform, pids = start_fleet(fleet, size)
        time.sleep(SETTLE_SECONDS)
        calls_before, bytes_before = read_platform_calls(
            platform), read_connection_bytes()
        cpu_before = {pid: read_cpu_seconds(pid) for pid in pids}
        started_at = time.monotonic()
        time.sleep(MEASURE_SECONDS)
        elapsed = time.monotonic() - started_at
        cpu_shares = [(read_cpu_seconds(pid) - cpu_before[pid]) / elapsed
                      for pid in pids]
        bytes_per_second = bytes_between(
            bytes_before, read_connection_bytes(), set(pids)) / elapsed
        calls_after = read_platform_calls(platform)
        memory = [read_resident_bytes(pid) for pid in pids]
    finally:
        fleet.stop()
    rate = {name: (calls_after[name] - calls_before[name]) / elapsed
            for name in ("reads", "writes", "watches")}
    return {
        "process.core_mean": (100 * sum(cpu_shares) / size, "% of a core",
                              1.8),
        "process.core_max": (100 * max(cpu_shares), "% of a core", 1.8),
        "process.memory_max": (max(memory) / 1e6, "MB", 256),
        "process.bytes_mean": (bytes_per_second / size / 1000, "KB/s", 5),
        "platform.reads": (rate["reads"], "calls/s", 2000),
        "platform.writes": (rate["writes"], "calls/s", 300),
        "platform.watches": (rate["watches"], "calls/s", 2000),
    }


def main():
    build = sys.argv[1]
    for size in FLEET_SIZES:
        for name, (value, unit, target) in measure(build, size).items():
            print(json.dumps({
                "measure": f"capacity.{name}", "policy": f"size={size}",
                "seed": 1, "value": round(value, 4), "unit": unit,
                "target": target, "met": value <= target}), flush=True)


if __name__ == "__main__":
    main()
