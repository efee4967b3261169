"""A burst of callers whose requests have long bodies, inside `body_bytes`: the node outgrows its machine's memory."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "stand_ins_2"))
import fleet as stand_ins  # noqa: E402
from fleet import MEMORY_MB, Replica, now, run_case  # noqa: E402

CLIENTS = 45
BURST = 1.7
# Less than `body_bytes`, which is 4,194,304.
BODY = b"x" * 4_000_000
WORK = 1.5
ROUNDS = 4


async def client(fleet, node, rounds, begins_after=0.0):
    """One connection, kept; a short request first, then long ones."""
    await asyncio.sleep(begins_after)
    connection = await asyncio.wait_for(asyncio.open_connection(node.host, 7000, limit=1 << 20), 1)
    kept = False
    for body in [b"x" * 600] + [BODY] * rounds:
        attempt = await fleet.call(connection, kept, "pairings", body=body, deadline_ms=8000)
        kept = True
        if attempt.status is None:
            return
        await asyncio.sleep(0.2)
    connection[1].close()


async def play(fleet, trouble):
    fleet.node_count = 2
    fleet.services = [{"name": "bracket-app", "health_path": "/health", "connection_limit": 360}]
    fleet.add_route("pairings", "non_idempotent", "bracket-app", timeout_ms=8000, target_latency_ms=4000)
    for number in range(3):
        await fleet.add(Replica(fleet, f"i-{number:08x}", "bracket-app", slots=64, work=WORK))
    fleet.configure()
    await fleet.start_nodes()
    node = fleet.nodes[0]
    peak = [0.0]
    killed = []

    async def limit_memory():
        """As the platform does (DEPLOY.md): a process that goes over `memory_mb` is killed."""
        while True:
            used = node.memory_mb()
            peak[0] = max(peak[0], used)
            if used > MEMORY_MB:
                killed.append(used)
                fleet.record.say(f"{node.name} uses {used:.0f} MB and is killed")
                node.process.kill()
                node.process.wait()
                peak[0] = max(peak[0], used)
                await asyncio.sleep(1)
            await asyncio.sleep(0.005)

    fleet.spawn(limit_memory())
    # All of the day's clients, and with the disruption 0.7 times as many besides for some 3 s.
    clients = [client(fleet, node, ROUNDS) for _ in range(CLIENTS)]
    if trouble:
        fleet.record.say(f"burst: {BURST} times the clients")
        # The short requests of the others have been answered by then, and their first long ones run.
        clients += [client(fleet, node, 1, begins_after=WORK) for _ in range(int(CLIENTS * (BURST - 1)))]
    began = now()
    await asyncio.gather(*clients, return_exceptions=True)
    lost = [attempt for attempt in fleet.attempts.values()
            if attempt.kept and attempt.closed_without_answer and attempt.ran_at]
    served = sum(attempt.status == 200 for attempt in fleet.attempts.values())
    fleet.record.say(f"peak {peak[0]:.0f} MB, killed for memory {len(killed)} times, lost {len(lost)}")
    print(f"served {served} of {len(fleet.attempts)} in {now() - began:.1f} s; peak {peak[0]:.0f} MB of {MEMORY_MB}; "
          f"killed {len(killed)} times; passed on to sound replicas and closed without an answer: {len(lost)}")
    return len(lost) <= 3


run_case(pathlib.Path(__file__).resolve().parent, play)
