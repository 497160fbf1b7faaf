"""Clients beside each node: they keep connections, send ahead, or open new ones, until the node is gone."""

import asyncio
import time

from checks import ONCE, Request
from faults import ALLOWANCE, KEY

KINDS = ("look", "look", "peek", "chain", "split", "buy", "take")
GRACE = 1.0
# How much of its allowance the organisation asks for, and over how many connections at each node.
OVERLOAD = 6
KEYED_CLIENTS = 4


async def read_answer(reader):
    """Status, fields and body; IncompleteReadError when the connection ends before."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split()[1])
    fields = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    else:
        body = await reader.read()
    return status, fields, body


class Client:
    """One connection at a time to the node of a host."""

    def __init__(self, host, checker, random):
        self.host, self.checker, self.random = host, checker, random
        self.reader = self.writer = None
        self.keep = 0.0

    def make(self, kind=None, path=None, position=0):
        ident = "%016x" % self.random.getrandbits(64)
        kind = kind or self.random.choice(KINDS)
        body = ident * self.random.choice((0, 1, 50)) if kind in ONCE else ""
        path = path or "/%s/%s?x=%d" % (kind, ident, self.random.randrange(9))
        return Request(ident, kind, "POST" if kind in ONCE else "GET", path, body, self.host,
                       self.random.uniform(1.5, 5), position)

    @staticmethod
    def encode(request, close):
        text = "%s %s HTTP/1.1\r\nHost: shop.example\r\nNutmegarch-Attempt-Id: %s\r\nNutmegarch-Deadline-Ms: %d\r\n" % (
            request.method, request.path, request.ident, request.deadline * 1000)
        text += "Nutmegarch-Credential: %s\r\n" % KEY if request.kind == "keyed" else ""
        text += "Nutmegarch-Caller-Service: forged\r\n" + ("Connection: close\r\n" if close else "")
        if request.body and len(request.body) < 100:
            text += "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(request.body), request.body)
        else:
            text += "Content-Length: %d\r\n\r\n%s" % (len(request.body), request.body)
        return text.encode()

    async def open(self):
        if self.writer is not None and (self.reader.at_eof() or self.writer.is_closing()):
            self.drop()
        if self.writer is None:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(*self.host.callers, limit=1 << 20), 1)
            self.keep = 0.0

    def drop(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, requests, close=False):
        """Sends all of them at once and reads their answers."""
        try:
            await self.open()
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
            return
        for request in requests:
            self.checker.sent(request)
        self.writer.write(b"".join(self.encode(request, close) for request in requests))
        waiting = list(requests)
        try:
            while waiting:
                rest = waiting[0].sent + waiting[0].deadline + GRACE - time.monotonic()
                status, fields, body = await asyncio.wait_for(read_answer(self.reader), max(0.01, rest))
                self.checker.answered(waiting.pop(0), status, fields, body)
                self.keep = float(fields.get("keep-alive", "timeout=0").partition("timeout=")[2].split(",")[0] or 0)
                if fields.get("connection", "").lower() == "close":
                    for request in waiting:
                        # Not read, as far as the callers know: they are sent again.
                        self.checker.closed(request)
                    waiting = []
                    self.drop()
        except asyncio.TimeoutError:
            for request in waiting:
                self.checker.gave_up(request)
            self.drop()
        except (OSError, asyncio.IncompleteReadError):
            for request in waiting:
                self.checker.closed(request)
            self.drop()
        except (ValueError, IndexError, asyncio.LimitOverrunError) as error:
            self.checker.fail("MIXED", "bytes that are no answer (%s): %s" % (error, waiting[0]))

    async def run_kept(self, pace):
        while True:
            await self.send([self.make()])
            await asyncio.sleep(self.random.expovariate(1) * pace)

    async def run_pipelined(self, pace):
        while True:
            kinds = [self.random.choice(("look", "peek", "split")) for _ in range(3)]
            await self.send([self.make(kind, position=i) for i, kind in enumerate(kinds)])
            await asyncio.sleep(self.random.expovariate(1) * pace)

    async def run_fresh(self, pace):
        while True:
            await self.send([self.make()], close=True)
            self.drop()
            await asyncio.sleep(self.random.expovariate(1) * pace)

    async def run_idle(self, longest):
        while True:
            await self.send([self.make()])
            pause = self.random.uniform(0, longest)
            if self.keep and pause > self.keep * 0.8:
                self.drop()
            await asyncio.sleep(pause)

    async def run_keyed(self, pace):
        while True:
            await self.send([self.make("keyed")])
            await asyncio.sleep(self.random.expovariate(1) * pace)

    async def run_probe(self):
        """Asks by turns for the routes that only the newest and the version before it have."""
        turn = 0
        while True:
            turn += 1
            version = max(1, self.checker.newest - turn % 2)
            await self.send([self.make("mark", "/v%d/" % version)])
            await asyncio.sleep(0.15)


def start(host, checker, random_of, pace, has_organisations, nodes):
    def client(name):
        return Client(host, checker, random_of("%s-%s" % (host.name, name)))

    runs = [client("kept-%d" % i).run_kept(pace) for i in range(3)]
    runs += [client("ahead").run_pipelined(3 * pace), client("fresh").run_fresh(2 * pace),
             client("idle").run_idle(8), client("probe").run_probe()]
    if has_organisations:
        keyed_pace = nodes * KEYED_CLIENTS / (OVERLOAD * ALLOWANCE["RatePerS"])
        runs += [client("keyed-%d" % i).run_keyed(keyed_pace) for i in range(KEYED_CLIENTS)]
    return [asyncio.create_task(run) for run in runs]
