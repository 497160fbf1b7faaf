"""The processes under soak: a store, and hosts with a server and a node each, on loopback addresses of their own."""

import asyncio
import json
import os
import re
import signal
import socket
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SERVICES = ("shop", "stock")
# Bounds of the platform that the settings and the checks share, in the users' names.
BOUNDS = {"GraceS": 6, "RetryBudgetRatio": 0.2, "RetrySlack": 49, "BudgetWindowS": 10, "DrainMs": 2500,
          "ConfigApplyMs": 2500, "RollbackSlackMs": 250, "StableWindowMs": 3000, "LossSlackMs": 200,
          "RecoveryS": 15, "StrictRevoke": True, "RevokeMs": 5000, "QuotaWindowS": 5, "QuotaOverage": 0.25,
          "QuotaSlack": 20}
SLOTS = 16


def render(template, fields):
    """The platform's templates as far as the settings of a node use them."""

    def look_up(name):
        found = fields
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        entries = look_up(match.group(1))
        if not isinstance(entries, list):
            # Once for a value that is present and not false.
            return "" if entries is None or entries is False else match.group(2)
        texts = [match.group(2).replace("{{.}}", str(entry)) for entry in entries]
        last = len(texts) - 1
        return "".join(text.replace("{{,}}", "" if i == last else ",") for i, text in enumerate(texts))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda match: json.dumps(look_up(match.group(1))), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(look_up(match.group(1))), text)


class Host:
    """A machine: one server and the node beside it."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.index = index
        self.service = SERVICES[index % len(SERVICES)]
        self.zone = "ab"[index // 2 % 2]
        self.name = "host-%d" % index
        # Others reach the peers' port through the proxy, which listens at the address that is told.
        self.ip = "127.2.%d.%d" % (fleet.net, 10 + index)
        self.inner_ip = "127.1.%d.%d" % (fleet.net, 10 + index)
        self.server_address = self.ip + ":8301"
        self.callers = (self.ip, 8304)
        self.file = os.path.join(fleet.folder, self.name + ".json")
        self.node = self.server = None
        self.is_stopping = self.has_begun = False
        self.starts = 0
        self.lifetime = 0
        self.reloads = 0
        # What the store has confirmed of this host's servers, by instance.
        self.published = {}

    def write_settings(self):
        fields = {
            "Service": self.service, "Ip": self.ip, "Zone": self.zone, "Region": "r" + self.zone,
            "Zones": {"a": "ra", "b": "rb"}, "AppAddr": self.server_address, "Bounds": BOUNDS,
            "Listen": {"Outbound": self.ip + ":8304", "Control": self.inner_ip + ":7620",
                       "Ready": self.ip + ":8302"},
            "Limits": {"MemoryMb": 260}, "Platform": {"Address": self.ip + ":9000"},
            "Seeds": [other.ip + ":7620" for other in self.fleet.hosts[:3]],
        }
        with open(os.path.join(ROOT, "deploy", "node.json.template")) as file:
            text = render(file.read(), fields)
        if self.reloads:
            # What a reload may bring: other bounds, and now and then a file that can't be read.
            text = text.replace('"idle_timeout": "15s"', '"idle_timeout": "%ds"' % (10 + self.reloads % 10))
            text = text if self.reloads % 5 else "{ not whole"
        with open(self.file + ".new", "w") as file:
            file.write(text)
        os.replace(self.file + ".new", self.file)
        return text

    async def start_node(self, reloads_at_once=False):
        """Gives the settings through a pipe, so that a signal can be sent while they are being read."""
        self.lifetime += 1
        self.has_begun = False
        self.reloads = 0
        text = self.write_settings()
        os.remove(self.file)
        os.mkfifo(self.file)
        self.node = await self.fleet.spawn(
            self.name + "-node", [self.fleet.binary, "node", "--settings", self.file])
        self.is_stopping = False
        pipe = None
        while pipe is None and self.node.returncode is None:
            try:
                pipe = os.open(self.file, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                await asyncio.sleep(0.002)
        if pipe is None:
            return
        self.has_begun = True
        if reloads_at_once:
            self.node.send_signal(signal.SIGHUP)
        os.write(pipe, text.encode())
        self.write_settings()
        os.close(pipe)

    async def start_server(self):
        self.starts += 1
        self.instance = "i-%d-%d" % (self.index, self.starts)
        self.born = int(time.time() * 1000)
        instance, service = self.instance, self.service
        self.server = await self.fleet.spawn(
            self.name + "-server",
            [self.fleet.stand_ins, "server", "--listen", self.server_address, "--service", service, "--instance",
             instance, "--slots", str(SLOTS), "--mean-ms", "25", "--node", self.ip + ":8304"],
            lambda line: self.fleet.on_server_line(self, instance, line))
        return self.server

    async def register(self, state="ready"):
        await self.publish(self.instance, json.dumps({
            "Service": self.service, "Address": self.server_address, "Zone": self.zone, "Version": "v1",
            "Slots": SLOTS, "State": state, "ColdRemainingMs": 0, "Sequence": 1, "born": self.born}))

    async def publish(self, instance, entry):
        self.published[instance] = entry
        await self.fleet.store("put/servers/" + instance, entry)

    async def unregister(self, instance):
        self.published.pop(instance, None)
        await self.fleet.store("remove/servers/" + instance)

    async def trouble(self, query=""):
        await call(self.ip, 8301, "GET", "/stand-in/trouble?" + query)

    async def is_ready(self):
        return await call(self.ip, 8302, "GET", "/nutmegarch/ready") == 200


async def call(host, port, method, path, body="", timeout=2.0):
    """Status of one request on a connection of its own; None when there is no answer."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), timeout)
        writer.write(("%s %s HTTP/1.1\r\nHost: control\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s"
                      % (method, path, len(body), body)).encode())
        line = await asyncio.wait_for(reader.readline(), timeout)
        writer.close()
        return int(line.split()[1])
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None


