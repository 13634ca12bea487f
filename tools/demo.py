"""Demonstrates a small fleet on loopback: a platform, targets and instances in two data centres.

Applies an example configuration, sends mixed traffic, kills the owner of a key, applies a change and withdraws a caller
key. The kernel assigns all ports. Ends every process that it started, also on failure. Exits with status 0 when every
step succeeded.
"""

import collections
import http.client
import json
import os
import re
import select
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

BUILD = os.environ.get("BTR_BUILD_DIR", "build")
TIMEOUT_S = 55
INSTANCES_PER_DATA_CENTRE = 2
THREADS_PER_CALLER = 3
KEYS = [f"board-{number}" for number in range(24)]

# Per example: the partitioned service, how a request carries its key, requests to other services, the path of an open
# route, the caller key that is withdrawn.
EXAMPLES = {
    "consortium": {
        "service": "content",
        "keyed": lambda key: ("GET", "/content/" + key, {}),
        "others": [("GET", "/schedules/today"), ("POST", "/commands/reload"), ("GET", "/status/board-7")],
        "open": "/notices/today",
        "withdraw": "clear-screen",
        "unknown": "blue-board-2024",
    },
    "quetzal": {
        "service": "documents",
        "keyed": lambda key: ("GET", "/documents/show", {"X-Document": key}),
        "others": [("GET", "/stock/part-7"), ("POST", "/payments/new"), ("GET", "/quotations/9")],
        "open": "/price-list/2026",
        "withdraw": "repuestos-xela",
        "unknown": "nobody",
    },
}


class DemoFailure(Exception):
    pass


def log(text):
    print(f"{time.monotonic() - START_TIME:6.1f} s  {text}", flush=True)


def wait_until(description, condition, timeout_s=15.0):
    """Waits until the condition holds and returns the seconds that it took."""
    begin = time.monotonic()
    while not condition():
        if time.monotonic() - begin > timeout_s:
            raise DemoFailure(f"not within {timeout_s:g} s: {description}")
        time.sleep(0.005)
    return time.monotonic() - begin


class Processes:
    """The processes of the demonstration, which share a log file and are ended by process id."""

    def __init__(self, folder):
        self.running = []
        self.log = open(os.path.join(folder, "log"), "a+", encoding="utf-8")

    def start(self, program, *arguments):
        process = subprocess.Popen([os.path.join(BUILD, program), *arguments], stdout=subprocess.PIPE, stderr=self.log,
                                   text=True)
        self.running.append(process)
        return process

    @staticmethod
    def first_line(process):
        readable, _, _ = select.select([process.stdout], [], [], 10)
        line = process.stdout.readline().strip() if readable else ""
        if not line.startswith("listening "):
            raise DemoFailure(f"{process.args[0]} did not report its addresses")
        return line.removeprefix("listening ")

    def show_log(self, lines=20):
        self.log.seek(0)
        print("last lines of the log:", *self.log.read().splitlines()[-lines:], sep="\n  ", flush=True)

    def end_all(self):
        for process in self.running:
            if process.poll() is None:
                os.kill(process.pid, signal.SIGTERM)
        for process in self.running:
            try:
                process.wait(timeout=5)
            except subprocess.TimeoutExpired:
                os.kill(process.pid, signal.SIGKILL)
                process.wait()
        self.log.close()


def send(address, method, path, key=None, headers=None, timeout_s=5.0):
    """Returns status, headers and JSON body of the response; status 0 when there is none."""
    connection = http.client.HTTPConnection(*address.rsplit(":", 1), timeout=timeout_s)
    try:
        fields = dict(headers or {})
        if key:
            fields["Authorization"] = f"Bearer {key}-example-key"
        connection.request(method, path, headers=fields)
        response = connection.getresponse()
        text = response.read()
        try:
            body = json.loads(text)
        except ValueError:
            body = {}
        return response.status, response.headers, body
    except (OSError, http.client.HTTPException):
        return 0, {}, {}
    finally:
        connection.close()


