"""HTTP/1.1 as far as the soak's stand-ins and callers need it."""

import asyncio
import dataclasses
import errno
import select
import socket
import struct
import time


def now() -> float:
    return time.monotonic()


@dataclasses.dataclass
class HttpMessage:
    """Head fields in lower case, first line and body."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        return self.first.split(" ")[1].partition("?")[0]

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])


async def read_message(reader: asyncio.StreamReader, to_end: bool = False) -> HttpMessage:
    """With `to_end`, a body with neither a length nor chunks ends with the connection."""
    return await read_behind_head(reader, await read_head(reader), to_end)


async def read_head(reader: asyncio.StreamReader) -> bytes:
    return await reader.readuntil(b"\r\n\r\n")


async def read_behind_head(reader: asyncio.StreamReader, head: bytes, to_end: bool = False) -> HttpMessage:
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif to_end and "content-length" not in headers:
        body = await reader.read()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return HttpMessage(lines[0], headers, body)


def http_answer(status: int, body: bytes, headers=()) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset_on_close(writer: asyncio.StreamWriter):
    """Whatever closes the connection now, resets it. (`abort` alone ends it in order, unless it has unread
    bytes.)"""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def ended_by_peer(writer: asyncio.StreamWriter) -> bool:
    """Looks at the socket itself: whether the end of the connection has arrived. (The event loop may not have
    seen it yet.)"""
    look = select.poll()
    look.register(writer.get_extra_info("socket"), select.POLLRDHUP)
    return bool(look.poll(0))


def refused_behind_end(writer: asyncio.StreamWriter) -> bool:
    """Of a connection that the peer has ended in order: whether the peer's machine turned away what was sent,
    as the connection had ended before that arrived."""
    connection = writer.get_extra_info("socket")
    error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if connection.fileno() >= 0 else 0
    return error in (errno.EPIPE, errno.ECONNRESET)


@dataclasses.dataclass(eq=False)
class Peer:
    """The other end of a connection that a listener has accepted."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    # Nothing is sent on it any more, and it stays open.
    silent: bool = False
    # What the handler has written of the answer itself, before it gave the rest.
    begun: bytes = b""

    def reset(self):
        reset_on_close(self.writer)
        self.writer.transport.abort()

    def gone(self) -> bool:
        return self.reader.at_eof() or self.writer.is_closing()


class Listener:
    """A server whose connections can all be cut at once. `handle(message, peer)` gives the bytes of
    the answer, or None to close the connection."""

    # Address of all listeners of the run. No connection begins at it, so that one that opens again on its former port
    # finds it free.
    host = "127.0.0.1"

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        # In the order in which they came.
        self.peers: dict[Peer, None] = {}
        self.port = 0
        # Size of the connections' receive buffers in bytes; 0: as the operating system chooses.
        self.receive_buffer = 0
        self.reads_nothing = False
        # Makes the surplus answers of each connection; None: there are none.
        self.make_surplus = None

    async def open(self):
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        listening.bind((Listener.host, self.port))
        self.server = await asyncio.start_server(self.serve, sock=listening)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        peer = Peer(reader, writer)
        self.peers[peer] = None
        surplus = self.make_surplus() if self.make_surplus else None
        if self.reads_nothing:
            writer.transport.pause_reading()
        try:
            while True:
                message, peer.begun = await read_message(reader), b""
                if surplus is not None:
                    writer.write(surplus.before_answer())
                answer = await self.handle(message, peer)
                if answer is None:
                    break
                if peer.silent:
                    await reader.read()
                    break
                writer.write(answer)
                if surplus is not None:
                    writer.write(surplus.behind_answer(peer.begun + answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass  # The peer ended the connection, or the soak is over.
        finally:
            self.peers.pop(peer, None)
            writer.close()

    def cut(self, by_reset: bool = False):
        self.server.close()
        self.cut_connections(by_reset)

    def cut_connections(self, by_reset: bool = False):
        """Ends all connections by a reset, or in order (but by a reset where bytes are unread)."""
        for peer in list(self.peers):
            if by_reset:
                peer.reset()
            else:
                peer.writer.transport.abort()

    def go_dark(self):
        """Accepts no connection any more; the open ones stay open, and nothing more comes on them."""
        self.server.close()
        for peer in self.peers:
            peer.silent = True

    def read_nothing(self, still: bool):
        """From now on nothing is read from any connection, or all of them are read again."""
        self.reads_nothing = still
        for peer in self.peers:
            if still:
                peer.writer.transport.pause_reading()
            else:
                peer.writer.transport.resume_reading()

    def silence(self, share: float, draw):
        """Some of the open connections carry nothing to the peers any more."""
        for peer in self.peers:
            peer.silent = peer.silent or draw.random() < share
