"""Replicas crash, one after the other, under streams whose prompts have many shared parts. The nodes stand still."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "stand_ins_2"))
import fleet as stand_ins  # noqa: E402
from fleet import ModelReplica, Replica, now, read_head, run_case  # noqa: E402

# Prompts that callers share, each in so many nested parts, and the streams on each of them.
PROMPTS, PARTS, STREAMS = 16, 250, 8
# Of four replicas one at a time is down for so long, and the next one begins so long after it (seconds).
CRASHES, DOWN, EVERY = 4, 3.0, 4.0
SECONDS = 45
CALLERS_OF_A_NODE = 12
# Of the plain route, and how long behind it a request may lack its answer (seconds).
TIMEOUT, SLACK = 2.0, 0.5


class Crashing(ModelReplica):
    def read_prompt(self, message, identifier):
        """What is kept doesn't matter here."""

    async def crash(self):
        self.fleet.record.say(f"{self.identifier} crashes with {self.inside} requests")
        self.server.close()
        await asyncio.sleep(DOWN)
        # Each start of a replica is a new incarnation.
        self.fleet.store.put("servers", self.identifier, None)
        self.identifier, self.born = self.identifier + "b", int(time.time() * 1000)
        self.inside, self.places = 0, asyncio.Semaphore(self.slots)
        await self.server.open()
        self.tell()
        self.fleet.record.say(f"it is up again as {self.identifier}")


async def stream(fleet, number, end):
    """A client: its stream is taken up at another node where it breaks."""
    prompt = number % PROMPTS
    shared = ",".join(f"{prompt * 1000 + part:x}:20" for part in range(PARTS))
    first, last = None, 0
    while now() < end:
        identifier = fleet.next_identifier()
        first = first or identifier
        headers = [("X-Covewing-Model", ModelReplica.MODEL), ("X-Covewing-Token-Usage", "5100,250"),
                   ("X-Covewing-Prompt-Prefix", f"{shared},{0xabc000 + number:x}:100")]
        if last:
            headers += [("Last-Event-Id", str(last)), ("Resumes", first)]
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(random.choice(fleet.nodes).host, 7000, limit=1 << 20), 1)
            writer.write(fleet.request("judge", identifier, headers=headers, deadline_ms=60000))
            message = await asyncio.wait_for(read_head(reader), 60)
            if message.header("transfer-encoding").lower() != "chunked":
                writer.close()
                await asyncio.sleep(0.5)
                continue
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                chunk = (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    writer.close()
                    return
                for line in chunk.decode().split("\n"):
                    if line.startswith("id: "):
                        last = int(line[4:])
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, OSError, ValueError):
            await asyncio.sleep(0.2)


async def caller(fleet, node, end, outcomes):
    """Short requests to the plain service, on a connection that is kept; each within its deadline of 4 s."""
    connection = None
    while now() < end:
        try:
            if connection is None:
                connection = await asyncio.wait_for(asyncio.open_connection(node.host, 7000, limit=1 << 20), 1)
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
            continue
        began = now()
        attempt = await fleet.call(connection, True, "pairings", quiet=True)
        outcomes.append((node, began, now() - began, attempt))
        if attempt.status is None or attempt.headers.get("connection", "").lower() == "close":
            connection[1].close()
            connection = None
        await asyncio.sleep(random.uniform(0.05, 0.15))


async def play(fleet, trouble):
    fleet.services = [{"name": "arbiter-llm", "health_path": "/health", "connection_limit": 360,
                       "engine": {"slots": 64, "kv_cache_tokens": 1105560, "max_concurrency": 12,
                                  "models": [{"name": ModelReplica.MODEL}]}},
                      {"name": "bracket-app", "health_path": "/health", "connection_limit": 100}]
    fleet.add_route("judge", "streaming", "arbiter-llm", timeout_ms=60000, target_latency_ms=800, gap_target_ms=500,
                    resumable=True, sticky=True)
    fleet.add_route("pairings", "non_idempotent", "bracket-app", timeout_ms=int(TIMEOUT * 1000))
    fleet.store.put_json("op", f"version/{ModelReplica.MODEL}", {"model": ModelReplica.MODEL, "version": 1})
    for number in range(4):
        await fleet.add(Crashing(fleet, f"i-{number:08x}", "arbiter-llm", pieces=300, gap=0.15))
    for number in range(3):
        await fleet.add(Replica(fleet, f"i-{number:08x}f", "bracket-app", slots=12))
    fleet.configure()
    await fleet.start_nodes()
    replicas, outcomes, end = fleet.replicas[:4], [], now() + SECONDS
    tasks = [fleet.spawn(stream(fleet, number, end)) for number in range(PROMPTS * STREAMS)]
    callers = asyncio.gather(*[caller(fleet, node, end, outcomes) for node in fleet.nodes
                               for _ in range(CALLERS_OF_A_NODE)])
    await asyncio.sleep(4)
    if trouble:
        for replica in replicas[:CRASHES]:
            fleet.spawn(replica.crash())
            await asyncio.sleep(EVERY)
    await callers
    for task in tasks:
        task.cancel()
    outlast = [outcome for outcome in outcomes if outcome[2] > TIMEOUT]
    unanswered = [outcome for outcome in outlast if outcome[2] > TIMEOUT + SLACK]
    for node, began, took, attempt in unanswered:
        fleet.record.say(f"{attempt.identifier} sent to {node.name} at {began - fleet.record.began:.2f}: " +
                         (f"status {attempt.status} after {took:.2f} s" if attempt.status else f"no answer in {took:.2f} s"))
    ends = {node.name: len(node.own_ends) for node in fleet.nodes}
    worst = {node.name: round(max((took for one, _, took, _ in outcomes if one is node), default=0), 1)
             for node in fleet.nodes}
    print(f"requests: {len(outcomes)}; unanswered at their timeout: {len(outlast)}, and {SLACK} s later: "
          f"{len(unanswered)}; never answered: {sum(one[3].status is None for one in outcomes)}; longest (s): {worst}; "
          f"ends by themselves: {ends}")
    return not (len(unanswered) >= 8 and len(unanswered) * 4 > len(outlast))


run_case(pathlib.Path(__file__).resolve().parent, play)
