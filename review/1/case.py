"""A replica turns some requests away and asks for a short rest. While it is faulty, an extra copy of some of
its answers arrives late, where the next answer on the connection is due."""

import asyncio
import collections
import pathlib
import random
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins"))

from http11 import answer_bytes, read_message, request_bytes  # noqa: E402
from small_fleet import ZONES, SmallFleet, now_ms, run_case  # noqa: E402

SERVICE, HOST, KEY = "bracket-app", "tables.example", "key-1"
# As on the site's sheet: places, queue, work, time-out and deadline.
SLOTS, QUEUE = 6, 24
WORK_SECONDS = 0.06
TIMEOUT_MS, DEADLINE_MS = 2000, 4000
# Of the requests, the share that the replica turns away with 503, and the rest that it asks for.
TURNED_AWAY_SHARE, REST_SECONDS = 0.25, 0.25
# The dose of `garble` with how "extra late" in the site file: a share x of the answers, for 5 s.
EXTRA_SHARE = 0.03
SPELLS, SPELL_SECONDS, PAUSE_SECONDS = 13, 5.0, 0.5
# One request at a time at each node.
CLIENTS = 3
PROMISES = (408, 421, 429, 503)


class Replica:
    """Runs up to SLOTS requests at once, lets QUEUE wait, and rejects what comes beyond."""

    def __init__(self, case, index):
        self.case, self.identifier = case, f"i-{index:04x}"
        self.zone = ZONES[index % len(ZONES)]
        self.born, self.sequence = now_ms(), 0
        self.faulty = False
        self.places = asyncio.Semaphore(SLOTS)
        self.present = 0
        self.address = ""

    async def start(self, address):
        server = await asyncio.start_server(self.serve, address, 0)
        self.address = f"{address}:{server.sockets[0].getsockname()[1]}"

    def entry(self):
        return {"service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": SLOTS, "state": "ready", "cold_remaining_ms": 0, "sequence": self.sequence,
                "born": self.born}

    def head(self, identifier):
        return [("X-Covewing-Request-Id", identifier), ("X-Covewing-Instance-Id", self.identifier)]

    async def serve(self, reader, writer):
        extra = None
        try:
            while True:
                message = await read_message(reader)
                identifier = message.headers.get("x-covewing-request-id", "")
                if extra is not None:
                    self.case.record.write(f"{self.identifier}: an extra copy of its answer to {extra[0]} "
                                           f"arrives where that to {identifier} is due")
                    writer.write(extra[1])
                    extra = None
                answer = await self.answer(message, identifier)
                writer.write(answer)
                await writer.drain()
                if self.faulty and random.random() < EXTRA_SHARE:
                    extra = (identifier, answer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, message, identifier):
        if message.headers.get("x-covewing-expected-instance", self.identifier) != self.identifier:
            return answer_bytes(421, self.head(identifier) + [("X-Covewing-Not-Executed", "1")])
        if random.random() < TURNED_AWAY_SHARE or self.present >= SLOTS + QUEUE:
            self.case.rejected += 1
            self.case.record.write(f"{self.identifier}: turns {identifier} away with 503, not executed")
            return answer_bytes(503, self.head(identifier) + [("X-Covewing-Not-Executed", "1"),
                                                              ("Retry-After", str(REST_SECONDS))])
        self.present += 1
        try:
            async with self.places:
                self.case.on_run(identifier, self.identifier)
                await asyncio.sleep(WORK_SECONDS * random.uniform(0.5, 1.5))
        finally:
            self.present -= 1
        return answer_bytes(200, self.head(identifier) + [
            ("X-Covewing-Server-Signature", f"{self.identifier}.{identifier}")],
            f"posted {identifier}".encode())


