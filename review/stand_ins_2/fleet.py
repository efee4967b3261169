"""Stand-ins for the second review: the platform's store, replicas, clients and node processes.

They follow PROTOCOL.md and DEPLOY.md: what a page leaves open is done as a sound one would do it.
Everything listens on loopback addresses, on ports that were free when it started. Standard library
only, so that nothing has to be built.
"""

import asyncio
import base64
import collections
import ctypes
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "fleet.example"
ZONES = ["thu-duc-hall", "tan-binh-hall", "binh-thanh-hall"]
# The bounds of SYSTEM.md for the site bcth-covewing.
BOUNDS = {"contact_ms": 3000, "configuration_ms": 2000, "revocation_ms": 5000, "grace_s": 8, "lease_ms": 3000,
          "version_ms": 8000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 54}
MEMORY_MB = 260


def now() -> float:
    return time.monotonic()


def free_subnet() -> str:
    """The first two numbers of loopback addresses on which nobody listens at the ports used here."""
    draw = random.SystemRandom()
    for _ in range(200):
        subnet = f"127.{draw.randrange(20, 250)}.{draw.randrange(1, 250)}"
        try:
            for last in range(1, 20):
                for port in (7000, 7001, 7002, 7003):
                    with socket.socket() as probe:
                        probe.bind((f"{subnet}.{last}", port))
            return subnet
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


def end_with_parent():
    """A script that is killed leaves no process behind."""
    set_parent_death_signal = 1
    ctypes.CDLL(None).prctl(set_parent_death_signal, signal.SIGKILL)


class Record:
    """What was sent, answered and run, in order; written to record.txt."""

    def __init__(self, file):
        self.file = open(file, "w", encoding="utf-8")
        self.began = now()

    def say(self, text):
        self.file.write(f"{now() - self.began:8.3f} {text}\n")
        self.file.flush()


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers, b"")


async def read_message(reader):
    message = await read_head(reader)
    if message.header("transfer-encoding").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            message.body += chunk[:-2]
    else:
        message.body = await reader.readexactly(int(message.header("content-length", "0")))
    return message


def answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_answer(status, value, headers=()):
    return answer(status, json.dumps(value).encode(), [("Content-Type", "application/json"), *headers])


class Server:
    """`handle(message, writer, reader)` gives the bytes of the answer; None closes the connection; b"" if it has
    written the answer itself."""

    def __init__(self, handle, host="127.0.0.1"):
        self.handle, self.host, self.port = handle, host, 0
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=8 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                bytes_ = await self.handle(message, writer, reader)
                if bytes_ is None:
                    break
                writer.write(bytes_)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ValueError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    @property
    def address(self):
        return f"{self.host}:{self.port}"


class Store:
    """The platform's store: rows in tables, one counter, transactions, and a feed."""

    def __init__(self):
        self.rows = collections.defaultdict(dict)
        self.version = 0
        self.changed = asyncio.Event()
        # Nodes that the store turns away, by the source address of their connection; a text of SYSTEM's letters.
        self.refuses = lambda peer: False
        self.server = Server(self.handle)

    def put(self, table, key, value):
        """Value None removes the row."""
        self.version += 1
        self.rows[table][key] = (self.version, value)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, table, key, value):
        self.put(table, key, json.dumps(value).encode())

    def row(self, table, key):
        version, value = self.rows[table][key]
        row = {"table": table, "part": "", "private_key": key, "ver": version}
        if value is None:
            row["gone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def reply(self, status, rows, more=False):
        return json_answer(status, {"ver": self.version, "now_ms": int(now() * 1000), "rows": rows, "has_more": more})

    async def handle(self, message, writer, _reader):
        if self.refuses(writer):
            return json_answer(503, {})
        await asyncio.sleep(0.004)
        method, target, _ = message.first.split(" ")
        path, _, query = target.partition("?")
        values = {name: text[-1] for name, text in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        if path == "/-/rows-get":
            return self.get(values)
        if path == "/-/rows-feed":
            return await self.feed(values)
        if path == "/-/rows-tx" and method == "POST":
            return self.transact(json.loads(message.body))
        if path == "/-/rows-parts":
            return json_answer(200, {"ver": self.version, "now_ms": int(now() * 1000), "parts": [""]})
        return json_answer(404, {})

    def get(self, values):
        rows = self.rows[values["table"]]
        first, end = values.get("source", ""), values.get("target_version", "")
        keys = sorted((key for key, (_, value) in rows.items()
                       if value is not None and key.encode() >= first.encode() and
                       (not end or key.encode() < end.encode())), key=str.encode)
        limit = min(int(values.get("limit") or 500), 500)
        return self.reply(200, [self.row(values["table"], key) for key in keys[:limit]], len(keys) > limit)

    async def feed(self, values):
        table, after = values["table"], int(values["after"])
        end = now() + min(int(values.get("wait_ms") or 0), 30000) / 1000

        def news():
            rows = self.rows[table]
            return sorted((key for key, (version, _) in rows.items() if version > after),
                          key=lambda key: rows[key][0])

        while not news() and now() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), end - now())
            except asyncio.TimeoutError:
                break
        return self.reply(200, [self.row(table, key) for key in news()])

    def transact(self, body):
        for wanted in body.get("expected_revision", []):
            version, value = self.rows[wanted["table"]].get(wanted["private_key"], (0, None))
            if (version if value is not None else 0) != wanted["ver"]:
                present = [self.row(one["table"], one["private_key"]) for one in body["expected_revision"]
                           if self.rows[one["table"]].get(one["private_key"], (0, None))[1] is not None]
                return self.reply(412, present)
        for entry in body.get("put", []):
            self.put(entry["table"], entry["private_key"], base64.b64decode(entry["value"]))
        for entry in body.get("remove", []):
            self.put(entry["table"], entry["private_key"], None)
        return self.reply(200, [])


