"""All nodes are killed while streams run; clients take these up again. Their identifiers aren't UTF-8."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "stand_ins_2"))
import fleet as stand_ins  # noqa: E402
from fleet import BOUNDS, ModelReplica, Replica, now, read_head, run_case  # noqa: E402

STREAMS = 24
CALLERS = 12
ROUNDS = 4
# From the kill until clients take their streams up again: the nodes have been back for longer than `contact_ms` then.
WAIT = 4.5
DEADLINE_MS = 15000


async def read_stream(reader, on_event):
    """Reads a streamed answer. Gives the status, the last event's id, and whether the stream was complete."""
    last, status = 0, None
    try:
        message = await asyncio.wait_for(read_head(reader), 16)
        status = int(message.first.split(" ")[1])
        if message.header("transfer-encoding").lower() != "chunked":
            await reader.readexactly(int(message.header("content-length", "0")))
            return status, last, False
        while True:
            size = int((await asyncio.wait_for(reader.readuntil(b"\r\n"), 16)).strip(), 16)
            chunk = (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return status, last, True
            for line in chunk.decode("latin-1").split("\n"):
                if line.startswith("id: "):
                    last = int(line[4:])
                    on_event()
    except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, OSError, ValueError):
        return status, last, False


def new_identifier():
    """Opaque bytes, as a header may hold them: a letter of ISO-8859-1 among others."""
    return f"{random.getrandbits(40):010x}\xe9"


async def stream(fleet, node, identifier, headers, on_event=lambda: None):
    """One client attempt on a connection of its own."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(node.host, 7000, limit=1 << 20), 1)
    except (OSError, asyncio.TimeoutError):
        return None, 0, False
    prompt = [("X-Covewing-Model", ModelReplica.MODEL), ("X-Covewing-Token-Usage", "1460,80"),
              ("X-Covewing-Prompt-Prefix", f"5c1e07a2:800,91bd3f06:410,{random.getrandbits(32):08x}:250")]
    writer.write(fleet.request("judge", identifier, headers=prompt + headers, deadline_ms=DEADLINE_MS))
    outcome = await read_stream(reader, on_event)
    writer.close()
    return outcome


async def caller(fleet, node, end):
    """Sends requests to the plain service on a connection that it keeps."""
    connection, kept = None, False
    while now() < end[0]:
        try:
            if connection is None:
                connection, kept = await asyncio.wait_for(asyncio.open_connection(node.host, 7000), 1), False
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
            continue
        attempt = await fleet.call(connection, kept, "pairings", quiet=True)
        attempt.ended_at = now()
        kept = True
        if attempt.status is None or attempt.headers.get("connection", "").lower() == "close":
            connection[1].close()
            connection = None
        await asyncio.sleep(random.uniform(0.0, 0.05))


async def play_round(fleet, trouble, kills):
    """Streams begin at about the same time; right after they have brought their first events, all nodes are killed."""
    begun = [0] * STREAMS
    killed = [False]

    def on_event(number):
        begun[number] += 1
        if trouble and not killed[0] and sum(count > 0 for count in begun) >= STREAMS // 2:
            killed[0] = True
            fleet.record.say("all nodes are killed")
            kills.append(now())
            for node in fleet.nodes:
                node.kill()

    firsts = [new_identifier() for _ in range(STREAMS)]
    outcomes = await asyncio.gather(*[
        stream(fleet, fleet.nodes[number % 3], firsts[number], [], lambda number=number: on_event(number))
        for number in range(STREAMS)])
    await asyncio.sleep(WAIT)
    taken_up = 0
    for number, (status, last, complete) in enumerate(outcomes):
        if complete or last == 0:
            continue
        taken_up += 1
        # A client's retries: 1.
        status, _, complete = await stream(fleet, fleet.nodes[number % 3], new_identifier(),
                                           [("Last-Event-Id", str(last)), ("Resumes", firsts[number])])
        fleet.record.say(f"{firsts[number]!r} is taken up behind event {last}: status {status}, "
                         f"{'complete' if complete else 'not complete'}")
    return taken_up


async def play(fleet, trouble):
    fleet.services = [{"name": "arbiter-llm", "health_path": "/health", "connection_limit": 360,
                       "engine": {"slots": 64, "kv_cache_tokens": 110556, "max_concurrency": 8,
                                  "models": [{"name": ModelReplica.MODEL}]}},
                      {"name": "bracket-app", "health_path": "/health", "connection_limit": 100}]
    fleet.add_route("judge", "streaming", "arbiter-llm", timeout_ms=DEADLINE_MS, target_latency_ms=800,
                    gap_target_ms=500, resumable=True, sticky=True)
    fleet.add_route("pairings", "non_idempotent", "bracket-app")
    fleet.store.put_json("op", f"version/{ModelReplica.MODEL}", {"model": ModelReplica.MODEL, "version": 1})
    for number in range(4):
        await fleet.add(ModelReplica(fleet, f"i-{number:08x}", "arbiter-llm", gap=0.05,
                                     software="1.4" if number % 2 else "1.5"))
    for number in range(3):
        await fleet.add(Replica(fleet, f"i-{number:08x}f", "bracket-app"))
    fleet.configure()
    await fleet.start_nodes()
    end, kills, taken_up = [now() + 1000], [], 0
    callers = asyncio.gather(*[caller(fleet, fleet.nodes[number % 3], end) for number in range(CALLERS)])
    for _ in range(ROUNDS):
        taken_up += await play_round(fleet, trouble, kills)
        await asyncio.sleep(2)
    end[0] = now()
    await callers
    # In touch: no kill and no start by the platform in the `contact_ms` before, nor at that moment.
    contact = BOUNDS["contact_ms"] / 1000 + 1
    lost = [attempt for attempt in fleet.attempts.values()
            if attempt.kept and attempt.closed_without_answer and attempt.ran_at and
            not any(at - 0.2 <= attempt.ended_at <= at + contact for at in kills)]
    ends = {node.name: len(node.own_ends) for node in fleet.nodes}
    for attempt in lost:
        fleet.record.say(f"lost: {attempt.identifier} on {attempt.route}")
    fleet.record.say(f"processes that ended by themselves: {ends}; lost {len(lost)}")
    print(f"streams taken up: {taken_up}; processes that ended by themselves: {ends}; "
          f"passed on to sound replicas and closed without an answer by nodes in touch: {len(lost)}")
    return len(lost) <= 3 and not (sum(ends.values()) >= 3 and sum(count > 0 for count in ends.values()) >= 2)


run_case(pathlib.Path(__file__).resolve().parent, play)
