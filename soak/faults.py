"""The faults of a run: a plan that depends on the seed alone, and what each fault does."""

import asyncio
import json
import signal
import time

from checks import MOST_ATTEMPTS
from fleet import BOUNDS

PLANNED = ("reload", "reload", "stop", "stop", "reload_all", "reload_while_starting", "configure", "retire")
CHAOS = ("kill", "pause", "kill_server", "pause_server", "trouble", "trouble", "peer_link", "peer_link", "store_link",
         "store_mode", "kill_all") + PLANNED
TROUBLES = ("reject=0.7", "fail=0.3", "lose=0.3", "truncate=0.3", "extra=0.3", "garbage=0.2", "slow=10",
            "reject=0.3&slow=3&lose=0.1")
LINK_MODES = ("silent", "cut_to", "cut_from", "refuse", "pass", "reset")
# Kinds that come only if they are named, so that the plans of earlier seeds stay as they are.
NAMED_ONLY = ("store_silence", "store_return")
STORE_MODES = ("refuses", "limits", "silent", "forget")
QUIET_BEGIN = 4.0
TAIL = BOUNDS["RecoveryS"] + 5.0


def make_plan(random, length, count, kinds=None):
    """Events (second, kind, host, length, detail): spans of planned work and of chaos by turns, calm between."""
    events = []
    at = QUIET_BEGIN
    is_planned = True
    while at < length - TAIL - 1:
        end = min(at + random.uniform(9, 14), length - TAIL)
        while at < end:
            kind = random.choice(kinds or (PLANNED if is_planned else CHAOS))
            span = min(random.choice((0.2, 0.6, 1.5, 4.0)), max(0.2, end - at))
            details = {"trouble": TROUBLES, "peer_link": LINK_MODES, "store_link": LINK_MODES,
                       "store_mode": STORE_MODES, "configure": (1, 2, 3), "store_return": (0.2, 1.0)}.get(kind, ("",))
            events.append((round(at, 3), kind, random.randrange(count), span, random.choice(details)))
            at += random.uniform(0.1, 1.2)
        at += 1.0 if is_planned else 5.0
        is_planned = not is_planned
    return events


# One organisation, for runs with --organisations. All routes but one are exempt from keys.
ALLOWANCE = {"RatePerS": 40, "Burst": 20}
KEY = "key-of-the-bakers"


def organisations():
    return [{"ResourceType": "Tenants", "Metadata": {"Name": "bakers"},
             "Spec": {"ApiKeys": [KEY], "Priority": 1, **ALLOWANCE}}]


