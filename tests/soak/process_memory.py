"""What a process uses of its machine's memory."""

import pathlib

MEGABYTE = 1_000_000
KILOBYTE = 1024


def memory_of(process_id: int, field: str) -> int:
    """VmHWM (the peak) or VmRSS, in bytes. Raises OSError or StopIteration where the process has ended."""
    status = pathlib.Path(f"/proc/{process_id}/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith(f"{field}:"))
    return int(line.split()[1]) * KILOBYTE
