"""Stand-ins of replicas that serve a model: they hold a version of its weights, let requests wait
before these begin, load other versions on order, and start again under the identifier they had."""

import asyncio
import dataclasses
import json
import random

from answers import Framing, draw_manner, send_answer, version_of, with_version
from checks import CrashingPart
from notices import NoticeGiver, Notices
from replicas import unix_milliseconds
from run_manners import bare_answer, draw_run_manner, draws_bare, loses_answer, send_in_manner
from surplus import SurplusAnswers
from unasked import CACHE_EVENTS_PATH, CALLS, ORDER_PATH, REPORT_PATH
from wire import Listener, Peer, http_answer, now

MODEL_SERVICE = "llm"
MODEL = "m0"
SLOTS = 8
# Requests that wait beyond these are refused.
QUEUE = 24
# How long a replica is slow after its start (seconds).
COLD_FOR = 2.0
LOAD_SECONDS = (0.3, 0.8)
LONGEST_WAIT = 2.0


def stream_events(identifier: str, body: str) -> list[bytes]:
    """The events of the whole answer; their identifiers are 1, 2, and so on."""
    pieces = [f"ran {identifier}", body, "end"]
    return [f"id: {number}\ndata: {piece}\n\n".encode()
            for number, piece in enumerate(pieces, start=1)]


@dataclasses.dataclass
class Life:
    """What a replica holds and knows from one start to its end."""

    born: int
    started: float
    sequence: int = 0
    fence: int = 0
    loading: bool = False
    waiting: int = 0
    running: set[str] = dataclasses.field(default_factory=set)
    # Answers under way that end with their connection, and of which only whole events were sent.
    between_events: set[str] = dataclasses.field(default_factory=set)
    # Set when an order ends the wait of those that have not begun.
    flushed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    # The version under which each part was read, by salt and part.
    cache: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)


