"""What became of each request, by cause, urgency and route, tenant, zone, node and replica.

One request has one outcome. It is made up at the request's last line: RelayFinished or
CallerDisconnected, or RequestRefused where a node refused before it had taken the request up.
Lines of older nodes lack fields: what they don't say is taken from the request's dispatch, or left
out of the means.
"""
import collections
import re

IN_TIME, LATE, SERVED, REFUSED, FAILED, LEFT = (
    "in time", "late", "served", "refused", "failed", "left")
OUTCOMES = (IN_TIME, LATE, SERVED, REFUSED, FAILED, LEFT)
UNKNOWN = "-"
MOST_ROWS = 40

# Refusals by result code (docs/CODES.md).
CAUSE_OF_CODE = {
    "104": "unknown path", "200": "unknown key", "204": "key not confirmed",
    "300": "the tenant's limit", "301": "the tenant's limit", "302": "refused for room",
    "303": "held to the deadline", "304": "held to the deadline", "305": "the node is stopping",
    "306": "the node is full", "400": "refused for room", "402": "no connection",
    "404": "no answer by the deadline", "405": "stream broken", "409": "quarantined"}
# Reasons that say more than their code does.
CAUSE_OF_WHY = (
    ("connecting took too long", "no connection"),
    ("no connection", "no connection"),
    ("the replica is silent", "silent replica"),
    ("no answer in time", "silent replica"),
    ("Connection timed out", "silent replica"),
    ("connection ended", "cut by a crash"),
    ("replica ended", "cut by a crash"),
    ("no replica is listed", "no replica"),
    ("draining or was tried", "no replica left to try"),
    ("has room", "refused for room"),
    ("as many requests as it should", "refused for room"),
    ("no configuration is known", "no configuration yet"),
    ("cannot be confirmed", "key not confirmed"))
DEADLINE = "the time of the request is up"


def number(fields, name):
    """The field as a number; None when the line lacks it."""
    text = fields.get(name, "")
    return float(text) if re.fullmatch(r"-?\d+(\.\d+)?", text) else None


def zone_of(node):
    """The node's zone: its name without the number at the end."""
    return re.sub(r"[-_]?\d+$", "", node) or node


def cause_of(refusal, status, code="0"):
    """Why a request was not served. `refusal` is its RequestRefused or StreamBroken line, if any;
    `status` and `code` are those of its last line."""
    if refusal is None:
        return CAUSE_OF_CODE.get(code, f"{status} of a replica after the last attempt")
    why = refusal.get("why", "")
    if why == DEADLINE:
        if "dispatches" in refusal and number(refusal, "dispatches") == 0:
            return "held to the deadline"
        return "stream cut at the deadline" if "last_event" in refusal else "no answer by the deadline"
    for words, cause in CAUSE_OF_WHY:
        if words in why:
            return cause
    return CAUSE_OF_CODE.get(refusal.get("code", ""), why or UNKNOWN)


class Request:
    """One request at its end."""

    def __init__(self, fields, node, outcome, cause):
        self.outcome = outcome
        self.cause = cause
        self.node = node
        self.route = fields.get("route") or UNKNOWN
        self.tenant = fields.get("tenant") or UNKNOWN
        self.urgency = fields.get("urgency") or UNKNOWN
        self.replica = fields.get("replica") or ""
        # What was never sent waited until it was refused.
        never_sent = number(fields, "dispatches") == 0
        self.held_ms = number(fields, "waited_ms" if never_sent else "held_ms")
        self.total_ms = number(fields, "total_ms")
        first = number(fields, "first_byte_ms")
        self.first_byte_ms = first if first else None
        self.paused = pause_over_target(fields)


def pause_over_target(fields):
    """Whether the longest pause was over its target; None without a target."""
    pause, target = number(fields, "longest_pause_ms"), number(fields, "pause_target_ms")
    return pause > target if target and pause is not None else None


def answered_outcome(fields):
    """Outcome of a whole answer with a status of 200 to 299."""
    first, target = number(fields, "first_byte_ms"), number(fields, "target_ms")
    if first is None or not target:
        return SERVED
    return LATE if first > target or pause_over_target(fields) else IN_TIME


