"""Checks the invariants on what callers and targets observe."""

import time

# Limits of the service level given to the instances, in seconds.
DRAIN_LIMIT = 2.0        # a draining target gets no requests after this
EVACUATION_LIMIT = 5.0   # an evacuated data centre gets no requests after this
APPLY_LIMIT = 2.0        # a configuration is in force after this
SETTLE_TIME = 3.0        # the limits apply this long after the last fault
RESPONSE_SLACK = 1.0     # maximum time from a deadline to the response
ORDER_DELAY_LIMIT = 3.0  # maximum delay of orders to a target with a fault


class Attempt:
    """One request as sent by a caller."""

    def __init__(self, number, route, instance, workspace, secret, key, body):
        self.id = f"a{number}"
        self.route, self.instance = route, instance
        self.workspace, self.secret = workspace, secret
        self.key, self.body = key, body
        self.sent_at = time.monotonic()
        self.runs = []        # (target, time)
        self.completed = None  # when a target finished running it
        self.status = None


class Invariants:
    def __init__(self):
        self.attempts = {}
        self.allowed = {}       # route -> its services in any configuration
        self.drained_at = {}    # target -> when the store recorded its draining
        self.evacuated_at = {}  # data centre -> when the store recorded it
        self.withdrawn_at = {}  # secret -> when the store recorded it
        self.disturbed_until = {}  # instance, "store" or target -> end of fault
        self.owners = {}        # (service, key) -> (target, time) of last run
        self.violations = []
        self.served = self.refused = self.failed = 0
        self.reasons = {}

    def report(self, invariant, text):
        self.violations.append((invariant, text))
        print(f"VIOLATED {invariant}: {text}", flush=True)

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
        if path != f"/{attempt.route}/{attempt.id}" or body != attempt.body:
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
        if self.time_limits_apply(attempt):
            self.check_time_limits(target, attempt, context)

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
        if status < 300:
            self.served += 1
        else:
            self.refused += 1
            reason = f"{status} {fields.get('btr-refusal', 'target')}"
            self.reasons[reason] = self.reasons.get(reason, 0) + 1

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
