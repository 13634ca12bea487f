"""Callers, which keep a connection until its instance ends or it fails."""

import asyncio
import time

from invariants import KEYS, RESPONSE_SLACK, Attempt
from targets import body_for
from wire import ConnectionFailed, message, read_message

DEADLINE = 3.0
MEAN_PAUSE = 0.04  # between requests of one caller, seconds, on average
CONNECT_TIMEOUT = 1.0
POLLED_SHARE = 0.2      # share of the safe requests that come again
WITHDRAWN_SHARE = 0.03  # share of the requests with a withdrawn secret


class Caller:
    def __init__(self, soak, number):
        self.soak, self.number = soak, number
        self.random = soak.random
        self.instance = None
        self.writer = None

    async def run(self):
        while self.soak.calling:
            await asyncio.sleep(self.random.expovariate(1 / MEAN_PAUSE))
            if self.writer is None and not await self.connect():
                continue
            await self.send(2 if self.random.random() < 0.1 else 1)
            if self.random.random() < 0.02:
                self.close()
        self.close()

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None

    async def connect(self):
        # Like a load balancer, connects only to an instance that reports ready.
        self.instance = self.random.choice(self.soak.instances)
        if not self.instance.ready:
            return False
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.instance.port),
                CONNECT_TIMEOUT)
            return True
        except (OSError, asyncio.TimeoutError):
            return False

    def attempt(self):
        route = self.random.choice(("safe", "safe", "unsafe", "owned"))
        workspace = self.random.choice(list(self.soak.secrets))
        secret = self.random.choice(self.soak.secrets[workspace])
        withdrawn = list(self.soak.invariants.withdrawn_at)
        if withdrawn and self.random.random() < WITHDRAWN_SHARE:
            # Only this workspace's secrets are withdrawn.
            workspace, secret = "acme", self.random.choice(withdrawn)
        key = self.random.choice(KEYS) if route == "owned" else None
        body = b"x" * self.random.randint(1, 300) if route == "unsafe" else b""
        polled = route == "safe" and self.random.random() < POLLED_SHARE
        return self.register(
            route, workspace, secret, key, body,
            f"/safe/polled-{self.random.randrange(3)}" if polled else None)

    def register(self, *content):
        number = len(self.soak.invariants.attempts) + 1
        created = Attempt(number, self.instance, *content)
        self.soak.invariants.attempts[created.id] = created
        return created

    async def send(self, count):
        attempts = [self.attempt() for _ in range(count)]
        for each in attempts:
            fields = {"Host": "h", "Attempt-Id": each.id,
                      "Deadline-Ms": int(DEADLINE * 1000),
                      "Api-Key": each.secret}
            if each.key is not None:
                fields["Shard-Key"] = each.key
            method = "POST" if each.route == "unsafe" else "GET"
            self.writer.write(message(
                f"{method} {each.path} HTTP/1.1", fields,
                each.body))
        if self.random.random() < 0.02:
            return self.close()  # The caller aborts its requests.
        for position, each in enumerate(attempts):
            if not await self.receive(each):
                for other in attempts[position + 1:]:
                    self.soak.invariants.on_no_response(
                        other, "behind-failed-request", False)
                return

    async def receive(self, attempt):
        invariants = self.soak.invariants
        budget = attempt.sent_at + DEADLINE + RESPONSE_SLACK - time.monotonic()
        try:
            status_line, fields, body = await asyncio.wait_for(
                read_message(self.reader), max(0.1, budget))
        except (ConnectionFailed, asyncio.TimeoutError) as failure:
            reason = "closed" if isinstance(
                failure, ConnectionFailed) else "timed-out"
            invariants.on_no_response(
                attempt, reason,
                self.instance.stopping_gracefully(attempt.sent_at))
            self.close()
            return False
        invariants.on_response(attempt, int(status_line.split(" ")[1]), fields,
                               body, fields.get("response-signature"),
                               body_for(attempt.id))
        self.soak.deadly.check_refusal(attempt, fields.get("btr-refusal"))
        self.soak.notices.on_response(attempt,
                                      fields.get("response-signature"))
        if fields.get("connection", "").lower() == "close":
            self.close()
            return False
        return True
