"""The injected faults of the soak, several of which run at the same time."""

import asyncio
import signal
import time

from notices import NOTICE_FAULTS
from store import RECORD_EXPIRY
from targets import Target

SERVICES = (("read", 3, 0.02), ("other", 2, 0.02), ("pay", 3, 0.03),
            ("stock", 4, 0.03))
SLOW_LINK = 1.2e6  # bytes a second


class Targets:
    def __init__(self, soak, data_centres):
        self.soak, self.data_centres = soak, data_centres
        self.alive, self.count, self.latest = [], 0, {}

    async def start(self):
        for service, count, service_time in SERVICES:
            for _ in range(count):
                await self.add(service, service_time)

    async def add(self, service, service_time, identity=None, data_centre=None,
                  version=None):
        self.count += 1
        location = data_centre or self.data_centres[
            self.count % len(self.data_centres)]
        target = Target(self.soak, identity or f"t{self.count}", service,
                        location, service_time,
                        version or self.soak.rollouts.version_in_use(service))
        await target.start()
        self.alive.append(target)
        self.latest[target.id] = target
        return target

    def pick(self):
        """A target whose service has another one that is not draining."""
        replaceable = [each for each in self.alive if not each.draining and sum(
            other.service == each.service and not other.draining
            for other in self.alive) > 1]
        return self.soak.random.choice(replaceable) if replaceable else None

    def end(self, target):
        target.stop()
        if target in self.alive:
            self.alive.remove(target)


def some_instance(soak):
    return soak.random.choice(soak.instances)


# Faults of the instance processes.

async def pause(soak, instance=None):
    instance = instance or some_instance(soak)
    duration = soak.random.uniform(0.3, 4)
    disturb_abruptly(soak, instance, duration + 0.5)
    instance.signal(signal.SIGSTOP)
    await asyncio.sleep(duration)
    instance.signal(signal.SIGCONT)


def disturb_abruptly(soak, instance, duration):
    soak.invariants.disturb(instance.name, duration)
    soak.invariants.disturb(instance.name + "/abrupt", duration)


async def kill(soak, instances=None):
    downtime = soak.random.uniform(0.1, 2)
    killed = instances or [some_instance(soak)]
    for instance in killed:
        disturb_abruptly(soak, instance, downtime + 1)
        instance.signal(signal.SIGKILL)
    await asyncio.sleep(downtime)
    for instance in killed:
        await instance.start()


async def kill_all(soak):
    await kill(soak, soak.instances)


async def terminate(soak, instance=None):
    instance = instance or some_instance(soak)
    soak.invariants.disturb(instance.name, 8)
    instance.signal(signal.SIGTERM)
    if soak.random.random() < 0.3:
        await asyncio.sleep(soak.random.uniform(0, 1))
        instance.signal(signal.SIGHUP)
    for _ in range(80):
        if instance.process is None:
            break
        await asyncio.sleep(0.1)
    await instance.start()


async def disturb_leader(soak):
    disturbance = soak.random.choice((pause, terminate, kill_leader))
    await disturbance(soak, soak.leader())


async def kill_leader(soak, leader):
    await kill(soak, [leader] if leader else None)


async def reload(soak):
    for instance in soak.instances:
        if soak.random.random() < 0.5:
            instance.signal(signal.SIGHUP)


# Faults of the store and of the connections to it.

async def store_fault(soak, field, value, duration):
    # Records of targets may expire during the fault, so the disturbance lasts
    # until they have been registered again.
    soak.invariants.disturb("store", duration + 2.5)
    setattr(soak.store, field, value)
    if field == "mode":
        for instance in soak.instances:
            instance.store.reset_all()
    await asyncio.sleep(duration)
    setattr(soak.store, field, type(value)() if value and
            not isinstance(value, str) else None)


