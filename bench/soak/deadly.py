"""Requests that crash each target that begins to run them, sent repeatedly."""

import asyncio
import time

from callers import Caller
from faults import restart_target
from invariants import KEYS, Attempt

CRASHES_TO_KNOW = 3    # crashes after which a request is not to be sent any more
CONTACT_TIME = 3.0     # by which all instances in touch know of them, seconds
MAX_SENT_LATER = 3     # requests that may reach targets after that
MEAN_PAUSE = 0.15      # between requests of one caller, seconds, on average
QUARANTINED = "request-quarantined"  # reason of a refusal


class DeadlyRequest:
    def __init__(self, soak, number):
        route = soak.random.choice(("safe", "safe", "safe", "unsafe", "owned"))
        self.route, self.path = route, f"/{route}/deadly-{number}"
        self.body = b"deadly" if route == "unsafe" else b""
        self.key = soak.random.choice(KEYS) if route == "owned" else None
        self.crashes, self.sent_later = [], 0


class DeadlyCaller(Caller):
    """Sends one request again and again, each time to another instance."""

    def __init__(self, soak, request):
        super().__init__(soak, 0)
        self.request = request

    def attempt(self):
        request = self.request
        return self.register(request.route, "rival", "key-b", request.key,
                             request.body, request.path)

    async def run(self):
        while self.soak.calling:
            await asyncio.sleep(self.random.expovariate(1 / MEAN_PAUSE))
            if await self.connect():
                await self.send(1)
                self.close()


class Deadly:
    """The deadly requests, and the checks on who still sends them."""

    def __init__(self, soak):
        self.soak, self.requests = soak, {}

    async def send_repeatedly(self, seconds, callers):
        request = DeadlyRequest(self.soak, len(self.requests))
        self.requests[request.path] = request
        tasks = [asyncio.ensure_future(DeadlyCaller(self.soak, request).run())
                 for _ in range(callers)]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        print(f"{request.path}: {len(request.crashes)} crashes, "
              f"{request.sent_later} sent later", flush=True)

    def on_run(self, target, path, attempt):
        """Crashes the target and returns True if the request is deadly."""
        request = self.requests.get(path)
        if request is None:
            return False
        self.check_sent(request, target, attempt)
        request.crashes.append(time.monotonic())
        self.soak.targets.end(target)
        self.soak.faults.append(
            asyncio.ensure_future(restart_target(self.soak, target)))
        return True

    def check_sent(self, request, target, attempt):
        now, invariants = time.monotonic(), self.soak.invariants
        if len(request.crashes) < CRASHES_TO_KNOW or attempt is None:
            return
        since = now - request.crashes[CRASHES_TO_KNOW - 1]
        if since <= CONTACT_TIME or not (
                invariants.undisturbed(attempt.instance, now)
                and self.data_centres_in_contact(now)):
            return
        request.sent_later += 1
        if request.sent_later == MAX_SENT_LATER + 1:
            invariants.report(
                "deadly", f"{attempt.id} {request.path} at {target.id} from "
                f"{attempt.instance}, {since:.2f} s after the third crash, "
                f"{len(request.crashes)} crashes")

    def data_centres_in_contact(self, now):
        """They tell each other through the leader, which needs no store, but
        cannot be replaced without it."""
        leader, invariants = self.soak.leader(), self.soak.invariants
        return invariants.undisturbed("store", now) or bool(
            leader and invariants.undisturbed(leader.name, now))

    def check_refusal(self, attempt, reason):
        """Other requests are not quarantined."""
        if reason == QUARANTINED and attempt.path not in self.requests:
            self.soak.invariants.report(
                "quarantined", f"{attempt.id} {attempt.path} from "
                f"{attempt.instance}")