class Group:
    """Sums over requests that share something."""

    def __init__(self):
        self.outcomes = collections.Counter()
        self.sums = collections.Counter()
        self.counts = collections.Counter()

    def add(self, request):
        self.outcomes[request.outcome] += 1
        for name in ("held_ms", "first_byte_ms", "paused"):
            value = getattr(request, name)
            if value is not None:
                self.sums[name] += value
                self.counts[name] += 1

    def size(self):
        return sum(self.outcomes.values())

    def mean(self, name, factor=1):
        if not self.counts[name]:
            return UNKNOWN
        return f"{factor * self.sums[name] / self.counts[name]:.0f}"

    def row(self):
        return ([str(self.size())] + [str(self.outcomes[name]) for name in OUTCOMES] +
                [self.mean("held_ms"), self.mean("first_byte_ms"), self.mean("paused", 100)])


HEADING = ["asked", *OUTCOMES, "mean held ms", "mean first byte ms", "% paused over target"]
REPLICA_HEADING = ["requests", "% paused over target", "mean first byte ms"]


class Requests:
    """Follows requests through the lines of all nodes."""

    def __init__(self, on_end=lambda request, seconds: None):
        self.on_end = on_end
        self.dispatches = {}
        self.refusals = {}
        self.groups = {kind: collections.defaultdict(Group) for kind in
                       ("urgency, route", "tenant", "zone", "node", "replica")}
        self.causes = collections.Counter()
        self.total = 0

    def add(self, name, fields, seconds, node):
        key = fields.get("request")
        if not key:
            return
        if name == "RelayDispatched":
            self.dispatches[key] = fields
        elif name == "StreamBroken":
            self.refusals[key] = fields
        elif name == "RequestRefused":
            # A request that was taken up has a last line of its own.
            if "dispatches" in fields:
                self.refusals[key] = fields
            else:
                self.end(Request(fields, node, REFUSED, cause_of(fields, "")), seconds)
        elif name in ("RelayFinished", "CallerDisconnected"):
            self.finish(key, name, fields, seconds, node)

    def finish(self, key, name, fields, seconds, node):
        refusal = self.refusals.pop(key, None)
        known = {**self.dispatches.pop(key, {}), **(refusal or {}), **fields}
        status = int(number(fields, "status") or 0)
        outcome, cause = self.judge(name, known, status, refusal)
        self.end(Request(known, node, outcome, cause), seconds)

    @staticmethod
    def judge(name, known, status, refusal):
        if name == "CallerDisconnected":
            return LEFT, "the caller left"
        if refusal is not None:
            not_run = "dispatches" in refusal and number(refusal, "runs") == 0
            return (REFUSED if not_run else FAILED), cause_of(refusal, status)
        if 200 <= status < 300:
            return answered_outcome(known), None
        return FAILED, cause_of(None, status, known.get("code", "0"))

    def end(self, request, seconds):
        self.total += 1
        keys = {"urgency, route": f"{request.urgency}  {request.route}", "tenant": request.tenant,
                "zone": zone_of(request.node), "node": request.node}
        if request.replica:
            keys["replica"] = request.replica
        for kind, key in keys.items():
            self.groups[kind][key].add(request)
        if request.cause:
            self.causes[(request.cause, request.route)] += 1
        self.on_end(request, seconds)

    def write(self):
        if not self.total:
            return
        for kind in ("urgency, route", "tenant", "zone", "node"):
            rows = [[key, *group.row()] for key, group in self.largest(kind)]
            write_table(f"Requests by {kind}", [kind, *HEADING], rows, len(self.groups[kind]))
        rows = [[key, str(group.size()), group.mean("paused", 100), group.mean("first_byte_ms")]
                for key, group in self.largest("replica")]
        write_table("Requests by the last replica", ["replica", *REPLICA_HEADING], rows,
                    len(self.groups["replica"]))
        rows = [[cause, route, str(count), f"{100 * count / self.total:.2f}"]
                for (cause, route), count in self.causes.most_common(MOST_ROWS)]
        write_table("Not served", ["cause", "route", "requests", "% of all"], rows,
                    len(self.causes))

    def largest(self, kind):
        """Groups with most requests first; those by urgency in its order."""
        if kind == "urgency, route":
            return sorted(self.groups[kind].items())[:MOST_ROWS]
        return sorted(self.groups[kind].items(), key=lambda item: -item[1].size())[:MOST_ROWS]


def write_table(title, heading, rows, count):
    print(title + (f" (the first {len(rows)} of {count})" if count > len(rows) else ""))
    print("  " + " | ".join(heading))
    for row in rows:
        print("  " + " | ".join(row))
