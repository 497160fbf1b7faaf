"""A planned stop cuts orders that wait in the queue of another node: no server has got them, and no answer comes."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from harness import BROKEN, HELD, TROUBLE, Client, CouldNotRun, main  # noqa: E402

SLOTS = 14
WORK_S = 1.4
# Four rounds of the server's slots. All of them end before their deadline.
EARLIER_ORDERS = 4 * SLOTS
LATER_ORDERS = 3
DEADLINE_MS = 6000
# After the SIGTERM. Two missed questions for readiness take a machine out no sooner than 1 s after it.
EARLIER_SENT_S = 0.2
LATER_SENT_S = 1.8
ROUTES = [{"Name": "r-orders", "Host": "shop.example", "Prefix": "/orders/", "Kind": "non_idempotent",
           "Service": "orders", "TimeoutMs": 6000}]


async def case(deployment):
    stopped, other, beside_orders = deployment.nodes
    await deployment.start(ROUTES)
    for node in (stopped, other):
        await deployment.add_server(node, SLOTS, lambda request: WORK_S)
    orders = await deployment.add_server(beside_orders, SLOTS, lambda request: WORK_S)
    await deployment.start_nodes()
    # Longer than StableWindowMs, so that both machines are in touch.
    await asyncio.sleep(4)
    answer = await Client(deployment, stopped).ask("first", "POST", "shop.example", "/orders/1", body=b"two mortars")
    if answer is None or answer.first.split()[1] != "200":
        raise CouldNotRun("the first order failed")

    start = time.monotonic()
    if TROUBLE:
        stopped.signal(signal.SIGTERM)
    await asyncio.sleep(EARLIER_SENT_S)
    earlier = [Client(deployment, (other, beside_orders)[index % 2]) for index in range(EARLIER_ORDERS)]
    for index, client in enumerate(earlier):
        await client.send("earlier-%d" % index, "POST", "shop.example", "/orders/1", body=b"mortar",
                          deadline_ms=DEADLINE_MS)
    await asyncio.sleep(start + LATER_SENT_S - time.monotonic())
    later = [Client(deployment, stopped) for _ in range(LATER_ORDERS)]
    for index, client in enumerate(later):
        await client.send("later-%d" % index, "POST", "shop.example", "/orders/1", body=b"mortar",
                          deadline_ms=DEADLINE_MS)
    answers = await asyncio.gather(*[client.receive("later-%d" % index) for index, client in enumerate(later)])
    ended_s = time.monotonic() - start
    await asyncio.gather(*[client.receive("earlier-%d" % index) for index, client in enumerate(earlier)])

    # Not counted by LOST: orders at which the server was at work, and those whose deadline was reached.
    lost = [index for index, answer in enumerate(answers)
            if answer is None and "later-%d" % index not in orders.runs and ended_s < LATER_SENT_S + DEADLINE_MS / 1000]
    deployment.record("%d of %d later orders got no answer and reached no server; the last one ended %.2f s after the "
                      "stop began" % (len(lost), LATER_ORDERS, ended_s))
    return BROKEN if lost else HELD


main(case, [("shop", "a"), ("shop", "b"), ("orders", "b")])
