"""Callers that give up early, in bursts, while replicas do not read what they are sent."""

import asyncio
import signal

from callers import SAFE, Caller, request_bytes
from wire import now, reset_on_close

# Time from a request to the departure of its caller (seconds).
PATIENCE = (0.05, 1.0)
# Share of the callers that leave with a reset.
RESETS = 1 / 3
# More than replicas.SMALL_RECEIVE_BUFFER, less than the send buffer of a node's connection holds.
BODY_BYTES = 30_000
# How long replicas read nothing, and how long they read in between (seconds).
STILL = 0.9
BETWEEN = (0.3, 1.2)
BURST = 12
ROUNDS = 25
# Nodes that get a small part of a processor: they run for the first span out of both (seconds).
SQUEEZED_NODES = 2
RUNS_FOR, STOPPED_FOR = 0.006, 0.06
# Open connections without a request at each squeezed node, of one half of the seeds and of the other.
IDLE_CONNECTIONS = (64, 1000)


class LeavingCaller(Caller):
    """Sends one request and leaves without waiting for the whole answer."""

    async def run(self):
        await self.connect()
        if self.stream is None:
            return
        identifier = f"{self.soak.options.seed}-{self.number}"
        self.soak.expect(identifier, self.node, SAFE)
        body = "x" * BODY_BYTES
        self.stream[1].write(request_bytes(SAFE.name, identifier, body))
        await asyncio.sleep(self.random.uniform(*PATIENCE))
        self.leave()
        self.soak.departures.on_left(identifier, now())

    def leave(self):
        if self.random.random() < RESETS:
            reset_on_close(self.stream[1])
        self.stream[1].transport.abort()
        self.stream = None


async def stand_still_by_turns(soak, replica, draw):
    while not soak.over:
        replica.listener.read_nothing(True)
        await asyncio.sleep(STILL)
        replica.listener.read_nothing(False)
        await asyncio.sleep(draw.uniform(*BETWEEN))


async def squeeze(soak, node):
    """The node gets a tenth of a processor at most."""
    while not soak.over:
        node.send(signal.SIGSTOP)
        await asyncio.sleep(STOPPED_FOR)
        node.send(signal.SIGCONT)
        await asyncio.sleep(RUNS_FOR)


async def leave_in_bursts(soak, draw):
    """Bursts of callers that leave, while all replicas of the application stand still by turns and some
    nodes are small and hold many connections."""
    idle = []
    for node in soak.nodes[:SQUEEZED_NODES]:
        for _ in range(IDLE_CONNECTIONS[soak.options.seed % 2]):
            idle.append(await asyncio.open_connection(node.address, 7000))
        soak.spawn(squeeze(soak, node))
    for replica in soak.replicas:
        soak.spawn(stand_still_by_turns(soak, replica, draw))
    for burst in range(ROUNDS):
        callers = [LeavingCaller(soak, f"l{burst}-{number}") for number in range(BURST)]
        await asyncio.gather(*(caller.run() for caller in callers))
        await asyncio.sleep(draw.uniform(0.0, 0.3))
    await asyncio.sleep(2 * STILL)
    for _, writer in idle:
        writer.close()
    soak.counts["left"] = len(soak.departures.left)
    soak.counts["arrived late after that"] = len(soak.departures.late)
