"""Measures with real processes on loopback. Each function returns the baseline's figure and the product's."""

import json
import os
import random
import signal
import threading
import time
import urllib.error
import urllib.request

from fleet import BINARY, Fleet, get, wait_until

ORDER_RULE = "order service=shop route=/orders"
SMALL = {"node": {"workers": 1}, "target": {"slots": 8}}


def small_fleet(fleet, count, target_options=None, settings=None):
    """One service "shop" with its platform, ready to serve."""
    fleet.add_service("shop", count, target_options or ["--slots", "8", "--mean-ms", "5"], settings or SMALL)
    fleet.publish_hosts(8)
    fleet.publish_rules(1, [ORDER_RULE])
    fleet.start_platform()
    fleet.start_nodes()
    if fleet.wait_ready(1) is None:
        raise RuntimeError("the nodes did not get ready")
    return fleet.nodes


def front_fleet(fleet, count, target_options=None, settings=None):
    """A node of a service "front" that calls "shop", whose targets it must all reach over the network."""
    settings = settings or SMALL
    entry = fleet.add_service("front", 1, None, settings, "shop")[0]
    nodes = small_fleet(fleet, count, target_options, settings)
    return entry, nodes[1:]


def idle_fleet(fleet, count):
    """One service whose targets are absent: only control is measured."""
    fleet.add_service("shop", count, None, SMALL)
    fleet.publish_hosts(8)
    fleet.publish_rules(1)
    fleet.start_platform()
    fleet.start_nodes()
    if fleet.wait_ready(1, 60) is None:
        raise RuntimeError("the nodes did not get ready")
    return fleet.nodes


def cpu_seconds(process):
    with open("/proc/%d/stat" % process.pid) as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_megabytes(process):
    with open("/proc/%d/statm" % process.pid) as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def counter(node, name):
    body = get(node.admin, "/metrics") or ""
    for line in body.splitlines():
        if line.startswith("nutmegarch_%s_total " % name):
            return float(line.split()[-1])
    return 0.0


TO_SHOP = {"Nutmegarch-Service": "shop"}