class Case:
    def __init__(self, record, trouble):
        self.record, self.trouble = record, trouble
        self.runs = collections.Counter()
        self.answers = {}
        self.rejected = 0
        self.last_id = 0

    def on_run(self, identifier, replica):
        self.runs[identifier] += 1
        self.record.write(f"{replica}: runs {identifier} (run {self.runs[identifier]} of it)")

    def configuration(self):
        return {"version": 3,
                "routes": [{"name": "post", "host": HOST, "path_prefix": "/standings/",
                            "kind": "non_idempotent", "timeout_ms": TIMEOUT_MS, "target_latency_ms": 300,
                            "priority": 2, "service": SERVICE, "attempts": 1, "public": False,
                            "sticky": False, "resumable": False}],
                "services": [{"name": SERVICE, "health_path": "/health", "connection_limit": 100,
                              "protocol": "h1", "tls": False}],
                "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000},
                "tenants": [{"name": "tenant-1", "keys": [KEY], "priority": 1, "isolated": False}]}

    async def client(self, node, stop):
        """One request after the other on a kept connection, each with an id of its own."""
        reader = writer = None
        while time.monotonic() < stop:
            self.last_id += 1
            identifier = f"{self.last_id:016x}"
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(node.address, node.ports.callers)
                writer.write(request_bytes("POST", "/standings/post", [
                    ("Host", HOST), ("X-Covewing-Request-Id", identifier),
                    ("X-Covewing-Deadline-Milliseconds", str(DEADLINE_MS)), ("X-Api-Key", KEY)], b"2:1"))
                answer = await asyncio.wait_for(read_message(reader), DEADLINE_MS / 1000)
                self.answers[identifier] = answer.status
                self.record.write(f"client: {identifier} gets {answer.status} from {node.name}")
                closes = answer.headers.get("connection", "").lower() == "close"
                # As it is told, but not for longer than a third of its time.
                wait = min(float(answer.headers.get("retry-after", "0")), DEADLINE_MS / 3000)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                self.record.write(f"client: {identifier} ends without an answer: {error!r}")
                closes, wait = True, 0.0
            if closes and writer is not None:
                writer.close()
                writer = None
            if wait > 0:
                await asyncio.sleep(wait)
        if writer is not None:
            writer.close()

    def verdict(self) -> int:
        twice = [name for name, count in self.runs.items() if count > 1]
        refused = [name for name, status in self.answers.items()
                   if status in PROMISES and self.runs[name] > 0]
        for name in twice:
            self.record.write(f"TWICE: {name}, which is not idempotent, ran {self.runs[name]} times")
        for name in refused:
            self.record.write(f"REFUSED: {name} got {self.answers[name]} and ran {self.runs[name]} times")
        self.record.write(f"{len(self.answers)} requests answered, {self.rejected} arrivals turned away, "
                          f"{len(twice)} requests ran twice, {len(refused)} that ran were refused")
        if not self.answers or not any(status == 200 for status in self.answers.values()):
            return 2
        return 1 if twice or refused else 0


async def main(record, trouble) -> int:
    case = Case(record, trouble)
    fleet = SmallFleet(record, node_count=3)
    try:
        await fleet.open_store()
        replica = Replica(case, 0)
        await replica.start(next(fleet.replica_addresses))
        fleet.keep_entry(replica)
        fleet.configure(case.configuration())
        fleet.start_nodes()
        if not await fleet.wait_until_ready():
            return 2
        await asyncio.sleep(3)
        stop = time.monotonic() + SPELLS * (SPELL_SECONDS + PAUSE_SECONDS)
        clients = asyncio.gather(*(case.client(fleet.nodes[index % len(fleet.nodes)], stop)
                                   for index in range(CLIENTS)))
        for _ in range(SPELLS):
            replica.faulty = trouble
            record.write(f"{replica.identifier}: {'faulty' if trouble else 'sound'}")
            await asyncio.sleep(SPELL_SECONDS)
            replica.faulty = False
            record.write(f"{replica.identifier}: sound")
            await asyncio.sleep(PAUSE_SECONDS)
        await clients
        await asyncio.sleep(1)
        return case.verdict()
    finally:
        fleet.end()


if __name__ == "__main__":
    sys.exit(run_case(main))