class ModelReplica(NoticeGiver):
    def __init__(self, soak, index):
        self.soak, self.index, self.instance = soak, index, f"model-replica-{index}"
        self.zone = f"zone-{index % 3}"
        self.random = random.Random(f"{soak.options.seed}/{self.instance}")
        # Of its own, so that the draws above are what they are without these.
        self.draw_end = random.Random(f"{soak.options.seed}/{self.instance}/ends")
        self.draw_manner = random.Random(f"{soak.options.seed}/{self.instance}/manners")
        self.software = version_of(index) if soak.options.streams else "v1"
        self.listener, self.port = None, 0
        # How often it has begun anew under another identifier.
        self.beginnings = 0
        self.version = 1
        self.life: Life | None = None
        self.notices = Notices()
        self.state = "ready"
        # How many requests may wait here before they begin.
        self.room_to_wait = QUEUE
        # When requests were turned away for want of room.
        self.turned_away: list[float] = []

    @property
    def run_name(self) -> str:
        return "" if self.life is None else f"{self.instance}@{self.life.born}"

    @property
    def address(self) -> str:
        return f"{Listener.host}:{self.port}"

    async def start(self):
        self.life = Life(unix_milliseconds(), now())
        self.notices, self.state = Notices(), "ready"
        listener = Listener(self.handle)
        listener.port = self.port
        if self.soak.options.surplus:
            listener.make_surplus = lambda: SurplusAnswers(self.draw_end)
        await listener.open()
        # From here on it can end.
        self.listener, self.port = listener, listener.port
        await self.tell()

    async def tell(self):
        await self.soak.store.put("servers", self.instance, json.dumps(self.entry()).encode())

    async def write_entry(self, state):
        if state is None:
            await self.soak.store.put("servers", self.instance, None)
            return
        self.state = state
        await self.tell()

    def entry(self) -> dict:
        cold = max(0, int((self.life.started + COLD_FOR - now()) * 1000))
        return {"service": MODEL_SERVICE, "address": self.address, "zone": self.zone, "version": self.software,
                "slots": SLOTS, "state": self.state, "cold_remaining_ms": cold,
                "sequence": self.life.sequence, "born": self.life.born, "stage": "combined",
                "models": self.models()}

    def models(self) -> list[dict]:
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    def crash(self, back_after: float | None = None) -> bool:
        """Ends at once and says nothing, and is back after so many seconds, drawn where missing; False
        where it has ended already."""
        if self.listener is None:
            return False
        self.soak.cut_runs |= self.life.running
        for identifier in self.life.running:
            self.soak.second_runs.on_end(identifier, self.instance, now())
        by_reset = self.draw_end.random() < 0.5
        if not by_reset:
            self.soak.cut_between_events |= self.life.between_events
        listener, self.listener, self.life = self.listener, None, None
        listener.cut(by_reset)
        self.soak.spawn(self.start_again(back_after))
        return True

    async def end(self, dark: bool):
        """Ends for good and says nothing. `dark`: its connections stay open, without a word."""
        listener, life = self.listener, self.life
        if listener is None:
            return
        self.soak.cut_runs |= life.running
        for identifier in life.running:
            self.soak.second_runs.on_end(identifier, self.instance, now())
        self.listener, self.life = None, None
        if dark:
            listener.go_dark()
        else:
            listener.cut(by_reset=self.draw_end.random() < 0.5)

    async def begin_anew(self, port: int):
        """Begins under another identifier and at another address."""
        self.beginnings += 1
        self.instance, self.port = f"model-replica-{self.index}-{self.beginnings}", port
        self.version = self.soak.versions.newest
        await self.start()

    async def start_again(self, back_after: float | None):
        if back_after is None:
            back_after = self.random.uniform(0.2, 2.0)
        await asyncio.sleep(back_after)
        await self.start()

    async def handle(self, message, peer: Peer):
        life, headers = self.life, message.headers
        identifier = headers.get("x-covewing-request-id", "")
        if identifier and message.path not in CALLS:
            self.soak.repeats[MODEL_SERVICE].on_arrival(identifier, now())
        if life is None:
            return None
        if headers.get("x-covewing-expected-instance", self.instance) != self.instance:
            self.soak.unasked.on_turned_away(message)
            return self.refusal(421, identifier)
        unasked = self.soak.unasked.broken_by(message, self.instance, serves_calls=True)
        if unasked and self.soak.options.from_program is None:
            self.soak.violate(f"'{message.first}' with identifier '{identifier}' is carried out by {self.instance}: "
                              f"{unasked}", "unnamed")
        if message.path in CALLS:
            self.soak.on_call_to_replica(self.run_name)
        if message.path == ORDER_PATH:
            return self.answer(identifier, self.take_order(life, json.loads(message.body)))
        if message.path == REPORT_PATH:
            return self.answer(identifier, 200, self.report(life))
        if message.path == CACHE_EVENTS_PATH:
            await asyncio.sleep(min(int(headers.get("wait-ms", "0")), 1000) / 1000)
            return self.answer(identifier, 200, {"epoch": life.born, "next_page_token": 0, "lost": False,
                                                 "events": []})
        if message.path == "/health":
            return self.answer(identifier, 200)
        return await self.serve(life, message, peer, identifier)

    def answer(self, identifier, status, body=None):
        return http_answer(status, json.dumps(body or {}).encode(),
                           [("Content-Type", "application/json"), ("X-Covewing-Request-Id", identifier),
                            ("X-Covewing-Instance-Id", self.instance), *self.notices.headers()])

    def head(self, identifier):
        return self.head_of_answer(identifier) + [("X-Covewing-Weight-Versions", self.version)]

    def refusal(self, status, identifier):
        return http_answer(status, b"", self.head(identifier) + [("X-Covewing-Not-Executed", "1")])

    def report(self, life: Life) -> dict:
        return {"stage": "combined", "models": self.models(), "busy": life.loading,
                "sequence": life.sequence, "queued_requests": life.waiting,
                "running_requests": len(life.running), "kv_cache_used": 0, "kv_cache_total": 90000,
                "handles": 0}

    # --- orders

    def take_order(self, life: Life, order: dict) -> int:
        wanted, token = order.get("version"), order.get("fencing_token")
        if order.get("model") != MODEL or not order.get("holder") or token is None:
            return 400
        self.soak.on_order(self.instance, order["holder"], token)
        if token < life.fence:
            return 412
        life.fence = token
        if wanted == self.version and not life.loading:
            return 200
        if wanted not in self.soak.versions.named:
            return 400
        if life.loading or order.get("expected_revision", life.sequence) != life.sequence:
            return 409
        life.sequence += 1
        life.loading = True
        life.flushed.set()
        self.soak.spawn(self.load(life, wanted))
        return 202

    async def load(self, life: Life, version: int):
        while life.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.random.uniform(*LOAD_SECONDS))
        if life is not self.life:
            return
        self.version, life.loading = version, False
        life.cache.clear()
        life.flushed = asyncio.Event()
        await self.tell()

    # --- requests

    def turn_away_for_want_of_room(self, identifier: str):
        """A brittle replica falls over when it has to do so more often in a second than it says."""
        self.turned_away = [at for at in self.turned_away if at > now() - 1] + [now()]
        brittle = self.notices.brittle
        if brittle is not None and len(self.turned_away) > brittle:
            self.soak.brittleness.on_fall(self.instance)
            self.crash()
            return None
        return self.refusal(503, identifier)

    def draw_wait(self, life: Life) -> float:
        """Most begin at once; some, and all while the replica is cold, wait long."""
        slow = now() < life.started + COLD_FOR or self.random.random() < 0.15
        return self.random.uniform(0.2, LONGEST_WAIT) if slow else self.random.expovariate(1 / 0.02)

    async def serve(self, life: Life, message, peer: Peer, identifier: str):
        self.soak.on_replica_reached(identifier, self.run_name)
        self.soak.on_part_arrival(identifier)
        if self.notices.turns_away():
            return self.turn_away(identifier)
        expected = message.headers.get("x-covewing-expected-version", str(self.version))
        if expected != str(self.version):
            return self.refusal(421, identifier)
        if life.loading:
            return self.refusal(503, identifier)
        if life.waiting + len(life.running) >= SLOTS + self.room_to_wait:
            return self.turn_away_for_want_of_room(identifier)
        arrived = now()
        if await self.wait_is_cut(life):
            return self.refusal(503, identifier)
        if peer.gone() or life is not self.life:
            return None
        self.soak.on_begin(self, identifier, arrived, message.headers.get("x-covewing-tenant", ""))
        self.read_prompt(life, message, identifier)
        life.running.add(identifier)
        try:
            return await self.run(message, peer, identifier)
        finally:
            life.running.discard(identifier)
            self.soak.second_runs.on_end(identifier, self.instance, now())

    async def wait_is_cut(self, life: Life) -> bool:
        """Waits until the request may begin; whether an order came before that."""
        life.waiting += 1
        try:
            await asyncio.wait_for(life.flushed.wait(), self.draw_wait(life))
            return True
        except asyncio.TimeoutError:
            return life.loading
        finally:
            life.waiting -= 1

    async def run(self, message, peer: Peer, identifier: str):
        events = stream_events(identifier, message.body.decode("latin-1"))
        left = events[int(message.headers.get("last-event-id") or 0):]
        if self.soak.options.streams:
            return await self.run_in_some_manner(peer, identifier, left)
        if self.soak.options.second_runs:
            return await self.run_with_pauses(peer, identifier, left)
        answer = http_answer(200, b"".join(left), self.head(identifier) + [
            ("X-Covewing-Server-Signature", self.instance), ("Content-Type", "text/event-stream")])
        # All but the last event come as soon as the request begins.
        rest = len(left[-1]) if left else 0
        peer.begun = answer[:len(answer) - rest]
        peer.writer.write(peer.begun)
        part = self.soak.parts.requests.get(identifier)
        if part is not None:
            await self.end_under(part)
            return None
        await asyncio.sleep(self.random.uniform(0.02, 0.3))
        return answer[len(answer) - rest:]

    async def run_with_pauses(self, peer: Peer, identifier: str, events: list[bytes]):
        if await loses_answer(self.soak, self.draw_manner, identifier):
            return None
        if draws_bare(self.soak, self.draw_manner, identifier):
            return bare_answer(self.draw_manner, self.head(identifier))
        whole = http_answer(200, b"".join(events), self.head(identifier) + [
            ("X-Covewing-Server-Signature", self.instance), ("Content-Type", "text/event-stream")])
        head = whole[:len(whole) - sum(map(len, events))]
        manner = draw_run_manner(self.draw_manner)
        self.soak.second_runs.pauses += manner.seconds > 0
        return await send_in_manner(peer, manner, head, events, self.random.uniform(0.02, 0.3))

    async def end_under(self, part: CrashingPart):
        """The replica ends some way into an answer to a prompt with the part."""
        life = self.life
        await asyncio.sleep(self.draw_end.uniform(*part.ends_after))
        if life is self.life and self.crash(self.draw_end.uniform(*part.BACK_AFTER)):
            part.ends.append(now())
            self.soak.say(f"{self.instance} ends under {part.name}")

    async def run_in_some_manner(self, peer: Peer, identifier: str, events: list[bytes]):
        manner = draw_manner(self.draw_end)
        if manner.broken is not None:
            self.soak.cut_runs.add(identifier)
        head = self.head(identifier) + [("X-Covewing-Server-Signature", self.instance),
                                        ("Content-Type", "text/event-stream")]
        pause = self.random.uniform(0.02, 0.3)
        written = [with_version(event, self.software) for event in events]
        life = self.life
        if manner.framing == Framing.CONNECTION:
            life.between_events.add(identifier)
        try:
            return await send_answer(peer, manner, head, written, pause)
        finally:
            life.between_events.discard(identifier)

    def read_prompt(self, life: Life, message, identifier: str):
        """Takes the parts of the prompt that are kept here or where the request fetches from."""
        headers = message.headers
        salt, source = headers.get("x-covewing-cache-salt", ""), headers.get(
            "x-covewing-cache-fetch-from", "")
        kept = [life.cache] + [other.life.cache for other in self.soak.model_replicas
                               if other.life is not None and other.address == source]
        for part in headers.get("x-covewing-prompt-prefix", "").split(","):
            key = (salt, part)
            for cache in kept:
                if cache.get(key, self.version) != self.version:
                    self.soak.violate(
                        f"{identifier} ran on version {self.version} with a part that was made "
                        f"under version {cache[key]}", "parts")
            life.cache[key] = self.version
