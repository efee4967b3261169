"""Streams that callers break off and take up at other nodes, and callers without chunks, while replicas of two
versions of their software serve, break answers off (answers.py), and nodes are killed."""

import asyncio
import random

from answers import other_version, take_versions
from callers import RESUMABLE, STREAM, Caller, request_bytes
from nodes import Node
from wire import now, read_message

# Of the streams that may be taken up, the share that their callers break off.
TAKEN_UP_SHARE = 0.5
MOST_TRIES = 4
# Callers that take streams up, and callers without chunks, for each node.
RESUMING_CALLERS = 4
OLD_CALLERS = 1
KILL_EVERY = (2.0, 5.0)
# A replica crashes and starts again under its identifier as the other version.
REBIRTH_EVERY = (2.0, 5.0)
CALM_TIME = 5.0


class ResumingCaller(Caller):
    """Begins streams, breaks many of them off after the first event and takes them up at other nodes."""

    PAUSE = 0.15

    async def run(self):
        while not self.soak.over:
            await self.begin_and_take_up()
            await asyncio.sleep(self.random.expovariate(1 / self.PAUSE))

    async def begin_and_take_up(self):
        versions, events, first = set(), 0, ""
        for _ in range(MOST_TRIES):
            breaks_off = self.random.random() < TAKEN_UP_SHARE
            got, written, complete, identifier = await self.try_once(first, events, breaks_off)
            if got and not first:
                first = identifier
            versions |= written
            events += got
            if complete or not first or self.soak.over:
                break
        if len(versions) > 1:
            self.soak.streams.mixed.append(first)

    def request_of_try(self, identifier, body, first, events) -> bytes:
        headers = [f"Last-Event-Id: {events}", f"Resumes: {first}"] if first else []
        headers += RESUMABLE.headers(self.random, identifier, self.soak.options.shared_parts)
        return request_bytes(RESUMABLE.name, identifier, body, headers)

    async def try_once(self, first, events, breaks_off):
        """Number of events that came, the versions that wrote them, whether the answer was complete, and
        the identifier of the try."""
        self.sent += 1
        identifier, body = f"{self.soak.options.seed}-{self.number}-{self.sent}", "taken up"
        await self.connect()
        if self.stream is None:
            return 0, set(), True, identifier
        node, resumed = self.node, bool(first)
        self.soak.expect(identifier, node, RESUMABLE)
        in_touch = node.calm()
        received, complete, status = b"", False, 0
        try:
            self.stream[1].write(self.request_of_try(identifier, body, first, events))
            received, complete, status = await asyncio.wait_for(self.read_events(breaks_off), 8)
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, OSError):
            pass  # Broken off by the node, or by its end.
        self.drop()
        versions, _ = take_versions(received)
        got = received.count(b"\n\n")
        if in_touch and node.calm():
            self.soak.streams.on_try(resumed, got > 0 or complete)
            if status not in (0, 200):
                self.soak.counts[f"taken up: {status}" if resumed else f"begun: {status}"] += 1
        return got, versions, complete, identifier

    async def read_events(self, breaks_off):
        """Reads chunks as they come; what came before the connection broke is kept."""
        reader = self.stream[0]
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        status = int(head.split(" ")[1])
        if status != 200:
            return b"", False, status
        received = b""
        try:
            while not (breaks_off and b"\n\n" in received):
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                received += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    return received, True, status
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # The stream is broken off.
        return received, False, status


class OldCaller(Caller):
    """Speaks HTTP/1.0: the orderly end of the connection is the end of the answer."""

    PAUSE = 0.15

    def __init__(self, soak, number):
        super().__init__(soak, f"o{number}", (STREAM, RESUMABLE))

    async def send_next(self):
        kind, self.sent = self.random.choice(self.kinds), self.sent + 1
        identifier, body = f"{self.soak.options.seed}-{self.number}-{self.sent}", f"old {self.sent}"
        self.soak.expect(identifier, self.node, kind)
        headers = kind.headers(self.random, identifier, self.soak.options.shared_parts)
        try:
            self.stream[1].write(request_bytes(kind.name, identifier, body, headers, version="1.0"))
            answer = await asyncio.wait_for(read_message(self.stream[0], to_end=True), 8)
            self.soak.on_answer(identifier, kind, body, answer)
            self.soak.counts["without chunks: whole"] += answer.status == 200
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, OSError):
            self.soak.counts["without chunks: broken"] += 1
        self.drop()


async def kill_nodes(soak, draw):
    while now() < soak.faults_end:
        await asyncio.sleep(draw.uniform(*KILL_EVERY))
        if not soak.over:
            await draw.choice(soak.nodes).suffer("killed", Node.kill, draw)


async def change_versions(soak, draw):
    while now() < soak.faults_end:
        await asyncio.sleep(draw.uniform(*REBIRTH_EVERY))
        replica = draw.choice(soak.model_replicas)
        if not soak.over and replica.crash():
            replica.software = other_version(replica.software)


async def break_and_take_up(soak):
    draw = random.Random(f"{soak.options.seed}/streams")
    for number in range(RESUMING_CALLERS * len(soak.nodes)):
        soak.spawn(ResumingCaller(soak, f"r{number}").run())
    for number in range(OLD_CALLERS * len(soak.nodes)):
        soak.spawn(OldCaller(soak, number).run())
    # Without any fault of a node first, so that new streams and those taken up are told apart from its effects.
    await asyncio.sleep(CALM_TIME)
    if soak.options.rebirths:
        soak.spawn(change_versions(soak, random.Random(f"{soak.options.seed}/rebirths")))
    await kill_nodes(soak, draw)
    for violation in soak.streams.broken():
        soak.violate(violation, "streams")
    soak.counts["streams: begun"] = f"{soak.streams.new[1]} of {soak.streams.new[0]}"
    soak.counts["streams: taken up"] = f"{soak.streams.taken_up[1]} of {soak.streams.taken_up[0]}"
    soak.counts["streams: of two versions"] = len(soak.streams.mixed)
