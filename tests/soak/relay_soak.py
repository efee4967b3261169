"""A randomized fault soak of covewing-node: real processes on loopback, faults from outside them.

A stand-in of the platform (the table service and application replicas) and the callers run in this
process; the nodes are processes of their own. A seed draws several series of faults that overlap:
nodes are killed, stopped as planned, paused and told to reload, in series; replicas crash, some under
one caller's request each time that it begins; the table service is down, slow or loses answers; the
configuration changes. Callers keep to their open connections until the node is gone.

Checked, from what callers and replicas saw:
- a request that may run once runs at most once;
- an answer belongs to its request and is whole;
- 429 and 503 are given only to requests that never ran;
- a node that is stopped as planned breaks off no request that a replica has begun;
- a request under which three replicas ended reaches at most three more of them later than
  KNOWN_AFTER behind the third end, from nodes that were calm with the table service for CALM_AFTER;
- no other request is refused for it;
- in the end every node serves.

Exit status: 0 when all held, 1 with the violations, 2 for a wrong command line.
"""

import argparse
import asyncio
import base64
import collections
import ctypes
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
import urllib.parse

HOST = "soak.example"
KEY = "soak-key"
TENANT = "soak-tenant"
SERVICE = "app"
# Behind the third end of a replica, all nodes in touch refuse the request after this (seconds).
KNOWN_AFTER = 3.0
MOST_MORE = 3
# A fault of a node or of the table service that ended less than this ago is still felt (seconds).
CALM_AFTER = 3.0
CODE_QUARANTINED = 409
DEADLY = "deadly"
READY_SECONDS = 20


def now():
    return time.monotonic()


def end_with_parent():
    """A soak that is killed leaves no node behind."""
    set_parent_death_signal = 1
    ctypes.CDLL(None).prctl(set_parent_death_signal, signal.SIGKILL)


def calm_now(troubles):
    """Whether none of the faults is felt any more."""
    return all(end is not None and now() > end + CALM_AFTER for _, end in troubles)


class HttpMessage:
    """Head fields in lower case, first line and body."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body


async def read_message(reader):
    """The next message; None where the connection ends before one begins."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return HttpMessage(lines[0], headers, body)


def http_answer(status, body, headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Listener:
    """A server whose connections can all be cut at once."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.port = 0

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                answer = await self.handle(await read_message(reader))
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass  # The peer ended the connection, or the soak is over.
        finally:
            self.writers.discard(writer)
            writer.close()

    def cut(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The table service: rows, transactions under conditions, feeds."""

    def __init__(self):
        self.rows = collections.defaultdict(dict)
        self.version = 0
        self.changed = asyncio.Condition()
        self.mode = "normal"
        self.lose = 0
        self.listener = Listener(self.handle)

    async def put(self, table, key, value):
        """Sets a row, or removes it where the value is None."""
        async with self.changed:
            self.set(table, key, value)
            self.changed.notify_all()

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
        body = {"ver": self.version, "now_ms": int(now() * 1000), "rows": rows, "has_more": False}
        return http_answer(status, json.dumps(body).encode(), [("Content-Type", "application/json")])

    async def handle(self, message):
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
        table, after = values["table"], int(values["after"])

        def news():
            found = [key for key, (version, _) in self.rows[table].items() if version > after]
            return sorted(found, key=lambda key: self.rows[table][key][0])

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(news), int(values["wait_ms"]) / 1000)
            except asyncio.TimeoutError:
                pass
            return self.answer([self.row(table, key) for key in news()])

    async def transact(self, body):
        async with self.changed:
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
            self.changed.notify_all()
        if self.lose > 0:
            self.lose -= 1
            return None
        return self.answer([])


