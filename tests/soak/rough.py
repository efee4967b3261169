"""Crowds of clients that don't keep to the limits come to nodes while these are stopped, killed, paused and told to
reload: no process may use more memory than its machine has, and all else holds as it does without them."""

import asyncio
import contextlib
import pathlib
import random
import sys

from nodes import MEMORY_MB
from process_memory import MEGABYTE, memory_of

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "crowds"))

from node_under_crowd import request_head  # noqa: E402
from shapes import (CALLERS, METRICS, READINESS, RELAY, Shape, announced_and_held,  # noqa: E402
                    bodies_byte_by_byte, chunks_that_go_on, chunks_without_end, heads_held,
                    parts_of_bodies_and_closed, refusals_read, refusals_unread, whole_bodies)

# As operators.Operators configures it.
BODY_BYTES, HEADER_BYTES = 1_048_576, 16384
CLIENTS = (20, 60)
STAYS = (1.0, 4.0)
LOOKS_EVERY = 0.2
ACTS = [chunks_without_end(CALLERS), chunks_that_go_on(CALLERS), announced_and_held, whole_bodies, refusals_unread,
        refusals_read, heads_held(HEADER_BYTES - 1000), bodies_byte_by_byte, parts_of_bodies_and_closed,
        chunks_without_end(READINESS), chunks_without_end(METRICS), chunks_that_go_on(RELAY)]


class Target:
    """A node as the clients of a crowd see it. They have no key, so nothing of theirs may reach a replica."""

    def __init__(self, node, draw):
        self.address = node.address
        self.shape = Shape(act=draw.choice(ACTS), clients=draw.randint(*CLIENTS), body_bytes=BODY_BYTES)
        self.requests = 0

    def request(self, path="/safe/x", body_bytes=3, fields=()) -> bytes:
        self.requests += 1
        return request_head(path, f"crowd-{self.requests}", body_bytes, fields)


async def come_and_go(soak, draw):
    """One crowd after the other, each at a node of its own."""
    while not soak.over:
        target = Target(draw.choice(soak.nodes), draw)
        clients = [asyncio.ensure_future(target.shape.act(target, number)) for number in range(target.shape.clients)]
        soak.counts["crowds"] += 1
        try:
            await asyncio.sleep(draw.uniform(*STAYS))
        finally:
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)


async def watch_memory(soak):
    while not soak.over:
        for node in soak.nodes:
            look_at(soak, node)
        await asyncio.sleep(LOOKS_EVERY)


def look_at(soak, node):
    """The peak of the process that the node is now."""
    with contextlib.suppress(OSError, StopIteration):
        peak = memory_of(node.process.pid, "VmHWM") / MEGABYTE
        soak.counts["most MB of a node"] = max(soak.counts["most MB of a node"], round(peak, 1))
        if peak > MEMORY_MB:
            soak.violate(f"node-{node.index} has used {peak:.1f} MB, its machine has {MEMORY_MB}", "memory")


def start_crowds(soak, crowds: int):
    """So many at a time, for as long as faults begin."""
    soak.spawn(watch_memory(soak))
    return [soak.spawn(come_and_go(soak, random.Random(f"{soak.options.seed}/crowd/{number}")))
            for number in range(crowds)]
