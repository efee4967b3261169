"""Nearly all new connections of a zone, or of all, go to one node for some seconds, while callers open more of them
and go on using old ones; then to another node, once that one is stopped as planned or killed."""

import asyncio
import random

from callers import KINDS, Caller
from checks import CALM_AFTER, Crowd
from nodes import Node
from wire import ended_by_peer, now, read_behind_head, read_head, refused_behind_end

EVENT_CLOSED_EARLY = 8006
ZONES = 3

# New connections in a second, to all nodes alike, and so many times that to one node.
NEW_CONNECTIONS = 25
TIMES_MORE = (3, 5)
# Of the connections that are meant for one node, those that go there.
SHARE = 0.95
# How long connections come alike before that, and then to each node (seconds).
BEFORE = 6.0
CROWD_FOR = 10.0
CROWDS = 2
# How long callers keep a connection, and rest on it between requests (seconds).
KEEPS_FOR = (3.0, 8.0)
RESTS_FOR = (1.0, 3.0)
MOST_TRIES = 4
CONNECTS_WITHIN = 2.0


class CrowdCaller(Caller):
    """Opens a connection to a node, to another one where that node does not read its request, and uses it for
    some time."""

    def __init__(self, soak, number, first: Node):
        super().__init__(soak, f"c{number}", KINDS)
        self.first = first
        self.answer_began = False

    async def run(self):
        await self.want("new", self.first)
        leaves_at = now() + self.random.uniform(*KEEPS_FOR)
        while now() < leaves_at and not self.soak.over:
            await asyncio.sleep(self.random.uniform(*RESTS_FOR))
            if self.stream is None or ended_by_peer(self.stream[1]):
                self.drop()
                break
            await self.want("kept", None)
        self.drop()

    async def want(self, way, first):
        """Sends a request until a node has read it: on the open connection, or to the first node; then to others."""
        sent, node = now(), first or self.node
        for _ in range(MOST_TRIES):
            read, served = await self.try_at(node)
            if read:
                break
            node = self.random.choice([other for other in self.soak.nodes if other is not node])
        self.soak.crowds.on_wanted(way, sent, read and served)
        self.soak.counts[f"one node: read by none ({way})"] += not read

    async def try_at(self, node) -> tuple[bool, bool]:
        """Whether a node has read the request, and whether it was served there."""
        if self.stream is None and not await self.connect_to(node):
            return False, False
        self.answer_began = False
        answer = await self.request(self.random.choice(self.kinds), f"crowd {self.number} {self.sent}")
        return self.answer_began, answer is not None and answer.status == 200

    async def connect_to(self, node) -> bool:
        self.node = node
        try:
            self.stream = await asyncio.wait_for(asyncio.open_connection(node.address, 7000), CONNECTS_WITHIN)
            return True
        except asyncio.TimeoutError:
            self.soak.counts["one node: not connected in time"] += 1
        except OSError:
            self.soak.counts["one node: connection refused"] += 1
        return False

    async def read_answer(self, reader):
        head = await read_head(reader)
        self.answer_began = True
        return await read_behind_head(reader, head)

    def on_unanswered(self, identifier, error):
        if self.answer_began:
            how = "answer broken off"
        elif isinstance(error, asyncio.TimeoutError):
            how = "no answer in time"
            # A node that takes a connection and lets it wait has failed as well.
            self.answer_began = True
        elif isinstance(error, asyncio.IncompleteReadError):
            how = "ended, crossed" if refused_behind_end(self.stream[1]) else "ended"
        else:
            how = "reset"
        end = "" if not self.node.busy else " by a planned stop" if self.node.stopping else " by a kill"
        self.soak.counts[f"one node: {how}{end}"] += 1


class Arrivals:
    """Callers come to the nodes, to all alike or nearly all to one."""

    def __init__(self, soak, draw):
        self.soak, self.draw = soak, draw
        self.per_second = NEW_CONNECTIONS
        # The node that the callers of a zone go to, or all; None: they go to any node.
        self.target, self.zone = None, None
        self.number = 0

    def choose(self) -> Node:
        meant = self.target is not None and self.zone in (None, self.draw.randrange(ZONES))
        if meant and self.draw.random() < SHARE:
            return self.target
        return self.draw.choice(self.soak.nodes)

    async def run(self):
        while not self.soak.over and self.per_second > 0:
            self.number += 1
            self.soak.spawn(CrowdCaller(self.soak, self.number, self.choose()).run())
            await asyncio.sleep(self.draw.expovariate(self.per_second))


async def crowd(soak, arrivals, target, draw):
    """Nearly all come to the target; requests that the end of its process might cut do not count."""
    arrivals.target = target
    arrivals.zone = target.index % ZONES if draw.random() < 0.3 else None
    arrivals.per_second = NEW_CONNECTIONS * draw.uniform(*TIMES_MORE)
    whose = "all" if arrivals.zone is None else f"zone-{arrivals.zone}"
    soak.say(f"{arrivals.per_second:.0f} new connections a second, those of {whose} go to node-{target.index}")
    soak.crowds.crowds.append(Crowd(f"node-{target.index} ({whose})", now(), now() + CROWD_FOR))
    await asyncio.sleep(CROWD_FOR)


async def come_to_one_node(soak):
    draw = random.Random(f"{soak.options.seed}/one node")
    arrivals = Arrivals(soak, random.Random(f"{soak.options.seed}/arrivals"))
    soak.spawn(arrivals.run())
    # Nodes have just started, and replicas are cold.
    await asyncio.sleep(CALM_AFTER)
    soak.crowds.before = Crowd("before", now(), now() + BEFORE)
    await asyncio.sleep(BEFORE)
    for target in draw.sample(soak.nodes, CROWDS):
        await crowd(soak, arrivals, target, draw)
        what, fault = draw.choice([("killed", Node.kill), ("stopped as planned", Node.stop)])
        soak.spawn(target.suffer(what, fault, draw))
    arrivals.per_second = 0
    await asyncio.sleep(max(KEEPS_FOR))
    for node in soak.nodes:
        for line in node.log_lines(EVENT_CLOSED_EARLY):
            unread = "with" if int(line["unread"]) > 0 else "without"
            soak.counts[f"closed early, {unread} bytes unread: {line['why']}"] += 1
    for name, text in soak.crowds.figures():
        soak.counts[f"one node: {name}"] = text
    for violation in soak.crowds.broken():
        soak.violate(violation, "one node")
