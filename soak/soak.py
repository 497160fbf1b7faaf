"""One run of the soak: starts a fleet, loads it, disturbs it after a plan and checks it until a promise breaks."""

import argparse
import asyncio
import faulthandler
import os
import random
import shutil
import signal
import sys
import tempfile
import time

import clients
import faults
from checks import BrokenPromise, Checker
from fleet import ROOT, Fleet


# Wait for a processor between two looks that counts as a slowed process, in seconds.
STARVED = 0.15


def processor_wait(pid):
    """Seconds that the threads of a process were ready to run and did not."""
    try:
        waited = 0
        for task in os.listdir("/proc/%d/task" % pid):
            with open("/proc/%d/task/%s/schedstat" % (pid, task)) as file:
                waited = max(waited, int(file.read().split()[1]))
        return waited / 1e9
    except (OSError, ValueError, IndexError):
        return None


# Below this the run says little of planned work alone.
LEAST_CALM_S = 3


def options():
    parser = argparse.ArgumentParser(prog="tools/soak", description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--minutes", type=float, default=2)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--faults", help="kinds of faults, separated by commas; by default all but "
                        + " and ".join(faults.NAMED_ONLY))
    parser.add_argument("--binary", default=os.path.join(ROOT, "build", "nutmegarch"), help="program under soak")
    parser.add_argument("--folder", help="where the run keeps its files, best in memory: a busy disk stops their writers")
    parser.add_argument("--logs", help="folder that gets the folder of a run")
    parser.add_argument("--organisations", action="store_true",
                        help="an organisation asks for a multiple of its allowance")
    parser.add_argument("--plan", action="store_true", help="only prints the plan")
    return parser.parse_args()


