#!/usr/bin/env python3
"""A TCP proxy on loopback that disturbs the connections that pass through it.

usage: fault_proxy.py TARGET_HOST:PORT ADDRESS_FILE MODE_FILE

Writes the address that it listens on to ADDRESS_FILE, and reads its mode from MODE_FILE whenever
that file changes:
  pass     bytes go through at once
  delay    each chunk waits 300 ms
  reset    open connections are reset, and so is each new one
  silence  nothing goes through in either direction; connections stay open
  one-way  requests go through, answers do not
"""

import asyncio
import os
import socket
import struct
import sys

CHUNK_BYTES = 65536
DELAY_SECONDS = 0.3
POLL_SECONDS = 0.05
MODES = {"pass", "delay", "reset", "silence", "one-way"}


class FaultProxy:
    def __init__(self, target, mode_file):
        self.host, port = target.rsplit(":", 1)
        self.port = int(port)
        self.mode_file = mode_file
        self.mode = "pass"
        self.writers = set()

    async def watch_mode(self):
        while True:
            try:
                with open(self.mode_file, encoding="ascii") as file:
                    mode = file.read().strip()
            except FileNotFoundError:
                mode = "pass"
            if mode in MODES and mode != self.mode:
                self.mode = mode
                if mode == "reset":
                    self.reset_all()
            await asyncio.sleep(POLL_SECONDS)

    def reset_all(self):
        for writer in list(self.writers):
            self.reset(writer)

    @staticmethod
    def reset(writer):
        connection = writer.get_extra_info("socket")
        if connection is not None:
            linger_none = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_none)
        writer.close()

    def swallows(self, answers):
        return self.mode == "silence" or (answers and self.mode == "one-way")

    async def pump(self, reader, writer, answers):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.mode == "delay":
                    await asyncio.sleep(DELAY_SECONDS)
                # What is held up is lost when the connection ends, as behind a partition.
                while self.swallows(answers):
                    await asyncio.sleep(POLL_SECONDS)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        if self.mode == "reset":
            self.reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            self.reset(writer)
            return
        pair = {writer, far_writer}
        self.writers |= pair
        await asyncio.gather(
            self.pump(reader, far_writer, answers=False),
            self.pump(far_reader, writer, answers=True),
        )
        self.writers -= pair


async def main():
    if len(sys.argv) != 4:
        print(__doc__, file=sys.stderr)
        sys.exit(2)
    proxy = FaultProxy(sys.argv[1], sys.argv[3])
    server = await asyncio.start_server(proxy.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    partial = sys.argv[2] + ".partial"
    with open(partial, "w", encoding="ascii") as file:
        file.write(f"{host}:{port}")
    os.rename(partial, sys.argv[2])
    await proxy.watch_mode()


asyncio.run(main())
