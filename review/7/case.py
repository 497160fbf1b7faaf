"""A caller sends one long header field, within the limits of the manifest, at a machine where others place orders."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import small_fleet as small  # noqa: E402

WORK_S = 0.5
ORDERS = 12
TRIES = 10
# The manifest allows heads of this size; both fields are far below it.
MAX_HEADER_BYTES = 131072
LONG_BYTES = 66000
SHORT_BYTES = 60000


async def place_orders(fleet, host, results, stop):
    """One client with a kept connection: it sends the next order when the last one is answered."""
    while not stop.is_set():
        try:
            reader, writer = await asyncio.open_connection(*host.callers)
        except OSError:
            await asyncio.sleep(0.2)
            continue
        try:
            while not stop.is_set():
                ident = small.new_ident()
                writer.write(small.encode("POST", "/orders/%s" % ident, ident, body=b"two mortars"))
                results[ident] = "open"
                fleet.record("client-sent", host=host.name, ident=ident)
                message = await small.read_message(reader)
                results[ident] = "no answer" if message is None else message[0].split()[1]
                fleet.record("client-got", ident=ident, what=results[ident])
                if message is None:
                    break
                if results[ident] != "200":
                    await asyncio.sleep(1)
        except (OSError, asyncio.IncompleteReadError):
            results[ident] = "no answer"
            fleet.record("client-got", ident=ident, what="no answer")
        finally:
            writer.close()


async def long_client(fleet, host):
    ident = small.new_ident()
    field = "Cookie: %s\r\n" % ("a" * (LONG_BYTES if small.trouble() else SHORT_BYTES))
    fleet.record("long-field-sent", host=host.name, ident=ident, field_bytes=len(field))
    try:
        reader, writer = await asyncio.open_connection(*host.callers)
        writer.write(small.encode("GET", "/look/" + ident, ident, more=field))
        message = await asyncio.wait_for(small.read_message(reader), 6)
        fleet.record("long-field-got", ident=ident, what=message[0] if message else "no answer")
        writer.close()
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        fleet.record("long-field-got", ident=ident, what=repr(error))


async def case(holder):
    limits = dict(small.LIMITS, Spec=dict(small.LIMITS["Spec"], MaxHeaderBytes=MAX_HEADER_BYTES))
    fleet = holder["fleet"] = small.Fleet(["orders"] * 3, work_s=WORK_S)
    await fleet.start([small.route("r-orders", "shop.example", "/orders/", "orders", "non_idempotent"),
                       small.route("r-look", "shop.example", "/look/", "orders"), small.service("orders"), limits])
    host = fleet.hosts[0]
    results, stop = {}, asyncio.Event()
    clients = [asyncio.create_task(place_orders(fleet, host, results, stop)) for _ in range(ORDERS)]
    await asyncio.sleep(2)
    # The caller comes again when it gets no good answer. A node passes the request on to any machine.
    for _ in range(TRIES):
        await long_client(fleet, host)
        if any(node.node.poll() is not None for node in fleet.hosts):
            break
        await asyncio.sleep(0.3)
    await asyncio.sleep(2)
    stop.set()
    await asyncio.wait(clients, timeout=8)
    ended = [node.node.poll() for node in fleet.hosts]
    ran = {run["ident"] for run in fleet.runs()}
    lost = [ident for ident, what in results.items() if what == "no answer" and ident in ran]
    for node, status in zip(fleet.hosts, ended):
        fleet.record("node", host=node.name, status=status)
        with open(node.log_path) as file:
            for line in file:
                if "node-failed" in line:
                    fleet.record("node-log", host=node.name, line=line.strip())
    return (any(status is not None for status in ended) or len(lost) > 3,
            "node processes ended with %s; %d orders ran and their connections closed without an answer; %d answered 200"
            % (ended, len(lost), sum(what == "200" for what in results.values())))


small.main(case)
