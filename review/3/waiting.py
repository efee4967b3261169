"""A node is stopped as planned while requests wait in it for a place at a busy replica."""

import asyncio
import collections
import pathlib
import signal
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins"))

from http11 import answer_bytes, read_message, request_bytes  # noqa: E402
from small_fleet import ZONES, SmallFleet, now_ms, run_case  # noqa: E402

SERVICE, HOST, KEY = "report-app", "reports.example", "key-1"
SLOTS, QUEUE = 2, 24
WORK_SECONDS = 4.0
TIMEOUT_MS = DEADLINE_MS = 60_000
# Each waits for the answer to its request before it sends the next one, all the time alike.
CLIENTS = 12
# Traffic before the SIGTERM and after it, and the bounds of the site.
STOP_AFTER, GO_ON_SECONDS, GRACE_SECONDS, LOSS_SLACK_SECONDS = 20.0, 12.0, 8.0, 0.2


class Replica:
    """Runs SLOTS requests at once and lets QUEUE wait. It is sound all the time."""

    def __init__(self, case):
        self.case, self.identifier, self.zone = case, "i-0001", ZONES[0]
        self.born, self.sequence = now_ms(), 0
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

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                answer = await self.answer(message, message.headers.get("x-covewing-request-id", ""), reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, message, identifier, reader):
        head = [("X-Covewing-Request-Id", identifier), ("X-Covewing-Instance-Id", self.identifier)]
        self.case.on_arrival(identifier)
        if message.headers.get("x-covewing-expected-instance", self.identifier) != self.identifier:
            return answer_bytes(421, head + [("X-Covewing-Not-Executed", "1")])
        if self.present >= SLOTS + QUEUE:
            return answer_bytes(503, head + [("X-Covewing-Not-Executed", "1")])
        self.present += 1
        try:
            async with self.places:
                if reader.at_eof():
                    self.case.record.write(f"{self.identifier}: drops {identifier}, its connection has closed")
                    return None
                self.case.runs[identifier] += 1
                self.case.record.write(f"{self.identifier}: runs {identifier}")
                await asyncio.sleep(WORK_SECONDS)
        finally:
            self.present -= 1
        return answer_bytes(200, head + [("X-Covewing-Server-Signature", f"{self.identifier}.{identifier}")],
                            f"report {identifier}".encode())


class Case:
    def __init__(self, record):
        self.record = record
        self.arrivals, self.runs = collections.Counter(), collections.Counter()
        self.sent_to, self.sent_at, self.ended_at, self.answers = {}, {}, {}, {}
        self.last_id, self.over = 0, False

    def on_arrival(self, identifier):
        self.arrivals[identifier] += 1
        self.record.write(f"replica: {identifier} arrives")

    def configuration(self):
        return {"version": 3,
                "routes": [{"name": "report", "host": HOST, "path_prefix": "/reports/",
                            "kind": "non_idempotent", "timeout_ms": TIMEOUT_MS, "target_latency_ms": 10_000,
                            "priority": 2, "service": SERVICE, "attempts": 1, "public": False,
                            "sticky": False, "resumable": False}],
                "services": [{"name": SERVICE, "health_path": "/health", "connection_limit": 100,
                              "protocol": "h1", "tls": False}],
                "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000},
                "tenants": [{"name": "tenant-1", "keys": [KEY], "priority": 1, "isolated": False}]}

    async def client(self, nodes):
        """Keeps its connection; goes to the next node where that ends."""
        reader = writer = None
        place = 0
        while not self.over:
            self.last_id += 1
            identifier = f"{self.last_id:016x}"
            node = nodes[place % len(nodes)]
            closes, wait = True, 0.0
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(node.address, node.ports.callers)
                writer.write(request_bytes("POST", "/reports/new", [
                    ("Host", HOST), ("X-Covewing-Request-Id", identifier),
                    ("X-Covewing-Deadline-Milliseconds", str(DEADLINE_MS)), ("X-Api-Key", KEY)], b"season"))
                self.sent_to[identifier], self.sent_at[identifier] = node, time.monotonic()
                self.record.write(f"client: {identifier} is sent to {node.name}")
                answer = await asyncio.wait_for(read_message(reader), DEADLINE_MS / 1000)
                self.answers[identifier] = answer.status
                self.record.write(f"client: {identifier} gets {answer.status}")
                closes = answer.headers.get("connection", "").lower() == "close"
                wait = float(answer.headers.get("retry-after", "0"))
            except asyncio.TimeoutError:
                self.record.write(f"client: {identifier} reaches its deadline")
            except (OSError, asyncio.IncompleteReadError) as error:
                self.ended_at[identifier] = time.monotonic()
                self.record.write(f"client: the connection of {identifier} ends without an answer: {error!r}")
            if closes:
                place += 1
                if writer is not None:
                    writer.close()
                writer = None
            await asyncio.sleep(wait)
        if writer is not None:
            writer.close()

    def verdict(self, stopped, stopped_at: float | None) -> int:
        lost = []
        for identifier, ended in self.ended_at.items():
            around = stopped_at is not None and stopped_at <= ended <= stopped_at + GRACE_SECONDS + 1
            late = ended - self.sent_at[identifier] > LOSS_SLACK_SECONDS
            if not around or not late or self.sent_to[identifier] is not stopped:
                continue
            if self.runs[identifier] > 0:
                self.record.write(f"excused: the replica was at work on {identifier}")
                continue
            lost.append(identifier)
            where = "waited at the replica" if self.arrivals[identifier] else "had reached no replica"
            self.record.write(f"LOST: {identifier} {where}, was not begun, and its connection ended without an "
                              f"answer {ended - self.sent_at[identifier]:.2f} s after it was sent, "
                              f"{ended - stopped_at:.2f} s after the SIGTERM")
        answered = collections.Counter(self.answers.values())
        self.record.write(f"answers by status: {dict(answered)}; ended without one: {len(self.ended_at)}, "
                          f"of them lost: {len(lost)}")
        if not answered.get(200):
            return 2
        return 1 if lost else 0


async def main(record, trouble) -> int:
    case = Case(record)
    fleet = SmallFleet(record, node_count=3)
    try:
        await fleet.open_store()
        replica = Replica(case)
        await replica.start(next(fleet.replica_addresses))
        fleet.keep_entry(replica)
        fleet.configure(case.configuration())
        fleet.start_nodes()
        if not await fleet.wait_until_ready():
            return 2
        await asyncio.sleep(4)
        node = fleet.nodes[0]
        clients = [asyncio.create_task(case.client(fleet.nodes)) for _ in range(CLIENTS)]
        stopped_at = None
        await asyncio.sleep(STOP_AFTER)
        if trouble:
            stopped_at = time.monotonic()
            node.signal(signal.SIGTERM)
            record.write(f"platform: SIGTERM to {node.name}")
            while node.process.poll() is None and time.monotonic() < stopped_at + GRACE_SECONDS:
                await asyncio.sleep(0.01)
            record.write(f"{node.name} has ended {time.monotonic() - stopped_at:.2f} s after the SIGTERM, "
                         f"status {node.process.poll()}")
            node.end()
        await asyncio.sleep(GO_ON_SECONDS)
        case.over = True
        await asyncio.gather(*clients)
        return case.verdict(node, stopped_at)
    finally:
        fleet.end()


if __name__ == "__main__":
    sys.exit(run_case(main))
