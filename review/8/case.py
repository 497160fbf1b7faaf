"""A tenant asks for several times its allowance; the machine that keeps the allowance is stopped and started again."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import small_fleet as small  # noqa: E402

MACHINES = 4
RATE, BURST = 40, 20
# The bounds of the sheet: QuotaWindowS, QuotaOverage, QuotaSlack, RevokeMs.
BOUNDS = {"StrictRevoke": True, "RevokeMs": 5000, "QuotaWindowS": 5, "QuotaOverage": 0.25, "QuotaSlack": 20}
LIMIT = (RATE * BOUNDS["QuotaWindowS"] + BURST) * (1 + BOUNDS["QuotaOverage"]) + BOUNDS["QuotaSlack"]
# 6 times the allowance from all machines together.
HOT_RATE = 6 * RATE
KEY = "key-of-the-bakers"


class Clients:
    """Open-loop callers at all machines. `sent` has the time of each request."""

    def __init__(self, fleet):
        self.fleet, self.sent, self.statuses, self.tasks = fleet, {}, {}, set()

    async def one(self, host):
        ident = small.new_ident()
        self.sent[ident] = time.monotonic()
        status = "none"
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*host.callers), 1)
            writer.write(small.encode("GET", "/look/" + ident, ident, deadline_ms=2000,
                                      more="Nutmegarch-Credential: %s\r\nConnection: close\r\n" % KEY))
            message = await asyncio.wait_for(small.read_message(reader), 3)
            status = message[0].split()[1] if message else "none"
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.fleet.record("client", host=host.name, ident=ident, status=status)

    async def run(self, seconds, rate=HOT_RATE):
        start, count = time.monotonic(), 0
        while time.monotonic() - start < seconds:
            while count < (time.monotonic() - start) * rate:
                # A machine that is not ready gets no new callers.
                ready = [host for host in self.fleet.hosts if not host.is_away]
                task = asyncio.create_task(self.one(ready[count % len(ready)]))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
                count += 1
            await asyncio.sleep(0.005)


def most_in_window(fleet, sent):
    """The most requests that were both sent and began to run within one window, and when it began."""
    window = BOUNDS["QuotaWindowS"]
    points = sorted((sent[run["ident"]], run["at"]) for run in fleet.runs() if run["ident"] in sent)
    best = (0, 0.0)
    for begin, _ in points:
        count = sum(1 for out, arrived in points if out >= begin and arrived <= begin + window)
        best = max(best, (count, begin))
    return best


def keeper_of(fleet):
    """The machine whose log tells that it has used up the tenant's allowance."""
    for host in fleet.hosts:
        with open(host.log_path) as file:
            if any("allowance-used-up" in line and '"stand_in":"false"' in line for line in file):
                return host
    raise small.CannotRun("no machine has kept the allowance")


async def restart(fleet, host):
    host.is_away = True
    host.signal_node(signal.SIGTERM)
    while host.node.poll() is None:
        await asyncio.sleep(0.05)
    fleet.record("node-ended", host=host.name, status=host.node.poll())
    host.start_node()
    while not await host.is_ready():
        await asyncio.sleep(0.1)
    host.is_away = False
    fleet.record("node-ready", host=host.name)


async def case(holder):
    fleet = holder["fleet"] = small.Fleet(["shop"] * MACHINES, slots=64, work_s=0.03, bounds=BOUNDS)
    for host in fleet.hosts:
        host.is_away = False
    tenant = {"ResourceType": "Tenants", "Metadata": {"Name": "bakers"},
              "Spec": {"ApiKeys": [KEY], "RatePerS": RATE, "Burst": BURST, "Priority": 1}}
    await fleet.start([small.route("r-look", "shop.example", "/look/", "shop"), small.service("shop"), tenant,
                       small.LIMITS])
    clients = Clients(fleet)
    await clients.run(3)
    keeper = keeper_of(fleet)
    fleet.record("keeper", host=keeper.name)
    # The tenant rests for longer than the window.
    await clients.run(8, RATE / 10)
    fleet.record("tenant-is-hot")
    hot = asyncio.create_task(clients.run(9))
    await asyncio.sleep(1.2)
    if small.trouble():
        await restart(fleet, keeper)
    await hot
    await asyncio.wait(clients.tasks, timeout=4) if clients.tasks else None
    count, begin = most_in_window(fleet, clients.sent)
    fleet.record("window", begin="%.1f" % ((begin - fleet.begin) * 1000), requests=count, limit=LIMIT)
    return count > LIMIT, "%d requests of the tenant ran within %d s; the limit is %.0f; answers %s" % (
        count, BOUNDS["QuotaWindowS"], LIMIT, clients.statuses)


small.main(case)