class Replica:
    """A replica of an application service: runs requests, `slots` at a time, and queues a few more."""

    def __init__(self, fleet, name, service, slots=6, queue=24, work=0.06, software="v1"):
        self.fleet, self.identifier, self.service = fleet, name, service
        self.slots, self.queue, self.work, self.software = slots, queue, work, software
        self.born = int(time.time() * 1000)
        self.places = asyncio.Semaphore(slots)
        self.inside = 0
        self.zone = ZONES[len(fleet.replicas) % len(ZONES)]
        # Called with the request; gives the bytes to send in place of the answer, or None.
        self.spoil = None
        self.spoiled = 0
        self.server = Server(self.handle)

    async def open(self):
        await self.server.open()
        self.tell()
        return self

    def models(self):
        return []

    def tell(self, state="ready"):
        self.fleet.store.put_json("servers", self.identifier, {
            "service": self.service, "address": self.server.address, "zone": self.zone, "version": self.software,
            "slots": self.slots, "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": self.born,
            "stage": "combined", "models": self.models()})

    def head(self, identifier):
        return [("X-Covewing-Request-Id", identifier), ("X-Covewing-Instance-Id", self.identifier)]

    def turned_away(self, status, identifier):
        return answer(status, b"", self.head(identifier) + [("X-Covewing-Not-Executed", "1")])

    async def handle(self, message, writer, reader):
        identifier = message.header("X-Covewing-Request-Id")
        if message.header("X-Covewing-Expected-Instance", self.identifier) != self.identifier:
            return self.turned_away(421, identifier)
        path = message.first.split(" ")[1]
        if path == "/health":
            return answer(200, b"", self.head(identifier))
        if path.startswith("/-/"):
            return await self.handle_call(message, path, identifier)
        if not identifier:
            return self.turned_away(400, identifier)
        if self.inside >= self.slots + self.queue:
            return self.turned_away(503, identifier)
        return await self.serve(message, writer, reader, identifier)

    async def handle_call(self, _message, _path, identifier):
        return answer(404, b"", self.head(identifier))

    async def serve(self, message, writer, _reader, identifier):
        self.inside += 1
        try:
            async with self.places:
                if writer.is_closing():
                    return None
                self.fleet.on_run(self, identifier, message)
                await asyncio.sleep(self.work)
                spoiled = self.spoil(message) if self.spoil else None
                if spoiled is not None:
                    self.spoiled += 1
                    self.fleet.record.say(f"{self.identifier} spoils its answer to {identifier}: {spoiled[:120]!r}")
                    writer.write(spoiled)
                    await writer.drain()
                    return None
                self.fleet.on_answered(self, identifier)
                return answer(200, f"ran {identifier}".encode("latin-1"), self.head(identifier) +
                              [("X-Covewing-Server-Signature", f"{self.identifier}.{identifier}")])
        finally:
            self.inside -= 1