class Fleet:
    """Starts processes, keeps their output in the folder of the run and ends those that it started."""

    def __init__(self, folder, count, binary, on_server_line):
        self.folder = folder
        self.binary = binary
        self.stand_ins = os.path.join(ROOT, "build", "nutmegarch_stand_ins")
        self.on_server_line = on_server_line
        self.processes = []
        self.readers = []
        self.net, self.lock = self.take_net()
        self.store_address = ("127.1.%d.1" % self.net, 9000)
        self.hosts = []
        for index in range(count):
            self.hosts.append(Host(self, index))

    @staticmethod
    def take_net():
        """Third octet of the addresses; runs side by side take different ones."""
        for net in range(1, 250):
            lock = socket.socket()
            try:
                lock.bind(("127.2.%d.1" % net, 9999))
                return net, lock
            except OSError:
                lock.close()
        raise RuntimeError("no free addresses")

    async def spawn(self, name, command, on_line=None, stdin=None):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        process = await asyncio.create_subprocess_exec(
            *command, stdin=stdin, stdout=asyncio.subprocess.PIPE if on_line else log, stderr=log, cwd=ROOT)
        self.processes.append(process)
        if on_line:
            self.readers.append(asyncio.create_task(self.read(process, on_line, log)))
        return process

    @staticmethod
    async def read(process, on_line, log):
        while line := await process.stdout.readline():
            log.write(b"%.3f " % time.monotonic() + line)
            on_line(line.decode().split())
        log.close()

    async def start(self):
        await self.spawn("store", [self.stand_ins, "store", "--listen", "%s:%d" % self.store_address])
        listens = asyncio.Queue()
        self.proxy = await self.spawn("proxy", [sys.executable, os.path.join(ROOT, "soak", "proxy.py")],
                                      listens.put_nowait, asyncio.subprocess.PIPE)
        for host in self.hosts:
            self.tell_proxy("listen peers-%d %s:7620 %s:7620" % (host.index, host.ip, host.inner_ip))
            self.tell_proxy("listen store-%d %s:9000 %s:%d" % ((host.index, host.ip) + self.store_address))
            await listens.get()
            await listens.get()
        while await self.store("mode/good") is None:
            await asyncio.sleep(0.02)

    def tell_proxy(self, line):
        self.proxy.stdin.write(line.encode() + b"\n")

    async def store(self, what, body=""):
        """Acknowledged when it returns 200."""
        return await call(*self.store_address, "POST", "/stand-in/" + what, body)

    async def stop(self):
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            await process.wait()
        self.lock.close()
