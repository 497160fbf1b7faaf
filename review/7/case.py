"""Callers with kept connections ask with HEAD and GET by turns; a version of the manifest removes the route of HEAD."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import small_fleet as small  # noqa: E402

CLIENTS = 6
ROUNDS = 20


def resources(with_old):
    routes = [small.route("r-look", "shop.example", "/look/", "shop")]
    if with_old:
        routes.append(small.route("r-old", "shop.example", "/old/", "shop"))
    return routes + [small.service("shop"), small.LIMITS]


async def read_head(reader):
    """The first line and the fields of an answer. An answer to HEAD ends with them (RFC 9110, 9.3.2)."""
    head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 6)).decode("latin-1").split("\r\n")
    fields = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    return head[0], fields


async def ask(fleet, host, count):
    """Returns what did not look like the answer to the request that was sent."""
    faults = []
    reader, writer = await asyncio.open_connection(*host.callers)
    for _ in range(count):
        for method, path in (("HEAD", "/old/"), ("GET", "/look/")):
            ident = small.new_ident()
            writer.write(small.encode(method, path + ident, ident))
            fleet.record("client-sent", host=host.name, ident=ident, request=method + " " + path + ident)
            try:
                line, fields = await read_head(reader)
                body = b""
                if method == "GET":
                    body = await asyncio.wait_for(reader.readexactly(int(fields.get("content-length", "0"))), 6)
            except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                faults.append("%s %s: %r" % (method, ident, error))
                fleet.record("client-got", ident=ident, what=repr(error))
                writer.close()
                return faults
            fleet.record("client-got", ident=ident, what=line, size=len(body))
            is_answer = line.startswith("HTTP/1.1 ")
            is_own = fields.get("nutmegarch-attempt-id", ident) == ident
            is_whole = method == "HEAD" or " 200 " not in line or body == fleet.body_of(ident)
            if not (is_answer and is_own and is_whole):
                faults.append("%s %s got %r" % (method, ident, line))
            if not is_answer or "close" in fields.get("connection", ""):
                writer.close()
                return faults
        await asyncio.sleep(0.3)
    writer.close()
    return faults


async def case(holder):
    fleet = holder["fleet"] = small.Fleet(["shop"] * 3)
    await fleet.start(resources(True))
    clients = [asyncio.create_task(ask(fleet, fleet.hosts[i % 3], ROUNDS)) for i in range(CLIENTS)]
    await asyncio.sleep(2)
    if small.trouble():
        fleet.store.put("op/config", {"Version": 5, "Resources": resources(False)})
        fleet.record("manifest", version=5, removed="/old/")
    faults = sum([await client for client in clients], [])
    return bool(faults), "%d of %d clients got bytes that are no answer%s" % (
        len(faults), CLIENTS, "; first: " + faults[0] if faults else "")


small.main(case)
