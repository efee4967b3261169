"""Answers that are spoiled in their head, their framing or their trailer, and callers that send requests ahead: neither
may end a node, nor may callers get anything but whole answers and refusals."""

import asyncio
import random

from checks import Sent
from wire import now, read_message

# Of the answers of application replicas, the share that is spoiled.
SHARE = 0.1
# Longer than the library that nodes use can store.
LONG = 70_000
# A caller sends up to so many requests at once.
MOST_AHEAD = 5
# Statuses of the answers that callers may get amid spoiled answers.
STATUSES = {200, 502, 503, 504}


def head(status: str, fields: list[tuple[str, str]], *more: str) -> bytes:
    lines = [f"HTTP/1.1 {status}"] + [f"{name}: {value}" for name, value in fields] + list(more)
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


CHUNKED = "Transfer-Encoding: chunked"
SHAPES = {
    "length of petabytes": lambda fields: head("200 X", fields, "Content-Length: 9123456789012345") + b"ran",
    "longest length": lambda fields: head("200 X", fields, "Content-Length: 9223372036854775807") + b"ran",
    "length of gigabytes": lambda fields: head("200 X", fields, "Content-Length: 3000000000") + b"ran",
    "largest chunk": lambda fields: head("200 X", fields, CHUNKED) + b"7fffffffffffffff\r\nran",
    "long value": lambda fields: head("200 X", fields, "X-Long: " + "v" * LONG, "Content-Length: 3") + b"ran",
    "long name": lambda fields: head("200 X", fields, "n" * LONG + ": v", "Content-Length: 3") + b"ran",
    "long trailer": lambda fields: head("200 X", fields, CHUNKED) + b"3\r\nran\r\n0\r\nX: " + b"v" * LONG + b"\r\n\r\n",
    "status 000": lambda fields: head("000 X", fields, "Content-Length: 3") + b"ran",
    "status 099": lambda fields: head("099 X", fields, "Content-Length: 3") + b"ran",
    "status 600": lambda fields: head("600 X", fields, "Content-Length: 3") + b"ran",
    "status 999": lambda fields: head("999 X", fields),
    "coded": lambda fields: head("200 X", fields, "Transfer-Encoding: gzip") + b"\x1f\x8bcoded",
    "coded chunks": lambda fields: head("200 X", fields, "Transfer-Encoding: gzip, chunked") + b"3\r\nran\r\n0\r\n\r\n",
    "continued field": lambda fields: head("200 X", fields, "X-Covewing-Server-Signature: one", " two",
                                           "Content-Length: 3") + b"ran",
    "blank in a name": lambda fields: head("200 X", fields, "X Y: 1", "Content-Length: 3") + b"ran",
    "control byte in a name": lambda fields: head("200 X", fields, "X\x01Y: 1", "Content-Length: 3") + b"ran",
    "two lengths": lambda fields: head("200 X", fields, "Content-Length: 3", "Content-Length: 4") + b"ran",
}


def spoiled_answer(draw: random.Random, fields: list[tuple[str, str]]) -> bytes | None:
    """An answer for most of which there are no such bytes in HTTP; None: this one is not spoiled."""
    if draw.random() >= SHARE:
        return None
    return SHAPES[draw.choice(list(SHAPES))](fields)


async def send_ahead(caller, write_request):
    """Sends several requests at once on the caller's connection, and reads their answers in order. What has not been
    read when a connection is closed behind an answer that says so was not run."""
    draw, soak = caller.random, caller.soak
    reader, writer = caller.stream
    ahead = []
    for _ in range(draw.randint(2, MOST_AHEAD)):
        caller.sent += 1
        kind, identifier = draw.choice(caller.kinds), f"{soak.options.seed}-{caller.number}-{caller.sent}"
        body = f"ahead {caller.number} {caller.sent} " + "b" * draw.choice((0, 100, 3000, 9000))
        soak.sent_to[identifier], soak.kinds[identifier] = caller.node, kind
        soak.sent[identifier] = Sent(now(), caller.node.process.pid, caller.key, kind.name)
        soak.repeats[kind.service].on_sent(now())
        ahead.append((kind, identifier, body))
    node, process, began = caller.node, caller.node.process, now()
    answered = 0
    try:
        writer.write(b"".join(write_request(kind, identifier, body) for kind, identifier, body in ahead))
        for kind, identifier, body in ahead:
            answer = await asyncio.wait_for(read_message(reader), 9)
            answered += 1
            soak.on_answer(identifier, kind, body, answer)
            if answer.headers.get("x-covewing-request-id", identifier) != identifier:
                soak.violate(f"{identifier} got an answer to {answer.headers['x-covewing-request-id']}")
            if answer.headers.get("connection", "").lower() == "close":
                break
        else:
            return
    except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.TimeoutError, ValueError):
        for kind, identifier, body in ahead[answered:]:
            soak.on_broken(node, process, identifier, body, now() - began)
        caller.drop()
        soak.count_ahead_broken(ahead[answered:])
        return
    for _, identifier, _ in ahead[answered:]:
        if soak.runs[identifier]:
            soak.violate(f"{identifier}, sent ahead of a close that was told, has run")
    caller.drop()
