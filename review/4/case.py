"""One of four replicas of a plain service spoils 2 in 100 of its answers: bytes that are no answer, in the head."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "stand_ins_2"))
import fleet as stand_ins  # noqa: E402
from fleet import Replica, now, run_case  # noqa: E402

CLIENTS_OF_A_NODE = 8
SECONDS = 30
SPOILED_SHARE = 0.02
# The length that the spoiled head names; nothing of such a body comes, the answer is cut off there.
LENGTH = 9123456789012345


def spoil(message):
    if random.random() >= SPOILED_SHARE:
        return None
    identifier = message.header("X-Covewing-Request-Id")
    return (f"HTTP/1.1 200 OK\r\nX-Covewing-Request-Id: {identifier}\r\n"
            f"Content-Length: {LENGTH}\r\n\r\nran").encode()


async def client(fleet, node, end):
    """Keeps its connection; a new one after a close. Requests that can't be repeated and such that can, by turns."""
    connection, kept = None, False
    while now() < end:
        try:
            if connection is None:
                connection = await asyncio.wait_for(asyncio.open_connection(node.host, 7000, limit=1 << 20), 1)
                kept = False
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
            continue
        attempt = await fleet.call(connection, kept, random.choice(["pairings", "standings"]), quiet=True)
        kept = True
        if attempt.status is None or attempt.headers.get("connection", "").lower() == "close":
            connection[1].close()
            connection = None
        await asyncio.sleep(random.uniform(0.05, 0.15))


async def play(fleet, trouble):
    fleet.services = [{"name": "bracket-app", "health_path": "/health", "connection_limit": 100}]
    fleet.add_route("pairings", "non_idempotent", "bracket-app")
    fleet.add_route("standings", "idempotent", "bracket-app")
    for number in range(4):
        await fleet.add(Replica(fleet, f"i-{number:08x}", "bracket-app"))
    fleet.configure()
    await fleet.start_nodes()
    faulty = fleet.replicas[0]
    if trouble:
        faulty.spoil = spoil
        fleet.record.say(f"{faulty.identifier} begins to spoil {SPOILED_SHARE:.0%} of its answers")
    end = now() + SECONDS
    await asyncio.gather(*[client(fleet, node, end) for node in fleet.nodes for _ in range(CLIENTS_OF_A_NODE)])
    # Passed on from a kept connection to a sound replica alone, and closed without an answer.
    lost = [attempt for attempt in fleet.attempts.values()
            if attempt.kept and attempt.closed_without_answer and attempt.ran_at and
            all(replica is not faulty for _, replica, _ in attempt.ran_at)]
    served = sum(attempt.status == 200 for attempt in fleet.attempts.values())
    ends = {node.name: len(node.own_ends) for node in fleet.nodes}
    fleet.record.say(f"attempts: {len(fleet.attempts)}, served: {served}, spoiled answers: {faulty.spoiled}")
    fleet.record.say(f"processes that ended by themselves: {ends}")
    for attempt in lost:
        fleet.record.say(f"lost: {attempt.identifier} on {attempt.route}, ran at {attempt.ran_at[0][1].identifier}")
    print(f"served {served} of {len(fleet.attempts)}; spoiled {faulty.spoiled}; ends by themselves {ends}; "
          f"passed on to sound replicas and closed without an answer: {len(lost)}")
    fleet_fault = sum(ends.values()) >= 3 and sum(count > 0 for count in ends.values()) >= 2
    if fleet_fault:
        fleet.record.say("processes ended by themselves three times or more, on two machines or more")
    return len(lost) <= 3 and not fleet_fault


run_case(pathlib.Path(__file__).resolve().parent, play)
