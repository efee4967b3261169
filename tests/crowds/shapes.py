"""Crowds of clients that don't keep to the rules, or keep to them all at once, and what the node may use meanwhile.

The bounds are those of the machine that the node is told to run on: its memory and its descriptors. They and the crowds
are fixed; none of them follows from what a node was seen to use."""

import asyncio
import dataclasses
import itertools
import socket
import struct
from collections.abc import Callable

from node_under_crowd import CALLERS, LARGE_PATH, METRICS, PEERS, READINESS, RELAY, SLOW_PATH

# The crowd stays at least so long, and until it has sent what it wants to send (seconds).
STAYS = 3.0
PIECE = 64 * 1024
# Of clients that read next to nothing (bytes).
SMALL_RECEIVE_BUFFER = 4096
# Bytes that a node may write to its log on account of a crowd.
MOST_LOG_BYTES = 4_000_000
# What a node keeps of its peak once the crowd has gone, beyond what it held in calm (bytes).
MOST_KEPT_BYTES = 16_000_000


@dataclasses.dataclass(frozen=True)
class Shape:
    """One crowd, and the limits of the node that it meets."""

    # act(node, client) is what one client does until it is cancelled, or has done its part.
    act: Callable
    clients: int
    # Of the node's machine (MB).
    memory_mb: int = 64
    descriptors: int = 2000
    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout_ms: int = 20000
    # Whether what is held has to be given back when the crowd has gone.
    given_back: bool = False


class Client:
    """One connection after the other to one port of the node."""

    def __init__(self, node, port):
        self.node, self.port = node, port
        self.socket = None

    async def connect(self, receive_buffer=0):
        self.close()
        self.socket = socket.socket()
        self.socket.setblocking(False)
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        await asyncio.get_running_loop().sock_connect(self.socket, (self.node.address, self.port))

    async def send(self, data: bytes):
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def read_some(self) -> bytes:
        return await asyncio.get_running_loop().sock_recv(self.socket, PIECE)

    async def wait_for_close(self):
        while await self.read_some():
            pass

    def close(self):
        if self.socket is not None:
            self.socket.close()


async def again_and_again(node, port, act, receive_buffer=0):
    """Acts on a new connection whenever the node has closed the last one."""
    client = Client(node, port)
    try:
        while True:
            try:
                await client.connect(receive_buffer)
                await act(client)
            except OSError:
                await asyncio.sleep(0.02)
    finally:
        client.close()


CHUNKED = ("Transfer-Encoding: chunked",)
CHUNK_BYTES = 0x4000
CHUNK = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)


def chunks_without_end(port):
    async def act(node, _number):
        async def send(client):
            await client.send(node.request(body_bytes=None, fields=CHUNKED))
            while True:
                await client.send(CHUNK)

        await again_and_again(node, port, send)

    return act


