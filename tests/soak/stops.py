"""Planned stops in series that overlap, each amid further signals, while requests wait for busy replicas and some
callers read their answers late."""

import asyncio
import random

from callers import SAFE, UNSAFE, Caller
from nodes import GRACE_OF_STOPS, Node
from replicas import LARGE
from wire import now, read_behind_head, read_head

STOP_EVERY = (0.4, 1.6)
# Nodes that are stopped at the same moment.
AT_ONCE = (1, 1, 2)
# How long late callers read nothing behind the head of an answer (seconds): with that, an answer to the last request
# that a stopping node takes is read in its time.
LATE_BY = (0.2, 0.2 * GRACE_OF_STOPS)
LATE_CALLERS = 1


class LateCaller(Caller):
    """Asks for answers that are larger than what the operating system takes at once, and reads them late."""

    def __init__(self, soak, number):
        super().__init__(soak, f"l{number}", (SAFE, UNSAFE))

    async def send_next(self):
        await self.request(self.random.choice(self.kinds), f"{LARGE} {self.number} {self.sent}")

    async def read_answer(self, reader):
        head = await read_head(reader)
        await asyncio.sleep(self.random.uniform(*LATE_BY))
        return await read_behind_head(reader, head)


async def stop_in_series(soak):
    draw = random.Random(f"{soak.options.seed}/stops")
    for number in range(LATE_CALLERS * len(soak.nodes)):
        soak.spawn(LateCaller(soak, number).run())
    end = now() + soak.options.seconds
    while now() < end:
        await asyncio.sleep(draw.uniform(*STOP_EVERY))
        free = [node for node in soak.nodes if not node.busy]
        most = len(free) - len(soak.nodes) // 2
        for node in draw.sample(free, max(0, min(draw.choice(AT_ONCE), most))):
            soak.spawn(node.suffer("stopped amid signals", Node.stop_amid_signals, draw))
