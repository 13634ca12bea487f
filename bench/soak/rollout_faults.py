"""Rollouts of good and bad versions, beside faults of instances and store."""

import asyncio
import time

from faults import SERVICES, after_pause, disturb_leader, kill, pause, \
    reload, store_down, store_loses_responses, store_slow, \
    store_writes_late, terminate
from rollouts import FAILING, GOOD, ROLLBACK_TIME, SLOW

MAX_RUNNING = 2      # orders at once
# The version in use is known after 2 s at each instance.
FIRST_ORDER = 3.0    # after the start of the soak, seconds
LENGTHS = (10.0, 13.0)
# What is set at the targets of a bad version.
BADNESS = {FAILING: ("error_share", 0.4, 0.8), SLOW: ("slowdown", 4.0, 7.0)}
TURNS_BAD_BY = 0.4   # part of the length after which a version is no more good
DRAIN_DELAY = 2.5    # from a rollback until the new targets drain, seconds
# So many that the services get at least the 150 requests/s at which
# docs/design/rollouts.md states the power of the comparison.
CALLERS_PER_INSTANCE = 12
ROLLED_OUT = ("read", "pay", "stock")


async def lose_leader(soak):
    soak.rollouts.leader_losses.append(time.monotonic())
    await disturb_leader(soak)


async def lose_store(soak):
    await soak.random.choice((store_down, store_down, store_slow,
                              store_loses_responses, store_writes_late))(soak)


async def restart_another(soak):
    """Disturbs an instance that does not lead."""
    others = [each for each in soak.instances if each is not soak.leader()]
    instance = soak.random.choice(others)
    if soak.random.random() < 0.3:
        await reload(soak)
    elif soak.random.random() < 0.4:
        await kill(soak, [instance])
    else:
        await soak.random.choice((pause, terminate))(soak, instance)


async def nothing(_):
    pass


AROUND_ROLLOUT = (nothing, nothing, lose_leader, lose_leader, lose_leader,
                  restart_another, restart_another, lose_store)


def make_bad(soak, order):
    if order.kind == GOOD:
        return
    name, least, most = BADNESS[order.kind]
    value = soak.random.uniform(least, most)
    for target in order.new:
        setattr(target, name, value)


async def start_targets(soak, order, count):
    service_time = next(each[2] for each in SERVICES
                        if each[0] == order.service)
    for _ in range(count):
        order.new.append(await soak.targets.add(
            order.service, service_time, version=order.version))


async def rollout(soak):
    busy = soak.rollouts.running()
    free = [each for each in ROLLED_OUT
            if all(order.service != each for order in busy)]
    if len(busy) >= MAX_RUNNING:
        return
    random = soak.random
    order = soak.rollouts.prepare(
        random.choice(free), random.choice((GOOD, FAILING, SLOW)),
        # Some lengths are no whole number of milliseconds.
        round(random.uniform(*LENGTHS), random.choice((1, 1, 1, 5))))
    order.old = [each for each in soak.targets.alive
                 if each.service == order.service]
    turns_bad_after = random.choice((0, random.uniform(0, TURNS_BAD_BY)))
    order.around = random.choice(AROUND_ROLLOUT)
    if any(each.around is lose_leader for each in busy):
        # Success in time is only promised for the loss of one leader.
        order.around = random.choice((nothing, restart_another))
    await asyncio.sleep(max(0, soak.started_at + FIRST_ORDER
                            - time.monotonic()))
    while order.service not in soak.rollouts.served:
        await asyncio.sleep(0.1)  # Keys have no owner at first.
    # Fewer than the old ones, so that an instance that starts now knows which
    # version is in use.
    await start_targets(soak, order, len(order.old) - 1)
    await asyncio.sleep(random.uniform(0.5, 1.5))
    soak.rollouts.write(order)
    asyncio.get_running_loop().call_later(turns_bad_after * order.length,
                                          make_bad, soak, order)
    fault = asyncio.ensure_future(
        after_pause(soak, order.around, order.length))
    await until_ended(soak, order)
    print(f"{order.summary()}; bad after {turns_bad_after * order.length:.2f} "
          f"s; {order.around.__name__}", flush=True)
    await (keep_new if order.state == "succeeded" else keep_old)(soak, order)
    await fault
    order.finished = True


async def until_ended(soak, order):
    await asyncio.sleep(order.deadline - time.monotonic())
    soak.rollouts.check_deadline(order)
    while not order.ended() and not (
            time.monotonic() > order.deadline + ROLLBACK_TIME
            and soak.invariants.undisturbed("store", time.monotonic())):
        await asyncio.sleep(0.05)
    soak.rollouts.check_end(order)


def end_targets(soak, targets):
    for target in targets:
        target.leave()
        soak.targets.end(target)


async def keep_new(soak, order):
    # The old targets have listened until now, so that late requests are seen.
    end_targets(soak, order.old)
    for target in order.new:
        target.error_share, target.slowdown = 0.0, 1.0
    await start_targets(soak, order, 1)


async def keep_old(soak, order):
    await asyncio.sleep(DRAIN_DELAY)
    if not order.ended():
        soak.store.remove("rollouts", order.service)
    for target in order.new:
        target.drain()
    await asyncio.sleep(DRAIN_DELAY)
    end_targets(soak, order.new)


ROLLOUT = ("rollout", rollout)
