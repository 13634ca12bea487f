"""Checks the invariants on what callers and targets observe."""

import collections
import time

# Limits of the service level given to the instances, in seconds.
DRAIN_LIMIT = 2.0        # a draining target gets no requests after this
EVACUATION_LIMIT = 5.0   # an evacuated data centre gets no requests after this
APPLY_LIMIT = 2.0        # a configuration is in force after this
SETTLE_TIME = 3.0        # the limits apply this long after the last fault
RESPONSE_SLACK = 1.0     # maximum time from a deadline to the response
ORDER_DELAY_LIMIT = 3.0  # maximum delay of orders to a target with a fault
CALL_LIMITS = {"reads": 2000, "writes": 400}  # store calls a second
PRINTED = 6              # printed violations of one invariant
LARGE_RESPONSE = 2000    # bodies in a large response
SPREAD_LIMIT = 0.5       # between the threads of a process
KEYS = (17, 18, 900, 30000, 30001, 65000)  # all keyed requests use these


class Attempt:
    """One request as sent by a caller."""

    def __init__(self, number, instance, route, workspace, secret, key, body,
                 path=None):
        self.id = f"a{number}"
        self.path = path or f"/{route}/{self.id}"
        self.route, self.instance = route, instance.name
        self.process = instance.process_id()
        self.workspace, self.secret = workspace, secret
        self.key, self.body = key, body
        self.sent_at = time.monotonic()
        self.runs = []        # (target, time)
        self.completed = None  # when a target finished running it
        self.shape, self.work = "plain", 0.0  # of its response; seconds
        self.status = None

    def repeats(self):
        """How often the response repeats the body."""
        return LARGE_RESPONSE if self.shape == "large" else 1


