"""A small deployment on loopback for the cases 6 to 10: a store and servers in this process, nodes as processes.

The store and the servers follow the users' pages. They are sound: they make no mistakes of their own unless a
case tells them to. Every line of `record` goes to record.txt with the milliseconds since the start.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2500,
          "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 2500, "RollbackSlackMs": 250, "SkewMaxMs": 5000,
          "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetrySlack": 49, "RecoveryS": 15}
HEARTBEAT_S = 1.5
HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up; nothing was judged."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def render(template, fields):
    """Fills in the placeholders of a template of settings as the platform does."""

    def look_up(name):
        found = fields
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        value = look_up(match.group(1))
        if not isinstance(value, list):
            return "" if value is None or value is False else match.group(2)
        texts = [match.group(2).replace("{{.}}", str(entry)) for entry in value]
        return "".join(text.replace("{{,}}", "," if i + 1 < len(texts) else "") for i, text in enumerate(texts))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda match: json.dumps(look_up(match.group(1))), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(look_up(match.group(1))), text)


async def read_message(reader):
    """First line, fields (names in lower case, the last of a name counts) and body of a request or an answer with a
    length or in chunks. None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    fields = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    body = b""
    if "chunked" in fields.get("transfer-encoding", "").lower():
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return head[0], fields, body


class Store:
    """The platform's store."""

    def __init__(self, address):
        self.address = address
        self.revision = 1
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 20)

    def put(self, key, value):
        text = value if isinstance(value, str) else json.dumps(value)
        self.revision += 1
        item = {"Key": key, "Value": base64.b64encode(text.encode()).decode(), "Revision": self.revision}
        created = self.items.get(key, {}).get("CreatedAt", self.revision)
        self.items[key] = dict(item, CreatedAt=created, Lease=0)
        self.add(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.add({"Key": key, "Revision": self.revision, "Tombstone": True})

    def add(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                self.calls += 1
                answer = await self.answer(urllib.parse.urlsplit(message[0].split()[1]))
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                             b"Content-Length: %d\r\n\r\n%s" % (len(text), text))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, url):
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        prefix, after = query.get("Prefix", ""), query.get("after", "")
        if url.path.endswith("kv-range"):
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return {"items": [self.items[key] for key in keys[:500]], "MorePages": len(keys) > 500,
                    "AsOf": self.revision}
        end = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            events = [event for event in self.history
                      if event["Revision"] > int(after) and event["Key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """An application server. `runs` has an entry for each request that it began to work on."""

    def __init__(self, host, work_s):
        self.host, self.work_s = host, work_s
        self.instance = "i-%d-%08x" % (host.index, random.getrandbits(32))
        self.born = int(time.time() * 1000)
        self.running = 0
        self.runs = []
        self.sequence = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.host.app, limit=1 << 20)
        self.beat = asyncio.create_task(self.publish())

    async def publish(self):
        """The entry changes when more than its sequence changes; this one is written once."""
        self.host.fleet.store.put("servers/" + self.instance, {
            "Service": self.host.service, "Address": "%s:%d" % self.host.app, "Zone": self.host.zone, "Version": "v1",
            "Slots": self.host.fleet.slots, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1,
            "born": self.born})

    async def crash(self):
        """The process ends: its port refuses connections, and its open ones are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                writer.write(await self.answer(*message))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, line, fields, body):
        method, target, _ = line.split()
        ident = fields.get("nutmegarch-attempt-id", "")
        load = "Nutmegarch-Server-Load: %d,0,%d\r\n" % (self.running, self.host.fleet.slots)
        echo = "Nutmegarch-Attempt-Id: %s\r\n" % ident
        refusal = "Nutmegarch-Not-Executed: 1\r\nContent-Length: 0\r\n" + echo + load + "\r\n"
        if not ident:
            return ("HTTP/1.1 400 Bad Request\r\n" + refusal).encode()
        if fields.get("nutmegarch-target-instance", self.instance) != self.instance:
            return ("HTTP/1.1 421 Misdirected Request\r\n" + refusal).encode()
        if self.running >= self.host.fleet.slots:
            return ("HTTP/1.1 503 Service Unavailable\r\n" + refusal).encode()
        self.running += 1
        run = {"ident": ident, "method": method, "target": target, "at": time.monotonic(), "fields": fields,
               "size": len(body)}
        self.runs.append(run)
        self.host.fleet.record("server-runs", host=self.host.name, ident=ident, request=method + " " + target,
                               caller=fields.get("nutmegarch-caller-service"),
                               tenant=fields.get("nutmegarch-tenant"))
        await asyncio.sleep(self.work_s)
        self.running -= 1
        content = self.host.fleet.body_of(ident)
        head = ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nNutmegarch-Response-Signature: %s\r\n%s%s"
                "Content-Length: %d\r\n\r\n" % (self.host.fleet.signature_of(ident), echo, load, len(content)))
        return head.encode() + (b"" if method == "HEAD" else content)


