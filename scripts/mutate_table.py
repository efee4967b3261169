"""Runs every mutation of covewing-sim and prints a table of what the checkers caught."""

import collections
import json
import subprocess
import sys


def run(program, mutation, scenario, seeds):
    """Results of the seeds, as parsed JSON lines."""
    command = [program, scenario, "--seeds", seeds, "--quiet"]
    if mutation:
        command += ["--mutation", mutation]
    output = subprocess.run(command, stdout=subprocess.PIPE, check=False).stdout
    return [json.loads(line) for line in output.splitlines()]


def summary(results):
    """Number of runs with a violation, and the violations by promise as text."""
    caught = sum(1 for result in results if result["violations"])
    promises = collections.Counter()
    for result in results:
        promises.update(result["violations"])
    return caught, ", ".join(f"{name} {count}" for name, count in promises.most_common())


def main():
    program, seeds = sys.argv[1:3]
    listed = subprocess.run([program, "--list-mutations"], stdout=subprocess.PIPE, check=True, text=True)
    missed = 0
    print("| mutation | scenario | runs caught | violations | without the mutation |")
    print("| --- | --- | --- | --- | --- |")
    for line in listed.stdout.splitlines():
        mutation, scenario, _ = line.split("\t")
        broken = run(program, mutation, scenario, seeds)
        caught, promises = summary(broken)
        sound, _ = summary(run(program, None, scenario, seeds))
        missed += caught == 0 or sound > 0
        print(f"| {mutation} | {scenario} | {caught} of {len(broken)} | {promises} | {sound} |")
        sys.stdout.flush()
    sys.exit(1 if missed else 0)


main()