class Invariants:
    def __init__(self):
        self.attempts = {}
        self.allowed = {}       # route -> its services in any configuration
        self.drained_at = {}    # target -> when the store recorded its draining
        self.evacuated_at = {}  # data centre -> when the store recorded it
        self.withdrawn_at = {}  # secret -> when the store recorded it
        self.added_at = {}      # secret -> when the store recorded it
        self.configured_at = {}  # generation -> when the store recorded it
        self.accepted = {}      # (process, secret) -> last run
        self.rejected = {}      # (process, secret) -> 401 after its withdrawal
        self.known_leaving = {}  # (process, target) -> when the process knew it
        self.disturbed_until = {}  # instance, "store" or target -> end of fault
        self.owners = {}        # (service, key) -> (target, time) of last run
        self.fences = {}        # (service, key) -> (target, highest fence)
        self.violations = []
        self.served = self.refused = self.failed = 0
        self.reasons = {}

    def report(self, invariant, text):
        self.violations.append((invariant, text))
        count = sum(each == invariant for each, _ in self.violations)
        if count > PRINTED:
            return
        print(f"VIOLATED {invariant}: {text}", flush=True)

    def counts(self):
        return dict(collections.Counter(each for each, _ in self.violations))

    # Injected faults.

    def disturb(self, name, seconds):
        """Records that a fault affects name for this many seconds."""
        until = time.monotonic() + seconds
        self.disturbed_until[name] = max(
            self.disturbed_until.get(name, 0), until)

    def undisturbed(self, name, since):
        """Whether the last fault ended more than SETTLE_TIME before since."""
        return self.disturbed_until.get(name, 0) < since - SETTLE_TIME

    def time_limits_apply(self, attempt):
        """Whether the limits of the service level apply to the attempt."""
        return (self.undisturbed(attempt.instance, attempt.sent_at)
                and self.undisturbed("store", attempt.sent_at))

    # Events of the targets.

    def on_run(self, target, fields, path, body):
        now = time.monotonic()
        attempt = self.attempts.get(fields.get("attempt-id"))
        if attempt is None:
            return self.report("unknown-request", f"{path} without a known id")
        context = f"{attempt.id} {path} at {target.id} from {attempt.instance}"
        if path != attempt.path or body != attempt.body:
            self.report("unknown-request", f"{context}: path or body altered")
        if "api-key" in fields or fields.get("tenant") != attempt.workspace:
            self.report("workspace", f"{context}: {fields.get('tenant')}")
        if target.service not in self.allowed[attempt.route]:
            self.report("route", f"{context}: {target.service}")
        if attempt.route == "unsafe" and attempt.runs:
            self.report("twice", f"{context}, first {attempt.runs[0]}")
        if attempt.status in (429, 503, 408, 421):
            self.report("not-run", f"{context} after {attempt.status}")
        attempt.runs.append((target.id, now))
        if attempt.key is not None:
            self.check_owner(target, attempt.key, context, now)
        self.check_forgotten(target, attempt, context, now)
        if self.time_limits_apply(attempt):
            self.check_time_limits(target, attempt, context)

    def check_forgotten(self, target, attempt, context, now):
        """A process does not forget what it knew, whatever the store says."""
        self.accepted[attempt.process, attempt.secret] = now
        since = self.rejected.get((attempt.process, attempt.secret), now)
        if attempt.sent_at - since > SPREAD_LIMIT:
            self.report("config-back", f"{context}: accepted secret "
                        f"{attempt.secret} {now - since:.2f} s after a 401")
        since = self.known_leaving.get((attempt.process, target), now)
        # Keys stay with an owner that leaves while the store is not available.
        if attempt.key is None and attempt.sent_at - since > DRAIN_LIMIT:
            self.report("left", f"{context}: used {attempt.sent_at - since:.2f}"
                        " s after the process knew that it leaves")

    def check_time_limits(self, target, attempt, context):
        delay = attempt.sent_at - self.drained_at.get(target, attempt.sent_at)
        if delay > DRAIN_LIMIT:
            self.report("drain", f"{context}, {delay:.2f} s late")
        since = self.evacuated_at.get(target.data_centre)
        if since is not None and attempt.sent_at - since > EVACUATION_LIMIT:
            self.report("evacuation",
                        f"{context}, {attempt.sent_at - since:.2f} s")
        since = self.withdrawn_at.get(attempt.secret)
        if since is not None and attempt.sent_at - since > APPLY_LIMIT:
            self.report("withdrawn",
                        f"{context}, {attempt.sent_at - since:.2f} s")

    def check_owner(self, target, key, context, now):
        previous, since = self.owners.get((target.service, key), (target, 0))
        self.owners[target.service, key] = (target, now)
        if previous is target or not previous.up or since < target.owned_since(
                key):
            return
        if previous.holds(key) and self.orders_undisturbed(previous) \
                and self.orders_undisturbed(target):
            self.report("owner",
                        f"{context}: {previous.id} holds key {key} too")

    def on_grant(self, target, low, high, fence):
        for key in KEYS:
            if not low <= key <= high:
                continue
            context = f"{target.service} {low}-{high} to {target.id}"
            last, highest = self.fences.get((target.service, key), (target, 0))
            if (fence == highest and last.id != target.id) or (
                    fence < highest and self.orders_undisturbed(target)
                    and self.orders_undisturbed(last)):
                self.report("fence", f"{context}: {fence} for key {key}, "
                            f"but {last.id} had {highest}")
            if fence >= highest:
                self.fences[target.service, key] = (target, fence)
            for other in target.soak.targets.alive:
                if other is not target and other.service == target.service \
                        and other.up and other.holds(key) \
                        and self.orders_undisturbed(other) \
                        and self.orders_undisturbed(target):
                    self.report("owner", f"{context} with {fence}: "
                                f"{other.id} holds key {key} too")

    def orders_undisturbed(self, target):
        return self.disturbed_until.get(
            target, 0) < time.monotonic() - ORDER_DELAY_LIMIT

    # Events of the callers.

    def on_response(self, attempt, status, fields, body, signature, expected):
        attempt.status = status
        context = (f"{attempt.id} {attempt.route} {status} "
                   f"from {attempt.instance}")
        if fields.get("attempt-id", attempt.id) != attempt.id:
            self.report("wrong-response",
                        f"{context}: {fields.get('attempt-id')}")
        if 200 <= status < 300 and (signature is None or body != expected):
            self.report("wrong-response", f"{context}: {body[:60]!r}")
        if status in (429, 503, 408, 421) and attempt.runs:
            self.report("not-run", f"{context}: ran {attempt.runs}")
        if status == 401:
            self.check_rejection(attempt, context)
        if status < 300:
            self.served += 1
        elif status != 401 or attempt.secret not in self.withdrawn_at:
            self.refused += 1
            reason = f"{status} {fields.get('btr-refusal', 'target')}"
            self.reasons[reason] = self.reasons.get(reason, 0) + 1

    def check_rejection(self, attempt, context):
        process = (attempt.process, attempt.secret)
        if attempt.secret in self.withdrawn_at:
            self.rejected.setdefault(process, time.monotonic())
        elif attempt.sent_at - self.accepted.get(
                process, attempt.sent_at) > SPREAD_LIMIT:
            self.report("config-back", f"{context}: {attempt.secret} was "
                        "accepted before")
        elif self.time_limits_apply(attempt) and attempt.sent_at > \
                self.added_at.get(attempt.secret, 0) + APPLY_LIMIT:
            self.report("denied", f"{context}: {attempt.secret}")

    # What the processes know according to their logs.

    def on_configuration(self, instance, generation, previous, at):
        if generation <= previous:
            self.report("config-back",
                        f"{instance}: {generation} after {previous}")
        since = self.configured_at.get(generation, at)
        if at - since > APPLY_LIMIT and self.undisturbed(instance, since) \
                and self.undisturbed("store", since):
            self.report("config-late",
                        f"{instance}: {generation}, {at - since:.2f} s")

    def check_store_calls(self, calls_by_second):
        for (kind, second), calls in calls_by_second.items():
            if calls > CALL_LIMITS[kind]:
                self.report("store-calls", f"{calls} {kind} in a second, "
                            f"{time.monotonic() - second:.0f} s ago")

    def on_leaving(self, process, target, at):
        if target in self.drained_at:
            self.known_leaving.setdefault((process, target), at)

    def on_no_response(self, attempt, reason, stopping):
        self.failed += 1
        self.reasons[reason] = self.reasons.get(reason, 0) + 1
        context = f"{attempt.id} {attempt.route} from {attempt.instance}"
        if reason == "timed-out" and self.time_limits_apply(
                attempt) and self.undisturbed(
                    attempt.instance, time.monotonic()):
            self.report("no-response", f"{context}: none by its deadline")
        if stopping and attempt.completed:
            self.report(
                "stop", f"{context}: response of a target was not forwarded")
