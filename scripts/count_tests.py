"""Counts Boost.Test cases from the reports in a results folder.

Prints failed and known-red cases, and "<passed> <failed>" as the last line. A case named in
KNOWN-RED.txt (the text before the first ':') does not count as failed.
"""

import os
import sys
import xml.etree.ElementTree as ElementTree


def known_red():
    if not os.path.exists("KNOWN-RED.txt"):
        return set()
    with open("KNOWN-RED.txt", encoding="utf-8") as stream:
        lines = (line.strip() for line in stream)
        return {line.split(":", 1)[0].strip() for line in lines if line and line[0] != "#"}


def cases(suite, path):
    for child in suite:
        if child.tag == "TestSuite":
            yield from cases(child, path + [child.get("name")])
        elif child.tag == "TestCase":
            yield "/".join(path + [child.get("name")]), child.get("result")


def report(path):
    """All (case, result) of one program; empty where it left no complete report."""
    try:
        root = ElementTree.parse(path).getroot()
    except (OSError, ElementTree.ParseError):
        return []
    return [case for module in root for case in cases(module, [])]


def main():
    folder = sys.argv[1]
    red = known_red()
    seen = set()
    passed = failed = 0
    for program in ElementTree.parse(os.path.join(folder, "ctest.junit")).getroot().iter("testcase"):
        name = program.get("name")
        explained = False
        for case, result in report(os.path.join(folder, name + ".xml")):
            seen.add(case)
            if result == "skipped":
                print(f"skipped: {name}: {case}")
            elif result == "passed":
                passed += 1
                if case in red:
                    print(f"known-red now passes: {case}")
            else:
                explained = True
                if case in red:
                    print(f"known-red: {case}")
                else:
                    print(f"FAILED: {name}: {case}")
                    failed += 1
        # A crash, a time-out or a failed fixture is no case, yet it must count.
        if program.get("status") != "run" and not explained:
            print(f"FAILED: {name}: the program failed outside any reported case")
            failed += 1
    for case in sorted(red - seen):
        print(f"known-red not found: {case}")
    print(passed, failed)


main()
