"""Starts nodes of a small deployment on loopback addresses, with stand-ins for the store, the servers and the clients.

The stand-ins run in this process, on one event loop. Everything that they see goes to record.txt in the case's folder.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.environ.get("NODE_BINARY", os.path.join(ROOT, "target", "nutmegarch"))
TEMPLATE = os.path.join(ROOT, "deploy", "node.json.template")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# The bounds of the smallest deployments (SYSTEM.md).
BOUNDS = {"GraceS": 6, "RetryBudgetRatio": 0.2, "RetrySlack": 49, "DrainMs": 2500, "ConfigApplyMs": 2500,
          "StableWindowMs": 3000, "LossSlackMs": 200}
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}


class Record:
    """record.txt of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()


def render(template, fields):
    """Fills in a settings template, as far as the project's template uses the platform's syntax."""

    def look_up(name):
        found = fields
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        entries = look_up(match.group(1)) or []
        texts = [match.group(2).replace("{{.}}", str(entry)) for entry in entries]
        last = len(texts) - 1
        return "".join(text.replace("{{,}}", "" if i == last else ",") for i, text in enumerate(texts))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda match: json.dumps(look_up(match.group(1))), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(look_up(match.group(1))), text)


class Message:
    """A request or an answer: its first line, its fields by lower-case name and its body."""

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    def __getitem__(self, name):
        return self.fields.get(name.lower(), "")


