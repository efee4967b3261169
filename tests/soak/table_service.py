"""The stand-in of the table service: rows, transactions under conditions, feeds, their faults, and
returns from a copy some seconds old."""

import asyncio
import base64
import collections
import dataclasses
import json
import urllib.parse

from wire import Listener, http_answer, now


# Rows by others than the nodes are in these.
TABLES_OF_OTHERS = ("op", "servers")
# Where nobody reads: writes here move the version alone.
UNREAD_TABLE = "status"


@dataclasses.dataclass(frozen=True)
class Change:
    """One write, as the journal keeps it for copies."""

    at: float
    version: int
    table: str
    key: str
    value: bytes | None


class Store:
    """The rows, the answers, and the faults that all nodes meet alike."""

    def __init__(self):
        self.rows = collections.defaultdict(dict)
        self.version = 0
        # Set at the next change, and then replaced.
        self.changed = asyncio.Event()
        self.mode = "normal"
        self.lose = 0
        # Rises each time that the history is dropped: feeds from before get 410.
        self.history = 0
        # The lead of the steady clock that answers name over this process's own; each start of the
        # service has another one.
        self.clock_lead = 0.0
        # Rises with each return from a copy; 0: the service is of the time before it told one.
        self.era = 0
        self.journal: list[Change] = []
        # What others than the nodes have written last, by table and key; they write it again.
        self.of_others: dict[tuple[str, str], bytes | None] = {}
        # Cleared while the service is away.
        self.here = asyncio.Event()
        self.here.set()
        # Transactions that arrived while it was away and are done after its return, if their
        # conditions hold then; None: such calls are refused.
        self.late_transactions: list[dict] | None = None

    async def put(self, table, key, value):
        """Sets a row, or removes it where the value is None; waits while the service is away."""
        await self.here.wait()
        self.of_others[table, key] = value
        self.set(table, key, value)
        self.announce()

    # --- returns from a copy

    def go_away(self, keep_transactions: bool):
        """Answers nothing but refusals until it returns."""
        self.here.clear()
        self.late_transactions = [] if keep_transactions else None

    def return_from_copy(self, moment: float, past: bool) -> tuple[list[tuple[str, str]], list[dict]]:
        """Comes back with the rows and the version of that moment. `past`: others' writes have taken
        the version beyond all that were given out before. Gives the rows by others that are missing,
        and the transactions that are done later."""
        given_out = self.version
        self.journal = [change for change in self.journal if change.at <= moment]
        self.rows = collections.defaultdict(dict)
        self.version = 0
        for change in self.journal:
            self.rows[change.table][change.key] = (change.version, change.value)
            self.version = change.version
        self.era += 1
        while past and self.version <= given_out:
            self.set(UNREAD_TABLE, "heartbeat", b"")
        missing = [(table, key) for (table, key), value in self.of_others.items()
                   if self.rows[table].get(key, (0, None))[1] != value]
        late, self.late_transactions = self.late_transactions or [], None
        self.here.set()
        # Feeds that were asked before it went away.
        self.history += 1
        self.announce()
        return missing, late

    def write_again(self, table, key):
        """Another than the nodes writes once more what it wrote last."""
        value = self.of_others[table, key]
        if self.rows[table].get(key, (0, None))[1] != value:
            self.set(table, key, value)
            self.announce()

    async def drop_history(self):
        self.history += 1
        self.announce()

    def announce(self):
        """Wakes the feeds that wait."""
        self.changed.set()
        self.changed = asyncio.Event()

    def set(self, table, key, value):
        self.version += 1
        self.rows[table][key] = (self.version, value)
        self.journal.append(Change(now(), self.version, table, key, value))

    def row(self, table, key):
        version, value = self.rows[table][key]
        row = {"table": table, "part": "", "private_key": key, "ver": version}
        if value is None:
            row["gone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def answer(self, rows, status=200):
        body = {"ver": self.version, "now_ms": int((now() + self.clock_lead) * 1000), "rows": rows,
                "has_more": False}
        return self.bare_answer(status, json.dumps(body).encode())

    def bare_answer(self, status, body=b"{}"):
        headers = [("Content-Type", "application/json")]
        if self.era > 0:
            headers.append(("Store-Era", self.era))
        return http_answer(status, body, headers)

    async def handle(self, message, _peer):
        method, target, _ = message.first.split(" ")
        if not self.here.is_set():
            if self.late_transactions is not None and target == "/-/rows-tx":
                self.late_transactions.append(json.loads(message.body))
                return None
            return self.bare_answer(503)
        if self.mode == "down":
            return self.bare_answer(503)
        if self.mode == "silent":
            await asyncio.sleep(30)
            return None
        await asyncio.sleep(0.3 if self.mode == "slow" else 0.002)
        path, _, query = target.partition("?")
        values = dict(pair.split("=", 1) for pair in query.split("&") if pair)
        if path == "/-/rows-get":
            return self.get(values)
        if path == "/-/rows-feed":
            return await self.feed(values)
        if path == "/-/rows-tx" and method == "POST":
            return await self.transact(json.loads(message.body))
        return self.bare_answer(404)

    def get(self, values):
        first = urllib.parse.unquote(values.get("source", ""))
        end = urllib.parse.unquote(values.get("target_version", ""))
        table = values["table"]
        keys = [key for key in sorted(self.rows[table])
                if key >= first and (not end or key < end) and self.rows[table][key][1] is not None]
        return self.answer([self.row(table, key) for key in keys])

    async def feed(self, values):
        table, after, history = values["table"], int(values["after"]), self.history
        if after > self.version:
            return self.bare_answer(410)

        def news():
            found = [key for key, (version, _) in self.rows[table].items() if version > after]
            return sorted(found, key=lambda key: self.rows[table][key][0])

        end = now() + int(values["wait_ms"]) / 1000
        while not news() and self.history == history and now() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), end - now())
            except asyncio.TimeoutError:
                break
        if self.history != history:
            return self.bare_answer(410)
        return self.answer([self.row(table, key) for key in news()])

    async def transact(self, body):
        for wanted in body["expected_revision"]:
            known = self.rows[wanted["table"]].get(wanted["private_key"], (0, None))
            if (known[0] if known[1] is not None else 0) != wanted["ver"]:
                present = [self.row(entry["table"], entry["private_key"])
                           for entry in body["expected_revision"]
                           if self.rows[entry["table"]].get(entry["private_key"], (0, None))[1]
                           is not None]
                return self.answer(present, 412)
        for entry in body["put"]:
            self.set(entry["table"], entry["private_key"], base64.b64decode(entry["value"]))
        for entry in body["remove"]:
            self.set(entry["table"], entry["private_key"], None)
        self.announce()
        if self.lose > 0:
            self.lose -= 1
            return None
        return self.answer([])


class StoreWay:
    """The way of one node to the table service, with faults of its own."""

    REFUSALS = {"refused": 503, "limited": 429}

    def __init__(self, store: Store):
        self.store = store
        # "open", "refused", "limited", "reset", or cut in one direction: "no requests" arrive at
        # the service, or "no answers" at the node.
        self.mode = "open"
        # Answers are under way for so long after they were made (seconds).
        self.delay = 0.0
        self.listener = Listener(self.handle)

    async def handle(self, message, peer):
        if self.mode in self.REFUSALS:
            return self.store.bare_answer(self.REFUSALS[self.mode])
        if self.mode == "reset":
            return None
        if self.mode == "no requests":
            return await self.stay_silent()
        answer = await self.store.handle(message, peer)
        if self.mode == "no answers":
            return await self.stay_silent()
        await asyncio.sleep(self.delay)
        return answer

    @staticmethod
    async def stay_silent():
        await asyncio.sleep(30)