class Host:
    """A machine: a server and the node beside it."""

    def __init__(self, fleet, index, service, zone):
        self.fleet, self.index, self.service, self.zone = fleet, index, service, zone
        self.name = "machine-%d" % index
        self.ip = "127.77.%d.%d" % (fleet.net, 10 + index)
        self.app = (self.ip, 8301)
        self.callers = (self.ip, 8304)
        self.node = None

    def peers_address(self):
        return self.ip + ":7620"

    def start_node(self):
        fleet = self.fleet
        fields = {"Service": self.service, "Ip": self.ip, "Zone": self.zone, "Region": "ra", "Zones": {"a": "ra", "b": "ra"},
                  "AppAddr": "%s:%d" % self.app, "Bounds": dict(BOUNDS, **fleet.bounds),
                  "Listen": {"Outbound": "%s:%d" % self.callers, "Control": self.peers_address(),
                             "Ready": self.ip + ":8302"},
                  "Limits": {"MemoryMb": fleet.memory_mb}, "Platform": {"Address": "%s:%d" % fleet.store.address},
                  "Seeds": [host.ip + ":7620" for host in fleet.hosts[:3]]}
        with open(os.path.join(ROOT, "deploy", "node.json.template")) as file:
            text = render(file.read(), fields)
        path = os.path.join(fleet.folder, self.name + ".json")
        with open(path, "w") as file:
            file.write(text)
        command = [os.path.join(ROOT, "target", "nutmegarch"), "node", "--settings", path]
        self.log_path = os.path.join(fleet.folder, self.name + ".log")
        with open(self.log_path, "ab") as log:
            self.node = subprocess.Popen(command, stdout=log, stderr=log, cwd=ROOT)
        fleet.processes.append(self.node)
        fleet.record("node-started", host=self.name)

    def signal_node(self, number):
        self.fleet.record("signal", host=self.name, signal=signal.Signals(number).name)
        self.node.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, 8302), 1)
            writer.write(b"GET /nutmegarch/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Fleet:
    """`services`: the service of each machine."""

    def __init__(self, services, slots=32, work_s=0.05, bounds=None, memory_mb=260):
        self.slots, self.work_s, self.memory_mb = slots, work_s, memory_mb
        self.bounds = bounds or {}
        self.begin = time.monotonic()
        self.lines = []
        self.processes = []
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.take_net()
        self.store = Store(("127.77.%d.2" % self.net, 9000))
        self.hosts = [Host(self, i, service, "ab"[i % 2]) for i, service in enumerate(services)]

    def take_net(self):
        """Addresses that no other run uses."""
        nets = list(range(1, 250))
        random.shuffle(nets)
        for net in nets:
            self.guard = socket.socket()
            try:
                self.guard.bind(("127.77.%d.1" % net, 9999))
                self.net = net
                return
            except OSError:
                self.guard.close()
        raise CannotRun("no free addresses")

    def record(self, event, /, **more):
        words = " ".join("%s=%s" % (key, json.dumps(value) if isinstance(value, str) and " " in value else value)
                         for key, value in more.items())
        self.lines.append("%8.1f %s %s" % ((time.monotonic() - self.begin) * 1000, event, words))

    @staticmethod
    def signature_of(ident):
        return "sig-" + ident[::-1]

    @staticmethod
    def body_of(ident):
        return ("%s is answered\n" % ident).encode() * 8

    async def start(self, resources, version=1):
        if not os.access(os.path.join(ROOT, "target", "nutmegarch"), os.X_OK):
            raise CannotRun("target/nutmegarch is missing: run the build of deploy/system.toml")
        await self.store.start()
        self.store.put("op/config", {"Version": version, "Resources": resources})
        for host in self.hosts:
            host.server = Server(host, self.work_s)
            await host.server.start()
        for host in self.hosts:
            host.start_node()
        await self.wait_ready()
        # Views and loads settle as after the start of a day.
        await asyncio.sleep(4)

    async def wait_ready(self):
        for _ in range(200):
            if all([await host.is_ready() for host in self.hosts]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("nodes did not become ready")

    def runs(self):
        return [run for host in self.hosts for run in host.server.runs]

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.guard.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, service, kind="idempotent", **more):
    return {"ResourceType": "Routes", "Metadata": {"Name": name}, "Spec": dict({
        "Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": 5000, "TargetLatencyMs": 1500, "Priority": 1,
        "Service": service, "MaxAttempts": 2 if kind == "idempotent" else 1}, **more)}


def service(name):
    return {"ResourceType": "Services", "Metadata": {"Name": name},
            "Spec": {"HealthPath": "/health", "MaxConnections": 1012, "Protocol": "h1", "Tls": False}}


LIMITS = {"ResourceType": "Limits", "Metadata": {}, "Spec": {
    "MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def new_ident():
    return "%016x" % random.getrandbits(64)


def encode(method, path, ident, host="shop.example", body=b"", deadline_ms=5000, more=""):
    head = "%s %s HTTP/1.1\r\nHost: %s\r\nNutmegarch-Attempt-Id: %s\r\nNutmegarch-Deadline-Ms: %d\r\n%s" % (
        method, path, host, ident, deadline_ms, more)
    if body:
        head += "Content-Length: %d\r\n" % len(body)
    return head.encode() + b"\r\n" + body


def main(case):
    """Runs `case(fleet_holder)`, a coroutine that returns (is_broken, text), writes record.txt beside the script and
    ends with the status of a case."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    holder = {}
    status, text = CANNOT_RUN, ""
    try:
        is_broken, text = asyncio.run(asyncio.wait_for(case(holder), 110))
        status = BROKEN if is_broken else HOLDS
    except Exception as error:  # A fault of the case itself must not pass for a broken rule.
        text = "could not run: %r" % error
    finally:
        fleet = holder.get("fleet")
        if fleet is not None:
            fleet.stop()
            fleet.record("verdict", status=status, text=text)
            with open(os.path.join(folder, "record.txt"), "w") as file:
                file.write("\n".join(fleet.lines) + "\n")
    print("%s: %s" % (("held", "BROKEN", "could not run")[status], text))
    sys.exit(status)
