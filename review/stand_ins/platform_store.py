"""Stand-in of the platform's store, form `table`: rows, transactions under conditions and feeds, as the
section "The platform's metadata store" of PROTOCOL.md tells them. It has no faults of its own."""

import asyncio
import base64
import json
import time
import urllib.parse

from http11 import answer_bytes, read_message

ANSWER_SECONDS = 0.004


class PlatformStore:
    def __init__(self):
        # By table and key: version, and value; None where the row is gone.
        self.rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.server = None
        self.address = ""

    async def open(self, address: str):
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, table: str, key: str, value: bytes | None):
        """A write by the operator or a replica; its return is the acknowledgement."""
        self.write([(table, key, value)])

    def write(self, entries):
        self.version += 1
        for table, key, value in entries:
            self.rows[table, key] = (self.version, value)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                await asyncio.sleep(ANSWER_SECONDS)
                status, body = await self.handle(message)
                writer.write(answer_bytes(status, [("Content-Type", "application/json")],
                                          json.dumps(body).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, message):
        path, _, query = message.target.partition("?")
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/-/rows-tx" and message.method == "POST":
            return self.transact(json.loads(message.body))
        if path == "/-/rows-get":
            return self.get(values)
        if path == "/-/rows-feed":
            return await self.feed(values)
        return 404, {}

    def body(self, keys, **more):
        rows = []
        for table, key in keys:
            version, value = self.rows[table, key]
            row = {"table": table, "part": "", "private_key": key, "ver": version}
            if value is None:
                row["gone"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            rows.append(row)
        return {"rows": rows, "ver": self.version, "now_ms": int(time.monotonic() * 1000), **more}

    def version_of(self, table, key) -> int:
        version, value = self.rows.get((table, key), (0, None))
        return 0 if value is None else version

    def transact(self, call):
        expected = call.get("expected_revision", [])
        if any(self.version_of(row["table"], row["private_key"]) != row["ver"] for row in expected):
            present = [(row["table"], row["private_key"]) for row in expected
                       if self.version_of(row["table"], row["private_key"]) != 0]
            return 412, self.body(present)
        self.write([(row["table"], row["private_key"], base64.b64decode(row["value"]))
                    for row in call.get("put", [])] +
                   [(row["table"], row["private_key"], None) for row in call.get("remove", [])])
        return 200, self.body([])

    def get(self, values):
        first, end = values.get("source", ""), values.get("target_version", "")
        limit = int(values.get("limit", "500"))
        found = sorted(key for table, key in self.rows
                       if table == values["table"] and key >= first and (not end or key < end) and
                       self.rows[table, key][1] is not None)
        return 200, self.body([(values["table"], key) for key in found[:limit]], has_more=len(found) > limit)

    async def feed(self, values):
        table, after = values["table"], int(values["after"])
        end = time.monotonic() + int(values.get("wait_ms", "0")) / 1000
        while True:
            news = [name for name, (version, _) in self.rows.items() if name[0] == table and version > after]
            left = end - time.monotonic()
            if news or left <= 0:
                return 200, self.body(sorted(news, key=lambda name: self.rows[name][0]))
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
