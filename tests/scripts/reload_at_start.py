"""Looks at what a node does with SIGHUP when it has written its first line, over several starts."""

import pathlib
import signal
import subprocess
import sys
import tempfile

STARTS = 10
ADDRESS = "127.90.1.1"
SETTINGS = f"""
[node]
name = "node"
zone = "zone"
region = "region"
[listen]
callers = "{ADDRESS}:7000"
readiness = "{ADDRESS}:7002"
peers = "{ADDRESS}:7001"
metrics = "{ADDRESS}:7003"
[cluster]
seeds = ["{ADDRESS}:7001"]
[table_service]
address = "127.0.0.1:9"
"""


def ignores_reload(pid: int) -> bool:
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    ignored = next(line.split()[1] for line in status.splitlines() if line.startswith("SigIgn:"))
    return bool(int(ignored, 16) & 1 << signal.SIGHUP - 1)


def main():
    with tempfile.TemporaryDirectory() as folder:
        settings = pathlib.Path(folder) / "node.toml"
        settings.write_text(SETTINGS, encoding="utf-8")
        ignored = 0
        for _ in range(STARTS):
            with subprocess.Popen([sys.argv[1], str(settings)], stdout=subprocess.PIPE) as process:
                process.stdout.readline()
                process.send_signal(signal.SIGSTOP)
                ignored += ignores_reload(process.pid)
                process.kill()
        print(f"reload_at_start: {ignored} of {STARTS} starts ignored it with their first line")
        return 0 if ignored == STARTS else 1


sys.exit(main())
