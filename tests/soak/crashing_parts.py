"""Requests with one part in their prompts end each replica that begins an answer on it. They come at any node and
differ in everything else; sound requests share their caller and their other parts at the same replicas. Nodes are
killed and paused, the table service is away, and several replicas end at once for another cause, before and beside."""

import asyncio
import dataclasses
import random

from callers import RESUMABLE, STREAM, Caller
from checks import CrashingPart, PartRule, Trouble
from model_replicas import MODEL_SERVICE
from nodes import Node
from wire import now

# Of the requests with the part, the share that repeats one that was sent before.
REPEATED_SHARE = 0.3
# Identifiers of the other parts: of first ones (as other callers use them too), and of those behind the part.
FIRST_PARTS = [f"a{number}" for number in range(6)]
LATER_PARTS = [f"c{number}" for number in range(3)]
# Sound requests have one of these where the others have the part.
SOUND_PARTS = [f"b{number}" for number in range(4)]
# Callers of sound requests with prompts of four parts, for each node.
SOUND_CALLERS = 2
# Sound requests are compared from before the part comes, and behind the time from which on they are served (seconds).
SOUND_BEFORE = PartRule.BEFORE
# From the first request with a part until no other comes, however few replicas end under it (seconds).
LONGEST = 30.0
BETWEEN_PARTS = 2.0
# Within this time several replicas end at once; pauses between the faults beside (seconds).
POWER_WITHIN = 0.1
FAULT_EVERY = (2.0, 5.0)
POWER_EVERY = (4.0, 9.0)
STORE_EVERY = (6.0, 14.0)
STORE_AWAY = (0.5, 2.5)
# A node is told apart from its faults by what it does with requests that are sent so long before the next (seconds).
JUDGED_WITHIN = 1.0
# Of the runs with the usual series of faults, the share in which a part ends replicas as well, and the seed from
# which on they have it: those below are known for what they show.
SHARE_OF_SERIES = 0.2
FIRST_SEED_OF_SERIES = 100_000


@dataclasses.dataclass(frozen=True)
class Shape:
    """How requests with a part come, how far into the answer replicas end, and for how long such requests still
    come while sound ones are to be served again. Seconds."""

    callers: int
    pause: float
    ends_after: tuple[float, float]
    stays: float


PART_SHAPES = {"usual": Shape(2, 0.3, (0.02, 0.1), 3.0), "fast": Shape(5, 0.02, (0.02, 0.1), 3.0),
               "slow": Shape(1, 1.5, (0.02, 0.1), 9.0), "late": Shape(2, 0.3, (0.4, 0.4), 3.0)}


def prompt_header(parts: list[str], own: str) -> str:
    """The first part is long; the last one is the request's own."""
    sized = [f"{part}:{800 if place == 0 else 50}" for place, part in enumerate(parts)]
    return f"X-Covewing-Prompt-Prefix: {','.join(sized)},{own}:100"


class PromptCaller(Caller):
    """Sends prompts of several parts, by a new connection to any node each time."""

    def __init__(self, soak, number, pause):
        super().__init__(soak, number, (STREAM, RESUMABLE))
        self.pause = pause
        self.parts, self.own = [], ""

    def headers_of(self, kind, identifier):
        rest = [header for header in kind.headers(self.random, identifier, 1)
                if not header.startswith("X-Covewing-Prompt-Prefix")]
        return [*rest, prompt_header(self.parts, self.own)]

    def draw_parts(self) -> list[str]:
        raise NotImplementedError

    def wanted(self) -> bool:
        return not self.soak.over

    async def run(self):
        while self.wanted():
            await self.connect()
            if self.stream is not None:
                await self.send_next()
            self.drop()
            await asyncio.sleep(self.pause)

    async def send_next(self):
        self.parts, self.own = self.draw_parts(), f"{self.random.getrandbits(48):x}"
        await self.request(self.random.choice(self.kinds), f"prompt {self.number} {self.sent}")


class SoundCaller(PromptCaller):
    """Shares all parts with the requests that end replicas, but for the one that does it."""

    def draw_parts(self):
        return [self.random.choice(parts) for parts in (FIRST_PARTS, SOUND_PARTS, LATER_PARTS)]


class PartCaller(PromptCaller):
    """Sends requests with the part, and some of them again."""

    def __init__(self, soak, number, part: CrashingPart, shape: Shape):
        super().__init__(soak, number, shape.pause)
        self.part = part
        self.body = ""

    def wanted(self):
        return not self.soak.over and self.part.end is None

    def draw_parts(self):
        first, later = self.random.choice(FIRST_PARTS), self.random.choice(LATER_PARTS)
        return [self.part.name, first, later] if self.part.is_first else [first, self.part.name, later]

    def headers_of(self, kind, identifier):
        self.soak.parts.requests[identifier] = self.part
        return super().headers_of(kind, identifier)

    async def send_next(self):
        kind = self.random.choice(self.kinds)
        if not self.body or self.random.random() >= REPEATED_SHARE:
            self.parts, self.own = self.draw_parts(), f"{self.random.getrandbits(48):x}"
            self.body = f"prompt {self.number} {self.sent}"
        await self.request(kind, self.body)


