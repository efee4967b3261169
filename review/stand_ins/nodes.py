"""Processes of covewing-node, started with the command of deploy/system.toml and with settings as
deploy/node.toml.template makes them for a small deployment."""

import asyncio
import ctypes
import os
import pathlib
import signal
import subprocess

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/covewing-node"

# The bounds of the sites' sheets.
SETTINGS = """[node]
name = "{name}"
zone = "{zone}"
region = "region-1"

[listen]
callers = "{address}:{callers}"
readiness = "{address}:{readiness}"
peers = "{address}:{peers}"
relay = "peers+1"
metrics = "{address}:{metrics}"

[cluster]
seeds = [{seeds}]

[table_service]
address = "{store}"

[bounds]
grace_s = 8
revocation_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54
weights_in_force_ms = 8000
fencing_enforced = true
lease_ms = 3000
"""


def end_with_parent():
    """A case that is killed leaves no node behind."""
    set_parent_death_signal = 1
    ctypes.CDLL(None).prctl(set_parent_death_signal, signal.SIGKILL)


class Ports:
    """Alike on all machines, as the pages have it."""

    def __init__(self, first: int):
        self.callers, self.readiness, self.control = first, first + 1, first + 2
        self.peers, self.metrics = first + 10, first + 15


class Node:
    def __init__(self, name: str, zone: str, address: str, ports: Ports, folder: pathlib.Path):
        self.name, self.zone, self.address, self.ports, self.folder = name, zone, address, ports, folder
        self.process = None

    def start(self, store: str, seeds: list[str]):
        ports = self.ports
        settings = self.folder / f"{self.name}.toml"
        settings.write_text(SETTINGS.format(
            name=self.name, zone=self.zone, address=self.address, callers=ports.callers,
            readiness=ports.readiness, peers=ports.peers, metrics=ports.metrics, store=store,
            seeds=", ".join(f'"{seed}:{ports.control}"' for seed in seeds)), encoding="utf-8")
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen([str(ROOT / PROGRAM)], cwd=ROOT, stdout=log, stderr=log,
                                            env={**os.environ, "COVEWING_CONFIG": str(settings)},
                                            preexec_fn=end_with_parent)

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.address, self.ports.readiness)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, seconds: float) -> bool:
        for _ in range(int(seconds / 0.1)):
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number: signal.Signals):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """Ends the process, also one that stands still."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
