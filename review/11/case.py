"""One answer of a faulty backend: chunks, and then a long field behind the last
chunk. Ordinary clients use other, sound backends through the same machine."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-3"))
from standins import (Backend, Client, KeptCallers, Node, Store,  # noqa: E402
                      configuration, head, run_case, start_nodes, trouble)

CALLERS = 8
ANSWERS = 100  # of the faulty backend; one of them is spoiled
FIELD_BYTES = 70000


class FaultyBackend(Backend):
    async def answer(self, writer, first, fields, body):
        if not trouble() or len(self.runs) + 1 != ANSWERS:
            return await super().answer(writer, first, fields, body)
        attempt = fields["attempt-id"]
        self.runs.append(attempt)
        self.record.add(f"{self.id} runs {attempt} {first}; its answer is "
                        f"spoiled by a field of {FIELD_BYTES} bytes")
        writer.write((
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
            f"Response-Signature: {self.id}.{attempt}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx: "
            + "y" * FIELD_BYTES + "\r\n\r\n").encode())
        return True


async def case(record, folder, nodes):
    store = Store()
    await store.start()
    store.put("config", "main", configuration(
        7, [("r-orders", "unsafe", "/orders/", "orders"),
            ("r-pages", "safe", "/pages/", "pages")],
        {"orders": {}, "pages": {}}))
    sound = [Backend(store, record, "orders", zone, number, work=0.3, slots=8)
             for number, zone in enumerate(("a", "b"))]
    for each in (*sound, FaultyBackend(store, record, "pages", "a", 1)):
        await each.start()
    await start_nodes(nodes, Node(folder, store.port, "a", 1, record),
                      Node(folder, store.port, "b", 1, record))
    callers = [KeptCallers(node, sound, record, CALLERS) for node in nodes]
    await asyncio.sleep(1.5)
    client = await Client(nodes[0].port).open()
    for number in range(ANSWERS):
        await client.write(head("GET", f"/pages/{number}", f"page-{number}"))
        answer = await client.answer()
        record.add(f"page-{number}: {answer[0] if answer else 'no answer'}")
        if not answer:
            break
    await asyncio.sleep(1.5)
    for node in nodes:
        record.add(f"{node.name} has ended: {node.ended()} "
                   f"{node.log_lines('handler-failed')}")
    for each in callers:
        await each.stop()
        record.add(f"{each.node.name}: {each.answered} answered, "
                   f"{len(each.cut)} cut")
    return any(len(each.cut) > 3 for each in callers)


run_case(case)