class Replica:
    """An application replica. A request whose body begins with DEADLY ends it."""

    def __init__(self, soak, name):
        self.soak, self.name, self.starts = soak, name, 0
        self.instance, self.listener = "", None
        self.port = 0
        self.leaving = False

    async def start(self):
        self.starts += 1
        self.instance = f"{self.name}-{self.starts}"
        self.leaving = False
        self.listener = Listener(self.handle)
        self.listener.port = self.port
        await self.listener.open()
        self.port = self.listener.port
        await self.tell("ready")

    async def tell(self, state):
        entry = {"service": SERVICE, "address": f"127.0.0.1:{self.port}", "zone": "zone-0",
                 "version": 1, "slots": 16, "state": state, "cold_remaining_ms": 0, "sequence": 0}
        await self.soak.store.put("servers", self.instance, json.dumps(entry).encode())

    async def handle(self, message):
        identifier = message.headers.get("x-covewing-request-id", "")
        expected = message.headers.get("x-covewing-expected-instance", self.instance)
        echo = [("X-Covewing-Request-Id", identifier), ("X-Covewing-Instance-Id", self.instance)]
        if expected != self.instance:
            return http_answer(421, b"", echo + [("X-Covewing-Not-Executed", "1")])
        self.soak.runs[identifier] += 1
        body = message.body.decode("latin-1")
        if body.startswith(DEADLY):
            self.soak.on_deadly_arrival(body, identifier)
            await asyncio.sleep(self.soak.noise.uniform(0.02, 0.1))
            self.end_under(body)
            return None
        await asyncio.sleep(self.soak.noise.expovariate(1 / 0.02))
        return http_answer(200, f"ran {identifier} {body}".encode(),
                           echo + [("X-Covewing-Server-Signature", self.instance)])

    def end_under(self, body):
        if self.crash():
            self.soak.ends[body].append(now())

    def crash(self):
        """Ends at once; False where it has ended already."""
        if self.listener is None:
            return False
        listener, instance = self.listener, self.instance
        self.listener = None
        listener.cut()
        self.soak.spawn(self.come_back(instance))
        return True

    async def come_back(self, instance):
        back = asyncio.sleep(self.soak.noise.uniform(0.8, 3.0))
        await asyncio.sleep(0.7)
        await self.soak.store.put("servers", instance, None)
        await back
        await self.start()


class Node:
    """One covewing-node process."""

    def __init__(self, soak, index):
        self.soak, self.index = soak, index
        self.address = f"127.{soak.subnet}.{index + 1}.1"
        self.process = None
        self.stopping = False
        # A fault that stops or starts the process is under way.
        self.busy = False
        # Times of faults, as [begin, end]; the end of one under way is None.
        self.troubles = []

    def settings(self):
        peers = ", ".join(f'"127.{self.soak.subnet}.{index + 1}.1:7001"'
                          for index in range(min(3, self.soak.options.nodes)))
        return f"""
[node]
name = "node-{self.index}"
zone = "zone-{self.index % 3}"
region = "region"
[listen]
callers = "{self.address}:7000"
readiness = "{self.address}:7002"
peers = "{self.address}:7001"
metrics = "{self.address}:7003"
[cluster]
seeds = [{peers}]
[table_service]
address = "127.0.0.1:{self.soak.store.listener.port}"
[bounds]
grace_s = 8
revocation_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 50
fencing_enforced = true
lease_ms = 3000
"""

    async def start(self):
        file = self.soak.folder / f"node-{self.index}.toml"
        file.write_text(self.settings(), encoding="utf-8")
        log = open(self.soak.folder / f"node-{self.index}.log", "ab")
        self.stopping = False
        self.process = await asyncio.create_subprocess_exec(
            str(self.soak.options.program), str(file), stdout=log, stderr=log,
            preexec_fn=end_with_parent)
        log.close()

    def send(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGKILL)
        await self.process.wait()
        await asyncio.sleep(self.soak.draw.uniform(0.1, 1.0))
        await self.start()

    async def stop(self):
        """A planned stop, to the end of the process."""
        self.stopping = True
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), 12)
        except asyncio.TimeoutError:
            self.soak.violate(f"node-{self.index} has not ended 12 s after it was told to stop")
            self.send(signal.SIGKILL)
            await self.process.wait()
        await self.start()

    async def pause(self, seconds):
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send(signal.SIGCONT)


