"""Nodes that lose their links to all replicas, or to some, while callers, the table service and other nodes reach
them."""

import asyncio
import ctypes
import random
import socket
import struct

from callers import KINDS, Caller
from checks import Cut, Trouble
from wire import now

# What becomes of a cut node's connections to replicas: all hang; all are reset and new ones hang; open
# ones live on and new ones hang.
SHAPES = ["silent", "reset", "new ones hang"]
CUT_FOR = 9.0
CALM_BETWEEN = 4.0
CUTS = 2
# Time between two callers that come to a node anew (seconds).
CALLER_EVERY = 0.06

SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
# Instructions of the operating system's packet filters, and the place of an IPv4 packet's source address.
LOAD_WORD, JUMP_IF_EQUAL, RETURN = 0x20, 0x15, 0x06
SOURCE_ADDRESS = (-0x100000 + 12) & 0xFFFFFFFF


def drop_packets(receiver, addresses):
    """Of what arrives at a socket from now on, packets from these addresses are dropped unseen."""
    program = [(LOAD_WORD, 0, 0, SOURCE_ADDRESS)]
    for place, address in enumerate(addresses):
        number = struct.unpack("!I", socket.inet_aton(address))[0]
        program.append((JUMP_IF_EQUAL, len(addresses) - place, 0, number))
    program += [(RETURN, 0, 0, 0xFFFFFFFF), (RETURN, 0, 0, 0)]
    code = b"".join(struct.pack("HBBI", *instruction) for instruction in program)
    buffer = ctypes.create_string_buffer(code, len(code))
    receiver.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER,
                        struct.pack("HL", len(program), ctypes.addressof(buffer)))


def accept_packets(receiver):
    try:
        receiver.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
    except OSError:
        pass  # It had no filter.


def cut_from(listener, shape, addresses):
    for receiver in listener.server.sockets:
        drop_packets(receiver, addresses)
    for peer in list(listener.peers):
        if peer.writer.get_extra_info("peername")[0] not in addresses:
            continue
        if shape == "silent":
            drop_packets(peer.writer.get_extra_info("socket"), addresses)
        elif shape == "reset":
            peer.reset()


def heal(listener):
    for receiver in listener.server.sockets:
        accept_packets(receiver)
    for peer in listener.peers:
        accept_packets(peer.writer.get_extra_info("socket"))


class NewCaller(Caller):
    """Sends one request on a connection of its own, to one node."""

    def __init__(self, soak, number, node):
        super().__init__(soak, number, KINDS)
        self.node = node

    async def run(self):
        sent, served = now(), False
        try:
            self.stream = await asyncio.open_connection(self.node.address, 7000)
            answer = await self.request(self.random.choice(self.kinds), f"new {self.number}")
            served = answer is not None and answer.status == 200
        except OSError:
            pass  # The node takes no connection: not served.
        self.drop()
        self.soak.cuts.on_first_try(self.node.index, sent, served)


async def come_anew(soak, node):
    number = 0
    while not soak.over:
        number += 1
        soak.spawn(NewCaller(soak, f"n{node.index}-{number}", node).run())
        await asyncio.sleep(CALLER_EVERY)


def draw_replicas(soak, draw):
    """All replicas, those of one service, or a third of all."""
    replicas = soak.replicas + soak.model_replicas
    drawn = draw.random()
    if drawn < 0.6:
        return replicas
    if drawn < 0.8:
        return draw.choice([soak.replicas, soak.model_replicas])
    return draw.sample(replicas, len(replicas) // 3)


def draw_nodes(nodes, draw):
    """Two nodes of any zones, or all of one zone."""
    if draw.random() < 0.5:
        return draw.sample(nodes, 2)
    zone = draw.randrange(3)
    return [node for node in nodes if node.index % 3 == zone]


async def cut_nodes_from_replicas(soak, shape=None):
    """Some nodes lose their links to replicas, one time after the other, in one shape or another."""
    draw = random.Random(f"{soak.options.seed}/cuts")
    for node in soak.nodes:
        soak.spawn(come_anew(soak, node))
    await asyncio.sleep(2)
    for _ in range(CUTS):
        nodes, drawn = draw_nodes(soak.nodes, draw), shape or draw.choice(SHAPES)
        await cut_once(soak, nodes, drawn, draw_replicas(soak, draw))
        await asyncio.sleep(CALM_BETWEEN)
    for violation in soak.cuts.broken():
        soak.violate(violation, "cut")


async def cut_once(soak, nodes, shape, replicas):
    soak.say(f"{shape}: {[node.index for node in nodes]} are cut from {len(replicas)} replicas")
    troubles = [Trouble(now()) for _ in nodes]
    for node, trouble in zip(nodes, troubles):
        node.troubles.append(trouble)
    for replica in replicas:
        cut_from(replica.listener, shape, [node.address for node in nodes])
    cut = Cut(shape, now(), now() + CUT_FOR, {node.index for node in nodes})
    soak.cuts.cuts.append(cut)
    await asyncio.sleep(CUT_FOR)
    for replica in replicas:
        heal(replica.listener)
    for trouble in troubles:
        trouble.end = now()


# How long sound replicas are silent, how long they answer in between, and how often (seconds).
SILENT_FOR = (0.8, 1.4)
ANSWER_FOR = 2.5
SILENCES = 6
# All is served again this long after a silence (seconds).
SERVED_AGAIN_AFTER = 0.8


async def silence_replicas(soak):
    """Half of the replicas of a service, or all, are silent for about a second and go on: neither their
    processes nor their connections end. Requests that may run once wait for them."""
    draw = random.Random(f"{soak.options.seed}/silences")
    for node in soak.nodes:
        soak.spawn(come_anew(soak, node))
    await asyncio.sleep(2)
    for _ in range(SILENCES):
        await silence_once(soak, draw)
        await asyncio.sleep(ANSWER_FOR)
    await asyncio.sleep(2)
    for violation in soak.broken_by_silences():
        soak.violate(violation, "silence")


async def silence_once(soak, draw):
    addresses = [node.address for node in soak.nodes]
    replicas = draw.choice([soak.replicas, soak.model_replicas])
    if draw.random() < 0.5:
        replicas = draw.sample(replicas, len(replicas) // 2)
    soak.say(f"silent: {[replica.instance for replica in replicas]}")
    began = now()
    for replica in replicas:
        cut_from(replica.listener, "silent", addresses)
    await asyncio.sleep(draw.uniform(*SILENT_FOR))
    for replica in replicas:
        heal(replica.listener)
    soak.silences.append((began, now()))
