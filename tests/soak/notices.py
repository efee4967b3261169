"""What replicas say of themselves in their answers: that they leave, that they want rest, and how many
requests a second they take. And what they do about it: some serve on for long, some never tell the table
service, some come again at once."""

import asyncio
import math

from wire import http_answer, now

# What a replica that leaves does with its entry, beside what its answers say.
ENTRY_STAYS = "entry stays ready"
ENTRY_FIRST = "entry first"
ANSWERS_FIRST = "answers first"
ENTRY_ALONE = "entry alone"
ENTRY_COMES_AGAIN = "entry goes and comes again"
WAYS_TO_LEAVE = [ENTRY_STAYS, ENTRY_STAYS, ENTRY_FIRST, ANSWERS_FIRST, ENTRY_ALONE,
                 ENTRY_COMES_AGAIN]
SERVES_ON = (2.0, 15.0)
# Between what the entry and what the answers say (seconds).
APART = (0.0, 2.0)
REST = (0.2, 10.0)
TURNS_AWAY_FOR = (0.2, 6.0)
# Requests a second, from all nodes together.
LIMIT = (0.2, 20.0)


class Notices:
    """Of one run of a replica."""

    def __init__(self):
        self.leaving = False
        self.turns_away_until = 0.0
        # Asked for with each request that is turned away (seconds).
        self.rest = 0.0
        # Requests a second that are taken; None: no limit is named.
        self.limit: float | None = None
        # Requests a second that may be turned away for want of room; None: any number.
        self.brittle: float | None = None

    def headers(self) -> list[tuple[str, str]]:
        fields = [("Server-Leaving", "1")] if self.leaving else []
        if self.limit is not None:
            fields.append(("Server-Limit", f"{self.limit:g}"))
        if self.brittle is not None:
            fields.append(("Server-Brittle", f"{self.brittle:g}"))
        return fields

    def turns_away(self) -> bool:
        return now() < self.turns_away_until


class NoticeGiver:
    """A replica that can leave and ask for rest. Its users keep `soak`, `instance`, `listener`, the
    `notices` of the run at hand and give `run_name`, `write_entry(state)` and `crash()`."""

    # The run that leaves now.
    leaving_run = ""

    def head_of_answer(self, identifier: str) -> list[tuple[str, str]]:
        """Fields that each answer to a request carries; what it says is known where it arrives."""
        if self.notices.leaving:
            self.soak.leaving_told[identifier].add(self.run_name)
        if self.notices.limit is not None:
            self.soak.limit_told[identifier].add(self.run_name)
        return [("X-Covewing-Request-Id", identifier), ("X-Covewing-Instance-Id", self.instance),
                *self.notices.headers()]

    def turn_away(self, identifier: str) -> bytes:
        rest = self.notices.rest
        self.soak.on_rest_asked(identifier, self.run_name, rest)
        return http_answer(503, b"", self.head_of_answer(identifier) + [
            ("X-Covewing-Not-Executed", "1"), ("Retry-After", f"{rest:g}")])

    def ask_for_rest(self, draw):
        self.notices.rest = round(draw.uniform(*REST), draw.choice([0, 1, 3])) or 1
        self.notices.turns_away_until = now() + draw.uniform(*TURNS_AWAY_FOR)

    def name_limit(self, per_second: float | None):
        """From now on all answers name the limit, or none."""
        if self.listener is None or self.notices.limit == per_second:
            return
        self.notices.limit = per_second
        self.soak.limits.on_named(self.run_name, per_second, now())

    @staticmethod
    def draw_limit(draw) -> float:
        low, high = map(math.log, LIMIT)
        return round(math.exp(draw.uniform(low, high)), draw.choice([1, 2])) or LIMIT[0]

    async def leave(self, draw):
        """A planned end: the replica says so, serves on, ends, and comes again."""
        run, notices = self.run_name, self.notices
        if self.listener is None or self.leaving_run == run:
            return
        self.leaving_run = run
        way, serves_on = draw.choice(WAYS_TO_LEAVE), draw.uniform(*SERVES_ON)
        self.soak.say(f"{run} leaves, {way}, and serves on for {serves_on:.1f} s")
        began = now()
        if way in (ENTRY_STAYS, ANSWERS_FIRST, ENTRY_COMES_AGAIN):
            notices.leaving = True
        if way == ANSWERS_FIRST:
            await asyncio.sleep(draw.uniform(*APART))
        if way in (ENTRY_FIRST, ANSWERS_FIRST, ENTRY_ALONE):
            await self.write_entry_of(run, "draining")
        if way == ENTRY_FIRST:
            await asyncio.sleep(draw.uniform(*APART))
            notices.leaving = True
        if way == ENTRY_COMES_AGAIN:
            await self.write_entry_of(run, None)
            await asyncio.sleep(draw.uniform(*APART))
            await self.write_entry_of(run, "ready")
        await asyncio.sleep(max(0.0, began + serves_on - now()))
        if self.run_name == run:
            self.crash()

    async def write_entry_of(self, run: str, state):
        """Once the table service answers, if the run has not ended meanwhile."""
        while self.soak.store.mode != "normal":
            await asyncio.sleep(0.02)
        if self.listener is not None and self.run_name == run:
            await self.write_entry(state)