async def read_head(reader):
    """First line and fields; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0], fields, b"")


async def read_body(reader, message):
    """Reads a body with a length or in chunks; raises IncompleteReadError when it ends early."""
    if "chunked" in message["transfer-encoding"]:
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                message.body = body
                return message
    message.body = await reader.readexactly(int(message["content-length"] or 0))
    return message


async def read_message(reader):
    message = await read_head(reader)
    return message and await read_body(reader, message)


class Store:
    """The platform's metadata store: reads and watches, as PROTOCOL.md tells them."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Condition()

    async def start(self, ip, port):
        self.address = "%s:%d" % (ip, port)
        self.listener = await asyncio.start_server(self.serve, ip, port)

    async def put(self, key, value):
        async with self.changed:
            self.revision += 1
            created = self.items[key]["CreatedAt"] if key in self.items else self.revision
            item = {"Key": key, "Value": base64.b64encode(json.dumps(value).encode()).decode(),
                    "Revision": self.revision, "CreatedAt": created, "Lease": 0}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            self.revision += 1
            del self.items[key]
            self.events.append({"Key": key, "Revision": self.revision, "Tombstone": True})
            self.changed.notify_all()

    def read(self, query):
        prefix, after = query.get("Prefix", ""), query.get("after", "")
        items = [item for key, item in sorted(self.items.items()) if key.startswith(prefix) and key > after]
        return {"items": items, "MorePages": False, "AsOf": self.revision}

    async def watch(self, query):
        def events():
            return [event for event in self.events
                    if event["Revision"] > int(query["after"]) and event["Key"].startswith(query["Prefix"])]

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(events), int(query["WaitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
            return {"events": events(), "AsOf": self.revision}

    async def serve(self, reader, writer):
        try:
            while request := await read_message(reader):
                target = urlsplit(request.first.split()[1])
                query = {name: values[0] for name, values in parse_qs(target.query, True).items()}
                await asyncio.sleep(0.004)
                answer = await self.watch(query) if target.path.endswith("/kv-watch") else self.read(query)
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(body), body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Link:
    """One connection through a proxy."""

    def __init__(self):
        self.is_silent = False


class Proxy:
    """Passes on what comes. Connections that are open at silence() pass nothing any more; new ones work."""

    def __init__(self, address):
        self.address = address
        self.links = set()
        # The event loop itself keeps no reference to a task.
        self.tasks = set()

    async def start(self, ip, port):
        self.listener = await asyncio.start_server(self.serve, ip, port)

    def silence(self):
        """Returns the number of connections that go silent."""
        for link in self.links:
            link.is_silent = True
        return len(self.links)

    async def serve(self, reader, writer):
        link = Link()
        self.links.add(link)
        self.tasks.add(asyncio.current_task())
        writers = [writer]
        try:
            host, port = self.address.split(":")
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
            writers.append(to_writer)
            await asyncio.gather(self.pump(link, reader, to_writer), self.pump(link, to_reader, writer))
        except OSError:
            pass
        finally:
            self.links.discard(link)
            for used in writers:
                used.close()

    async def end(self):
        self.listener.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    @staticmethod
    async def pump(link, reader, writer):
        try:
            while data := await reader.read(65536):
                if not link.is_silent:
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            pass
        if not link.is_silent:
            writer.close()


class Server:
    """A sound application server: runs `slots` requests at once, queues further ones, answers with the request's id.

    `work` maps a request to the seconds that it takes. Runs are recorded and kept in `runs`, by attempt id.
    """

    def __init__(self, deployment, name, node, slots, work):
        self.deployment = deployment
        self.name = name
        self.service = node.service
        self.zone = node.zone
        self.ip = node.ip
        self.address = "%s:8301" % self.ip
        self.slots = slots
        self.gate = asyncio.Semaphore(slots)
        self.work = work
        self.running = 0
        self.runs = {}
        self.ended = {}
        self.born = int(time.time() * 1000)
        self.connections = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.ip, 8301, limit=1 << 20)
        await self.register()

    async def register(self, state="ready"):
        await self.deployment.store.put("servers/" + self.name, {
            "Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1", "Slots": self.slots,
            "State": state, "ColdRemainingMs": 0, "Sequence": 1, "born": self.born})

    def load(self):
        return "%d,0,%d" % (self.running, self.slots)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while head := await read_head(reader):
                if not await self.answer(head, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, head, reader, writer):
        request = await read_body(reader, head)
        method, target = request.first.split()[:2]
        identity = request["nutmegarch-attempt-id"]
        if target == "/health":
            await self.write(writer, "200 OK", identity, b"")
            return True
        expected = request["nutmegarch-target-instance"]
        if expected and expected != self.name:
            await self.write(writer, "421 Misdirected Request", identity, b"", rejected=True)
            return True
        async with self.gate:
            self.running += 1
            self.runs.setdefault(identity, []).append((method, target, request))
            self.deployment.record("run %s at %s: %s %s, %d bytes, caller %s" % (
                identity, self.name, method, target, len(request.body), request["nutmegarch-caller-service"]))
            try:
                # Most servers drop a request when its connection closes.
                gone = asyncio.ensure_future(reader.read(1))
                done, _ = await asyncio.wait([gone], timeout=self.work(request))
                if done:
                    self.deployment.record("dropped %s at %s" % (identity, self.name))
                    return False
                gone.cancel()
                try:
                    await gone
                except asyncio.CancelledError:
                    pass
                self.ended[identity] = time.monotonic()
                await self.write(writer, "200 OK", identity, b"" if method == "HEAD" else self.body_of(identity))
            finally:
                self.running -= 1
        return True

    @staticmethod
    def body_of(identity):
        return ("the answer to " + identity).encode()

    async def write(self, writer, status, identity, body, rejected=False):
        mark = "Nutmegarch-Not-Executed: 1" if rejected else "Nutmegarch-Response-Signature: sig." + identity
        writer.write(("HTTP/1.1 %s\r\nNutmegarch-Attempt-Id: %s\r\n%s\r\nNutmegarch-Instance-Id: %s\r\n"
                      "Nutmegarch-Server-Load: %s\r\nContent-Length: %d\r\n\r\n"
                      % (status, identity, mark, self.name, self.load(), len(body))).encode() + body)
        await writer.drain()


class Node:
    """A node process, started with the command of the deploy file."""

    def __init__(self, deployment, index, service, zone):
        self.deployment = deployment
        self.name = "node-%d" % index
        self.zone = zone
        self.service = service
        self.ip = "127.77.%d.%d" % (deployment.net, 10 + index)
        self.callers = (self.ip, 8304)
        self.file = os.path.join(deployment.folder, self.name + ".conf")
        self.process = None

    async def start(self, seeds):
        fields = {"Service": self.service, "Ip": self.ip, "Zone": self.zone, "Region": "r", "Zones": {"a": "r", "b": "r"},
                  "AppAddr": self.ip + ":8301", "Bounds": BOUNDS,
                  "Listen": {"Outbound": self.ip + ":8304", "Control": self.ip + ":8306", "Ready": self.ip + ":8302"},
                  "Platform": {"Address": "127.77.%d.3:8309" % self.deployment.net}, "Seeds": seeds}
        with open(TEMPLATE) as template, open(self.file, "w") as file:
            file.write(render(template.read(), fields))
        self.log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["NUTMEGARCH_CONFIG"] = self.file
        self.process = await asyncio.create_subprocess_exec(
            BINARY, "node", "--settings", self.file, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.deployment.record("%s started" % self.name)

    async def wait_until_ready(self):
        for _ in range(200):
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CouldNotRun("%s isn't ready" % self.name)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8302)
            writer.write(b"GET /nutmegarch/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer is not None and answer.first.split()[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def signal(self, number):
        self.deployment.record("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def has_ended(self):
        return self.process.returncode is not None

    def memory_mb(self, field="VmRSS"):
        with open("/proc/%d/status" % self.process.pid) as status:
            return int(re.search(field + r":\s+(\d+)", status.read()).group(1)) / 1024


class CouldNotRun(Exception):
    pass


class Deployment:
    """A store and some nodes; a case adds servers. Every address is a loopback address of this run alone."""

    def __init__(self, folder, case_folder, machines):
        self.folder = folder
        self.record = Record(case_folder)
        self.net, self.lock = self.take_net()
        self.store = Store()
        self.proxy = None
        self.servers = []
        self.nodes = [Node(self, index, service, zone) for index, (service, zone) in enumerate(machines)]

    @staticmethod
    def take_net():
        for net in range(1, 250):
            lock = socket.socket()
            try:
                lock.bind(("127.77.%d.1" % net, 9999))
                return net, lock
            except OSError:
                lock.close()
        raise CouldNotRun("no free addresses")

    async def add_server(self, node, slots, work, kind=Server):
        server = kind(self, "i-%d" % len(self.servers), node, slots, work)
        self.servers.append(server)
        await server.start()
        return server

    async def start(self, routes):
        """`routes`: Name, Host, Prefix, Kind, Service and what else a route may have."""
        await self.store.start("127.77.%d.2" % self.net, 8309)
        self.proxy = Proxy(self.store.address)
        await self.proxy.start("127.77.%d.3" % self.net, 8309)
        await self.publish(routes, 7)

    async def publish(self, routes, version):
        resources = []
        for route in routes:
            spec = {"TimeoutMs": 6000, "TargetLatencyMs": 1500, "Priority": 0, "MaxAttempts": 2}
            spec.update({key: value for key, value in route.items() if key != "Name"})
            resources.append({"ResourceType": "Routes", "Metadata": {"Name": route["Name"]}, "Spec": spec})
        for service in sorted({node.service for node in self.nodes}):
            resources.append({"ResourceType": "Services", "Metadata": {"Name": service},
                              "Spec": {"HealthPath": "/health", "MaxConnections": 1012, "Protocol": "h1",
                                       "Tls": False}})
        resources.append({"ResourceType": "Limits", "Metadata": {}, "Spec": LIMITS})
        await self.store.put("op/config", {"Version": version, "Resources": resources})

    async def start_nodes(self):
        seeds = [node.ip + ":8306" for node in self.nodes[:3]]
        for node in self.nodes:
            await node.start(seeds)
        for node in self.nodes:
            await node.wait_until_ready()

    async def end(self):
        for node in self.nodes:
            if node.process and not node.has_ended():
                node.process.kill()
            if node.process:
                await node.process.wait()
        if self.proxy:
            await self.proxy.end()
        # Lets the stand-ins notice that their connections have ended.
        await asyncio.sleep(0.1)
        self.lock.close()


class Client:
    """A client with one kept connection to a node."""

    def __init__(self, deployment, node):
        self.deployment = deployment
        self.node = node
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(*self.node.callers, limit=1 << 24)

    async def send(self, identity, method, host, path, body=b"", deadline_ms=6000):
        if self.writer is None:
            await self.connect()
        self.sent_at = time.monotonic()
        self.deployment.record("sent %s to %s: %s %s, %d bytes" % (identity, self.node.name, method, path, len(body)))
        self.method = method
        self.writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nNutmegarch-Attempt-Id: %s\r\nNutmegarch-Deadline-Ms: %d\r\n"
                           "%s\r\n" % (method, path, host, identity, deadline_ms,
                                       "Content-Length: %d\r\n" % len(body) if body else "")).encode() + body)
        try:
            await self.writer.drain()
        except ConnectionError:
            pass

    async def receive(self, identity, timeout=10):
        """The answer; None when the connection ends without a complete one."""
        try:
            answer = await asyncio.wait_for(read_message(self.reader), timeout)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.deployment.record("%s ended without a complete answer: %s" % (identity, type(error).__name__))
            return None
        self.deployment.record("answer to %s: %s" % (
            identity, "none, the connection was closed" if answer is None else
            answer.first + ", " + repr(answer.body[:80])))
        return answer

    async def ask(self, identity, *words, **options):
        await self.send(identity, *words, **options)
        return await self.receive(identity)


def main(case, machines, timeout=110):
    """Runs `case(deployment)`, which returns HELD or BROKEN, and exits with the result.

    `machines` holds the service and the zone of each machine. All zones lie in one region.
    """
    case_folder = os.path.dirname(os.path.abspath(sys.argv[0]))

    async def run():
        # SIGTERM ends the processes that were started, too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as folder:
            deployment = None
            try:
                if not os.access(BINARY, os.X_OK):
                    raise CouldNotRun("target/nutmegarch isn't built")
                deployment = Deployment(folder, case_folder, machines)
                result = await asyncio.wait_for(case(deployment), timeout)
                deployment.record("the rule was broken" if result == BROKEN else "the rule held")
                return result
            except (Exception, asyncio.CancelledError) as error:
                # An error that nobody expected says nothing about the rule.
                print("could not run: %r" % error, file=sys.stderr)
                if deployment:
                    deployment.record("could not run: %r" % error)
                return COULD_NOT_RUN
            finally:
                if deployment:
                    await deployment.end()
                    if "KEEP_LOGS" in os.environ:
                        for name in os.listdir(folder):
                            with open(os.path.join(folder, name)) as file:
                                print("==", name, "\n", file.read()[-4000:], file=sys.stderr)

    sys.exit(asyncio.run(run()))
