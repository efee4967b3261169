"""HTTP/1.1 as far as the stand-ins of the review need it."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or an answer: first line, head fields with names in lower case, and body."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers, b"")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """A message whose body has a length or chunks. Raises IncompleteReadError where it is cut short."""
    message = await read_head(reader)
    if message.headers.get("transfer-encoding", "") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0].strip(), 16)
            message.body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return message
    length = int(message.headers.get("content-length", "0"))
    message.body = await reader.readexactly(length)
    return message


def answer_bytes(status: int, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request_bytes(method: str, target: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
