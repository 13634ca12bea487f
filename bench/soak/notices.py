"""What targets announce of themselves in their responses: faults and checks.

A target that leaves says so in all its responses. One that turns a request away
may name a pause during which it wants nothing from that instance.
"""

import asyncio
import time

from invariants import DRAIN_LIMIT
from targets import signature

PAUSE_SLACK = 0.5          # requests may be on their way for this long, seconds
MAX_REQUESTS_IN_PAUSE = 2  # per instance, from then until the end of the pause


class Pause:
    """A pause that a target has asked of one instance."""

    def __init__(self, until):
        self.asked_at, self.until = time.monotonic(), until
        self.requests = 0


class Notices:
    """Checks what reaches a target after it has announced something.

    Nothing is remembered over a restart of the instance, and a freeze since
    the announcement excuses the instance.
    """

    def __init__(self, soak):
        self.soak = soak
        self.leaving_responses = set()  # (target, attempt id)
        self.passed_on = {}  # (instance process, target) -> time
        self.pauses = {}     # (instance process, target) -> list of Pause

    def process_of(self, attempt):
        for instance in self.soak.instances:
            if instance.name == attempt.instance:
                return instance.process
        return None

    def excused(self, attempt, target, since):
        disturbed = self.soak.invariants.disturbed_until
        return (disturbed.get(attempt.instance + "/abrupt", 0) > since
                or disturbed.get(target, 0) > since)

    # Events of the targets.

    def on_leaving_response(self, target, attempt_id):
        self.leaving_responses.add((target, attempt_id))

    def on_rejection(self, target, attempt_id, until):
        """The target has turned a request away until the given time."""
        attempt = self.soak.invariants.attempts.get(attempt_id)
        if attempt is not None:
            self.pauses.setdefault((self.process_of(attempt), target),
                                   []).append(Pause(until))

    def on_arrival(self, target, attempt_id):
        """A request that is not misdirected has reached the target."""
        attempt = self.soak.invariants.attempts.get(attempt_id)
        if attempt is None:
            return
        source = (self.process_of(attempt), target)
        self.check_leaving(target, attempt, source)
        self.check_pause(target, attempt, source)

    def check_leaving(self, target, attempt, source):
        since = self.passed_on.get(source)
        if since is None or self.excused(attempt, target, since):
            return
        delay = attempt.sent_at - since
        if delay > DRAIN_LIMIT:
            self.soak.invariants.report(
                "drain", f"{attempt.id} {attempt.route} at {target.id} from "
                f"{attempt.instance}, {delay:.2f} s after its own notice")

    def check_pause(self, target, attempt, source):
        now = time.monotonic()
        for pause in self.pauses.get(source, []):
            if not pause.asked_at + PAUSE_SLACK <= now < pause.until:
                continue
            pause.requests += 1
            if pause.requests == MAX_REQUESTS_IN_PAUSE + 1 and \
                    not self.excused(attempt, target, pause.asked_at):
                self.soak.invariants.report(
                    "budget", f"{attempt.id} {attempt.route} at {target.id} "
                    f"from {attempt.instance}, {now - pause.asked_at:.2f} s "
                    f"into a pause of {pause.until - pause.asked_at:.2f} s")

    # Events of the callers.

    def on_response(self, attempt, signed):
        """The caller has a response with this signature."""
        for target in self.soak.targets.alive:
            if (target, attempt.id) in self.leaving_responses and \
                    signature(target.id, attempt.id) == signed:
                self.passed_on.setdefault(
                    (self.process_of(attempt), target), time.monotonic())


# Faults.

async def announce_leaving(soak):
    """A target says in its responses alone that it leaves, and ends later."""
    target = soak.targets.pick()
    if target is None:
        return
    await soak.targets.add(target.service, target.service_time, None,
                           target.data_centre)
    target.announce_leaving()
    await asyncio.sleep(soak.random.uniform(3, 8))
    target.leave()
    await asyncio.sleep(soak.random.uniform(0.5, 3))
    soak.targets.end(target)


async def pause_target(soak):
    """A target turns all requests away and asks for a pause."""
    target = soak.targets.pick()
    if target is not None:
        await pause(soak, [target])


async def pause_service(soak):
    """All targets of a service ask for a pause at once."""
    target = soak.targets.pick()
    if target is not None:
        await pause(soak, [each for each in soak.targets.alive
                           if each.service == target.service])


async def pause(soak, targets):
    duration = soak.random.uniform(0.7, 4)
    for target in targets:
        target.pause_until = max(target.pause_until,
                                 time.monotonic() + duration)
    await asyncio.sleep(duration)


NOTICE_FAULTS = [(each.__name__, each) for each in (
    announce_leaving, announce_leaving, pause_target, pause_target,
    pause_service)]
