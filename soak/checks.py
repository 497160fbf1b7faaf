"""What callers and servers saw of the fleet, checked while it runs."""

import asyncio
import faulthandler
import time
import zlib
from collections import defaultdict

from fleet import BOUNDS

SERVICES_OF = {"look": ("shop",), "buy": ("shop",), "chain": ("shop",), "peek": ("stock",), "take": ("stock",),
               "split": ("shop", "stock")}
ONCE = ("buy", "take")
REFUSALS = (408, 421, 429, 503)
MOST_ATTEMPTS = 3
STABLE = BOUNDS["StableWindowMs"] / 1000
# Lines of servers come through a pipe: verdicts that need them wait so long.
LINE_DELAY = 1.5
# A longer stillness of the soak itself counts as a disturbance, in seconds.
MOST_LAG = 0.15


class BrokenPromise(Exception):
    pass


class Request:
    """One client attempt, or a call of a server."""

    def __init__(self, ident, kind, method, path, body, host, deadline, position=0):
        self.ident, self.kind, self.method, self.path, self.body = ident, kind, method, path, body
        self.host, self.deadline, self.position = host, deadline, position
        self.lifetime = host.lifetime
        self.sent = self.ended = None
        self.status = None
        self.outcome = "open"
        self.arrivals = []
        self.runs = []
        self.statuses = []
        self.is_repeat = False

    def __str__(self):
        return "request %s %s %s at %s, sent %s, ended %s (%s %s), arrivals %s, runs %s, done %s" % (
            self.ident, self.method, self.path, self.host.name, self.sent, self.ended, self.outcome, self.status,
            self.arrivals, self.runs, self.statuses)


def body_of(ident):
    return (ident + "\n").encode() * (1 + zlib.crc32(ident.encode()) % 400)