def chunks_that_go_on(port):
    """Most of the largest body at once, and then a byte now and then without end."""

    async def act(node, _number):
        async def send(client):
            await client.send(node.request(body_bytes=None, fields=CHUNKED))
            for _ in range(node.shape.body_bytes // CHUNK_BYTES - 1):
                await client.send(CHUNK)
            while True:
                await client.send(b"1\r\nx\r\n")
                await asyncio.sleep(0.2)

        await again_and_again(node, port, send)

    return act


async def announced_and_held(node, _number):
    async def send(client):
        await client.send(node.request(body_bytes=node.shape.body_bytes))
        await client.send(b"x" * (node.shape.body_bytes - 1))
        await client.wait_for_close()

    await again_and_again(node, CALLERS, send)


async def whole_bodies(node, _number):
    async def send(client):
        while True:
            size = node.shape.body_bytes
            await client.send(node.request(f"/app{SLOW_PATH}", size) + b"x" * size)
            if not await client.read_some():
                return

    await again_and_again(node, CALLERS, send)


async def answers_unread(node, _number):
    async def send(client):
        await client.send(b"".join(node.request(f"/app{LARGE_PATH}") + b"abc" for _ in range(16)))
        await asyncio.Event().wait()

    await again_and_again(node, CALLERS, send, SMALL_RECEIVE_BUFFER)


async def refusals_unread(node, _number):
    async def send(client):
        requests = b"".join(node.request("/nowhere") + b"abc" for _ in range(100))
        while True:
            await client.send(requests)

    await again_and_again(node, CALLERS, send, SMALL_RECEIVE_BUFFER)


async def refusals_read(node, _number):
    async def send(client):
        requests = b"".join(node.request("/nowhere") + b"abc" for _ in range(20))
        while True:
            await client.send(requests)
            if not await client.read_some():
                return

    await again_and_again(node, CALLERS, send)


def heads_held(bytes_of_head):
    async def act(node, _number):
        async def send(client):
            head = node.request(fields=[f"X-Field-{number}: " + "v" * 1000 for number in range(bytes_of_head // 1000)])
            await client.send(head[:bytes_of_head])
            await client.wait_for_close()

        await again_and_again(node, CALLERS, send)

    return act


async def bodies_byte_by_byte(node, _number):
    async def send(client):
        await client.send(node.request(body_bytes=node.shape.body_bytes))
        while True:
            await client.send(b"x")
            await asyncio.sleep(1)

    await again_and_again(node, CALLERS, send)


async def parts_of_bodies_and_closed(node, _number):
    async def send(client):
        await client.send(node.request(body_bytes=node.shape.body_bytes) + b"x" * (node.shape.body_bytes // 2))
        await asyncio.sleep(0.02)

    await again_and_again(node, CALLERS, send)


async def frames_held(node, _number):
    async def send(client):
        await client.send(struct.pack(">I", 31_000_000))
        for _ in itertools.repeat(None, 30_000_000 // PIECE):
            await client.send(b"x" * PIECE)
        await client.wait_for_close()

    await again_and_again(node, PEERS, send)


async def all_at_once(node, number):
    """Each client does one of what the other crowds do."""
    acts = [announced_and_held, answers_unread, heads_held(15_000), whole_bodies, chunks_that_go_on(RELAY), frames_held,
            refusals_unread, bodies_byte_by_byte]
    await acts[number % len(acts)](node, number)


SHAPES = {
    "bodies_without_end": Shape(chunks_without_end(CALLERS), clients=400),
    "bodies_that_go_on": Shape(chunks_that_go_on(CALLERS), clients=400),
    "bodies_held": Shape(announced_and_held, clients=400),
    "bodies_given_back": Shape(announced_and_held, clients=200, given_back=True),
    "whole_bodies": Shape(whole_bodies, clients=300),
    "whole_bodies_on_a_small_machine": Shape(whole_bodies, clients=20, memory_mb=88, body_bytes=4_194_304),
    "answers_unread": Shape(answers_unread, clients=30),
    "refusals_unread": Shape(refusals_unread, clients=8),
    "refusals_read": Shape(refusals_read, clients=8),
    "heads_held": Shape(heads_held(60_000), clients=1100, memory_mb=48, descriptors=4000, header_bytes=65536),
    "heads_for_all_descriptors": Shape(heads_held(8_000), clients=200, descriptors=400),
    "bodies_byte_by_byte": Shape(bodies_byte_by_byte, clients=200, descriptors=400),
    "bodies_to_readiness": Shape(chunks_without_end(READINESS), clients=40),
    "bodies_to_metrics": Shape(chunks_without_end(METRICS), clients=40),
    "bodies_to_other_nodes_port": Shape(chunks_that_go_on(RELAY), clients=200, body_bytes=1_048_576),
    "frames_held": Shape(frames_held, clients=8),
    "all_at_once": Shape(all_at_once, clients=800, memory_mb=88, descriptors=4100, body_bytes=4_194_304),
    "parts_of_bodies_and_closed": Shape(parts_of_bodies_and_closed, clients=100),
}