class Traffic:
    """A load generator: threads for each caller key that send requests of all kinds to all instances in turn."""

    def __init__(self, callers, endpoints, example):
        """Endpoints are pairs of a caller address and the keys served there."""
        self.outcomes = {caller: collections.Counter() for caller in callers}
        self.lock = threading.Lock()  # Guards outcomes.
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(caller, endpoints, example, first))
                        for caller in callers for first in range(THREADS_PER_CALLER)]
        for thread in self.threads:
            thread.start()

    def run(self, caller, endpoints, example, number):
        kinds = len(example["others"]) + 2
        while not self.stopping.is_set():
            address, keys = endpoints[number // kinds % len(endpoints)]
            kind = number % kinds
            method, path, *rest = (example["others"][kind] if kind < len(example["others"])
                                   else example["keyed"](keys[number % len(keys)]))
            status, fields, _ = send(address, method, path, caller, *rest)
            if status == 200:
                label = "200"
            elif status == 0:
                label = "no response"
            else:
                label = f"{status} {fields.get('Btr-Refusal')} ({fields.get('Btr-Run')})"
            with self.lock:
                self.outcomes[caller][label] += 1
            number += THREADS_PER_CALLER
            self.stopping.wait(0.01)

    def total(self):
        with self.lock:
            return sum(sum(outcomes.values()) for outcomes in self.outcomes.values())

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()


class Demo:
    def __init__(self, name, folder):
        self.example = EXAMPLES[name]
        self.folder = os.path.join(folder, "configuration")
        self.work_folder = folder
        self.processes = Processes(folder)
        self.targets = {}  # name: (process, address)
        self.instances = {}  # name: (process, caller address, admin address)
        self.content = {}
        self.keys = {}  # data centre: keys served there
        shutil.copytree(os.path.join("examples", name), self.folder)
        for file in sorted(os.listdir(self.folder)):
            with open(os.path.join(self.folder, file), encoding="utf-8") as text:
                self.content.update(json.loads(re.sub(r"^\s*//.*$", "", text.read(), flags=re.MULTILINE)))

    def command(self, *arguments, expected=(0,)):
        result = subprocess.run([os.path.join(BUILD, "buckthornring"), "--platform", self.platform, *arguments],
                                capture_output=True, text=True, timeout=20, check=False)
        if result.returncode not in expected:
            raise DemoFailure(f"buckthornring {' '.join(arguments)}: exit {result.returncode}: "
                          f"{result.stdout}{result.stderr}")
        return result.stdout.strip()

    def admin_options(self):
        return [word for _, _, admin in self.instances.values() for word in ("--admin", admin)]

    def callers(self, data_centre=""):
        return [caller for name, (_, caller, _) in self.instances.items() if name.startswith(data_centre)]

    def start_servers(self):
        self.platform = Processes.first_line(self.processes.start("standin_platform", "--max-seconds", "120"))
        started = {}
        for service in self.content["services"].values():
            verified = service["kind"] == "divided" and service.get("verification", "verified") == "verified"
            for name in service["targets"]:
                arguments = ["--name", name, "--max-seconds", "120"] + (["--verified"] if verified else [])
                started[name] = self.processes.start("standin_target", *arguments)
        for name, process in started.items():
            self.targets[name] = (process, Processes.first_line(process))
        addresses = {"services": {}}
        for service, entry in self.content["services"].items():
            addresses["services"][service] = {
                "targets": {name: {"address": self.targets[name][1]} for name in entry["targets"]}}
        self.write_file("90-addresses.json", addresses)
        log(f"platform at {self.platform}, {len(self.targets)} targets")

    def write_file(self, file, value):
        with open(os.path.join(self.folder, file), "w", encoding="utf-8") as text:
            json.dump(value, text)

    def start_instances(self):
        started = {}
        for data_centre in self.content["data_centres"]:
            for number in range(1, INSTANCES_PER_DATA_CENTRE + 1):
                name = f"{data_centre}-entry-{number}"
                path = os.path.join(self.work_folder, name + ".json")
                with open(path, "w", encoding="utf-8") as text:
                    json.dump({"instance": name, "data_centre": data_centre,
                               "failure_domain": f"{data_centre}-rack-{number}", "caller_address": "127.0.0.1:0",
                               "admin_address": "127.0.0.1:0", "link_address": "127.0.0.1:0",
                               "platform_address": self.platform}, text)
                started[name] = self.processes.start("buckthornringd", "--settings", path)
        for name, process in started.items():
            addresses = dict(word.split("=", 1) for word in Processes.first_line(process).split())
            self.instances[name] = (process, addresses["caller"], addresses["admin"])
        log(f"{len(self.instances)} instances in {len(self.content['data_centres'])} data centres")

    def target_of(self, address, key, deadline_ms=300):
        """Returns the target that serves a key, or None."""
        method, path, headers = self.example["keyed"](key)
        headers = {**headers, "Btr-Deadline-Ms": str(deadline_ms)}
        status, _, body = send(address, method, path, self.first_key(), headers)
        return body.get("target") if status == 200 else None

    def first_key(self):
        return next(iter(self.content["caller_keys"]))

    def wait_for_service(self):
        """Waits until all instances of some data centre serve each key, and records which data centres do."""

        def served():
            self.keys = {data_centre: [] for data_centre in self.content["data_centres"]}
            for key in KEYS:
                homes = [data_centre for data_centre in self.keys if all(
                    self.target_of(address, key, 100) for address in self.callers(data_centre))]
                if not homes:
                    return False
                for data_centre in homes:
                    self.keys[data_centre].append(key)
            return True

        seconds = wait_until("each key is served", served, 20)
        log(f"each of {len(KEYS)} keys of {self.example['service']} is served after {seconds:.1f} s: " + ", ".join(
            f"{len(keys)} through {data_centre}" for data_centre, keys in self.keys.items()))

    def kill_owner(self):
        data_centre, keys = next((data_centre, keys) for data_centre, keys in self.keys.items() if keys)
        key = keys[0]
        address = self.callers(data_centre)[0]
        owner = self.target_of(address, key)
        if owner is None:
            raise DemoFailure(f"{key} has no owner")
        log(f"{key} is owned by {owner}; killing that target")
        os.kill(self.targets[owner][0].pid, signal.SIGKILL)
        self.targets[owner][0].wait()
        seconds = wait_until("the key is served again", lambda: self.target_of(address, key))
        log(f"{key} is served again after {seconds:.2f} s by {self.target_of(address, key)}")
        log("owner: " + "; ".join(self.command("owner", self.example["service"], key).splitlines()))

    def apply_change(self):
        self.write_file("95-change.json", {"routes": {"archive": {
            "path_prefix": "/archive", "service": next(iter(self.content["routes"].values()))["service"],
            "open": True}}})
        log("diff: " + "; ".join(self.command("diff", self.folder, expected=(7,)).splitlines()))
        self.command("apply", self.folder)
        seconds = wait_until("all instances serve the new route", lambda: all(
            send(address, "GET", "/archive/1")[0] == 200 for address in self.callers()))
        log(f"all instances serve the new route {seconds:.2f} s after the command")
        log("status: " + "; ".join(self.command("status", *self.admin_options(), "--wait-ms", "2000").splitlines()))

    def withdraw_key(self):
        name = self.example["withdraw"]
        path = self.example["others"][0][1]
        self.command("withdraw-key", name)
        seconds = wait_until("all instances refuse the key", lambda: all(
            send(address, "GET", path, name)[0] == 401 for address in self.callers()))
        log(f"all instances refuse the caller key {name} {seconds:.2f} s after the command")

    def show_refusals(self):
        address = self.callers()[0]
        path = self.example["others"][0][1]
        for description, key, target in (("without a key", None, path), ("with an unknown key", "nobody", path),
                                  ("with a withdrawn key", self.example["withdraw"], path),
                                  ("on the open route", None, self.example["open"])):
            status, fields, _ = send(address, "GET", target, key)
            refusal = fields.get("Btr-Refusal")
            log(f"a request {description}: {status}" + (f" {refusal} ({fields.get('Btr-Run')})" if refusal else ""))

    def check_targets(self):
        runs = repeated = keys = 0
        for process, address in self.targets.values():
            if process.poll() is None:
                body = send(address, "GET", "/runs")[2]
                runs += len(body["runs"])
                repeated += body["twice"]
                keys += body["caller_keys_seen"]
        log(f"remaining targets: {runs} runs, {repeated} requests run twice, {keys} caller keys seen")
        if repeated or keys:
            raise DemoFailure("a target ran a request twice or saw a caller key")

    def stop_instances(self):
        for process, _, _ in self.instances.values():
            os.kill(process.pid, signal.SIGTERM)
        codes = [process.wait(timeout=10) for process, _, _ in self.instances.values()]
        log(f"instances ended with exit codes {codes}")
        if any(codes):
            raise DemoFailure("an instance ended with a non-zero exit code")

    def run(self):
        self.start_servers()
        log(self.command("apply", self.folder).splitlines()[0])
        self.start_instances()
        self.wait_for_service()
        endpoints = [(address, keys) for data_centre, keys in self.keys.items() if keys
                  for address in self.callers(data_centre)]
        traffic = Traffic([key for key, entry in self.content["caller_keys"].items() if not entry.get("withdrawn")],
                          endpoints, self.example)
        try:
            wait_until("every caller key has 50 successful requests", lambda: all(
                outcomes["200"] >= 50 for outcomes in traffic.outcomes.values()))
            log("mixed traffic is running")
            self.kill_owner()
            self.apply_change()
            self.withdraw_key()
            before = traffic.total()
            wait_until("300 more requests complete", lambda: traffic.total() >= before + 300)
        finally:
            traffic.stop()
        self.show_refusals()
        log("outcomes by caller key:")
        for key, outcomes in traffic.outcomes.items():
            log(f"  {key}: " + ", ".join(f"{label} x{count}" for label, count in outcomes.most_common()))
        self.check_targets()
        self.stop_instances()


def main():
    name = sys.argv[1] if len(sys.argv) > 1 else "consortium"
    if name not in EXAMPLES:
        print(f"usage: tools/demo [{'|'.join(EXAMPLES)}]", file=sys.stderr)
        return 2

    def on_signal(number, _frame):
        raise DemoFailure(f"ended by signal {number}" if number != signal.SIGALRM else f"timed out after {TIMEOUT_S} s")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, on_signal)
    signal.alarm(TIMEOUT_S)
    with tempfile.TemporaryDirectory(prefix="btr-demo-") as folder:
        demo = Demo(name, folder)
        try:
            demo.run()
            log("done")
            return 0
        except (DemoFailure, subprocess.TimeoutExpired) as failure:
            log(f"failed: {failure}")
            demo.processes.show_log()
            return 1
        finally:
            signal.alarm(0)
            demo.processes.end_all()


START_TIME = time.monotonic()
if __name__ == "__main__":
    sys.exit(main())