class Caller:
    """Sends one request after the other on a connection that it keeps until it ends."""

    def __init__(self, soak, number):
        self.soak, self.number = soak, number
        self.random = random.Random(f"{soak.options.seed}/caller/{number}")
        self.node = None
        self.stream = None
        self.sent = 0

    async def connect(self):
        while not self.soak.over:
            self.node = self.random.choice(self.soak.nodes)
            try:
                self.stream = await asyncio.wait_for(
                    asyncio.open_connection(self.node.address, 7000), 1)
                return
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)

    async def run(self):
        while not self.soak.over:
            if self.stream is None:
                await self.connect()
            if self.stream is not None:
                kind = "safe" if self.random.random() < 0.3 else "unsafe"
                await self.request(kind, f"body {self.number} {self.sent}")
            await asyncio.sleep(self.random.expovariate(1 / 0.03))
        self.drop()

    def drop(self):
        if self.stream is not None:
            self.stream[1].close()
        self.stream = None

    async def request(self, kind, body):
        self.sent += 1
        identifier = f"{self.soak.options.seed}-{self.number}-{self.sent}"
        reader, writer = self.stream
        node, process = self.node, self.node.process
        self.soak.sent_to[identifier] = node
        head = [f"POST /{kind}/x HTTP/1.1", f"Host: {HOST}", f"X-Api-Key: {KEY}",
                f"X-Covewing-Request-Id: {identifier}", "X-Covewing-Deadline-Milliseconds: 6000",
                f"Content-Length: {len(body)}"]
        try:
            writer.write(("\r\n".join(head) + "\r\n\r\n" + body).encode())
            answer = await asyncio.wait_for(read_message(reader), 9)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            self.drop()
            self.soak.on_broken(node, process, identifier, kind, body)
            return None
        except asyncio.TimeoutError:
            self.drop()
            return None
        self.soak.on_answer(identifier, kind, body, answer)
        if answer.headers.get("connection", "").lower() == "close":
            self.drop()
        return answer