class Checker:
    def __init__(self, say):
        self.say = say
        self.begin = time.monotonic()
        self.requests = {}
        self.early = {}
        self.broken = asyncio.get_running_loop().create_future()
        self.unplanned = []
        self.planned = defaultdict(list)
        self.stops = defaultdict(list)
        self.lags = []
        self.draining = {}
        self.server_ends = {}
        self.acknowledged = {}
        self.newest = 0
        self.seen = {}
        self.denied = 0
        self.arrivals = defaultdict(lambda: defaultdict(int))
        self.asked = defaultdict(lambda: defaultdict(int))
        self.counts = defaultdict(int)
        self.keyed_runs = []
        self.most_keyed = 0

    # What the soak does.

    def disturb(self):
        """Begins an unplanned disturbance; the caller ends it by setting its second time."""
        span = [time.monotonic(), None]
        self.unplanned.append(span)
        return span

    def is_calm(self, begin, end):
        """No unplanned disturbance from the stable window before the span to its end."""
        return not any(first <= end and (last is None or last >= begin - STABLE) for first, last in self.unplanned)

    def calm_seconds(self):
        """How long planned work alone could be judged."""
        steps = range(int((time.monotonic() - self.begin) * 10))
        return sum(self.is_calm(self.begin + step / 10, self.begin + step / 10) for step in steps) / 10

    def is_in_touch(self, host, moment):
        touched = self.planned[host.index]
        return self.is_calm(moment, moment) and not any(
            first <= moment and (last is None or last >= moment - STABLE) for first, last in touched)

    def fail(self, rule, text):
        if not self.broken.done():
            self.broken.set_exception(BrokenPromise("%s at %.3f s: %s" % (rule, time.monotonic() - self.begin, text)))

    async def watch_lag(self):
        """How late this process reads what has arrived."""
        while True:
            faulthandler.dump_traceback_later(2)
            before = time.monotonic()
            await asyncio.sleep(0.01)
            lag = time.monotonic() - before - 0.01
            if lag > 0.01:
                self.lags.append((before, lag))
            if lag > MOST_LAG:
                self.unplanned.append([before, before + lag])
                self.say("the soak itself stood still for %.3f s" % lag)

    def lag(self, begin, end):
        return sum(lag for at, lag in self.lags[-500:] if begin - 1 <= at <= end)

    # What callers see.

    def sent(self, request):
        request.sent = time.monotonic()
        self.requests[request.ident] = request
        self.counts["sent"] += 1
        if request.kind == "keyed":
            return
        for service in SERVICES_OF.get(request.kind, ("shop",)):
            self.asked[service][int(request.sent)] += 1

    def answered(self, request, status, fields, body):
        request.ended, request.status, request.outcome = time.monotonic(), status, "answered"
        self.counts[status] += 1
        signature = fields.get("nutmegarch-response-signature")
        echoed = fields.get("nutmegarch-attempt-id", request.ident)
        expected = "%x" % zlib.crc32(request.ident.encode() + str(status).encode() + body_of(request.ident))
        if echoed != request.ident:
            self.fail("MIXED", "the answer of %s came for %s" % (echoed, request))
        elif signature is not None and (signature != expected or body != body_of(request.ident)):
            self.fail("MIXED", "not the server's whole answer: %s" % request)
        elif signature is None and 200 <= status < 300:
            self.fail("MIXED", "a success without a signature: %s" % request)
        if signature is None and 300 <= status < 500 and status not in REFUSALS and request.kind in SERVICES_OF:
            self.denied += 1
            if self.denied > 5 + self.counts["sent"] / 500:
                self.fail("DENIED", "%d proper requests ended with a 3xx or 4xx, the last: %s" % (self.denied, request))
        self.check_refusal(request)
        if request.kind == "mark":
            self.check_version(request, signature is not None and status == 200)
        if signature is None and status in (500, 502, 503, 504):
            asyncio.get_running_loop().call_later(LINE_DELAY, self.check_break_off, request)

    def closed(self, request):
        """The connection ended before the whole answer."""
        request.ended, request.outcome = time.monotonic(), "closed"
        self.counts["closed"] += 1
        asyncio.get_running_loop().call_later(LINE_DELAY, self.check_lost, request)

    def gave_up(self, request):
        request.ended, request.outcome = time.monotonic(), "gave up"
        self.counts["gave up"] += 1

    # What servers see.

    def on_server_line(self, host, instance, words):
        what, ident, moment = words[0], words[1], int(words[2]) / 1000
        if what == "C":
            call = Request(ident, "peek", "GET", words[4], "", host, None)
            parent = self.requests.get(words[3])
            call.is_repeat = parent is not None and len(parent.runs) > 1
            self.sent(call)
            for line in self.early.pop(ident, ()):
                self.on_server_line(*line)
            return
        request = self.requests.get(ident)
        if request is None:
            # The caller's own line may come later, through another pipe.
            self.early.setdefault(ident, []).append((host, instance, words))
            asyncio.get_running_loop().call_later(LINE_DELAY, self.check_known, ident, instance)
        elif what == "A":
            self.arrived(request, host, instance, moment)
        elif what == "R":
            self.ran(request, host, instance, words)
        else:
            request.statuses.append((instance, moment, words[3]))

    def arrived(self, request, host, instance, moment):
        if request.arrivals or request.is_repeat:
            self.arrivals[host.service][int(moment)] += 1
        request.arrivals.append((instance, moment))
        since = self.draining.get(instance)
        if since and moment > since + BOUNDS["DrainMs"] / 1000 and self.is_calm(since, moment):
            self.fail("DRAIN", "%s is leaving since %.3f and got %s" % (instance, since, request))

    def ran(self, request, host, instance, words):
        request.runs.append((instance, int(words[2]) / 1000))
        if request.kind in ONCE and len(request.runs) > 1:
            self.fail("TWICE", str(request))
        if request.kind == "keyed":
            self.keyed_runs.append((request.sent, request.runs[-1][1]))
        path_and_body = [request.method, request.path, "%x" % zlib.crc32(request.body.encode())]
        if words[3:6] != path_and_body:
            self.fail("UNASKED", "%s ran %s, changed: %s" % (instance, words, request))
        if words[6:7] != [request.host.service]:
            self.fail("UNASKED", "%s was told the caller %s: %s" % (instance, words[6:7], request))
        if host.service not in SERVICES_OF.get(request.kind, ("shop",)):
            self.fail("ROUTE", "%s of %s ran %s" % (instance, host.service, request))
        if len({server for server, _ in request.runs} - self.server_ends.keys()) > MOST_ATTEMPTS:
            self.fail("BUDGET", "run on more than %d servers: %s" % (MOST_ATTEMPTS, request))
        self.check_refusal(request)

    # Promises.

    def check_known(self, ident, instance):
        if ident in self.early:
            self.fail("UNASKED", "%s saw the request %s, which nobody sent" % (instance, ident))

    def check_refusal(self, request):
        if request.kind in ONCE and request.status in REFUSALS and request.runs:
            self.fail("REFUSED", str(request))

    def server_broke_off(self, request):
        done = {server for server, _, _ in request.statuses}
        return any(server not in done and self.server_ends.get(server, request.ended + 1) <= request.ended + 0.1
                   for server, _ in request.arrivals)

    def check_lost(self, request):
        """Around planned work alone no request that was read ends without an answer."""
        if not self.is_calm(request.sent, request.ended) or self.server_broke_off(request):
            return
        if request.deadline and request.ended - request.sent >= request.deadline:
            return
        slack = BOUNDS["LossSlackMs"] / 1000 + self.lag(request.sent, request.ended)
        if request.arrivals or (request.position == 0 and request.ended - request.sent > slack):
            self.fail("LOST", "under planned work alone, a connection closed without an answer: %s" % request)

    def check_break_off(self, request):
        """A planned stop gives no answer of the node's own while the server is at work."""
        is_stop = any(at <= request.ended <= at + BOUNDS["GraceS"] + 1 for at in self.stops[request.host.index])
        if not is_stop or not self.is_calm(request.sent, request.ended) or self.server_broke_off(request):
            return
        done = {server for server, at, _ in request.statuses if at <= request.ended}
        is_at_work = any(server not in done for server, at in request.runs if at < request.ended)
        if is_at_work and request.ended - request.sent < request.deadline - 0.3:
            self.fail("LOST", "broken off after SIGTERM while its server was at work: %s" % request)

    def check_version(self, request, was_run):
        version = int(request.path[2:].split("/")[0])
        host = request.host
        seen, since = self.seen.get((host.index, request.lifetime), (0, 0))
        is_settled = request.sent > since + BOUNDS["RollbackSlackMs"] / 1000 and request.lifetime == host.lifetime
        if is_settled and was_run and version < seen:
            self.fail("CONFIG", "version %d after %d: %s" % (version, seen, request))
        if is_settled and request.status == 404 and version == seen == self.newest:
            self.fail("CONFIG", "version %d is no longer in force: %s" % (version, request))
        if was_run and version > seen:
            self.seen[(host.index, request.lifetime)] = (version, request.ended)
        bound = request.sent - BOUNDS["ConfigApplyMs"] / 1000
        is_due = {known for known, at in self.acknowledged.items() if at < bound}
        is_old = (was_run and any(known > version for known in is_due)) or (
            request.status == 404 and version == self.newest and version in is_due)
        if is_old and self.is_in_touch(host, request.sent):
            self.fail("CONFIG", "version %d is due, %s" % (max(is_due), request))

    def check_budget(self):
        """Arrivals beyond the first of each request, over the last whole window."""
        now = int(time.monotonic()) - 2
        length = BOUNDS["BudgetWindowS"]

        def total(counts, end):
            return sum(counts[second] for second in range(end - length, end))

        for service, extra in list(self.arrivals.items()):
            asked = max(total(self.asked[service], now - shift) for shift in (0, length // 2, length))
            allowed = BOUNDS["RetryBudgetRatio"] * asked + BOUNDS["RetrySlack"]
            if total(extra, now) > allowed:
                self.fail("BUDGET", "%d extra arrivals at %s in %d s, allowed %.0f" % (
                    total(extra, now), service, length, allowed))

    def check_allowance(self, allowance):
        """Runs of the organisation's requests within any window, wherever they ran and whatever happened."""
        window = BOUNDS["QuotaWindowS"]
        allowed = (allowance["RatePerS"] * window + allowance["Burst"]) * (
            1 + BOUNDS["QuotaOverage"]) + BOUNDS["QuotaSlack"]
        now = time.monotonic()
        self.keyed_runs = [run for run in self.keyed_runs if run[0] > now - window - 2 * LINE_DELAY]
        for begin, _ in self.keyed_runs:
            count = sum(sent >= begin and at <= begin + window for sent, at in self.keyed_runs)
            self.most_keyed = max(self.most_keyed, count)
            if count > allowed:
                self.fail("QUOTA", "%d requests of an organisation ran from %.3f s on in %d s, allowed %.0f" % (
                    count, begin - self.begin, window, allowed))
                return

    def served_share(self, begin, end, host=None):
        mine = [request for request in self.requests.values() if request.sent and begin <= request.sent < end
                and request.kind in SERVICES_OF and request.deadline and host in (None, request.host)]
        return sum(request.status == 200 for request in mine) / max(1, len(mine))