class ModelReplica(Replica):
    """A model replica: streams events, tells its report and cache events, takes orders."""

    MODEL = "daka510000"

    def __init__(self, fleet, name, service, slots=64, queue=64, pieces=12, gap=0.02, software="v1"):
        super().__init__(fleet, name, service, slots, queue, software=software)
        self.pieces, self.gap = pieces, gap
        self.version = 1
        self.sequence = 0
        # Parts that are kept: (salt, part) to the request and tenant that made it.
        self.kept = {}
        self.epoch = random.randrange(1, 1 << 30)
        self.events = []

    def models(self):
        return [{"name": self.MODEL, "version": self.version, "adapters": []}]

    async def handle_call(self, message, path, identifier):
        if path.startswith("/-/report"):
            return json_answer(200, {"stage": "combined", "models": self.models(), "busy": False,
                                     "sequence": self.sequence, "queued_requests": 0,
                                     "running_requests": self.inside, "kv_cache_used": 0,
                                     "kv_cache_total": 110556, "handles": 0, "born": self.born},
                               self.head(identifier))
        if path.startswith("/-/kv-events"):
            since = int(path.partition("since=")[2] or 0)
            end = now() + min(int(message.header("Wait-Ms", "0")), 1000) / 1000
            while len(self.events) <= since and now() < end:
                await asyncio.sleep(0.05)
            return json_answer(200, {"epoch": self.epoch, "next_page_token": len(self.events), "lost": False,
                                     "events": self.events[since:]}, self.head(identifier))
        return answer(404, b"", self.head(identifier))

    async def serve(self, message, writer, _reader, identifier):
        if message.header("X-Covewing-Expected-Version", str(self.version)) != str(self.version):
            return self.turned_away(421, identifier)
        self.inside += 1
        try:
            async with self.places:
                if writer.is_closing():
                    return None
                self.fleet.on_run(self, identifier, message)
                self.read_prompt(message, identifier)
                return await self.stream(message, writer, identifier)
        finally:
            self.inside -= 1

    def read_prompt(self, message, identifier):
        """Parts that are kept under the same salt, here or at the named source, are used if every part before them
        is kept as well; the others are read and then kept."""
        salt, tenant = message.header("X-Covewing-Cache-Salt"), message.header("X-Covewing-Tenant")
        parts = [part for part in message.header("X-Covewing-Prompt-Prefix").split(",") if part]
        source = self.fleet.replica_at(message.header("X-Covewing-Cache-Fetch-From"))
        unbroken = True
        for place, part in enumerate(parts):
            key = (salt, part)
            maker = self.kept.get(key) or (source.kept.get(key) if source is not None else None)
            if unbroken and maker is not None and place < len(parts) - 1:
                self.fleet.on_part_used(self, identifier, tenant, part, salt, maker)
                self.kept.setdefault(key, maker)
            else:
                unbroken = False
                self.kept[key] = (identifier, tenant, now())
                name, _, tokens = part.partition(":")
                self.events.append([len(self.events) + 1, "+", salt, name, int(tokens), self.MODEL])

    def event(self, identifier, number):
        return f"id: {number}\ndata: {identifier} {number} of {self.pieces}\n\n".encode("latin-1")

    async def stream(self, message, writer, identifier):
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                f"X-Covewing-Weight-Versions: {self.version}",
                f"X-Covewing-Server-Signature: {self.identifier}.{identifier}"]
        head += [f"{name}: {value}" for name, value in self.head(identifier)]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode("latin-1"))
        for number in range(int(message.header("Last-Event-Id") or 0) + 1, self.pieces + 1):
            event = self.event(identifier, number)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.gap)
        self.fleet.on_answered(self, identifier)
        return b"0\r\n\r\n"


