#!/usr/bin/env python3
"""Compares real processes on loopback with hollow nodes of the same number, both without callers.

usage: capacity_live.py BUILD_DIR [NODES [ENGINES]]

Starts the emulator and NODES covewingd in three zones, waits until all see each other, and reads over
twenty seconds what each spends: bytes between nodes from /metrics, bytes of connections from `ss`,
processor time and resident memory from /metrics. One JSON line a figure on standard output. Every
process that was started is stopped by its identifier.
"""

import json
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

ZONES = ("zone-0", "zone-1", "zone-2")
READY_SECONDS = 90
SETTLE_SECONDS = 30
SPAN_SECONDS = 20
UDP_HEADERS = 28
TCP_HEADERS = 52
PEER_TRAFFIC = ("membership", "configuration", "cache_index", "coordination", "admission", "claims")
HTTP_TRAFFIC = ("engine_reports", "table", "object_store", "machine_list", "orders")

SETTINGS = """[node]
region = "region-0"
[listen]
caller = "127.0.0.1:0"
operator = "127.0.0.1:0"
peer = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[platform]
table = "{table}"
objects = "{object_store}"
machines = "{machine_list}"
[operator]
key = "capacity-operator-key"
"""


class Node:
    def __init__(self, build, work, number, seed):
        self.log = work / f"node-{number}.log"
        command = [build / "covewingd", "--settings", work / "common.toml", "--node-name",
                   f"node-{number}", "--node-zone", ZONES[number % len(ZONES)]]
        if seed:
            command += ["--cluster-seeds", seed]
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=log)

    def listener(self, name):
        pattern = re.compile(rf'listener="{name}" endpoint="([^"]*)"')
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            found = pattern.search(self.log.read_text(errors="replace"))
            if found:
                return found.group(1)
            time.sleep(0.05)
        raise RuntimeError(f"{self.log.name}: no listener {name}")

    def metrics(self):
        address = self.listener("metrics")
        with urllib.request.urlopen(f"http://{address}/metrics", timeout=5) as answer:
            lines = answer.read().decode().splitlines()
        values = {}
        for line in lines:
            if line and not line.startswith("#"):
                name, value = line.rsplit(" ", 1)
                values[name] = float(value)
        return values


def sum_of(metrics, name):
    return sum(value for key, value in metrics.items() if key.split("{")[0] == name)


def connection_bytes(pids):
    """Payload and headers of all connections of each process so far, by process and connection."""
    output = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True, check=True).stdout
    result = {}
    key = None
    for line in output.splitlines():
        if not line.startswith((" ", "\t")):
            pid = re.search(r"pid=(\d+)", line)
            fields = line.split()
            owned = pid and int(pid.group(1)) in pids
            key = (int(pid.group(1)), fields[3], fields[4]) if owned else None
        elif key:
            counts = dict(re.findall(r"(bytes_sent|bytes_received|segs_out|segs_in):(\d+)", line))
            payload = int(counts.get("bytes_sent", 0)) + int(counts.get("bytes_received", 0))
            segments = int(counts.get("segs_out", 0)) + int(counts.get("segs_in", 0))
            result[key] = payload + TCP_HEADERS * segments
    return result


def read(nodes):
    peer = cpu = memory = 0.0
    for node in nodes:
        metrics = node.metrics()
        peer += sum_of(metrics, "covewing_peer_bytes_total")
        peer += UDP_HEADERS * sum_of(metrics, "covewing_peer_frames_total")
        cpu += sum_of(metrics, "covewing_process_cpu_seconds_total")
        memory += sum_of(metrics, "covewing_process_resident_bytes")
    return peer, cpu, memory


def wait_for_all(nodes):
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        seen = [sum_of(node.metrics(), "covewing_members") for node in nodes]
        if all(count == len(nodes) for count in seen):
            return
        time.sleep(0.5)
    raise RuntimeError(f"not all nodes see each other: {seen}")


def measure_live(build, work, node_count, engine_count):
    started = []
    nodes = []
    try:
        endpoints = work / "endpoints.json"
        emulator = subprocess.Popen(
            [build / "covewing-emulator", "--fleet", "tournaments", "--engines", str(engine_count),
             "--endpoints", endpoints], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        started.append(emulator)
        deadline = time.monotonic() + READY_SECONDS
        while not (endpoints.exists() and endpoints.stat().st_size) and time.monotonic() < deadline:
            time.sleep(0.05)
        time.sleep(0.2)
        services = json.loads(endpoints.read_text())
        (work / "common.toml").write_text(SETTINGS.format(**services))
        seed = ""
        for number in range(node_count):
            nodes.append(Node(build, work, number, seed))
            started.append(nodes[-1].process)
            if not seed:
                seed = nodes[0].listener("peer")
        wait_for_all(nodes)
        time.sleep(SETTLE_SECONDS)
        pids = {node.process.pid for node in nodes}
        before, before_connections = read(nodes), connection_bytes(pids)
        begin = time.monotonic()
        time.sleep(SPAN_SECONDS)
        after, after_connections = read(nodes), connection_bytes(pids)
        span = (time.monotonic() - begin) * node_count
        # Connections that ended meanwhile are not counted; the clients keep theirs open.
        http = sum(value - before_connections.get(key, 0)
                   for key, value in after_connections.items())
        return {
            "peer": (after[0] - before[0]) / span,
            "http": http / span,
            "cpu": 100 * (after[1] - before[1]) / span,
            "memory": after[2] / node_count / 1e6,
        }
    finally:
        for process in started:
            process.send_signal(signal.SIGTERM)
        for process in started:
            try:
                process.wait(timeout=20)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def measure_hollow(build, node_count, engine_count):
    output = subprocess.run(
        [build / "covewing-capacity", "hollow", "--nodes", str(node_count), "--engines",
         str(engine_count), "--zones", str(len(ZONES)), "--regions", "1", "--tenants", "1",
         "--blocks-per-engine", "1", "--warm-up", str(SETTLE_SECONDS),
         "--span", str(SPAN_SECONDS)],
        capture_output=True, text=True, check=True).stdout
    line = json.loads(output)
    traffic = line["mean_bytes_per_s"]
    return {
        "peer": sum(traffic[name] for name in PEER_TRAFFIC),
        "http": sum(traffic[name] for name in HTTP_TRAFFIC),
        "cpu": line["cpu_percent"]["mean"],
        "memory": line["memory_mb"],
    }


def main(build_dir, node_count=24, engine_count=48):
    build = pathlib.Path(build_dir).resolve()
    node_count, engine_count = int(node_count), int(engine_count)
    with tempfile.TemporaryDirectory() as scratch:
        live = measure_live(build, pathlib.Path(scratch), node_count, engine_count)
    hollow = measure_hollow(build, node_count, engine_count)
    names = {
        "peer": "bytes/s between nodes, sent and received",
        "http": "bytes/s of connections to engines and platform",
        "cpu": "% of a core",
        "memory": "MB (resident, and allocated)",
    }
    for key, name in names.items():
        print(json.dumps({"live": round(live[key], 4), "hollow_figure": round(hollow[key], 4),
                          "figure": f"{name}, {node_count} nodes, {engine_count} idle engines"}))


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    main(*sys.argv[1:])
