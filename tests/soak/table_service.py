"""The stand-in of the table service: rows, transactions under conditions, feeds, their faults."""

import asyncio
import base64
import collections
import json
import urllib.parse

from wire import Listener, http_answer, now


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

    async def put(self, table, key, value):
        """Sets a row, or removes it where the value is None."""
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
        return http_answer(status, json.dumps(body).encode(), [("Content-Type", "application/json")])

    async def handle(self, message, _peer):
        method, target, _ = message.first.split(" ")
        if self.mode == "down":
            return http_answer(503, b"{}")
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
        return http_answer(404, b"{}")

    def get(self, values):
        first = urllib.parse.unquote(values.get("source", ""))
        end = urllib.parse.unquote(values.get("target_version", ""))
        table = values["table"]
        keys = [key for key in sorted(self.rows[table])
                if key >= first and (not end or key < end) and self.rows[table][key][1] is not None]
        return self.answer([self.row(table, key) for key in keys])

    async def feed(self, values):
        table, after, history = values["table"], int(values["after"]), self.history

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
            return http_answer(410, b"{}")
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
            return http_answer(self.REFUSALS[self.mode], b"{}")
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