async def store_down(soak):
    mode = soak.random.choice(("busy", "reset", "silent"))
    duration = soak.random.uniform(0.5, 6)
    if soak.random.random() < 0.5:
        for target in list(soak.targets.alive):
            soak.store.remove("servers", target.id)
    await store_fault(soak, "mode", mode, duration)


async def store_slow(soak):
    await store_fault(soak, "response_delay", 0.2, soak.random.uniform(1, 5))


async def store_loses_responses(soak):
    await store_fault(soak, "response_loss", 0.5, soak.random.uniform(1, 5))


async def store_writes_late(soak):
    await store_fault(soak, "late_write_share", 0.5,
                      soak.random.uniform(1, 5))


async def store_compacts_history(soak):
    soak.invariants.disturb("store", 1)
    soak.store.compact_history()


async def slow_store_link(soak):
    """Large configurations over slow links. This is no disturbance: they are
    to be in force within their bound."""
    if soak.bulk_routes:
        return
    for instance in soak.instances:
        instance.store.rate = SLOW_LINK
    for _ in range(2):
        soak.bulk_routes = soak.random.randint(2500, 5000)
        await move_route(soak)
        await asyncio.sleep(soak.random.uniform(2, 4))
    await withdraw_key(soak)
    await asyncio.sleep(3)
    soak.bulk_routes = 0
    for instance in soak.instances:
        instance.store.rate = 0.0


async def restore_store(soak):
    if soak.store.away:
        return
    age, duration = soak.random.uniform(0.3, 9), soak.random.uniform(0.3, 4)
    soak.invariants.disturb("store", duration + 2.5)
    for instance in soak.instances:
        instance.store.reset_all()
    before, after = await soak.store.restore(age, duration)
    print(f"store back from a copy {age:.1f} s old after {duration:.1f} s: "
          f"era {soak.store.era}, revision {before} to {after}", flush=True)


async def store_restored(soak):
    """Restores the store once or twice, among other faults and changes."""
    others = soak.random.sample(AROUND_RESTORATION, soak.random.randint(0, 3))
    await asyncio.gather(*[after_pause(soak, each, 4) for each in others],
                         after_pause(soak, restore_store, 4))
    if soak.random.random() < 0.3:
        await after_pause(soak, restore_store, 2)


async def after_pause(soak, fault, longest):
    await asyncio.sleep(soak.random.uniform(0, longest))
    await fault(soak)


async def disconnect_from_store(soak):
    instance, duration = some_instance(soak), soak.random.uniform(0.5, 7)
    soak.invariants.disturb(instance.name, duration)
    proxy = instance.store
    kind = soak.random.choice(
        ("refuse", "drop_requests", "drop_responses", "both"))
    for name in (("drop_requests", "drop_responses") if kind == "both"
                 else (kind,)):
        setattr(proxy, name, True)
    if kind == "refuse":
        proxy.reset_all()
    await asyncio.sleep(duration)
    proxy.clear_faults()


async def blackhole_store_connections(soak):
    for instance in soak.instances:
        soak.invariants.disturb(instance.name, 0.1)
        instance.store.blackhole_open()


# Faults of the targets and of the connections to them.

async def with_target(soak, change, duration, undo):
    target = soak.targets.pick()
    if target is None:
        return
    soak.invariants.disturb(target, duration)
    change(target)
    await asyncio.sleep(duration)
    undo(target)


def attribute_fault(owner, name, value, normal):
    async def fault(soak):
        def set_to(value):
            return lambda target: setattr(
                getattr(target, owner) if owner else target, name, value)
        await with_target(soak, set_to(value), soak.random.uniform(0.5, 4),
                          set_to(normal))
    return fault


async def blackhole_target(soak):
    def drop(target):
        target.proxy.drop_requests = soak.random.random() < 0.6
        target.proxy.drop_responses = not target.proxy.drop_requests
    await with_target(soak, drop, soak.random.uniform(0.5, 5),
                      lambda target: target.proxy.clear_faults())


