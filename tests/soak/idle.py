"""Many connections that their callers keep and rest on for nearly as long as nodes keep them, while nodes stand
still, configurations change the idle time, replicas are silent for about a second and streams run."""

import asyncio
import contextlib
import os
import random
import subprocess
import sys

from callers import RESUMABLE, SAFE, STREAM, UNSAFE, Caller
from checks import Loss
from cuts import silence_once
from nodes import start_limited
from operators import IDLE_TIMEOUT_MS
from wire import ended_by_peer, now, read_behind_head, read_head, refused_behind_end

EVENT_REQUEST_RETRIED = 5001
EVENT_STREAM_BROKEN = 5003
EVENT_CLOSED_EARLY = 8006

# To so many nodes; an event loop gets at most 128 ready connections at once from the operating system.
KEPT_CONNECTIONS = 600
CROWDED_NODES = 2
# No more streams than the replicas of the model can serve.
KINDS = (SAFE, SAFE, SAFE, UNSAFE, UNSAFE, UNSAFE, STREAM, RESUMABLE)
# Callers rest for so much of the idle time that the newest configuration names.
RESTS_FOR = (0.5, 0.8)
IDLE_TIMEOUTS_MS = (1000, 3000)
CONFIGURE_EVERY = (1.0, 3.0)
# A node stands still so long, so often in a row, with so much time in between (seconds).
STILL_FOR = (0.2, 1.5)
STILLS = (1, 4)
RUNS_FOR = (0.05, 0.6)
STILL_EVERY = (0.2, 1.5)
SILENT_EVERY = (1.0, 3.0)
# Processes that use the processor that all nodes share.
BUSY_PROCESSES = 4


class IdleCaller(Caller):
    """Keeps a connection, rests on it between its requests, and looks at it before it sends the next one."""

    def __init__(self, soak, number, nodes):
        super().__init__(soak, f"i{number}", KINDS)
        self.nodes = nodes
        self.answer_began = False

    async def run(self):
        # Not all at once.
        await asyncio.sleep(self.random.uniform(0, 1))
        while not self.soak.over:
            if self.stream is None:
                await self.connect()
            if self.stream is not None:
                await self.send_next()
            await self.rest()
        self.drop()

    async def rest(self):
        await asyncio.sleep(self.random.uniform(*RESTS_FOR) * self.soak.operators.idle_timeout_ms / 1000)

    async def send_next(self):
        rule = self.soak.answers
        if ended_by_peer(self.stream[1]):
            rule.ended_at_rest += 1
            self.drop()
            return
        rule.requests += 1
        self.answer_began = False
        await super().send_next()

    async def read_answer(self, reader):
        head = await read_head(reader)
        self.answer_began = True
        return await read_behind_head(reader, head)

    def on_unanswered(self, identifier, error):
        rule = self.soak.answers
        if self.answer_began:
            self.soak.counts["kept: answers broken off"] += 1
        elif isinstance(error, asyncio.TimeoutError):
            rule.lost[Loss.SILENT].append(identifier)
        elif isinstance(error, asyncio.IncompleteReadError) and refused_behind_end(self.stream[1]):
            rule.crossed += 1
        else:
            loss = Loss.END if isinstance(error, asyncio.IncompleteReadError) else Loss.RESET
            self.soak.say(f"{identifier} is lost ({loss.value}) at node-{self.node.index}")
            rule.lost[loss].append(identifier)


async def stand_still(node, draw):
    for _ in range(draw.randint(*STILLS)):
        await node.stand_still(draw.uniform(*STILL_FOR))
        await asyncio.sleep(draw.uniform(*RUNS_FOR))


async def make_nodes_stand_still(soak, crowded, draw):
    """One of the crowded nodes, all of them, or all nodes."""
    while now() < soak.faults_end:
        nodes = draw.choice([[draw.choice(crowded)], crowded, soak.nodes])
        await asyncio.gather(*(node.suffer("standing still at times", stand_still, draw) for node in nodes))
        await asyncio.sleep(draw.uniform(*STILL_EVERY))


async def change_idle_times(soak, draw):
    while now() < soak.faults_end:
        await soak.operators.change_idle_time(draw, draw.randint(*IDLE_TIMEOUTS_MS))
        soak.say(f"idle connections are kept for {soak.operators.idle_timeout_ms} ms")
        await asyncio.sleep(draw.uniform(*CONFIGURE_EVERY))


async def silence_at_times(soak, draw):
    while now() < soak.faults_end:
        await silence_once(soak, draw)
        await asyncio.sleep(draw.uniform(*SILENT_EVERY))


@contextlib.contextmanager
def busy_processes(processor):
    """Processes that use the processor, if one is named."""
    running = []
    if processor is not None:
        running = [subprocess.Popen([sys.executable, "-c", "while True: pass"],
                                    preexec_fn=lambda: start_limited(None, processor))
                   for _ in range(BUSY_PROCESSES)]
    try:
        yield
    finally:
        for process in running:
            process.kill()
            process.wait()


def a_processor() -> int:
    return max(os.sched_getaffinity(0))


async def rest_on_connections(soak):
    def draw(name):
        return random.Random(f"{soak.options.seed}/idle/{name}")

    await soak.operators.change_idle_time(draw("first"), max(IDLE_TIMEOUTS_MS))
    crowded = draw("nodes").sample(soak.nodes, min(CROWDED_NODES, len(soak.nodes)))
    for number in range(KEPT_CONNECTIONS):
        soak.spawn(IdleCaller(soak, number, crowded).run())
    with busy_processes(soak.shared_processor):
        await asyncio.gather(make_nodes_stand_still(soak, crowded, draw("still")),
                             change_idle_times(soak, draw("configurations")),
                             silence_at_times(soak, draw("silences")))
    await soak.operators.change_idle_time(draw("last"), IDLE_TIMEOUT_MS)
    # Those that wait for their answers.
    await asyncio.sleep(6)
    count_closes(soak)


def given_up_for_nothing(node) -> int:
    """Attempts that ended as their replica was silent, for another one that the request never reached."""
    silent, found = set(), 0
    for line in node.log_lines(EVENT_REQUEST_RETRIED):
        if line["cause"] == "silent":
            silent.add(line["request"])
            continue
        found += line["request"] in silent and line["cause"] == "never_arrived"
        silent.discard(line["request"])
    return found


def count_closes(soak):
    """What the nodes' logs say of connections and streams that they have ended."""
    rule = soak.answers
    for node in soak.nodes:
        for line in node.log_lines(EVENT_CLOSED_EARLY):
            soak.counts[f"closed early: {line['why']}"] += 1
            if int(line["unread"]) > 0:
                rule.closed_unread[line["why"]] += 1
        for line in node.log_lines(EVENT_STREAM_BROKEN):
            rule.cut[line["why"]] += 1
            soak.counts[f"streams cut: {line['why']} ({line.get('cause') or 'first attempt'})"] += 1
        soak.counts["given up for a replica that was not reached"] += given_up_for_nothing(node)
    soak.counts["kept: requests"] = rule.requests
    soak.counts["kept: crossed the end"] = rule.crossed
    soak.counts["kept: ended at rest"] = rule.ended_at_rest
    for loss, lost in rule.lost.items():
        soak.counts[f"kept: {loss.value}"] = len(lost)
    soak.counts["closed with bytes unread"] = sum(rule.closed_unread.values())
    for violation in rule.broken():
        soak.violate(violation, "answer")
