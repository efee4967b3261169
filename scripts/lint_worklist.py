"""Lists the sources that clang-tidy should check: "<digest> <asio|plain> <file>" per line.

The digest covers the source, every project header it reaches, its compile command, the clang-tidy
configuration and the lint scripts.
"""

import hashlib
import json
import os
import re
import sys

INCLUDE = re.compile(rb'^\s*#\s*include\s*([<"])([^>"]+)[>"]', re.MULTILINE)
ROOT = os.getcwd()


def closure(path, seen):
    """Collects the project files that `path` reaches; returns whether Asio is among the includes."""
    with open(path, "rb") as stream:
        content = stream.read()
    seen[path] = content
    asio = False
    for kind, raw in INCLUDE.findall(content):
        name = raw.decode()
        asio = asio or name.startswith(("boost/asio", "boost/beast"))
        if kind == b"<":
            continue
        for folder in ("src", os.path.dirname(path)):
            candidate = os.path.normpath(os.path.join(folder, name))
            if os.path.isfile(candidate):
                if candidate not in seen:
                    asio = closure(candidate, seen) or asio
                break
    return asio


def main():
    database, selected = sys.argv[1], set(sys.argv[2:])
    common = hashlib.sha256()
    for path in (".clang-tidy", "scripts/lint", "scripts/lint_worklist.py"):
        with open(path, "rb") as stream:
            common.update(stream.read())
    with open(database, encoding="utf-8") as stream:
        entries = json.load(stream)
    listed = set()
    for entry in entries:
        path = os.path.relpath(os.path.join(entry["directory"], entry["file"]), ROOT)
        if path in listed or path not in selected or not path.startswith("src/"):
            continue
        listed.add(path)
        seen = {}
        asio = closure(path, seen) or path.startswith("src/live/")
        digest = common.copy()
        digest.update(entry["command"].encode())
        for name in sorted(seen):
            digest.update(b"\0" + name.encode() + b"\0" + seen[name])
        print(digest.hexdigest(), "asio" if asio else "plain", path)
    unbuilt = sorted(p for p in selected - listed if p.startswith("src/") and p.endswith(".cc"))
    if unbuilt:
        sys.exit("lint: not part of the build: " + ", ".join(unbuilt))


main()
