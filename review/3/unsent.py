"""A node is stopped as planned while a client on a slow link still has to read the end of its answer."""

import asyncio
import concurrent.futures
import hashlib
import pathlib
import signal
import socket
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins"))

from http11 import answer_bytes, read_message, request_bytes  # noqa: E402
from small_fleet import ZONES, SmallFleet, now_ms, run_case  # noqa: E402

SERVICE, HOST, KEY = "bracket-app", "tables.example", "key-1"
SLOTS = 6
WORK_SECONDS = 0.06
TIMEOUT_MS = DEADLINE_MS = 15_000
# By how much each page differs from what the operating system takes of an answer to a client that does not read.
# From a node, which writes in smaller pieces, it takes some eighty thousand bytes less.
PAGE_SIZES = (-300_000, -250_000, *range(-90_000, -36_000, 4_500))
# What a client on an ordinary network has: packets of 1,500 bytes, and a small window.
SEGMENT_BYTES, WINDOW_BYTES = 1460, 32_768
# The clients read nothing for so long after the first byte, and then go on.
STALL_SECONDS = 6.0
# From the first request to the SIGTERM, and the bounds of the site.
STOP_AFTER, GRACE_SECONDS = 1.5, 8.0


def options_of_client(connection: socket.socket):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)


def bytes_taken_unread(address: str) -> int:
    """How much the operating system takes from a server for a client that reads nothing. (This differs between
    machines.)"""
    with socket.socket() as listener, socket.socket() as client:
        listener.bind((address, 0))
        listener.listen()
        options_of_client(client)
        client.connect(listener.getsockname())
        server, _ = listener.accept()
        with server:
            server.setblocking(False)
            taken, end = 0, time.monotonic() + 1
            while time.monotonic() < end:
                try:
                    taken += server.send(bytes(16_384))
                except BlockingIOError:
                    time.sleep(0.01)
            return taken


def page_of(identifier: str, size: int) -> bytes:
    line = hashlib.sha256(identifier.encode()).hexdigest().encode() + b"\n"
    return (line * (size // len(line) + 1))[:size]


class Replica:
    """Answers each request with its page. It is sound all the time."""

    def __init__(self, case):
        self.case, self.identifier, self.zone = case, "i-0001", ZONES[0]
        self.born, self.sequence = now_ms(), 0
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
                identifier = message.headers.get("x-covewing-request-id", "")
                self.case.record.write(f"{self.identifier}: runs {identifier}")
                await asyncio.sleep(WORK_SECONDS)
                writer.write(answer_bytes(200, [
                    ("X-Covewing-Request-Id", identifier), ("X-Covewing-Instance-Id", self.identifier),
                    ("X-Covewing-Server-Signature", f"{self.identifier}.{identifier}")], self.case.page_of(identifier)))
                await writer.drain()
                if not self.case.stopped:
                    self.case.sent_whole.add(identifier)
                self.case.record.write(f"{self.identifier}: has sent the whole answer to {identifier}")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Case:
    def __init__(self, record, sizes):
        self.record, self.sizes = record, sizes
        self.whole, self.cut = [], []
        # Requests whose answers the replica has sent to the end before the SIGTERM.
        self.sent_whole = set()
        self.stopped = False

    def configuration(self):
        return {"version": 3,
                "routes": [{"name": "post", "host": HOST, "path_prefix": "/pairings/",
                            "kind": "non_idempotent", "timeout_ms": TIMEOUT_MS, "target_latency_ms": 300,
                            "priority": 2, "service": SERVICE, "attempts": 1, "public": False,
                            "sticky": False, "resumable": False}],
                "services": [{"name": SERVICE, "health_path": "/health", "connection_limit": 100,
                              "protocol": "h1", "tls": False}],
                "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000},
                "tenants": [{"name": "tenant-1", "keys": [KEY], "priority": 1, "isolated": False}]}

    def page_of(self, identifier) -> bytes:
        return page_of(identifier, self.sizes[identifier])

    @staticmethod
    def end_early():
        raise ConnectionError("the connection ended before the head of the answer")

    def client(self, node, identifier):
        """Runs in a thread of its own: reads with the calls of a simple client."""
        connection = socket.socket()
        options_of_client(connection)
        connection.settimeout(DEADLINE_MS / 1000)
        received, head, body, sent_at = b"", b"", b"", time.monotonic()
        try:
            connection.connect((node.address, node.ports.callers))
            connection.sendall(request_bytes("POST", "/pairings/round", [
                ("Host", HOST), ("X-Covewing-Request-Id", identifier),
                ("X-Covewing-Deadline-Milliseconds", str(DEADLINE_MS)), ("X-Api-Key", KEY)], b"round 3"))
            self.record.write(f"client: {identifier} is sent to {node.name}")
            while b"\r\n\r\n" not in received:
                received += connection.recv(4096) or self.end_early()
            self.record.write(f"client: {identifier} gets the head of its answer, and reads nothing for "
                              f"{STALL_SECONDS} s")
            time.sleep(STALL_SECONDS)
            head, _, body = received.partition(b"\r\n\r\n")
            while len(body) < self.sizes[identifier]:
                more = connection.recv(65_536)
                if not more:
                    break
                body += more
        except OSError as error:
            self.record.write(f"client: {identifier} fails: {error!r}")
        connection.close()
        ended = time.monotonic()
        self.record.write(f"client: {identifier} has {len(body)} of {self.sizes[identifier]} bytes after "
                          f"{ended - sent_at:.2f} s: {head.splitlines()[0].decode() if head else 'no answer'}")
        if body == self.page_of(identifier):
            self.whole.append(identifier)
        else:
            self.cut.append((identifier, len(body)))

    def verdict(self) -> int:
        lost = [(identifier, length) for identifier, length in self.cut if identifier in self.sent_whole]
        for identifier, length in lost:
            self.record.write(f"LOST: {identifier} was passed on and answered whole by its replica, and its "
                              f"connection ended after {length} of {self.sizes[identifier]} bytes")
        self.record.write(f"{len(self.whole)} answers whole, {len(self.cut)} cut, of them lost: {len(lost)}")
        if not self.sent_whole:
            return 2
        return 1 if lost else 0


async def main(record, trouble) -> int:
    fleet = SmallFleet(record, node_count=3)
    taken = bytes_taken_unread(fleet.nodes[0].address)
    record.write(f"the operating system takes {taken} bytes for a client that reads nothing")
    case = Case(record, {f"{number + 1:016x}": max(taken + more, 10_000) for number, more in enumerate(PAGE_SIZES)})
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
        loop = asyncio.get_running_loop()
        threads = concurrent.futures.ThreadPoolExecutor(len(case.sizes))
        clients = [loop.run_in_executor(threads, case.client, node, identifier) for identifier in case.sizes]
        await asyncio.sleep(STOP_AFTER)
        if trouble:
            case.stopped, stopped_at = True, time.monotonic()
            node.signal(signal.SIGTERM)
            record.write(f"platform: SIGTERM to {node.name}")
            while node.process.poll() is None and time.monotonic() < stopped_at + GRACE_SECONDS:
                await asyncio.sleep(0.01)
            record.write(f"{node.name} has ended {time.monotonic() - stopped_at:.2f} s after the SIGTERM, "
                         f"status {node.process.poll()}")
            node.end()
        await asyncio.gather(*clients)
        return case.verdict()
    finally:
        fleet.end()


if __name__ == "__main__":
    sys.exit(run_case(main))