class Node:
    """One covewing-node process, started as deploy/system.toml says, on a machine of its own address."""

    def __init__(self, fleet, index):
        self.fleet, self.index = fleet, index
        self.name = f"frontend-{index}"
        self.host = f"{fleet.subnet}.{index + 1}"
        self.process = None
        # Exit statuses of processes that ended by themselves.
        self.own_ends = []
        self.expected_end = False

    def settings(self):
        seeds = ", ".join(f'"{self.fleet.subnet}.{index + 1}:7001"' for index in range(min(3, self.fleet.node_count)))
        return f"""[node]
name = "{self.name}"
zone = "{ZONES[self.index % len(ZONES)]}"
region = "vn-south"
[listen]
callers = "{self.host}:7000"
readiness = "{self.host}:7002"
peers = "{self.host}:7001"
relay = "peers+4"
metrics = "{self.host}:7003"
[cluster]
seeds = [{seeds}]
[table_service]
address = "{self.fleet.store.server.address}"
[bounds]
grace_s = {BOUNDS["grace_s"]}
revocation_ms = {BOUNDS["revocation_ms"]}
retry_ratio = {BOUNDS["retry_ratio"]}
retry_window_s = {BOUNDS["retry_window_s"]}
retry_slack = {BOUNDS["retry_slack"]}
weights_in_force_ms = {BOUNDS["version_ms"]}
fencing_enforced = true
lease_ms = {BOUNDS["lease_ms"]}
"""

    def start(self):
        file = self.fleet.folder / f"{self.name}.toml"
        file.write_text(self.settings(), encoding="utf-8")
        self.expected_end = False
        with open(self.fleet.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen([str(ROOT / "target/covewing-node")], cwd=ROOT, stdout=log, stderr=log,
                                            preexec_fn=end_with_parent, env={"PATH": os.environ["PATH"], "HOME": str(self.fleet.folder),
                                                 "LANG": "C", "COVEWING_CONFIG": str(file)})

    def log_tail(self, lines=3):
        text = (self.fleet.folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")
        return text.strip().split("\n")[-lines:]

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
                for line in status:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def watch(self):
        """As on the platform, a process that has ended is started again after a short delay."""
        while True:
            status = self.process.poll()
            if status is not None:
                if not self.expected_end:
                    self.own_ends.append(status)
                    self.fleet.record.say(f"{self.name} has ended by itself, status {status}; it wrote last: "
                                          f"{self.log_tail(1)}")
                await asyncio.sleep(0.5)
                self.start()
                self.fleet.record.say(f"{self.name} is started again")
            await asyncio.sleep(0.01)

    def kill(self):
        """Ends it as the platform does; not an end of its own."""
        self.expected_end = True
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)

    def end(self):
        self.expected_end = True
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.host, 7002), 1)
            writer.write(f"GET /-/readiness HTTP/1.1\r\nHost: {self.host}\r\nConnection: close\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Attempt:
    """One client attempt, with what became of it."""

    def __init__(self, identifier, route, kept):
        self.identifier, self.route = identifier, route
        # The connection had carried a request before.
        self.kept = kept
        self.sent_at = now()
        self.status = None
        self.closed_without_answer = False
        self.ran_at = []
        self.answered_by = []
        self.headers = {}
        self.body = b""


class Fleet:
    def __init__(self, case, nodes=3):
        self.case = pathlib.Path(case).resolve()
        self.record = Record(self.case / "record.txt")
        self.temporary = tempfile.TemporaryDirectory(prefix="covewing-review-")
        self.folder = pathlib.Path(self.temporary.name)
        self.subnet = free_subnet()
        self.store = None
        self.node_count = nodes
        self.nodes, self.replicas, self.tasks = [], [], []
        self.attempts = {}
        self.parts_used = []
        self.number = 0
        self.version = 0
        self.tenants = {"sese880": {"keys": ["ctnfzs989anu6wsjnban"], "isolated": False}}
        self.limits = {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}
        self.routes, self.services = [], []

    # --- set-up

    async def open(self):
        self.store = Store()
        await self.store.server.open()

    async def add(self, replica):
        self.replicas.append(replica)
        await replica.open()
        return replica

    def replica_at(self, address):
        return next((one for one in self.replicas if address and one.server.address == address), None)

    def add_route(self, name, kind, service, **more):
        route = {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": 4000,
                 "target_latency_ms": 300, "priority": 1, "service": service,
                 "attempts": 1 if kind == "non_idempotent" else 2, "resumable": False, "sticky": False}
        route.update(more)
        self.routes.append(route)

    def configure(self):
        self.version += 3
        self.store.put_json("op", "config", {
            "version": self.version, "routes": self.routes, "services": self.services, "limits": self.limits,
            "tenants": [{"name": name, "keys": tenant["keys"], "priority": 1, "isolated": tenant["isolated"]}
                        for name, tenant in self.tenants.items()]})
        self.record.say(f"configuration {self.version} is acknowledged: " +
                        json.dumps({name: tenant for name, tenant in self.tenants.items()}))

    async def start_nodes(self):
        for index in range(self.node_count):
            node = Node(self, index)
            self.nodes.append(node)
            node.start()
        end = now() + 20
        while now() < end:
            if all([await node.ready() for node in self.nodes]):
                for node in self.nodes:
                    self.spawn(node.watch())
                self.record.say(f"{len(self.nodes)} nodes are ready")
                # Traffic starts some seconds after the machines do.
                await asyncio.sleep(3)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the nodes do not become ready")

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.append(task)
        return task

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for node in self.nodes:
            node.end()
        for replica in self.replicas:
            replica.server.close()
        self.store.server.close()
        self.temporary.cleanup()

    # --- what replicas see

    def on_run(self, replica, identifier, message):
        attempt = self.attempts.get(identifier)
        if attempt is not None:
            attempt.ran_at.append((now(), replica, message))
        self.record.say(f"{replica.identifier} runs {identifier} for tenant "
                        f"{message.header('X-Covewing-Tenant') or '-'}")

    def on_answered(self, replica, identifier):
        attempt = self.attempts.get(identifier)
        if attempt is not None:
            attempt.answered_by.append(replica)

    def on_part_used(self, replica, identifier, tenant, part, salt, maker):
        self.parts_used.append((now(), replica, identifier, tenant, part, salt, maker))
        self.record.say(f"{replica.identifier}: {identifier} of {tenant} uses part {part} under salt {salt!r}, "
                        f"made by {maker[0]} of {maker[1]}")

    # --- clients

    def next_identifier(self):
        self.number += 1
        return f"{random.getrandbits(32):08x}{self.number:08x}"

    def request(self, route, identifier, body=b"", headers=(), key="ctnfzs989anu6wsjnban", deadline_ms=4000,
                method="POST"):
        lines = [f"{method} /{route}/2f HTTP/1.1", f"Host: {HOST}", f"X-Covewing-Request-Id: {identifier}",
                 f"X-Covewing-Deadline-Milliseconds: {deadline_ms}", f"X-Api-Key: {key}"]
        lines += [f"{name}: {value}" for name, value in headers] + [f"Content-Length: {len(body)}"]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body

    async def call(self, connection, kept, route, body=b"", headers=(), key="ctnfzs989anu6wsjnban", deadline_ms=4000,
                   quiet=False):
        """One client attempt on a connection (reader, writer); the answer's end is awaited."""
        identifier = self.next_identifier()
        attempt = self.attempts[identifier] = Attempt(identifier, route, kept)
        reader, writer = connection
        try:
            writer.write(self.request(route, identifier, body, headers, key, deadline_ms))
            await writer.drain()
            message = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 1)
            attempt.status = int(message.first.split(" ")[1])
            attempt.headers, attempt.body = message.headers, message.body
        except asyncio.TimeoutError:
            self.record.say(f"{identifier} on {route} has no answer in time")
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            attempt.closed_without_answer = True
        if not quiet or attempt.status != 200:
            self.record.say(f"{identifier} on {route}: " +
                            (f"status {attempt.status}" if attempt.status else "no answer") +
                            (", connection closed" if attempt.closed_without_answer else ""))
        return attempt


def run_case(case, play, seconds=100):
    """Runs `play(fleet, trouble)`, which gives True if the rule held. Exit status 0, 1 or 2 as the review asks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        fleet = Fleet(case)
        try:
            await fleet.open()
            held = await asyncio.wait_for(play(fleet, trouble), seconds)
            fleet.record.say("RESULT: the rule " + ("held" if held else "was broken"))
            print("the rule " + ("held" if held else "was broken"))
            return 0 if held else 1
        finally:
            await fleet.close()

    try:
        status = asyncio.run(whole())
    except Exception as error:  # pylint: disable=broad-except
        print(f"the case could not run: {error!r}", file=sys.stderr)
        status = 2
    sys.stdout.flush()
    sys.stderr.flush()
    # Without the interpreter's clean-up: connections that are still open would only complain of the closed loop.
    os._exit(status)
