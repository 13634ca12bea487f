"""One client sends an empty body in chunks, and its end arrives in pieces.
Ordinary clients use the same machine."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-3"))
from standins import (Backend, Client, KeptCallers, Node, Store,  # noqa: E402
                      configuration, head, run_case, start_nodes, trouble)

CALLERS = 8
PIECES = [b"0\r\n", b"\r", b"\n"] if trouble() else [b"0\r\n\r\n"]
PAUSE = 0.2  # between the pieces, seconds


async def case(record, folder, nodes):
    store = Store()
    await store.start()
    store.put("config", "main", configuration(
        7, [("r-orders", "unsafe", "/orders/", "orders")], {"orders": {}}))
    sound = [Backend(store, record, "orders", zone, number, work=0.3, slots=8)
             for number, zone in enumerate(("a", "b"))]
    for each in sound:
        await each.start()
    await start_nodes(nodes, Node(folder, store.port, "a", 1, record),
                      Node(folder, store.port, "b", 1, record))
    callers = [KeptCallers(node, sound, record, CALLERS) for node in nodes]
    await asyncio.sleep(1.5)
    client = await Client(nodes[0].port).open()
    try:
        await client.write(head("POST", "/orders/empty", "in-pieces",
                                {"Transfer-Encoding": "chunked"}))
        for piece in PIECES:
            await asyncio.sleep(PAUSE)
            record.add(f"in-pieces: sends {piece!r}")
            await client.write(piece)
        answer = await client.answer()
    except ConnectionError:
        answer = None
    record.add(f"in-pieces: {answer[0] if answer else 'no answer'}")
    await asyncio.sleep(1.5)
    for node in nodes:
        record.add(f"{node.name} has ended: {node.ended()} "
                   f"{node.process.returncode}")
        for line in node.log_lines()[-1:] if node.ended() else []:
            record.add(f"{node.name} wrote last: {line}")
    for each in callers:
        await each.stop()
        record.add(f"{each.node.name}: {each.answered} answered, "
                   f"{len(each.cut)} cut")
    return any(len(each.cut) > 3 for each in callers)


run_case(case)