async def reset_targets(soak):
    for target in soak.targets.alive:
        if soak.random.random() < 0.5:
            soak.invariants.disturb(target, 0.1)
            target.proxy.reset_all()


async def blackhole_target_connections(soak):
    for target in soak.targets.alive:
        soak.invariants.disturb(target, 0.1)
        target.proxy.blackhole_open()
    for instance in soak.instances:
        soak.invariants.disturb(instance.name, 0.1)


async def crash_target(soak):
    target = soak.targets.pick()
    if target is None:
        return
    soak.targets.end(target)
    await restart_target(soak, target)


async def restart_target(soak, target):
    keeps_identity = soak.random.random() < 0.5
    restart_after = soak.random.uniform(0.2, 3)
    if restart_after > RECORD_EXPIRY or not keeps_identity:
        await asyncio.sleep(RECORD_EXPIRY)
        if not keeps_identity or ("servers", target.id) in soak.store.objects:
            soak.store.remove("servers", target.id)
    await asyncio.sleep(max(0, restart_after - RECORD_EXPIRY
                            if restart_after > RECORD_EXPIRY
                            else restart_after))
    await soak.targets.add(target.service, target.service_time,
                           target.id if keeps_identity else None,
                           target.data_centre)


async def deadly_request(soak):
    await soak.deadly.send_repeatedly(soak.random.uniform(7, 14),
                                      soak.random.randint(2, 4))


async def replace_target(soak):
    target = soak.targets.pick()
    if target is None:
        return
    await soak.targets.add(target.service, target.service_time, None,
                           target.data_centre)
    if soak.random.random() < 0.7:
        target.drain()
        await asyncio.sleep(3)
    target.leave()
    await asyncio.sleep(soak.random.uniform(2.5, 6))
    soak.targets.end(target)


# Operator actions.

async def move_route(soak):
    soak.routes["safe"] = "other" if soak.routes["safe"] == "read" else "read"
    soak.configure()


async def withdraw_key(soak):
    secrets = soak.secrets["acme"]
    withdrawn = secrets.pop(0)
    secrets.append(f"key-{soak.version}-{len(soak.invariants.attempts)}")
    soak.configure()
    soak.invariants.added_at[secrets[-1]] = time.monotonic()
    soak.invariants.withdrawn_at[withdrawn] = time.monotonic()


async def evacuate(soak):
    location = soak.random.choice(soak.targets.data_centres)
    if soak.invariants.evacuated_at:
        return
    soak.store.put("evacuations", location, {})
    soak.invariants.evacuated_at[location] = time.monotonic()
    await asyncio.sleep(soak.random.uniform(3, 9))
    soak.invariants.evacuated_at.pop(location)
    soak.store.remove("evacuations", location)


AROUND_RESTORATION = (disturb_leader, disturb_leader, kill, kill_all, terminate,
                      disconnect_from_store, crash_target, replace_target,
                      replace_target, move_route, withdraw_key, evacuate)

FAULTS = [(each.__name__, each) for each in (
    pause, pause, kill, kill, kill_all, terminate, terminate, reload,
    store_down, store_down, store_slow, store_loses_responses,
    store_writes_late, store_compacts_history, store_restored, store_restored,
    slow_store_link, disconnect_from_store, disconnect_from_store,
    blackhole_store_connections, blackhole_target, reset_targets,
    blackhole_target_connections, crash_target, crash_target, replace_target,
    replace_target, move_route, withdraw_key, evacuate, deadly_request)] + [
        ("target_slow", attribute_fault(None, "slowdown", 5.0, 1.0)),
        ("target_fails", attribute_fault(None, "error_share", 0.6, 0.0)),
        ("target_loses_responses", attribute_fault(
            None, "response_loss", 0.3, 0.0)),
        ("target_responds_twice", attribute_fault(
            None, "duplicate_share", 0.3, 0.0)),
        ("target_delayed", attribute_fault("proxy", "delay", 0.15, 0.0))]
FAULTS += NOTICE_FAULTS