async def crash_by_part(soak, draw, number, shape_name=None):
    """One part comes until sound requests can be compared."""
    shape_name = shape_name or draw.choice(list(PART_SHAPES))
    shape = PART_SHAPES[shape_name]
    part = CrashingPart(f"dead{draw.randrange(16 ** 6):06x}", draw.random() < 0.4, shape.ends_after, now())
    soak.parts.parts.append(part)
    soak.say(f"{part.name} ends replicas, {'as the first part' if part.is_first else 'in the middle'}, {shape_name}")
    for caller in range(shape.callers):
        soak.spawn(PartCaller(soak, f"x{number}-{caller}", part, shape).run())
    while not soak.over and now() < part.begin + LONGEST and now() < part.compared_from() + shape.stays:
        await asyncio.sleep(0.05)
    part.end = now()
    soak.say(f"{part.name} comes no more; {len(part.ends)} replicas have ended under it")


# --- faults beside


async def goes_on(until, pause: float) -> bool:
    """Waits for so many seconds; whether faults still begin then."""
    await asyncio.wait([until], timeout=pause)
    return not until.done()


async def trouble_nodes(soak, draw, until):
    while await goes_on(until, draw.uniform(*FAULT_EVERY)):
        what, fault = draw.choice([("killed", Node.kill), ("paused", Node.pause)])
        await draw.choice(soak.nodes).suffer(what, fault, draw)


async def cut_power(soak, draw, until):
    """Several replicas end at nearly the same moment, whatever they run."""
    # The first time before any part comes.
    pause = draw.uniform(0, SOUND_BEFORE)
    while await goes_on(until, pause):
        replicas = draw.sample(soak.model_replicas, draw.randint(2, max(2, len(soak.model_replicas) // 2)))
        soak.say(f"without power: {[replica.instance for replica in replicas]}")
        for replica in replicas:
            soak.parts.ends_by_power += replica.crash(draw.uniform(*CrashingPart.BACK_AFTER))
            await asyncio.sleep(draw.uniform(0, POWER_WITHIN) / len(replicas))
        pause = draw.uniform(*POWER_EVERY)


async def take_store_away(soak, draw, until):
    while await goes_on(until, draw.uniform(*STORE_EVERY)):
        mode = draw.choice(["down", "slow", "silent"])
        soak.say(f"the table service: {mode}")
        trouble = Trouble(now())
        soak.store_troubles.append(trouble)
        soak.store.mode = mode
        await asyncio.sleep(draw.uniform(*STORE_AWAY))
        soak.store.mode, trouble.end = "normal", now()


async def crash_by_parts(soak, parts, shape_name=None):
    """One part after the other, amid some of the faults beside, or none."""
    draw = random.Random(f"{soak.options.seed}/crashing parts")
    over = asyncio.get_running_loop().create_future()
    beside = [series for series in (trouble_nodes, cut_power, take_store_away) if draw.random() < 0.5]
    soak.say(f"beside: {[series.__name__ for series in beside]}")
    running = [soak.spawn(series(soak, random.Random(f"{soak.options.seed}/{series.__name__}"), over))
               for series in beside]
    for number in range(SOUND_CALLERS * len(soak.nodes)):
        soak.spawn(SoundCaller(soak, f"s{number}", Caller.PAUSE).run())
    await asyncio.sleep(SOUND_BEFORE)
    for number in range(parts):
        if number > 0:
            await asyncio.sleep(BETWEEN_PARTS)
        await crash_by_part(soak, draw, number, shape_name)
    over.set_result(None)
    await asyncio.gather(*running)


async def crash_by_part_amid_series(soak):
    """In some runs, drawn apart, so that the other series are what they are without it."""
    draw = random.Random(f"{soak.options.seed}/a part amid the series")
    if soak.options.seed < FIRST_SEED_OF_SERIES or draw.random() >= SHARE_OF_SERIES:
        return
    await asyncio.sleep(draw.uniform(2.0, 8.0))
    await crash_by_part(soak, draw, 0)


# --- what became of it


def calm_around(troubles: list[Trouble], at: float, felt_for: float) -> bool:
    """Whether no fault is felt at the moment or begins soon after it."""
    return all(one.begin > at + JUDGED_WITHIN or (one.end is not None and one.end + felt_for < at)
               for one in troubles)


def count_sound(soak, felt_for: float):
    """Tells the rule of the first tries of all sound requests for the model at calm nodes."""
    for identifier, sent in soak.sent.items():
        kind, node = soak.kinds[identifier], soak.sent_to[identifier]
        if kind.service != MODEL_SERVICE or identifier in soak.parts.requests:
            continue
        if calm_around(node.troubles, sent.at, felt_for):
            soak.parts.on_first_try(kind.name, sent.at, soak.runs[identifier] > 0)