def call(node, method, path, headers=None, timeout=3.0, body=None):
    """Status, headers and body of one request at a node's callers' edge; status 0 when there is no answer, -1 when
    no connection came about."""
    request = urllib.request.Request(
        "http://%s%s" % (node.callers, path), method=method, headers=headers or {}, data=body
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()
    except (urllib.error.URLError, OSError) as error:
        is_refused = isinstance(getattr(error, "reason", error), ConnectionRefusedError)
        return (-1 if is_refused else 0), {}, b""


def spread():
    """Seconds from the publication of a rule file until the last of 100 nodes has it in force."""
    with Fleet(22000) as fleet:
        nodes = idle_fleet(fleet, 100)
        times = []
        for version in range(2, 5):
            begin = time.monotonic()
            fleet.publish_rules(version)
            waiting = list(nodes)
            while waiting and time.monotonic() - begin < 30:
                waiting = [node for node in waiting if (node.status() or {}).get("rules_version", 0) < version]
            times.append(time.monotonic() - begin)
            time.sleep(1)
        return None, max(times)


def reads_per_second(count, first_port):
    with Fleet(first_port) as fleet:
        idle_fleet(fleet, count)
        time.sleep(5)
        before = fleet.reads()
        begin = time.monotonic()
        # Changes make watches return, as in a living fleet.
        for version in range(2, 12):
            fleet.publish_rules(version)
            time.sleep(1.5)
        return (fleet.reads() - before) / (time.monotonic() - begin)


def reads():
    """Configuration reads a second at 100 nodes over those at 25."""
    small = reads_per_second(25, 23000)
    large = reads_per_second(100, 24000)
    return None, large / small


def load_quantiles(fleet, address, rate, service):
    """p50 and p99 in ms of GETs sent by the load command at a steady rate."""
    kind = {"path": "/a", "service": service} if service else {"path": "/a"}
    found = fleet.run_load(
        {
            "entries": [address],
            "length": "3s",
            "demand": [{"at": "0s", "rate": rate}],
            "requests": [kind],
            "patience": "2s",
            "resends": 0,
        }
    )
    row = found["classes"]["browse"]
    return row["p50_ms"], row["p99_ms"]


def added():
    """p99 in ms through two nodes less p99 direct, at 800 calls/s."""
    with Fleet(25000) as fleet:
        options = ["--slots", "64", "--mean-ms", "2", "--sigma", "0.01"]
        settings = {"target": {"slots": 64}}
        # The entry fronts a service of its own, so that each call crosses two nodes.
        entry = fleet.add_service("front", 1, None, settings, "shop")
        targets = fleet.add_service("shop", 1, options, settings)
        fleet.publish_hosts(64)
        fleet.publish_rules(1)
        fleet.start_platform()
        fleet.start_nodes()
        fleet.wait_ready(1)
        pairs = []
        # In turn, so that both see the same moods of the machine.
        for turn in range(5):
            direct = load_quantiles(fleet, targets[0].target_address, 800, None)
            through = load_quantiles(fleet, entry[0].callers, 800, "shop")
            pairs.append((through[1] - direct[1], through[0] - direct[0], direct[1], through[1]))
        p99, p50, direct, through = sorted(pairs)[len(pairs) // 2]
        note = "median of 5 pairs; its p50 %.3f ms, p99 direct %.3f ms, p99 through %.3f ms" % (p50, direct, through)
        return None, p99, note


def control():
    """Per idle node of 50: share of a core in %, resident memory in MB, control bytes a second in KB."""
    with Fleet(26000) as fleet:
        nodes = idle_fleet(fleet, 50)
        time.sleep(3)
        before = [cpu_seconds(node.process) for node in nodes]
        bytes_before = loopback_bytes()
        begin = time.monotonic()
        time.sleep(10)
        length = time.monotonic() - begin
        cpu = max((cpu_seconds(node.process) - start) / length for node, start in zip(nodes, before))
        memory = max(resident_megabytes(node.process) for node in nodes)
        # Each byte on loopback is sent once and received once; a node's part counts both.
        traffic = 2 * (loopback_bytes() - bytes_before) / length / len(nodes)
        return {"control-cpu": 100 * cpu, "control-memory": memory, "control-bytes": traffic / 1000}


def loopback_bytes():
    with open("/proc/net/dev") as file:
        for line in file:
            if line.strip().startswith("lo:"):
                return int(line.split(":")[1].split()[8])
    return 0


class Background:
    """Callers on threads that go on until they are told to stop."""

    def __init__(self, count, work):
        self.stopping = False
        self.threads = [threading.Thread(target=self.run, args=(work, index)) for index in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self, work, index):
        while not self.stopping:
            work(index)

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join()


def target_runs(node):
    body = get(node.target_address, "/stand-in/status")
    return json.loads(body)["runs"] if body else 0


def leaving():
    """Calls started at a target later than 2 s after it began to leave, though the list calls it live."""
    with Fleet(27000) as fleet:
        settings = {"node": {"workers": 1}, "target": {"slots": 8}, "lifecycle": {"leave_grace": "6s"}}
        entry, nodes = front_fleet(fleet, 4, None, settings)
        load = Background(8, lambda index: call(entry, "GET", "/a", TO_SHOP))
        time.sleep(1)
        if target_runs(nodes[0]) == 0:
            raise RuntimeError("the target got no work before it left")
        nodes[0].process.send_signal(signal.SIGTERM)
        time.sleep(2)
        before = target_runs(nodes[0])
        time.sleep(2)
        late = target_runs(nodes[0]) - before
        load.stop()
        return None, late


def drain():
    """Calls cut off in 20 planned stops under load."""
    with Fleet(28000) as fleet:
        settings = {"node": {"workers": 1}, "target": {"slots": 8}}
        nodes = small_fleet(fleet, 4, ["--slots", "8", "--mean-ms", "30"], settings)
        cut_off = []

        def work(index):
            node = nodes[index % 4]
            if node.process.poll() is not None:
                time.sleep(0.05)
                return
            status, headers, _ = call(node, "GET", "/a")
            outcome = headers.get("Nutmegarch-Outcome", "")
            # A connection that is refused was never in progress.
            if status == 0 or outcome == "unknown":
                cut_off.append((node.host, status, outcome))
            elif status < 0:
                time.sleep(0.05)

        load = Background(16, work)
        for stop in range(20):
            node = nodes[stop % 4]
            node.process.send_signal(signal.SIGTERM)
            node.process.wait(timeout=30)
            if node.process.returncode != 0:
                cut_off.append((node.host, "exit", node.process.returncode))
            node.start()
            wait_until(lambda: (node.status() or {}).get("rules_version", 0) >= 1, 10)
        load.stop()
        return None, len(cut_off), "first of them: %s" % cut_off[:3] if cut_off else ""


def place_order(nodes, number, generator):
    """Places one order with resends to other nodes; returns what the caller was told last."""
    ticket = None
    told = ""
    for attempt in range(6):
        node = generator.choice(nodes)
        headers = {"Nutmegarch-Timeout": "600ms"}
        if ticket:
            headers["Nutmegarch-Ticket"] = ticket
        # Some answers are lost: the caller hangs up early.
        patience = 0.004 if generator.random() < 0.2 else 1.0
        status, answer, _ = call(node, "POST", "/orders", headers, patience, b"order-%d" % number)
        told = answer.get("Nutmegarch-Outcome", "")
        if status == 428:
            ticket = answer["Nutmegarch-Ticket"]
        elif status == 200:
            return "ok"
        elif told == "not-run":
            ticket = None
            time.sleep(0.02)
    return told


def twice():
    """Orders that ran more than once, or that ran after "not run" was told last, of 5,000 with 10 node kills."""
    with Fleet(29000) as fleet:
        log = os.path.join(fleet.folder, "orders.log")
        nodes = small_fleet(fleet, 4, ["--slots", "16", "--mean-ms", "3", "--order-log", log])
        total = 5000
        numbers = iter(range(total))
        lock = threading.Lock()
        outcomes = {}
        generators = [random.Random(index) for index in range(24)]

        def work(index):
            with lock:
                number = next(numbers, None)
            if number is None:
                time.sleep(0.05)
                return
            outcome = place_order(nodes, number, generators[index])
            with lock:
                outcomes[number] = outcome

        load = Background(24, work)
        kills = 0
        while len(outcomes) < total:
            if kills < 10 and len(outcomes) > (kills + 1) * total // 12:
                victim = nodes[kills % 4]
                victim.process.kill()
                victim.process.wait()
                victim.start()
                kills += 1
            time.sleep(0.02)
        load.stop()
        time.sleep(0.5)
        runs = {}
        with open(log) as file:
            for line in file:
                number = int(line.rsplit("-", 1)[1])
                runs[number] = runs.get(number, 0) + 1
        wrong = sum(1 for count in runs.values() if count > 1)
        wrong += sum(1 for number, told in outcomes.items() if told == "not-run" and runs.get(number, 0) > 0)
        answered = sum(1 for told in outcomes.values() if told == "ok")
        return None, wrong, "answered %d of %d, kills %d" % (answered, total, kills)


def first_answer(node, timeout=10):
    """Seconds until the node answers a call with 200 again."""
    return wait_until(lambda: call(node, "GET", "/a", timeout=0.5)[0] == 200, timeout)


def pause():
    """Seconds from waking up after a pause of 30 s until the node serves again."""
    with Fleet(30000) as fleet:
        nodes = small_fleet(fleet, 4)
        nodes[0].process.send_signal(signal.SIGSTOP)
        time.sleep(1)
        fleet.publish_rules(2, [ORDER_RULE])
        time.sleep(29)
        nodes[0].process.send_signal(signal.SIGCONT)
        begin = time.monotonic()
        wait_until(lambda: (nodes[0].status() or {}).get("rules_version", 0) == 2, 10)
        first_answer(nodes[0])
        taken = time.monotonic() - begin
        if not nodes[0].events("pause-found"):
            raise RuntimeError("the pause was not found")
        return None, taken


def silent():
    """Longest time in seconds in which calls through a node fail after a peer has gone silent."""
    with Fleet(31000) as fleet:
        entry, nodes = front_fleet(fleet, 4)
        for _ in range(50):
            call(entry, "GET", "/a", TO_SHOP)
        if target_runs(nodes[0]) == 0:
            raise RuntimeError("the target got no work before its node went silent")
        # A stopped process keeps its connections open and swallows all.
        nodes[0].process.send_signal(signal.SIGSTOP)
        begin = time.monotonic()
        last_bad = begin
        while time.monotonic() - begin < 5:
            sent = time.monotonic()
            status, _, _ = call(entry, "GET", "/a", {"Nutmegarch-Timeout": "1s", **TO_SHOP}, 2)
            if status != 200 or time.monotonic() - sent > 0.5:
                last_bad = time.monotonic()
        return None, last_bad - begin


def heal():
    """Seconds after a partition until both sides have one rule file in force."""
    with Fleet(32000) as fleet:
        settings = {"node": {"workers": 1}, "target": {"slots": 8}, "gossip": {"silence": "600s"}}
        nodes = small_fleet(fleet, 8, None, settings)
        # One side keeps the configuration service and takes a new file; the other is cut off by stopping it.
        # On loopback a cut between two sides that both run needs rights that a test should not ask for.
        for node in nodes[4:]:
            node.process.send_signal(signal.SIGSTOP)
        time.sleep(3)
        fleet.publish_rules(2, [ORDER_RULE])
        wait_until(lambda: all((node.status() or {}).get("rules_version") == 2 for node in nodes[:4]), 10)
        before = fleet.reads()
        for node in nodes[4:]:
            node.process.send_signal(signal.SIGCONT)
        taken = wait_until(
            lambda: all((node.status() or {}).get("rules_version") == 2 for node in nodes), 20
        )
        time.sleep(2)
        burst = fleet.reads() - before
        return None, taken if taken is not None else 20.0, "configuration reads while healing %d" % burst


# Name: function, target, whether the target is an upper bound, unit.
MEASURES = {
    "spread": (spread, 2.0, "s"),
    "reads": (reads, 1.2, "times"),
    "added": (added, 1.9, "ms"),
    "leaving": (leaving, 0, "calls"),
    "drain": (drain, 0, "calls"),
    "twice": (twice, 0, "orders"),
    "pause": (pause, 2.0, "s"),
    "silent": (silent, 2.0, "s"),
    "heal": (heal, 5.0, "s"),
}
CONTROL = {"control-cpu": (1.5, "%"), "control-memory": (256, "MB"), "control-bytes": (20, "KB/s")}


def print_row(name, baseline, value, target, unit, note=""):
    shown = "0" if baseline is None else "%.4f" % baseline
    verdict = "met" if value <= target else "missed"
    print("measure %s baseline %s value %.4f target %g unit %s %s" % (name, shown, value, target, unit, verdict))
    if note:
        print("  note %s: %s" % (name, note))


def main(names):
    for name, (function, target, unit) in MEASURES.items():
        if names and name not in names:
            continue
        found = function()
        print_row(name, found[0], found[1], target, unit, found[2] if len(found) > 2 else "")
    if not names or "control" in names:
        for name, value in control().items():
            target, unit = CONTROL[name]
            print_row(name, None, value, target, unit)


if __name__ == "__main__":
    import sys

    main(sys.argv[1:])
