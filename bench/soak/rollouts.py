"""Rollout orders, and checks on what reaches the targets of their versions."""

import time

EXPOSURE_SHARE, EXPOSURE_SLACK, ROLLBACK_TIME = 0.1, 50, 5.0
BOUNDS = {"exposure_share": EXPOSURE_SHARE, "exposure_slack": EXPOSURE_SLACK,
          "rollback_s": ROLLBACK_TIME}
BAD_RESPONSES = 50    # after which ROLLBACK_TIME begins
STALE_LIMIT = 2.0     # an instance without replies compares for this long, s
TRANSIT_SLACK = 0.1   # a request may be on its way for this long, seconds
# Before this time ahead of the deadline nothing but its responses has a
# version rolled back, seconds.
LATE_END = 3.0
GOOD, FAILING, SLOW = "good", "failing", "slow"


class Order:
    """A rollout of one service; its length is in seconds."""

    def __init__(self, service, version, kind, length):
        self.service, self.version = service, version
        self.kind, self.length = kind, length
        self.old, self.new = [], []  # targets
        self.written_at = self.deadline = self.ended_at = None
        self.state, self.finished = None, False
        self.around = None  # the fault beside it
        self.requests, self.sent_to_new = set(), 0
        self.bad_at = []  # times of the bad responses
        self.late = False

    def __str__(self):
        return f"{self.service} to {self.version} ({self.kind})"

    def ended(self):
        return self.state in ("succeeded", "rolled_back")

    def summary(self):
        end = f"{self.ended_at - self.written_at:.2f}" if self.ended() else "-"
        return (f"{self}: {self.state} after {end} of {self.length:.2f} s, "
                f"{self.sent_to_new} of {len(self.requests)} requests at the "
                f"new version, {len(self.bad_at)} bad responses")


class Rollouts:
    """All orders. A version is ordered once for a service."""

    def __init__(self, soak):
        self.soak = soak
        self.versions = {}       # service -> version in use
        self.orders = {}         # (service, version) -> Order
        self.leader_losses = []  # times
        self.served = set()      # services whose targets have had requests
        soak.store.on_status = self.on_status

    def report(self, invariant, text):
        self.soak.invariants.report(invariant, text)

    def version_in_use(self, service):
        return self.versions.get(service, "v1")

    def running(self):
        return [each for each in self.orders.values() if not each.finished]

    def prepare(self, service, kind, length):
        """Creates an order that is not in the store yet."""
        count = sum(name == service for name, _ in self.orders)
        order = Order(service, f"v{count + 2}", kind, length)
        self.orders[service, order.version] = order
        return order

    def write(self, order):
        order.written_at = time.monotonic()
        order.deadline = order.written_at + order.length
        self.soak.store.put("rollouts", order.service, {
            "service": order.service, "to": order.version,
            "duration_s": order.length})

    # Events of the store.

    def on_status(self, kind, name, status):
        if kind != "rollouts":
            return
        now, order = time.monotonic(), self.orders.get((name, status["to"]))
        if order is None or order.written_at is None or order.ended():
            return self.report("rollout-status", f"{name}: {status} after "
                               f"{order and order.state}")
        order.state, order.ended_at = status["state"], now
        if order.state == "succeeded":
            self.versions[name] = order.version
            self.check_keys(order)

    def check_keys(self, order):
        for target in order.old:
            held = [grant for grant in target.grants
                    if time.monotonic() < grant[4]]
            if target.up and held:
                self.report("rollout-keys", f"{order}: {target.id} holds "
                            f"{held} at its end")

    # Events of the targets.

    def on_arrival(self, target, attempt_id):
        """A request that is not misdirected has reached the target."""
        attempt = self.soak.invariants.attempts.get(attempt_id)
        if attempt is None:
            return
        self.served.add(target.service)
        for order in self.orders.values():
            if order.service == target.service:
                self.check_arrival(order, target, attempt, time.monotonic())

    def check_arrival(self, order, target, attempt, now):
        context = f"{order}: {attempt.id} at {target.id} from " \
            f"{attempt.instance}"
        if order.written_at is None:
            if target in order.new:
                self.report("rollout-early", f"{context} before the order")
            return
        if now < order.deadline:
            order.requests.add(attempt.id)
            order.sent_to_new += target in order.new
        if target in order.old and order.state == "succeeded":
            self.report("rollout-old", f"{context}, {now - order.ended_at:.2f}"
                        " s after succeeded")
        if target not in order.new:
            return
        if order.state == "rolled_back" and \
                now > order.ended_at + STALE_LIMIT + TRANSIT_SLACK:
            self.report("rollout-rejected", f"{context}, "
                        f"{now - order.ended_at:.2f} s after rolled_back")
        if len(order.bad_at) >= BAD_RESPONSES:
            since = now - order.bad_at[BAD_RESPONSES - 1]
            if since > ROLLBACK_TIME + TRANSIT_SLACK and not order.late:
                order.late = True
                self.report("rollout-late", f"{context}, {since:.2f} s after "
                            f"{BAD_RESPONSES} bad responses")

    def on_response(self, target, failed):
        order = self.orders.get((target.service, target.version))
        if order and (failed or target.slowdown > 1):
            order.bad_at.append(time.monotonic())

    # Checks at the end of an order.

    def check_deadline(self, order):
        """To be called at the deadline."""
        if order.kind == GOOD:
            return self.check_good(order)
        limit = EXPOSURE_SHARE * len(order.requests) + EXPOSURE_SLACK
        if order.sent_to_new > limit:
            self.report("rollout-exposure", f"{order.summary()}; {limit:.0f} "
                        "allowed")

    def check_good(self, order):
        if order.state == "succeeded":
            return
        early = order.state == "rolled_back" and \
            order.ended_at < order.deadline - LATE_END
        if early or not self.excused(order):
            record = self.soak.store.objects.get(
                ("buckthornring", f"rollout.{order.service}"))
            self.report("rollout-good", f"{order.summary()}; record: "
                        f"{record and record['spec']}")

    def excused(self, order):
        """No stage advances while the store is away, and the time is bounded
        for the loss of one leader."""
        disturbed = self.soak.invariants.disturbed_until.get("store", 0)
        losses = [at for at in self.leader_losses
                  if order.written_at <= at < order.deadline]
        return disturbed > order.written_at or len(losses) > 1

    def check_end(self, order):
        """To be called when the order has ended or should have."""
        if not order.ended():
            self.report("rollout-end", order.summary())
        elif order.kind != GOOD and order.state != "rolled_back":
            self.report("rollout-bad", order.summary())