class Soak:
    """One run of one seed."""

    def __init__(self, options):
        self.options = options
        self.draw = random.Random(options.seed)
        self.noise = random.Random(options.seed + 1)
        self.subnet = 16 + options.slot
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="covewing-soak-"))
        self.store = Store()
        self.replicas = [Replica(self, f"replica-{index}") for index in range(options.replicas)]
        self.nodes = [Node(self, index) for index in range(options.nodes)]
        self.runs = collections.Counter()
        self.kinds = {}
        self.not_run = {}
        # The node that each request was sent to.
        self.sent_to = {}
        self.arrivals = collections.defaultdict(list)
        self.ends = collections.defaultdict(list)
        # Those of the table service, as [begin, end].
        self.store_troubles = []
        self.violations = []
        self.counts = collections.Counter()
        self.over = False
        self.tasks = set()
        self.configuration = 0

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_done)

    def on_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.violate(f"the soak itself failed: {task.exception()!r}")

    def violate(self, what):
        if len(self.violations) < 20:
            self.violations.append(f"{now() - self.began:.1f} s: {what}")

    def say(self, what):
        if self.options.verbose:
            print(f"soak: {now() - self.began:.1f} s: {what}", flush=True)

    async def configure(self):
        """A newer configuration, with another time-out."""
        self.configuration += 1
        timeout = 4000 + 100 * (self.configuration % 5)
        routes = [{"name": kind, "host": HOST, "path_prefix": f"/{kind}/", "kind": name,
                   "timeout_ms": timeout, "target_latency_ms": 400, "priority": 1,
                   "service": SERVICE, "attempts": 2 if kind == "safe" else 1}
                  for kind, name in (("safe", "idempotent"), ("unsafe", "non_idempotent"))]
        document = {"version": self.configuration, "routes": routes,
                    "services": [{"name": SERVICE, "health_path": "/health"}],
                    "tenants": [{"name": TENANT, "keys": [KEY], "priority": 1}],
                    "limits": {"header_bytes": 16384, "body_bytes": 1048576,
                               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        await self.store.put("op", "config", json.dumps(document).encode())

    # --- what callers saw

    def on_answer(self, identifier, kind, body, answer):
        status = int(answer.first.split(" ")[1])
        self.counts[status] += 1
        self.kinds[identifier] = kind
        if status == 200:
            if answer.body != f"ran {identifier} {body}".encode():
                self.violate(f"{identifier} got another answer: {answer.body[:80]!r}")
        elif status in (429, 503):
            self.not_run[identifier] = status
            quarantined = json.loads(answer.body or b"{}").get("code") == CODE_QUARANTINED
            if quarantined:
                self.counts["quarantined"] += 1
                if not body.startswith(DEADLY):
                    self.violate(f"{identifier} was refused as a request that ends replicas")

    def on_deadly_arrival(self, body, identifier):
        node = self.sent_to[identifier]
        calm = calm_now(node.troubles) and calm_now(self.store_troubles)
        self.arrivals[body].append((now(), calm))

    def on_broken(self, node, process, identifier, kind, body):
        self.counts["broken"] += 1
        self.kinds[identifier] = kind
        planned = node.stopping and node.process is process
        if planned and self.runs[identifier] > 0 and not body.startswith(DEADLY):
            self.violate(f"{identifier} was broken off by the planned stop of node-{node.index}")

    # --- faults, in series that overlap

    async def series(self, name, step, steps, pause):
        for _ in range(steps):
            if self.over or now() > self.faults_end:
                return
            await step()
            await asyncio.sleep(self.draw.uniform(*pause))

    async def on_some_node(self, what, fault):
        """Faults of different nodes overlap; those of one node follow each other."""
        node = self.draw.choice(self.nodes)
        if node.busy:
            return
        node.busy = True
        self.say(f"node-{node.index} is {what}")
        node.troubles.append([now(), None])
        await fault(node)
        node.troubles[-1][1] = now()
        node.busy = False

    async def kill_some(self):
        await self.on_some_node("killed", Node.kill)

    async def stop_some(self):
        await self.on_some_node("stopped as planned", Node.stop)

    async def pause_some(self):
        seconds = self.draw.uniform(0.1, 3.0)
        await self.on_some_node("paused", lambda node: node.pause(seconds))

    async def reload_some(self):
        for node in self.draw.sample(self.nodes, max(1, len(self.nodes) // 2)):
            node.send(signal.SIGHUP)

    async def crash_some(self):
        replica = self.draw.choice(self.replicas)
        if replica.crash():
            self.say(f"{replica.name} crashes")

    async def trouble_store(self):
        mode = self.draw.choice(["down", "slow", "silent", "lose"])
        self.say(f"the table service: {mode}")
        trouble = [now(), None]
        self.store_troubles.append(trouble)
        if mode == "lose":
            self.store.lose = 3
        else:
            self.store.mode = mode
        await asyncio.sleep(self.draw.uniform(0.5, 4.0))
        self.store.mode, self.store.lose = "normal", 0
        trouble[1] = now()

    async def change_configuration(self):
        await self.configure()

    async def deadly_wave(self):
        """One request comes again and again, at any node."""
        body = f"{DEADLY} {self.draw.random()}"
        caller = Caller(self, f"d{self.draw.randrange(10**6)}")
        end = now() + self.draw.uniform(8, 12)
        self.say(f"a wave of '{body}'")
        while now() < end and not self.over:
            await caller.connect()
            if caller.stream is not None:
                await caller.request("unsafe", body)
                caller.drop()
            await asyncio.sleep(self.draw.uniform(0.05, 0.5))

    def start_series(self):
        steps = {"kill": self.kill_some, "stop": self.stop_some, "pause": self.pause_some,
                 "reload": self.reload_some, "crash": self.crash_some, "store": self.trouble_store,
                 "configuration": self.change_configuration}
        # Each run has some kinds of faults, so that what one of them excuses shows in others.
        names = [name for name in steps if self.draw.random() < 0.6] or ["crash"]
        # Two of a kind may overlap as well.
        for name in names + self.draw.choices(names, k=3):
            pause = (0.2, 1.5) if self.draw.random() < 0.4 else (2.0, 6.0)
            self.spawn(self.series(name, steps[name], self.draw.randint(2, 8), pause))
        for _ in range(2):
            self.spawn(self.series("deadly", self.deadly_wave, 3, (0.0, 3.0)))

    # --- the run

    async def start(self):
        await self.store.listener.open()
        await self.configure()
        for replica in self.replicas:
            await replica.start()
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await self.wait_until_serving(node)

    async def wait_until_serving(self, node):
        deadline = now() + READY_SECONDS
        caller = Caller(self, f"probe-{node.index}-{int(now() * 1000)}")
        caller.node = node
        while now() < deadline:
            try:
                caller.stream = await asyncio.open_connection(node.address, 7000)
                answer = await caller.request("safe", "probe")
                caller.drop()
                if answer is not None and answer.first.split(" ")[1] == "200":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        self.violate(f"node-{node.index} does not serve within {READY_SECONDS} s")

    def check(self):
        for identifier, kind in self.kinds.items():
            if kind == "unsafe" and self.runs[identifier] > 1:
                self.violate(f"{identifier} ran {self.runs[identifier]} times")
        for identifier, status in self.not_run.items():
            if self.runs[identifier] > 0:
                self.violate(f"{identifier} ran and was refused with {status}")
        for body, ends in self.ends.items():
            if len(ends) < 3:
                continue
            known = sorted(ends)[2] + KNOWN_AFTER
            late = [calm for at, calm in self.arrivals[body] if at > known]
            self.counts["late arrivals"] += len(late)
            self.counts["late arrivals from calm nodes"] += sum(late)
            if sum(late) > MOST_MORE:
                self.violate(f"'{body}' reached {sum(late)} replicas more after three had ended")

    async def run(self):
        self.began = now()
        try:
            await self.start()
            self.faults_end = now() + self.options.seconds
            callers = [Caller(self, number) for number in range(self.options.callers)]
            for caller in callers:
                self.spawn(caller.run())
            self.start_series()
            await asyncio.sleep(self.options.seconds)
            await self.quieten()
            for node in self.nodes:
                await self.wait_until_serving(node)
            self.over = True
            await asyncio.sleep(0.5)
            self.check()
        finally:
            self.over = True
            await self.stop_all()
        return self.report()

    async def quieten(self):
        """Lets the series that are under way come to their ends."""
        deadline = now() + 25
        while now() < deadline and any(node.busy for node in self.nodes):
            await asyncio.sleep(0.1)
        self.store.mode, self.store.lose = "normal", 0
        await asyncio.sleep(4)

    async def stop_all(self):
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        # A node that is being started is known only when its start has ended.
        await asyncio.gather(*tasks, return_exceptions=True)
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.send(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()

    def report(self):
        counts = ", ".join(f"{key}: {count}" for key, count in sorted(
            self.counts.items(), key=lambda entry: str(entry[0])))
        print(f"soak: seed {self.options.seed}: {counts}; replicas ended under requests: "
              f"{sorted(map(len, self.ends.values()))}")
        for violation in self.violations:
            print(f"soak: VIOLATION: {violation}")
        if self.violations or self.options.keep_logs:
            print(f"soak: logs in {self.folder}")
            return 1 if self.violations else 0
        for file in self.folder.iterdir():
            file.unlink()
        self.folder.rmdir()
        return 0


def main():
    parser = argparse.ArgumentParser(description="A randomized fault soak of covewing-node.")
    parser.add_argument("--program", type=pathlib.Path, default="build/covewing-node")
    parser.add_argument("--seed", type=int, default=None, help="drawn and printed where missing")
    parser.add_argument("--seconds", type=float, default=20, help="how long faults begin")
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--replicas", type=int, default=8)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--slot", type=int, default=0, choices=range(64),
                        help="runs beside each other take different ones")
    parser.add_argument("--keep-logs", action="store_true", help="also where all held")
    parser.add_argument("--verbose", action="store_true")
    options = parser.parse_args()
    if options.seed is None:
        options.seed = int.from_bytes(os.urandom(3), "big")
    if not options.program.is_file():
        parser.error(f"{options.program} is not built")
    status = asyncio.run(Soak(options).run())
    print(f"soak: {'ok' if status == 0 else 'failed'} (seed {options.seed})")
    return status


if __name__ == "__main__":
    sys.exit(main())
