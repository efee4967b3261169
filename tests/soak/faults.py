"""What happens to nodes, replicas and the table service, and what operators do, in series that
overlap. Each series draws from a generator of its own."""

import asyncio
import random
import signal

from callers import UNSAFE, Caller
from checks import CALM_AFTER, Trouble
from model_replicas import QUEUE
from nodes import Node
from replicas import DEADLY
from wire import now

# Operators and faults meet within this (seconds).
MEET_WITHIN = 0.05
# What replicas name where nothing else goes wrong: less than callers want (requests a second).
CALM_LIMIT = (0.5, 5.0)
CALM_LIMIT_ROUNDS = 2
# So many times the usual callers, so that they want more than all replicas take.
CALM_LIMIT_CALLERS = 6


# Requests a second that brittle replicas can turn away, how many may wait there, how long after they
# said so that begins, and for how long (seconds).
BRITTLE = (2, 8)
BRITTLE_ROOM = (0, 3)
BRITTLE_AFTER = 3.0
BRITTLE_FOR = 12.0
# So many times the usual callers, so that they want more than all replicas take.
BRITTLE_CALLERS = 8


class Faults:
    def __init__(self, soak):
        self.soak = soak
        self.random = random.Random(soak.options.seed)

    async def series(self, name, step, steps, pause):
        draw = random.Random(f"{self.soak.options.seed}/{name}")
        for _ in range(steps):
            if self.soak.over or now() > self.soak.faults_end:
                return
            await step(draw)
            await asyncio.sleep(draw.uniform(*pause))

    def start_series(self):
        steps = {"kill": self.kill_some, "stop": self.stop_some, "pause": self.pause_some,
                 "reload": self.reload_some, "crash": self.crash_some, "store": self.trouble_store,
                 "feed": self.trouble_feeds, "configuration": self.change_configuration,
                 "rebirth": self.crash_model_replicas, "other writer": self.soak.other_writer.write}
        # Each run has some kinds of faults, so that what one of them excuses shows in others.
        names = [name for name in steps if self.random.random() < 0.35] or ["crash"]
        # Two of a kind may overlap as well.
        for number, name in enumerate(names + self.random.choices(names, k=2)):
            pause = (0.2, 1.5) if self.random.random() < 0.4 else (2.0, 6.0)
            self.soak.spawn(self.series(f"{name} {number}", steps[name],
                                        self.random.randint(2, 8), pause))
        for number in range(2):
            self.soak.spawn(self.series(f"deadly {number}", self.deadly_wave, 3, (0.0, 3.0)))
        # In calmer runs the bound of a version passes before the next fault.
        pause = (0.3, 4.0) if self.random.random() < 0.4 else (3.5, 6.0)
        self.soak.spawn(self.series("version", self.name_version, 8, pause))

    def start_key_series(self):
        """Series of their own, drawn apart, so that those above are what they are without them."""
        draw = random.Random(f"{self.soak.options.seed}/kinds of key series")
        for number in range(2):
            pause = (0.2, 1.5) if draw.random() < 0.4 else (2.0, 7.0)
            self.soak.spawn(self.series(f"keys {number}", self.change_keys, 8, pause))
        self.soak.spawn(self.series("ways", self.trouble_ways, 6, (0.5, 4.0)))
        self.soak.spawn(self.series("clock", self.restart_store, 2, (2.0, 6.0)))

    def start_notice_series(self):
        """Replicas leave and ask for rest; drawn apart as well."""
        for number in range(2):
            self.soak.spawn(self.series(f"leave {number}", self.leave_some, 8, (0.3, 3.0)))
            self.soak.spawn(self.series(f"rest {number}", self.rest_some, 8, (0.3, 4.0)))

    def start_limit_series(self):
        """Replicas name limits, change and end them; drawn apart as well."""
        for number in range(2):
            self.soak.spawn(self.series(f"limit {number}", self.limit_some, 8, (0.2, 2.0)))

    def first_era(self) -> int:
        """Of the table service; 0: it tells none before its first return."""
        return random.Random(f"{self.soak.options.seed}/first era").choice([0, 0, 1, 7])

    def start_return_series(self):
        """The table service returns from copies; drawn apart as well."""
        draw = random.Random(f"{self.soak.options.seed}/kinds of return series")
        pause = (0.3, 2.0) if draw.random() < 0.3 else (2.0, 8.0)
        self.soak.spawn(self.series("return", self.return_amid_changes, draw.randint(1, 5), pause))
        self.soak.spawn(self.series("heartbeats", self.write_heartbeats, 1000, (0.4, 0.9)))

    async def replace_builds(self):
        """All nodes get the build at hand, one or two at a time; then half of them the former one
        again, as after a bad release, and the build at hand in the end."""
        draw = random.Random(f"{self.soak.options.seed}/builds")
        options, nodes = self.soak.options, self.soak.nodes
        await self.replace_nodes(draw.sample(nodes, len(nodes)), options.program, draw)
        if options.and_back:
            some = draw.sample(nodes, len(nodes) // 2)
            await self.replace_nodes(some, options.from_program, draw)
            await self.replace_nodes(some, options.program, draw)

    async def replace_nodes(self, nodes, program, draw):
        at_once = asyncio.Semaphore(draw.randint(1, 2))

        async def replace(node):
            async with at_once:
                while node.busy:
                    await asyncio.sleep(0.05)
                await node.suffer(f"replaced by {program}", node.replace_by(program), draw)

        await asyncio.gather(*(replace(node) for node in nodes))

    # --- nodes

    async def on_some_node(self, what, fault, draw):
        await draw.choice(self.soak.nodes).suffer(what, fault, draw)

    async def kill_some(self, draw):
        await self.on_some_node("killed", Node.kill, draw)

    async def stop_some(self, draw):
        await self.on_some_node("stopped as planned", Node.stop, draw)

    async def pause_some(self, draw):
        await self.on_some_node("paused", Node.pause, draw)

    async def on_several_nodes(self, what, fault, draw):
        nodes = draw.sample(self.soak.nodes, draw.randint(1, max(1, len(self.soak.nodes) - 1)))
        await asyncio.gather(*(node.suffer(what, fault, draw) for node in nodes))

    async def kill_several(self, draw):
        await self.on_several_nodes("killed", Node.kill, draw)

    async def pause_several(self, draw):
        await self.on_several_nodes("paused", Node.pause, draw)

    async def pause_several_long(self, draw):
        await self.on_several_nodes("paused for long", Node.pause_long, draw)

    async def wake_all_without_store(self, draw):
        """Nobody is left who could tell the others of news."""
        await asyncio.gather(*(node.suffer("stopped, and without the table service when it wakes",
                                           Node.wake_without_store, draw)
                               for node in self.soak.nodes))

    async def lose_store(self, draw):
        await self.on_several_nodes("without the table service", Node.lose_store, draw)

    async def hear_store_late(self, draw):
        await self.on_several_nodes("late to hear of the table service", Node.hear_store_late, draw)

    async def trouble_ways(self, draw):
        await draw.choice([self.lose_store, self.hear_store_late, self.pause_several_long])(draw)

    async def reload_some(self, draw):
        for node in draw.sample(self.soak.nodes, max(1, len(self.soak.nodes) // 2)):
            if node.listens():
                node.send(signal.SIGHUP)

    # --- replicas

    async def crash_some(self, draw):
        replica = draw.choice(self.soak.replicas)
        if replica.crash():
            self.soak.say(f"{replica.name} crashes")

    async def crash_model_replicas(self, draw):
        count = draw.randint(1, max(1, len(self.soak.model_replicas) // 2))
        for replica in draw.sample(self.soak.model_replicas, count):
            if replica.crash():
                self.soak.say(f"{replica.instance} crashes")

    def a_service(self, draw):
        return draw.choice([self.soak.replicas, self.soak.model_replicas])

    async def leave_some(self, draw):
        """Mostly while the table service, or some nodes' way to it, cannot tell of it."""
        replicas = self.a_service(draw)
        companions = [self.trouble_store, self.lose_store, self.trouble_feeds]
        if draw.random() < 0.7:
            self.soak.spawn(draw.choices(companions, [3, 2, 1])[0](draw))
            await asyncio.sleep(draw.uniform(0, 0.5))
        staying = [one for one in replicas if one.leaving_run != one.run_name]
        for replica in draw.sample(staying, min(draw.randint(1, 2), len(staying) // 2)):
            self.soak.spawn(replica.leave(draw))

    async def rest_some(self, draw):
        """A few of a service, half of it, or all."""
        replicas = self.a_service(draw)
        count = draw.choice([1, len(replicas) // 2, len(replicas)])
        self.soak.say(f"{count} of {len(replicas)} replicas want rest")
        for replica in draw.sample(replicas, count):
            replica.ask_for_rest(draw)

    async def limit_some(self, draw):
        """A few of a service, half of it, or all name limits, and change them."""
        replicas = self.a_service(draw)
        count = draw.choice([1, len(replicas) // 2, len(replicas)])
        limited = draw.sample(replicas, count)
        for _ in range(draw.randint(1, 3)):
            self.soak.say(f"{count} of {len(replicas)} replicas name limits")
            for replica in limited:
                replica.name_limit(replica.draw_limit(draw))
            await asyncio.sleep(draw.uniform(1.5, 7.0))
        if draw.random() < 0.7:
            for replica in limited:
                replica.name_limit(None)

    # --- the table service

    async def trouble_store(self, draw):
        mode = draw.choice(["down", "slow", "silent", "lose"])
        self.soak.say(f"the table service: {mode}")
        trouble = Trouble(now())
        self.soak.store_troubles.append(trouble)
        if mode == "lose":
            self.soak.store.lose = 3
        else:
            self.soak.store.mode = mode
        await asyncio.sleep(draw.uniform(0.5, 4.0))
        self.soak.store.mode, self.soak.store.lose = "normal", 0
        trouble.end = now()

    async def trouble_feeds(self, draw):
        """The history is dropped, or connections of some nodes fall silent for good."""
        self.soak.store_troubles.append(Trouble(now(), now()))
        if draw.random() < 0.5:
            self.soak.say("the table service drops its history")
            await self.soak.store.drop_history()
        else:
            self.soak.say("connections to the table service fall silent")
            share = draw.uniform(0.2, 1.0)
            for node in self.soak.nodes:
                node.store_way.listener.silence(share, draw)

    async def restart_store(self, draw, leap=None):
        """The table service starts again, with a steady clock that begins elsewhere: `leap` later."""
        store = self.soak.store
        if store.mode != "normal":
            return
        trouble = Trouble(now())
        self.soak.store_troubles.append(trouble)
        store.mode = "down"
        for node in self.soak.nodes:
            node.store_way.listener.cut_connections()
        await asyncio.sleep(draw.uniform(0.1, 1.0))
        # What leaps back makes nodes too careful; what leaps ahead would make answers look young.
        leap = leap or draw.choice([-1, 1, 1]) * draw.uniform(1.0, 30.0)
        if not self.soak.options.steady_clock:
            store.clock_lead += leap
        self.soak.say(f"the table service starts again, its clock leads by {store.clock_lead:.1f} s")
        store.mode = "normal"
        trouble.end = now()

    async def write_heartbeats(self, _draw):
        """Replicas write their entries again; what changes is the version."""
        store = self.soak.store
        for (table, key), value in list(store.of_others.items()):
            if table == "servers" and value is not None and store.here.is_set():
                await store.put(table, key, value)

    async def return_amid_changes(self, draw):
        """Mostly soon after operators have written, and while nodes are in trouble."""
        changes = [self.soak.operators.change_keys, self.name_bare_version] if (
            self.soak.options.keys) else [self.name_bare_version]
        for change in draw.sample(changes, draw.randint(0, len(changes))):
            await change(draw)
        await asyncio.sleep(draw.choice([0.0, draw.uniform(0, MEET_WITHIN), draw.uniform(0, 3.0)]))
        companions = [self.kill_several, self.pause_several, self.lose_store, self.hear_store_late,
                      self.pause_several_long, self.crash_model_replicas, self.stop_some]
        for companion in draw.choices(companions, [4, 1, 3, 1, 1, 2, 1], k=draw.randint(0, 2)):
            self.soak.spawn(companion(draw))
        await self.return_store(draw)
        if draw.random() < 0.3:
            await asyncio.sleep(draw.uniform(0.0, 1.0))
            await self.return_store(draw)

    async def name_bare_version(self, _draw):
        await self.soak.name_version()

    async def return_store(self, draw):
        """It is away, comes back from a copy, and others write again what it has lost."""
        store = self.soak.store
        if not store.here.is_set():
            return
        age, away, past = draw.uniform(0.1, 6.0), draw.uniform(0, 3.0), draw.random() < 0.5
        within = draw.uniform(0, 1.5)
        trouble = Trouble(now())
        self.soak.store_troubles.append(trouble)
        copied = now() - age
        store.go_away(keep_transactions=draw.random() < 0.5)
        for node in self.soak.nodes:
            node.store_way.listener.cut_connections()
        await asyncio.sleep(away)
        missing, late = store.return_from_copy(copied, past)
        self.soak.counts["returns"] += 1
        self.soak.say(f"the table service returns from a copy {age:.1f} s old, era {store.era}, version "
                      f"{store.version}, {'past' if past else 'behind'}; {len(missing)} rows missing, "
                      f"{len(late)} transactions late")
        for transaction in late:
            self.soak.spawn(self.transact_late(transaction, draw.uniform(0, 6.0)))
        await asyncio.gather(*(self.write_again(row, draw.uniform(0, within)) for row in missing))
        trouble.end = now()

    async def write_again(self, row, delay: float):
        await asyncio.sleep(delay)
        self.soak.store.write_again(*row)

    async def transact_late(self, transaction: dict, delay: float):
        await asyncio.sleep(delay)
        await self.soak.store.here.wait()
        await self.soak.store.transact(transaction)

    # --- operators

    async def change_configuration(self, _draw):
        await self.soak.operators.configure()

    async def change_keys(self, draw):
        """Mostly just before or after faults of those who have to hear of it."""
        possible = [self.pause_several_long, self.lose_store, self.hear_store_late,
                    self.restart_store, self.kill_several, self.trouble_feeds,
                    self.wake_all_without_store]
        companions = draw.choices(possible, [3, 3, 2, 3, 1, 1, 3], k=draw.randint(0, 3))
        # The table service holds a call for 0.8 s: news come in its answer, or after it.
        gap = draw.uniform(0, MEET_WITHIN) if draw.random() < 0.5 else draw.uniform(0.8, 2.5)
        before = draw.random() < 0.5
        if not before:
            await self.soak.operators.change_keys(draw)
            await asyncio.sleep(gap)
        for companion in companions:
            self.soak.spawn(companion(draw))
        if before:
            await asyncio.sleep(gap)
            await self.soak.operators.change_keys(draw)

    async def name_version(self, draw):
        """Mostly just before or after faults of those who have to hear of it, or to load it."""
        possible = [self.kill_several, self.pause_several, self.stop_some, self.trouble_feeds,
                    self.crash_model_replicas]
        weights = [3, 3, 1, 1, 2]
        companions = draw.choices(possible, weights, k=draw.randint(0, 2))
        before = draw.random() < 0.5
        if not before:
            await self.soak.name_version()
            await asyncio.sleep(draw.uniform(0, MEET_WITHIN))
        for companion in companions:
            self.soak.spawn(companion(draw))
        if before:
            await asyncio.sleep(draw.uniform(0, MEET_WITHIN))
            await self.soak.name_version()

    # --- one sequence of its own

    async def leave_answer_unread(self):
        """Nodes lose the table service while an answer of it lies unread, behind a leap of its clock.

        A node that had stood still for 7.0 s took an answer that it found for a new one, told another
        node so, and that one ran requests with a key that had been taken away 5.0 to 6.0 s before:

            47.660 s  node-1  event=1004 name=NodeWokeFromPause silence_ms="6984"
            47.843 s  node-0  event=3010 name=ConfigurationConfirmed version="37" age_ms="183" by="127.31.2.1:7001"
            48.059 s  node-0  event=5005 name=RelayDispatched configuration="37" confirmed_ms="399"
            49.247 s  node-0  event=3006 name=RouteTableInForce version="40"
        """
        draw = random.Random(self.soak.options.seed)
        await self.restart_store(draw, leap=20.0)
        # Its clock is known by then, as far as it can be.
        await asyncio.sleep(CALM_AFTER)
        stopped = [self.soak.spawn(node.suffer("stopped, and without the table service when it wakes",
                                               Node.wake_refused, draw))
                   for node in self.soak.nodes]
        # Behind the answer to the call that the service holds.
        await asyncio.sleep(1.5)
        await self.soak.operators.change_keys(draw)
        await asyncio.gather(*stopped)

    async def limit_all_calmly(self):
        """All replicas name limits while nothing else goes wrong, and callers want more of them: each
        is to get nearly as much as it names."""
        draw, rule = random.Random(self.soak.options.seed), self.soak.limits
        replicas = self.soak.replicas + self.soak.model_replicas
        for _ in range(CALM_LIMIT_ROUNDS):
            for replica in replicas:
                replica.name_limit(round(draw.uniform(*CALM_LIMIT), 1))
            await asyncio.sleep(rule.IN_FORCE)
            began = now()
            await asyncio.sleep(rule.LEAST_WINDOW)
            for replica in replicas:
                if starved := rule.starved(replica.run_name, began, now()):
                    self.soak.violate(starved, "starved")
        for replica in replicas:
            replica.name_limit(None)
        await asyncio.sleep(1)

    async def make_all_brittle(self):
        """All replicas of the model say that they are brittle, and let fewer requests wait from
        BRITTLE_AFTER on, while callers want more than they take."""
        draw, replicas = random.Random(self.soak.options.seed), self.soak.model_replicas
        for replica in replicas:
            replica.notices.brittle = draw.randint(*BRITTLE)
        await asyncio.sleep(BRITTLE_AFTER)
        for replica in replicas:
            replica.room_to_wait = draw.randint(*BRITTLE_ROOM)
        await asyncio.sleep(BRITTLE_FOR)
        for replica in replicas:
            replica.notices.brittle, replica.room_to_wait = None, QUEUE
        self.soak.counts["brittle replicas fell"] = len(self.soak.brittleness.falls)
        if fell := self.soak.brittleness.broken(len(replicas)):
            self.soak.violate(fell, "brittle")
        await asyncio.sleep(1)

    # --- callers

    async def deadly_wave(self, draw):
        """One request comes again and again, at any node."""
        body = f"{DEADLY} {draw.random()}"
        caller = Caller(self.soak, f"d{draw.randrange(10**6)}")
        end = now() + draw.uniform(8, 12)
        self.soak.say(f"a wave of '{body}'")
        while now() < end and not self.soak.over:
            await caller.connect()
            if caller.stream is not None:
                await caller.request(UNSAFE, body)
                caller.drop()
            await asyncio.sleep(draw.uniform(0.05, 0.5))
