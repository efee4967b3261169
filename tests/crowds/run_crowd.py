"""Lets one crowd come to one node, on a machine of its own little memory and few descriptors, and checks what doesn't
depend on how fast this machine is:
- in calm, the largest request that is allowed is served;
- the process lives;
- its memory at its peak stays below that of its machine, and it always has a descriptor left;
- its log stays short, and memory is given back when the crowd has gone;
- an ordinary caller who comes again until it is served gets its answer beside the crowd, and the first ordinary
  request behind it is answered.

Exit status: 0 when all held, 1 with what did not, 2 for a wrong command line."""

import argparse
import asyncio
import pathlib
import sys

from node_under_crowd import NodeUnderCrowd, now
from process_memory import MEGABYTE
from shapes import MOST_KEPT_BYTES, MOST_LOG_BYTES, SHAPES, STAYS

# Machines give memory back when they get to it (seconds).
GIVEN_BACK_WITHIN = 30


async def watch(node):
    while node.lives():
        node.count_descriptors()
        await asyncio.sleep(0.02)


async def come_and_go(node):
    """The crowd, and whether an ordinary caller was served beside it."""
    clients = [asyncio.ensure_future(node.shape.act(node, number)) for number in range(node.shape.clients)]
    ends_at = now() + STAYS
    served = True
    try:
        while now() < ends_at:
            await asyncio.sleep(STAYS / 3)
            served = served and await node.serve_one()
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
    return served


async def kept_bytes(node, calm) -> int:
    """What is held behind the crowd beyond what was held in calm."""
    deadline = now() + GIVEN_BACK_WITHIN
    while now() < deadline and node.lives() and node.memory("VmRSS") - calm > MOST_KEPT_BYTES:
        await asyncio.sleep(0.1)
    return node.memory("VmRSS") - calm


async def play(node) -> list[str]:
    await node.start()
    calm = node.memory("VmRSS")
    broken = []
    status = await node.ask(node.shape.body_bytes)
    if status != 200:
        broken.append(f"the largest request that is allowed got {status} in calm")
    watching = asyncio.ensure_future(watch(node))
    served_beside = await come_and_go(node)
    if not served_beside:
        broken.append("no ordinary caller was served beside the crowd")
    if not node.lives():
        return broken + [f"the process has ended, exit status {node.process.returncode}"]
    status = await node.ask()
    if status != 200:
        broken.append(f"the ordinary request behind the crowd got {status}")
    kept = await kept_bytes(node, calm) if node.shape.given_back else 0
    watching.cancel()
    figures = {"MB in calm": calm / MEGABYTE, "MB at the peak": node.memory("VmHWM") / MEGABYTE,
               "descriptors": node.most_descriptors, "MB of log": node.log_file.stat().st_size / MEGABYTE,
               "MB kept": kept / MEGABYTE}
    print("; ".join(f"{name}: {figure:.1f}" for name, figure in figures.items()))
    bounds = {"MB at the peak": node.shape.memory_mb, "descriptors": node.shape.descriptors - 1,
              "MB of log": MOST_LOG_BYTES / MEGABYTE, "MB kept": MOST_KEPT_BYTES / MEGABYTE}
    return broken + [f"{name}: {figures[name]:.1f}, allowed {bound:.1f}" for name, bound in bounds.items()
                     if figures[name] > bound]


async def run(node) -> list[str]:
    try:
        return await play(node)
    finally:
        node.stop()


def main():
    parser = argparse.ArgumentParser(description="One crowd of clients, and one node.")
    parser.add_argument("shape", choices=SHAPES, nargs="?")
    parser.add_argument("--list", action="store_true", help="names the crowds")
    parser.add_argument("--program", type=pathlib.Path, default="build/covewing-node")
    parser.add_argument("--slot", type=int, default=0, choices=range(16), help="runs beside each other take other ones")
    options = parser.parse_args()
    if options.list:
        print("\n".join(SHAPES))
        return 0
    if options.shape is None:
        parser.error("no crowd is named")
    broken = asyncio.run(run(NodeUnderCrowd(options.program, options.slot, SHAPES[options.shape])))
    for what in broken:
        print(f"crowd {options.shape}: BROKEN: {what}")
    print(f"crowd {options.shape}: {'failed' if broken else 'ok'}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