class Run:
    def __init__(self, chosen):
        self.chosen = chosen
        self.folder = tempfile.mkdtemp(prefix="soak-%d-" % chosen.seed, dir=chosen.folder)
        self.timeline = open(os.path.join(self.folder, "timeline"), "w")
        self.checker = Checker(self.say)
        self.fleet = Fleet(self.folder, chosen.nodes, chosen.binary, self.checker.on_server_line)
        self.faults = faults.Faults(self.fleet, self.checker, chosen.organisations)
        self.tasks = []
        self.waits = {}

    def say(self, text):
        line = "%8.3f s  %s" % (time.monotonic() - self.checker.begin, text)
        print(line, flush=True)
        print(line, file=self.timeline, flush=True)

    def random_of(self, name):
        return random.Random("%d-%s" % (self.chosen.seed, name))

    async def start(self):
        await self.fleet.start()
        await self.faults.configure(None, 0, 1)
        for host in self.fleet.hosts:
            await host.start_server()
        await asyncio.sleep(0.3)
        for host in self.fleet.hosts:
            await host.register()
            await host.start_node()
        begin = time.monotonic()
        while not all([await host.is_ready() for host in self.fleet.hosts]):
            if time.monotonic() - begin > 30:
                raise BrokenPromise("START: not all nodes got ready in 30 s")
            await asyncio.sleep(0.05)
        span = self.checker.disturb()
        span[1] = time.monotonic()

    async def watch_allowance(self):
        while True:
            self.checker.check_allowance(faults.ALLOWANCE)
            await asyncio.sleep(1)

    async def watch_processes(self):
        while True:
            for host in self.fleet.hosts:
                if host.node.returncode is not None and not host.is_stopping:
                    self.checker.fail("ENDED", "%s ended by itself with %d" % (host.name, host.node.returncode))
            self.checker.check_budget()
            self.find_starved()
            await asyncio.sleep(0.2)

    def find_starved(self):
        """A process that the machine kept waiting for a processor counts as slowed for that time."""
        now = time.monotonic()
        for process in self.fleet.processes:
            waited = processor_wait(process.pid) if process.returncode is None else None
            if waited is None:
                continue
            more = waited - self.waits.get(process.pid, waited)
            self.waits[process.pid] = waited
            if more > STARVED:
                self.checker.unplanned.append([now - more - 0.3, now])
                self.say("process %d waited %.3f s for a processor" % (process.pid, more))

    async def follow(self, plan):
        begin = time.monotonic()
        for at, kind, index, length, detail in plan:
            await asyncio.sleep(max(0, begin + at - time.monotonic()))
            self.say("%s %s %s %.1f" % (kind, self.fleet.hosts[index].name, detail, length))
            self.spawn(self.faults.do(kind, self.fleet.hosts[index], length, detail))
        self.last_fault = begin + (plan[-1][0] if plan else 0) + 5
        await asyncio.sleep(max(0, begin + self.chosen.minutes * 60 - time.monotonic()))

    def spawn(self, run):
        task = asyncio.create_task(run)
        task.add_done_callback(lambda done: done.cancelled() or done.exception() and self.checker.fail(
            "SOAK", "the soak itself failed: %r" % done.exception()))
        self.tasks.append(task)

    def check_recovery(self, first, begin, end):
        before = self.checker.served_share(first, first + faults.QUIET_BEGIN)
        after = self.checker.served_share(begin, end)
        self.say("served %.3f before the faults, %.3f after" % (before, after))
        if before >= 0.25 > after:
            raise BrokenPromise("RECOVER: served %.3f, %.3f before the faults" % (after, before))
        for host in self.fleet.hosts:
            if before >= 0.25 and not self.checker.served_share(begin, end, host):
                raise BrokenPromise("RECOVER: %s serves nothing" % host.name)

    async def run(self):
        chosen = self.chosen
        plan_random = self.random_of("plan")
        pace = plan_random.choice((0.1, 0.2, 0.03))
        plan = faults.make_plan(plan_random, chosen.minutes * 60, chosen.nodes,
                                chosen.faults and chosen.faults.split(","))
        if chosen.plan:
            for event in plan:
                print(*event)
            return
        await self.start()
        self.say("all nodes are ready")
        first = time.monotonic()
        for host in self.fleet.hosts:
            for task in clients.start(host, self.checker, self.random_of, pace, chosen.organisations, chosen.nodes):
                self.tasks.append(task)
                task.add_done_callback(lambda done: done.cancelled() or self.checker.fail(
                    "SOAK", "a client failed: %r" % done.exception()))
        self.spawn(self.checker.watch_lag())
        self.spawn(self.watch_processes())
        if chosen.organisations:
            self.spawn(self.watch_allowance())
        follow = asyncio.create_task(self.follow(plan))
        self.tasks.append(follow)
        await asyncio.wait([follow, self.checker.broken], return_when=asyncio.FIRST_COMPLETED)
        if self.checker.broken.done():
            self.checker.broken.result()
        follow.result()
        end = time.monotonic()
        if chosen.organisations:
            self.say("at most %d requests of the organisation ran within a window" % self.checker.most_keyed)
        self.check_recovery(first, end - 5, end - 1)

    async def end(self):
        waiting = set(self.tasks)
        while waiting:
            # More than once: wait_for() may swallow a cancellation that comes along with a result.
            for task in waiting:
                task.cancel()
            _, waiting = await asyncio.wait(waiting, timeout=0.5)
        faulthandler.cancel_dump_traceback_later()
        await self.fleet.stop()


async def main():
    run = Run(options())
    # Processes are ended also when the soak is told to stop.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    code = 0
    try:
        await run.run()
        calm = run.checker.calm_seconds()
        run.say("no promise broken; calm for %.0f s; %s" % (calm, dict(run.checker.counts)))
        if calm < LEAST_CALM_S:
            run.say("NOT JUDGED: promises of planned work alone; calm for less than %d s" % LEAST_CALM_S)
    except BrokenPromise as broken:
        run.say("BROKEN %s" % broken)
        code = 1
    except asyncio.CancelledError:
        run.say("stopped before its end")
        code = 2
    finally:
        await run.end()
        run.timeline.close()
    if code:
        kept = tempfile.mkdtemp(prefix="soak-%d-" % run.chosen.seed, dir=run.chosen.logs)
        for name in os.listdir(run.folder):
            if os.path.isfile(os.path.join(run.folder, name)):
                shutil.copy(os.path.join(run.folder, name), kept)
        print("logs: %s" % kept)
    shutil.rmtree(run.folder)
    return code


sys.exit(asyncio.run(main()))
