"""The configuration raises `header_bytes`, and a few callers then send longer headers, inside the new limit."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "stand_ins_2"))
import fleet as stand_ins  # noqa: E402
from fleet import BOUNDS, Replica, now, run_case  # noqa: E402

CLIENTS_OF_A_NODE = 8
SECONDS = 20
# Part of the requests that come with a long header.
LONG_SHARE = 0.01
# Length of the long header's value with the limit as it was, and with the raised one; and the raised limit.
USUAL, LONG, RAISED = 12_000, 70_000, 131_072
long_value = [USUAL]


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
        headers = [("X-Note", "a" * long_value[0])] if random.random() < LONG_SHARE else []
        attempt = await fleet.call(connection, kept, random.choice(["pairings", "standings"]), headers=headers,
                                   quiet=True)
        attempt.long = bool(headers)
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
    if trouble:
        fleet.limits["header_bytes"] = RAISED
        fleet.configure()
        # Callers make use of the new limit when it is in force everywhere.
        await asyncio.sleep(2 * BOUNDS["configuration_ms"] / 1000)
        long_value[0] = LONG
    end = now() + SECONDS
    await asyncio.gather(*[client(fleet, node, end) for node in fleet.nodes for _ in range(CLIENTS_OF_A_NODE)])
    # Passed on from a kept connection to a replica, all of which are sound, and closed without an answer.
    lost = [attempt for attempt in fleet.attempts.values()
            if attempt.kept and attempt.closed_without_answer and attempt.ran_at]
    served = sum(attempt.status == 200 for attempt in fleet.attempts.values())
    ends = {node.name: len(node.own_ends) for node in fleet.nodes}
    long = [attempt for attempt in fleet.attempts.values() if attempt.long]
    fleet.record.say(f"attempts: {len(fleet.attempts)}, served: {served}, with a long header: {len(long)}, "
                     f"of these served: {sum(attempt.status == 200 for attempt in long)}")
    fleet.record.say(f"processes that ended by themselves: {ends}")
    for attempt in lost:
        fleet.record.say(f"lost: {attempt.identifier} on {attempt.route}, ran at {attempt.ran_at[0][1].identifier}")
    print(f"served {served} of {len(fleet.attempts)}; {len(long)} with a long header; ends by themselves {ends}; "
          f"passed on to sound replicas and closed without an answer: {len(lost)}")
    fleet_fault = sum(ends.values()) >= 3 and sum(count > 0 for count in ends.values()) >= 2
    if fleet_fault:
        fleet.record.say("processes ended by themselves three times or more, on two machines or more")
    return len(lost) <= 3 and not fleet_fault


run_case(pathlib.Path(__file__).resolve().parent, play)
