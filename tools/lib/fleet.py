"""Starts a small fleet of real processes on loopback: the platform's stand-in, targets and their nodes."""

import json
import os
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "build", "nutmegarch")
STAND_INS = os.path.join(ROOT, "build", "nutmegarch_stand_ins")

# Places of the Shewa deployment: region and failure domain.
PLACES = [
    ("addis", "addis-bole"),
    ("addis", "addis-piassa"),
    ("dire", "dire-kezira"),
    ("dire", "dire-sabian"),
]

WHO = "# who: the operators why: part of this run"


def get(address, path, timeout=2.0, method="GET"):
    """Body of an HTTP request, or None when there is no answer of status 200."""
    request = urllib.request.Request("http://%s%s" % (address, path), method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.read().decode()
    except (urllib.error.URLError, OSError):
        return None


def wait_until(condition, timeout):
    """Waits until the condition holds; returns the seconds it took, or None."""
    begin = time.monotonic()
    while time.monotonic() - begin < timeout:
        if condition():
            return time.monotonic() - begin
        time.sleep(0.01)
    return None


class Node:
    """Addresses, processes and settings of one host: a node and its target."""

    def __init__(self, fleet, service, index):
        self.fleet = fleet
        self.service = service
        self.host = "%s-%d" % (service, index)
        self.region, self.domain = PLACES[index % len(PLACES)]
        self.callers = fleet.next_address()
        self.peers = fleet.next_address()
        self.admin = fleet.next_address()
        self.target_address = fleet.next_address()
        self.process = None
        self.target = None
        self.file = os.path.join(fleet.folder, self.host + ".json")

    def write_settings(self, extra):
        settings = {
            "node": {
                "service": self.service,
                "host": self.host,
                "domain": self.domain,
                "region": self.region,
            },
            "listen": {"callers": self.callers, "peers": self.peers, "admin": self.admin},
            "target": {"address": self.target_address},
            "platform": {"address": self.fleet.platform_address},
            "log": {"level": "warning"},
        }
        for section, values in extra.items():
            settings.setdefault(section, {}).update(values)
        with open(self.file, "w") as file:
            json.dump(settings, file, indent=2)

    def start(self):
        self.process = self.fleet.spawn([BINARY, "node", "--settings", self.file])

    def start_target(self, options):
        self.target_options = options
        self.target = self.fleet.spawn(
            [STAND_INS, "target", "--listen", self.target_address] + options
        )

    def status(self):
        body = get(self.admin, "/status")
        return json.loads(body) if body else None

    def events(self, kind):
        body = get(self.admin, "/timeline?kind=" + kind)
        return json.loads(body)["events"] if body else []


class Fleet:
    """All processes of one run. Ends those that it started, and removes its folder."""

    def __init__(self, first_port=21000):
        self.folder = tempfile.mkdtemp(prefix="nutmegarch-")
        self.values = os.path.join(self.folder, "values")
        os.makedirs(os.path.join(self.values, "hosts"))
        self.port = first_port
        self.processes = []
        self.nodes = []
        self.platform_address = self.next_address()
        self.platform = None
        self.revision = 0
        self.log = open(os.path.join(self.folder, "log"), "w")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def next_address(self):
        self.port += 1
        return "127.0.0.1:%d" % self.port

    def spawn(self, command):
        process = subprocess.Popen(command, stdout=self.log, stderr=self.log)
        self.processes.append(process)
        return process

    def start_platform(self):
        self.platform = self.spawn(
            [STAND_INS, "platform", "--listen", self.platform_address, "--folder", self.values]
        )
        wait_until(lambda: self.reads() is not None, 5)

    def reads(self):
        body = get(self.platform_address, "/stand-in/reads")
        return int(body) if body else None

    def add_service(self, service, count, target_options=None, settings=None, calls=None):
        """Adds hosts; with target options their targets are started too."""
        added = []
        for index in range(count):
            node = Node(self, service, index)
            extra = {key: dict(value) for key, value in (settings or {}).items()}
            if calls:
                extra.setdefault("node", {})["calls"] = [calls]
            node.write_settings(extra)
            if target_options is not None:
                options = list(target_options)
                if calls:
                    options += ["--node", node.callers, "--calls", calls]
                node.start_target(options)
            added.append(node)
        self.nodes += added
        return added

    def write_value(self, key, text):
        path = os.path.join(self.values, key)
        with open(path + ".new", "w") as file:
            file.write(text)
        os.replace(path + ".new", path)

    def publish_hosts(self, slots=8, leaving=()):
        self.revision += 1
        for service in {node.service for node in self.nodes}:
            hosts = [
                {
                    "host": node.host,
                    "service": service,
                    "domain": node.domain,
                    "region": node.region,
                    "peers": node.peers,
                    "slots": slots,
                    "state": "leaving" if node.host in leaving else "live",
                }
                for node in self.nodes
                if node.service == service
            ]
            text = json.dumps({"revision": self.revision, "hosts": hosts})
            self.write_value("hosts/" + service, text)

    def publish_rules(self, version, lines=()):
        text = "version %d %s\n" % (version, WHO)
        text += "".join("%s %s\n" % (line, WHO) for line in lines)
        self.write_value("rules", text)

    def start_nodes(self):
        for node in self.nodes:
            node.start()

    def wait_ready(self, version, timeout=20):
        """Waits until every node has the rules in force and knows its peers."""

        def is_ready(node):
            status = node.status()
            return (
                status is not None
                and status["rules_version"] >= version
                and not status["revalidating"]
                and len(status["endpoints"]) > 0
            )

        waiting = list(self.nodes)

        def all_ready():
            waiting[:] = [node for node in waiting if not is_ready(node)]
            return not waiting

        return wait_until(all_ready, timeout)

    def write_file(self, name, content):
        path = os.path.join(self.folder, name)
        with open(path, "w") as file:
            json.dump(content, file)
        return path

    def run_load(self, settings, name="load.json"):
        """Runs a load to its end and returns its JSON."""
        path = self.write_file(name, settings)
        output = subprocess.run(
            [BINARY, "load", "--settings", path, "--json"], stdout=subprocess.PIPE, check=True
        ).stdout
        return json.loads(output)

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)
