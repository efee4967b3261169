"""Stand-ins of application replicas. Each start has an identifier of its own."""

import asyncio
import json
import random
import time

from notices import NoticeGiver, Notices
from run_manners import bare_answer, draws_bare, loses_answer
from spoiled import spoiled_answer
from surplus import REST, TURNED_AWAY_SHARE, SurplusAnswers
from wire import Listener, http_answer, now

SERVICE = "app"
# A request whose body begins with this ends the replica that runs it.
DEADLY = "deadly"
# A request whose body begins with this gets an answer of so many more bytes.
LARGE, LARGE_BYTES = "large", 300_000
# With --stops: how many requests each replica runs at once, and for how long (seconds).
SLOTS_OF_STOPS, WORK_OF_STOPS = 2, (0.2, 1.5)
# Of the connections of replicas whose callers leave early (bytes).
SMALL_RECEIVE_BUFFER = 4096


def unix_milliseconds() -> int:
    return int(time.time() * 1000)


def application_answer(identifier: str, body: str) -> bytes:
    return f"ran {identifier} {body}".encode() + b"x" * (LARGE_BYTES if body.startswith(LARGE) else 0)


class Replica(NoticeGiver):
    def __init__(self, soak, name):
        self.soak, self.name, self.starts = soak, name, 0
        self.random = random.Random(f"{soak.options.seed}/{name}")
        self.instance, self.listener = "", None
        # Of its own, so that the draws above are what they are without these.
        self.draw_end = random.Random(f"{soak.options.seed}/{name}/ends")
        self.port = 0
        self.notices = Notices()
        self.slots = SLOTS_OF_STOPS if soak.options.stops else 16
        self.places = asyncio.Semaphore(self.slots)

    @property
    def run_name(self) -> str:
        return self.instance

    async def start(self):
        self.starts += 1
        self.instance = f"{self.name}-{self.starts}"
        self.notices = Notices()
        listener = Listener(self.handle)
        listener.port = self.port
        listener.receive_buffer = SMALL_RECEIVE_BUFFER if self.soak.options.departures else 0
        if self.soak.options.surplus:
            self.notices.rest = REST
            listener.make_surplus = lambda: SurplusAnswers(self.draw_end)
        await listener.open()
        # From here on it can end.
        self.listener, self.port = listener, listener.port
        self.born = unix_milliseconds()
        await self.write_entry("ready")

    async def write_entry(self, state):
        entry = {"service": SERVICE, "address": f"{Listener.host}:{self.port}", "zone": "zone-0",
                 "version": "v1", "slots": self.slots, "state": state, "cold_remaining_ms": 0, "sequence": 0,
                 "born": self.born}
        await self.soak.store.put("servers", self.instance,
                                  None if state is None else json.dumps(entry).encode())

    async def handle(self, message, peer):
        identifier = message.headers.get("x-covewing-request-id", "")
        expected = message.headers.get("x-covewing-expected-instance", self.instance)
        self.soak.repeats[SERVICE].on_arrival(identifier, now())
        self.soak.departures.on_arrival(identifier, now())
        if expected != self.instance:
            self.soak.unasked.on_turned_away(message)
            return self.turned_away(421, identifier)
        if not identifier:
            self.soak.unasked.on_turned_away(message)
            return self.turned_away(400, identifier)
        unasked = self.soak.unasked.broken_by(message, self.instance, serves_calls=False)
        if unasked:
            self.soak.violate(f"'{message.first}' with identifier '{identifier}' runs at {self.instance}: {unasked}",
                              "unasked")
            return http_answer(200, application_answer(identifier, ""), self.head_of_answer(identifier))
        self.soak.on_replica_reached(identifier, self.run_name)
        full = self.soak.options.surplus and self.draw_end.random() < TURNED_AWAY_SHARE
        if full or self.notices.turns_away():
            return self.turn_away(identifier)
        self.soak.on_run(identifier, message.headers.get("x-covewing-tenant", ""))
        body = message.body.decode("latin-1")
        if body.startswith(DEADLY):
            self.soak.on_deadly_arrival(body, identifier)
            await asyncio.sleep(self.random.uniform(0.02, 0.1))
            self.end_under(body)
            return None
        if self.soak.options.stops:
            async with self.places:
                await asyncio.sleep(self.random.uniform(*WORK_OF_STOPS))
        else:
            await asyncio.sleep(self.random.expovariate(1 / 0.02))
        if self.soak.options.second_runs:
            if await loses_answer(self.soak, self.draw_end, identifier):
                return None
            if draws_bare(self.soak, self.draw_end, identifier):
                return bare_answer(self.draw_end, self.head_of_answer(identifier))
        if self.soak.options.spoiled:
            spoiled = spoiled_answer(self.draw_end, self.head_of_answer(identifier))
            if spoiled is not None:
                self.soak.counts["spoiled answers"] += 1
                peer.writer.write(spoiled)
                return None
        return http_answer(200, application_answer(identifier, body), self.head_of_answer(identifier) +
                           [("X-Covewing-Server-Signature", self.instance)])

    def turned_away(self, status: int, identifier: str) -> bytes:
        """The answer to what is meant for somebody else, or names no request."""
        return http_answer(status, b"", [("X-Covewing-Request-Id", identifier),
                                         ("X-Covewing-Instance-Id", self.instance),
                                         ("X-Covewing-Not-Executed", "1")])

    async def end(self):
        """Ends for good, and its entry with it."""
        listener, instance = self.listener, self.instance
        self.listener = None
        if listener is not None:
            listener.cut()
            await self.soak.store.put("servers", instance, None)

    def end_under(self, body):
        if self.crash():
            self.soak.ends[body].append(now())

    def crash(self):
        """Ends at once; False where it has ended already."""
        if self.listener is None:
            return False
        listener, instance = self.listener, self.instance
        self.listener = None
        listener.cut(by_reset=self.draw_end.random() < 0.5)
        self.soak.spawn(self.come_back(instance))
        return True

    async def come_back(self, instance):
        back = asyncio.sleep(self.random.uniform(0.8, 3.0))
        await asyncio.sleep(0.7)
        await self.soak.store.put("servers", instance, None)
        await back
        await self.start()
