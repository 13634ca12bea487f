"""Entries of another writer in the kind of the backends take all processes over
the memory of their machines, at each start anew."""

import asyncio
import collections
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../standins-2"))

from deployment import MEMORY_MB, Deployment, play  # noqa: E402

MACHINES = 2
VALUE_BYTES = 1_048_576  # value_bytes of the platform
ENTRIES = 8
PART = [{"": {}}]
WATCHED = 20             # seconds after the last write
ENDS = 3                 # of the processes of one machine


def entry_of(size):
    """A list of small lists, where an entry of a backend is an object."""
    part = len(json.dumps(PART, separators=(",", ":"))) + 1
    return [PART] * (size // part)


async def case(trouble, record):
    # Without the disruption the entries are of another type as well, but small.
    spec = entry_of(VALUE_BYTES - 1024 if trouble else 1024)
    record(f"entries: {ENTRIES} of "
           f"{len(json.dumps(spec, separators=(',', ':')))} bytes")
    ends = collections.Counter()
    loop = asyncio.get_running_loop()

    def on_end(router, peak):
        ends[router.name] += 1
        record(f"{loop.time() - begun:.1f} s: {router.name} held "
               f"{peak / 1e6:.1f} MB and was ended by the platform")

    async with Deployment(routers=MACHINES) as deployment:
        begun = loop.time()
        record("memory at rest: " + ", ".join(
            f"{router.peak_memory_bytes() / 1e6:.1f} MB"
            for router in deployment.routers))
        bounds = [asyncio.ensure_future(router.bound_memory(on_end))
                  for router in deployment.routers]
        for number in range(ENTRIES):
            deployment.store.put("servers", f"zz-{number}", spec)
            await asyncio.sleep(0.5)
        served = seconds = 0
        for _ in range(WATCHED):
            await asyncio.sleep(1)
            seconds += 1
            served += any([await router.ready()
                           for router in deployment.routers])
        for task in bounds:
            task.cancel()
        record("peaks at the end: " + ", ".join(
            f"{router.peak_memory_bytes() / 1e6:.1f} MB"
            for router in deployment.routers))
    record(f"seconds with a machine that is ready: {served} of {seconds}")
    record(f"memory of a machine: {MEMORY_MB} MB, ends by machine: "
           f"{dict(ends)}")
    return sum(count >= ENDS for count in ends.values()) < MACHINES


play(case, FOLDER)
