"""How replicas send their answers to streams: framed in one way or another, broken off in some, and marked with
the version of the software that wrote them."""

import asyncio
import dataclasses
import enum
import random

VERSIONS = ("v1", "v2")
# Of the answers to streams, the share that replicas break off inside an event.
BROKEN_SHARE = 0.15
# A field of each event that names the version that wrote it.
VERSION_FIELD = b"software: "


class Framing(enum.Enum):
    """By what the end of an answer is known."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class Break(enum.Enum):
    """How an answer is broken off inside an event."""

    IN_ORDER = "end of connection"
    RESET = "reset"
    # The announced length, or the last chunk, comes all the same.
    FRAMED = "as if complete"


@dataclasses.dataclass(frozen=True)
class Manner:
    """How a replica sends one answer."""

    framing: Framing
    broken: Break | None


def draw_manner(draw: random.Random) -> Manner:
    framing = draw.choice(list(Framing))
    if draw.random() >= BROKEN_SHARE:
        return Manner(framing, None)
    ways = [Break.IN_ORDER, Break.RESET]
    if framing != Framing.CONNECTION:
        ways.append(Break.FRAMED)
    return Manner(framing, draw.choice(ways))


def version_of(replica_index: int) -> str:
    return VERSIONS[replica_index % 2]


def other_version(version: str) -> str:
    return VERSIONS[1 - VERSIONS.index(version)]


def with_version(event: bytes, version: str) -> bytes:
    return VERSION_FIELD + version.encode() + b"\n" + event


def take_versions(body: bytes) -> tuple[set[str], bytes]:
    """The versions that wrote the events, and the events without that."""
    lines = body.split(b"\n")
    versions = {line[len(VERSION_FIELD):].decode() for line in lines if line.startswith(VERSION_FIELD)}
    return versions, b"\n".join(line for line in lines if not line.startswith(VERSION_FIELD))


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


async def send_answer(peer, manner: Manner, head, events: list[bytes], pause: float):
    """Sends all but the last event at once and the last one after the pause, or a part of it. Returns what
    Listener.serve is to send yet, or None where the connection ends."""
    first, last = b"".join(events[:-1]), events[-1] if events else b""
    if manner.broken is not None:
        last = last[:len(last) // 2]
    lines = ["HTTP/1.1 200 X"] + [f"{name}: {value}" for name, value in head]
    body_bytes = len(first) + (len(last) if manner.broken == Break.FRAMED or not events else
                               len(events[-1]))
    if manner.framing == Framing.LENGTH:
        lines.append(f"Content-Length: {body_bytes}")
    elif manner.framing == Framing.CHUNKS:
        lines.append("Transfer-Encoding: chunked")
    encode = chunk if manner.framing == Framing.CHUNKS else bytes
    peer.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + encode(first))
    await asyncio.sleep(pause)
    rest = encode(last)
    ends_by_frame = manner.broken in (None, Break.FRAMED)
    if manner.framing == Framing.CHUNKS and ends_by_frame:
        rest += b"0\r\n\r\n"
    if ends_by_frame and manner.framing != Framing.CONNECTION:
        return rest
    peer.writer.write(rest)
    if manner.broken == Break.RESET:
        # What is read before the reset counts as received.
        await asyncio.sleep(0.01)
        peer.reset()
    return None
