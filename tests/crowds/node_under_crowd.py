"""One covewing-node process on loopback, with stand-ins of the table service and of one replica, and what the node uses
of its machine."""

import asyncio
import json
import pathlib
import resource
import signal
import subprocess
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))

from nodes import end_with_parent  # noqa: E402
from process_memory import memory_of  # noqa: E402
from table_service import Store  # noqa: E402
from wire import Listener, http_answer, now, read_message  # noqa: E402

HOST = "crowd.example"
KEY = "crowd-key"
SERVICE = "app"
# Ports of the node's listeners.
CALLERS, PEERS, READINESS, METRICS, RELAY = 7000, 7001, 7002, 7003, 7004
# A request whose path ends with this gets an answer of so many bytes.
LARGE_PATH, LARGE_BYTES = "/large", 1_000_000
# A request whose path ends with this is at work for so long (seconds).
SLOW_PATH, SLOW_SECONDS = "/slow", 0.5
# Time that the route and the callers give a request (seconds). However slow the machine is, a node that can serve one has
# answered by then.
TIME_OF_REQUEST = 20
ANSWERS_WITHIN = TIME_OF_REQUEST + 5


def request_head(path, identifier, body_bytes, fields) -> bytes:
    """Without a length where `body_bytes` is None."""
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"X-Covewing-Request-Id: {identifier}", *fields]
    if body_bytes is not None:
        lines.append(f"Content-Length: {body_bytes}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Replica:
    """Runs whatever reaches it."""

    instance = "replica-1"

    def __init__(self):
        self.listener = Listener(self.handle)

    async def handle(self, message, _peer):
        if message.path.startswith("/-/"):
            return http_answer(404, b"")
        if message.path.endswith(SLOW_PATH):
            await asyncio.sleep(SLOW_SECONDS)
        body = b"x" * LARGE_BYTES if message.path.endswith(LARGE_PATH) else b"ran"
        return http_answer(200, body, [("X-Covewing-Request-Id", message.headers.get("x-covewing-request-id", "")),
                                       ("X-Covewing-Instance-Id", self.instance),
                                       ("X-Covewing-Server-Signature", self.instance)])


class NodeUnderCrowd:
    """The process, its limits, and what it has used."""

    def __init__(self, program, slot, shape):
        self.program, self.shape = program, shape
        self.address = f"127.{100 + slot}.1.1"
        Listener.host = f"127.{100 + slot}.0.2"
        self.store, self.replica = Store(), Replica()
        self.store_listener = Listener(self.store.handle)
        self.folder = tempfile.TemporaryDirectory(prefix="covewing-crowd-")
        self.log_file = pathlib.Path(self.folder.name) / "node.log"
        self.process = None
        self.requests = 0
        self.most_descriptors = 0

    def settings(self) -> str:
        return f"""
[node]
name = "node"
zone = "zone"
region = "region"
[machine]
memory_mb = {self.shape.memory_mb}
[listen]
callers = "{self.address}:{CALLERS}"
readiness = "{self.address}:{READINESS}"
peers = "{self.address}:{PEERS}"
relay = "{self.address}:{RELAY}"
metrics = "{self.address}:{METRICS}"
[cluster]
seeds = ["{self.address}:{PEERS}"]
[table_service]
address = "{Listener.host}:{self.store_listener.port}"
"""

    def configuration(self) -> dict:
        route = {"name": "app", "host": HOST, "path_prefix": "/app/", "kind": "idempotent",
                 "timeout_ms": TIME_OF_REQUEST * 1000, "target_latency_ms": 5000, "gap_target_ms": 5000, "priority": 1, "service": SERVICE, "attempts": 2,
                 "resumable": False, "sticky": False}
        return {"version": 1, "routes": [route], "services": [{"name": SERVICE, "health_path": "/health"}],
                "tenants": [{"name": "tenant", "keys": [KEY], "priority": 1}],
                "limits": {"header_bytes": self.shape.header_bytes, "body_bytes": self.shape.body_bytes,
                           "header_timeout_ms": self.shape.header_timeout_ms, "idle_timeout_ms": 60000}}

    async def start(self):
        await self.store_listener.open()
        await self.replica.listener.open()
        await self.store.put("op", "config", json.dumps(self.configuration()).encode())
        entry = {"service": SERVICE, "address": f"{Listener.host}:{self.replica.listener.port}", "zone": "zone",
                 "version": "v1", "slots": 1000, "state": "ready", "cold_remaining_ms": 0, "sequence": 0, "born": 1}
        await self.store.put("servers", self.replica.instance, json.dumps(entry).encode())
        settings = pathlib.Path(self.folder.name) / "node.toml"
        settings.write_text(self.settings(), encoding="utf-8")
        with open(self.log_file, "ab") as log:
            self.process = subprocess.Popen([str(self.program), str(settings)], stdout=log, stderr=log,
                                            preexec_fn=self.prepare)
        await self.serve_one()

    def prepare(self):
        end_with_parent()
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.shape.descriptors, self.shape.descriptors))

    def request(self, path="/app/x", body_bytes=3, fields=()) -> bytes:
        """The head of a request and, if it has a length, nothing of its body."""
        self.requests += 1
        return request_head(path, f"request-{self.requests}", body_bytes,
                            [f"X-Api-Key: {KEY}", f"X-Covewing-Deadline-Milliseconds: {TIME_OF_REQUEST * 1000}", *fields])

    async def ask(self, body_bytes=3) -> int | None:
        """The status that one request on a new connection gets; None: no whole answer came."""
        writer = None
        try:
            reader, writer = await asyncio.open_connection(self.address, CALLERS)
            writer.write(self.request(body_bytes=body_bytes) + b"x" * body_bytes)
            answer = await asyncio.wait_for(read_message(reader), ANSWERS_WITHIN)
            return answer.status if answer.status != 200 or answer.body == b"ran" else None
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return None
        finally:
            if writer is not None:
                writer.close()

    async def serve_one(self) -> bool:
        """An ordinary caller, who comes again where it isn't served, gets its answer."""
        deadline = now() + ANSWERS_WITHIN
        while now() < deadline and self.lives():
            if await self.ask() == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    def lives(self) -> bool:
        return self.process.poll() is None

    def memory(self, field: str) -> int:
        return memory_of(self.process.pid, field)

    def count_descriptors(self):
        count = len(list(pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir()))
        self.most_descriptors = max(self.most_descriptors, count)

    def stop(self):
        if self.process is not None and self.lives():
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        self.folder.cleanup()