def manifest(version, has_organisations=False):
    routes = [("look", "shop", True), ("buy", "shop", False), ("chain", "shop", True), ("peek", "stock", True),
              ("take", "stock", False), ("v%d" % version, "shop", True)]
    resources = [{"ResourceType": "Limits", "Metadata": {"Name": "limits"}, "Spec": {
        "MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 10000}}]
    resources += [{"ResourceType": "Services", "Metadata": {"Name": name}, "Spec": {
        "MaxConnections": 500, "HealthPath": "/health"}} for name in ("shop", "stock")]

    def route(name, where, is_idempotent):
        spec = {"Host": "shop.example", "Prefix": "/%s/" % name, "TimeoutMs": 4000, "TargetLatencyMs": 1000,
                "Kind": "idempotent" if is_idempotent else "non_idempotent", "Priority": 0,
                "MaxAttempts": MOST_ATTEMPTS, "AuthExempt": name != "keyed"}
        return {"ResourceType": "Routes", "Metadata": {"Name": name}, "Spec": {**spec, **where}}

    resources += [route(name, {"Service": service}, kind) for name, service, kind in routes]
    resources.append(route("split", {"Split": [{"Service": "shop", "Weight": 2}, {"Service": "stock", "Weight": 1}]},
                           True))
    if has_organisations:
        resources += organisations() + [route("keyed", {"Service": "shop"}, True)]
    return json.dumps({"Version": version, "Resources": resources})


def send(process, number):
    """Signals a process that we started, unless it has ended meanwhile."""
    try:
        process.send_signal(number)
    except ProcessLookupError:
        pass


class Faults:
    """Does the events of a plan. What is planned work and what disturbs is told to the checks."""

    def __init__(self, fleet, checker, has_organisations=False):
        self.fleet, self.checker, self.has_organisations = fleet, checker, has_organisations
        self.busy = set()

    async def do(self, kind, host, length, detail):
        target = kind not in ("configure", "reload", "reload_all", "store_mode", "kill_all") + NAMED_ONLY
        key = (kind.split("_")[0] if "link" in kind else "server" if kind in SERVER_FAULTS else "node", host.index)
        if target and key in self.busy:
            return
        if target:
            self.busy.add(key)
        try:
            await getattr(self, kind)(host, length, detail)
        finally:
            self.busy.discard(key) if target else None

    # Planned work.

    async def reload(self, host, *_):
        # Before its main() a process can't do anything about a signal.
        if host.has_begun and host.node.returncode is None:
            host.reloads += 1
            host.write_settings()
            send(host.node, signal.SIGHUP)

    async def reload_all(self, *_):
        for host in self.fleet.hosts:
            await self.reload(host)

    async def stop(self, host, *_, reloads_at_once=False):
        if host.is_stopping:
            return
        span = self.begin_planned(host)
        self.checker.stops[host.index].append(time.monotonic())
        host.is_stopping = True
        stopped = host.node
        send(stopped, signal.SIGTERM)
        try:
            await asyncio.wait_for(stopped.wait(), BOUNDS["GraceS"])
        except asyncio.TimeoutError:
            self.checker.say("%s still ran at the end of its grace" % host.name)
            await self.end(stopped)
        await host.start_node(reloads_at_once)
        span[1] = time.monotonic()

    async def reload_while_starting(self, host, *_):
        if host.is_stopping:
            return
        await self.stop(host, reloads_at_once=True)
        for _ in range(20):
            await self.reload(host)
            await asyncio.sleep(0.02)

    async def configure(self, host, length, step):
        version = self.checker.newest + step
        self.checker.newest = version
        if await self.fleet.store("put/op/config", manifest(version, self.has_organisations)) == 200:
            self.checker.acknowledged[version] = time.monotonic()

    async def retire(self, host, *_):
        """A server leaves as its pages say, and a new one starts in its place."""
        instance, process = host.instance, host.server
        if await self.fleet.store("mode/") is None:
            return
        await host.register("draining")
        self.checker.draining[instance] = time.monotonic()
        await asyncio.sleep(BOUNDS["DrainMs"] / 1000 + 1.5)
        await self.end_server(host, process, instance)
        await host.unregister(instance)
        await asyncio.sleep(0.5)
        await host.start_server()
        await host.register()

    # Disturbances.

    async def kill(self, host, length, _):
        await self.crash([host], length)

    async def kill_all(self, host, length, _):
        await self.crash(self.fleet.hosts, length)

    async def crash(self, hosts, length):
        span = self.checker.disturb()
        hosts = [host for host in hosts if host.node.returncode is None and not host.is_stopping]
        for host in hosts:
            host.is_stopping = True
            send(host.node, signal.SIGKILL)
        await asyncio.sleep(length)
        for host in hosts:
            await host.node.wait()
            await host.start_node()
        span[1] = time.monotonic()

    async def pause(self, host, length, _):
        await self.freeze(host.node, length)

    async def pause_server(self, host, length, _):
        await self.freeze(host.server, length)

    async def freeze(self, process, length):
        span = self.checker.disturb()
        if process.returncode is None:
            send(process, signal.SIGSTOP)
        await asyncio.sleep(length)
        if process.returncode is None:
            send(process, signal.SIGCONT)
        span[1] = time.monotonic()

    async def kill_server(self, host, length, _):
        span = self.checker.disturb()
        old = host.instance
        await self.end_server(host, host.server, old)
        await asyncio.sleep(length)
        await host.start_server()
        await host.register()
        await asyncio.sleep(1)
        await host.unregister(old)
        span[1] = time.monotonic()

    async def trouble(self, host, length, detail):
        span = self.checker.disturb()
        # Servers that reject most of what comes do so all at once, for the retry budget to be of use.
        hosts = self.fleet.hosts if detail == TROUBLES[0] else [host]
        for one in hosts:
            await one.trouble(detail)
        await asyncio.sleep(length)
        for one in hosts:
            await one.trouble()
        span[1] = time.monotonic()

    async def peer_link(self, host, length, detail):
        await self.link("peers-%d" % host.index, length, detail)

    async def store_link(self, host, length, detail):
        await self.link("store-%d" % host.index, length, detail)

    async def link(self, name, length, detail):
        span = self.checker.disturb()
        if detail == "reset":
            self.fleet.tell_proxy("reset " + name)
        else:
            self.fleet.tell_proxy("set %s %s %d" % (name, detail, 200 if detail == "pass" else 0))
        await asyncio.sleep(length)
        self.fleet.tell_proxy("set %s pass 0" % name)
        span[1] = time.monotonic()

    async def store_mode(self, _, length, detail):
        span = self.checker.disturb()
        await self.fleet.store("forget" if detail == "forget" else "mode/" + detail)
        await asyncio.sleep(length)
        await self.fleet.store("mode/good")
        span[1] = time.monotonic()

    async def store_silence(self, *_):
        """All open connections to the store carry nothing any more; new ones work."""
        span = self.checker.disturb()
        for host in self.fleet.hosts:
            self.fleet.tell_proxy("sever store-%d" % host.index)
        span[1] = time.monotonic()

    async def store_return(self, _, length, delay):
        """The store comes back from a copy. What was written since is gone, and is written again after a delay."""
        span = self.checker.disturb()
        await self.fleet.store("copy")
        await asyncio.sleep(length)
        await self.fleet.store("mode/refuses")
        await asyncio.sleep(0.3)
        await self.fleet.store("return")
        await self.fleet.store("mode/good")
        await asyncio.sleep(delay)
        await self.fleet.store("put/op/config", manifest(self.checker.newest, self.has_organisations))
        for host in self.fleet.hosts:
            for instance, entry in list(host.published.items()):
                await host.publish(instance, entry)
        for host in self.fleet.hosts:
            for start in range(1, host.starts + 1):
                instance = "i-%d-%d" % (host.index, start)
                if instance not in host.published:
                    await host.unregister(instance)
        span[1] = time.monotonic()

    # Helpers.

    def begin_planned(self, host):
        span = [time.monotonic(), None]
        self.checker.planned[host.index].append(span)
        return span

    async def end_server(self, host, process, instance):
        self.checker.server_ends[instance] = time.monotonic()
        await self.end(process)

    @staticmethod
    async def end(process):
        if process.returncode is None:
            send(process, signal.SIGCONT)
            send(process, signal.SIGKILL)
        await process.wait()


SERVER_FAULTS = ("retire", "kill_server", "pause_server", "trouble")
