"""A small deployment on loopback addresses: the store, nodes in three zones, and the operator."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import socket
import tempfile
import time

from nodes import Node, Ports
from platform_store import PlatformStore

ZONES = ("hall-1", "hall-2", "hall-3")
# A replica writes its entry about so often.
HEARTBEAT_SECONDS = 1.2


def now_ms() -> int:
    return int(time.time() * 1000)


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path: pathlib.Path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text: str):
        self.file.write(f"{time.monotonic() - self.began:9.4f} s  {text}\n")
        self.file.flush()


def free_ports(addresses: list[str]) -> Ports:
    """Ports that no other process uses on any of the addresses."""
    for _ in range(200):
        first = random.randrange(20_000, 32_000, 20)
        taken = []
        try:
            for address in addresses:
                for port in range(first, first + 16):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = socket.socket(socket.AF_INET, kind)
                        taken.append(probe)
                        probe.bind((address, port))
            return Ports(first)
        except OSError:
            continue
        finally:
            for probe in taken:
                probe.close()
    raise RuntimeError("no free ports")


class SmallFleet:
    def __init__(self, record: Record, node_count: int):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.subnet = random.randrange(100, 250)
        self.store = PlatformStore()
        addresses = [f"127.{self.subnet}.{index + 1}.1" for index in range(node_count)]
        ports = free_ports(addresses)
        self.nodes = [Node(f"frontend-{index + 1}", ZONES[index % len(ZONES)], address, ports, self.folder)
                      for index, address in enumerate(addresses)]
        self.replica_addresses = iter(f"127.{self.subnet}.{100 + index}.1" for index in range(100))
        self.tasks: list[asyncio.Task] = []

    async def open_store(self):
        await self.store.open(f"127.{self.subnet}.99.1")

    def configure(self, configuration: dict):
        self.store.put("op", "config", json.dumps(configuration).encode())
        self.record.write(f"operator: configuration {configuration['version']} acknowledged")

    def start_nodes(self):
        for node in self.nodes:
            node.start(self.store.address, [other.address for other in self.nodes[:3]])

    async def wait_until_ready(self) -> bool:
        for node in self.nodes:
            if not await node.wait_until_ready(20):
                return False
        self.record.write(f"all {len(self.nodes)} nodes are ready")
        return True

    def spawn(self, work):
        self.tasks.append(asyncio.get_running_loop().create_task(work))

    def keep_entry(self, replica):
        """Writes the replica's entry now and about every heartbeat from now on."""

        async def beat():
            while True:
                entry = replica.entry()
                self.store.put("servers", replica.identifier,
                               None if entry is None else json.dumps(entry).encode())
                await asyncio.sleep(HEARTBEAT_SECONDS)

        self.spawn(beat())

    def end(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            node.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(main) -> int:
    """Runs `main(record, trouble)` with the folder of the case as the current one; its result is the
    exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path("record.txt"))
    record.write(f"disruption: {'on' if trouble else 'off'}")
    try:
        return asyncio.run(main(record, trouble))
    except (OSError, RuntimeError, asyncio.TimeoutError) as error:
        record.write(f"the case could not run: {error!r}")
        return 2
