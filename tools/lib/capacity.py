"""Slopes for docs/CAPACITY.md: what a node costs at three or more sizes, with real processes on loopback."""

import time

from fleet import Fleet
from real_measures import cpu_seconds, idle_fleet, loopback_bytes, resident_megabytes

SIZES = [10, 25, 50, 100]
RATES = [200, 400, 800]


def idle(count, first_port):
    """Memory, processor share, control bytes and spread of idle nodes in one service."""
    with Fleet(first_port) as fleet:
        nodes = idle_fleet(fleet, count)
        time.sleep(3)
        before = [cpu_seconds(node.process) for node in nodes]
        bytes_before = loopback_bytes()
        begin = time.monotonic()
        time.sleep(8)
        length = time.monotonic() - begin
        cpu = sum(cpu_seconds(node.process) - start for node, start in zip(nodes, before)) / length / count
        sent = 2 * (loopback_bytes() - bytes_before) / length / count
        memory = sum(resident_megabytes(node.process) for node in nodes) / count
        begin = time.monotonic()
        fleet.publish_rules(2)
        waiting = list(nodes)
        while waiting and time.monotonic() - begin < 30:
            waiting = [node for node in waiting if (node.status() or {}).get("rules_version", 0) < 2]
        spread = time.monotonic() - begin
        print(
            "slope idle nodes %d memory %.2f MB cpu %.3f %% control %.2f KB/s spread %.3f s"
            % (count, memory, 100 * cpu, sent / 1000, spread)
        )


def data_path(first_port):
    """Processor time for each call, at the entry and at the target's node."""
    with Fleet(first_port) as fleet:
        settings = {"target": {"slots": 64}}
        entry = fleet.add_service("front", 1, None, settings, "shop")[0]
        target = fleet.add_service("shop", 1, ["--slots", "64", "--mean-ms", "2", "--sigma", "0.01"], settings)[0]
        fleet.publish_hosts(64)
        fleet.publish_rules(1)
        fleet.start_platform()
        fleet.start_nodes()
        fleet.wait_ready(1)
        for rate in RATES:
            before = [cpu_seconds(node.process) for node in (entry, target)]
            found = fleet.run_load(
                {
                    "entries": [entry.callers],
                    "length": "5s",
                    "demand": [{"at": "0s", "rate": rate}],
                    "requests": [{"path": "/a", "service": "shop"}],
                    "resends": 0,
                }
            )
            calls = found["classes"]["browse"]["answered"]
            used = [cpu_seconds(node.process) - start for node, start in zip((entry, target), before)]
            print(
                "slope calls rate %d/s entry %.3f ms target %.3f ms of processor time for each call, p50 %.2f ms"
                % (rate, 1000 * used[0] / calls, 1000 * used[1] / calls, found["classes"]["browse"]["p50_ms"])
            )


def main():
    for index, size in enumerate(SIZES):
        idle(size, 11000 + 1000 * index)
    data_path(16000)


if __name__ == "__main__":
    main()
