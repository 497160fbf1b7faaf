"""The main job on loopback: a surge on two services, with nutmegarch and with the pass-through baseline."""

import sys

from fleet import BINARY, Fleet

SLOTS = 8
MEAN_MS = 40
# Two targets of the deeper service carry 2 * 8 / 0.04 s.
CAPACITY = 400
CLASSES = ["order", "important", "browse"]
RULES = [
    "order service=catalogue route=/orders",
    "class service=catalogue route=/account* class=important",
    "timeout service=catalogue after=1s",
]


def load_settings(fleet):
    return {
        "entries": [node.callers for node in fleet.nodes if node.service == "catalogue"],
        "length": "14s",
        "demand": [
            {"at": "0s", "rate": CAPACITY * 0.6},
            {"at": "4s", "rate": CAPACITY * 3},
            {"at": "9s", "rate": CAPACITY * 0.6},
        ],
        "requests": [
            {"method": "POST", "path": "/orders", "share": 0.1, "class": "order"},
            {"method": "GET", "path": "/account/7", "share": 0.1, "class": "important"},
            {"method": "GET", "path": "/stones/3", "share": 0.8},
        ],
        "patience": "1s",
        "resends": 4,
        "resend_delay": "50ms",
    }


def run(pass_through, first_port):
    with Fleet(first_port) as fleet:
        shared = {"target": {"slots": SLOTS}, "node": {"pass_through": pass_through}}
        upper = {"target": {"slots": 8 * SLOTS}, "node": {"pass_through": pass_through}}
        fleet.add_service("catalogue", 2, ["--slots", str(8 * SLOTS), "--mean-ms", "2"], upper, "stockyard")
        fleet.add_service("stockyard", 2, ["--slots", str(SLOTS), "--mean-ms", str(MEAN_MS)], shared)
        fleet.publish_hosts(SLOTS)
        fleet.publish_rules(1, RULES)
        fleet.start_platform()
        fleet.start_nodes()
        if fleet.wait_ready(1) is None:
            sys.exit("demo: the nodes did not get ready")
        found = fleet.run_load(load_settings(fleet))
        if not pass_through:
            show_where_to_look(fleet)
        return found


def show_where_to_look(fleet):
    import subprocess

    addresses = [word for node in fleet.nodes for word in ("--node", node.admin)]
    print("\nEvents that changed the fleet's course (nutmegarch timeline %s):" % " ".join(addresses))
    output = subprocess.run(
        [BINARY, "timeline"] + addresses + ["--kind", "level-changed"], stdout=subprocess.PIPE, text=True
    ).stdout.splitlines()
    for line in output[:4] + ["..."] + output[-4:]:
        print("  " + line)
    print("State of one node (nutmegarch status --node %s):" % fleet.nodes[2].admin)
    status = subprocess.run(
        [BINARY, "status", "--node", fleet.nodes[2].admin], stdout=subprocess.PIPE, text=True
    ).stdout.splitlines()
    for line in status[:12]:
        print("  " + line)


def main():
    print("A surge of 3 times the capacity (%d/s) for 5 s, callers retrying hard." % CAPACITY)
    product = run(False, 21000)
    baseline = run(True, 21100)
    print("\n%-12s %10s %22s %22s" % ("class", "offered", "nutmegarch answered", "baseline answered"))
    for name in CLASSES:
        cells = []
        for found in (product, baseline):
            row = found["classes"][name]
            cells.append("%d (%.1f%%)" % (row["answered"], 100.0 * row["answered"] / max(1, row["offered"])))
        print("%-12s %10d %22s %22s" % (name, product["classes"][name]["offered"], cells[0], cells[1]))


if __name__ == "__main__":
    main()
