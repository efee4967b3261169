#!/usr/bin/env python3
"""Writes the figures of docs/CAPACITY.md and the plots' data from JSON lines.

usage: capacity_page.py PAGE DATA_DIR FILE...

Each FILE holds lines of `covewing-capacity` or of the live check. A section of the page between
<!-- NAME --> and <!-- /NAME --> is replaced where lines for it were read, and left alone otherwise.
"""

import json
import pathlib
import re
import sys


def number(value):
    """Three significant digits, with thousands marked."""
    if value is None:
        return "not within 60 s"
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{float(f'{value:.3g}'):g}"


def table(head, rows):
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |"]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def budget_table(lines):
    rows = []
    for line in lines:
        if "budget" not in line:
            continue
        shares = [
            f"{number(line[key])} ({100 * line[key] / line['limit_' + key]:.0f}%)"
            for key in ("bytes_per_s", "cpu_percent", "memory_mb")
        ]
        rows.append([line["role"], *shares, "yes" if line["within"] else "**no**"])
    head = ["role", "bytes/s", "% of a core", "MB", "within the limits"]
    return table(head, rows) if rows else None


UNITS = {
    "nodes": "node of the fleet",
    "engines": "engine a node",
    "events": "cache event a second and node",
    "blocks": "cached block a node",
    "tenants": "tenant of the fleet",
    "changes": "change a second over the fleet",
    "requests": "request a second and node",
    "requests_without_lookups": "request a second and node, without lookups",
    "claims": "claim a second and node",
}


def slope_table(lines):
    rows = []
    for line in lines:
        if "slope" not in line:
            continue
        largest = max(abs(value) for value in line["values"])
        span = max(line["x"]) - min(line["x"])
        # What the dimension hardly moves is noise, and told as such by leaving it out.
        if largest == 0 or abs(line["per_unit"]) * span < 0.05 * largest:
            continue
        rows.append(
            [
                UNITS[line["slope"]],
                line["metric"],
                number(line["per_unit"]),
                number(line["intercept"]),
                number(line["residual"]),
                " / ".join(number(x) for x in line["x"]),
            ]
        )
    head = ["one more", "figure a node", "adds", "at none", "residual", "measured at"]
    return table(head, rows) if rows else None


def hollow_table(lines):
    parts = []
    for line in lines:
        if line.get("hollow") != "fleet":
            continue
        parts.append(
            f"{line['nodes']} nodes, {line['engines']} engines, {line['blocks']:,} blocks, "
            f"{line['tenants']:,} tenants, {line['published_events_per_s']:,.0f} cache events/s, "
            f"{line['requests_per_s']:,.0f} requests/s, {line['claims_per_s']:g} claims/s, "
            f"{line['span_s']:g} s of virtual time after {line['warm_up_s']:g} s, "
            f"seed {line['seed']}.\n"
        )
        spread = [
            ["control bytes/s", *(number(line["bytes_per_s"][k]) for k in ("mean", "p99", "worst"))],
            ["% of a core", *(number(line["cpu_percent"][k]) for k in ("mean", "p99", "worst"))],
            ["MB", number(line["memory_mb"]), "", ""],
        ]
        parts.append(table(["a node", "mean", "p99", "worst"], spread) + "\n")
        traffic = [[name, number(value)] for name, value in line["mean_bytes_per_s"].items()]
        parts.append(table(["what for", "bytes/s a node, sent and received"], traffic) + "\n")
        facts = [
            ["nodes that see all others, and that serve",
             f"{line['nodes_that_see_all']}, {line['nodes_ready']}"],
            ["requests answered, refused", f"{line['answered']:,}, {line['refused']:,}"],
            ["shared blocks found cached, of those that some engine had", number(line["hit_rate"])],
            ["change of a template, until in force on all nodes", number(line["change_everywhere_s"]) + " s"],
            ["death of a node, until all others hold it dead", number(line["death_everywhere_s"]) + " s"],
            ["processor time of the run itself", number(line["own_cpu_s"]) + " s"],
        ]
        parts.append(table(["", ""], facts))
    return "\n".join(parts) if parts else None


def failure_table(lines):
    rows = []
    for line in lines:
        for failure in line.get("failures", []):
            repaired = failure["repaired_after_s"]
            rows.append(
                [
                    failure["name"],
                    number(failure["extra_bytes"] / 1e6),
                    number(failure["worst_second_bytes"] / 1e3),
                    number(repaired) + (" s" if repaired is not None else ""),
                ]
            )
    head = ["what", "bytes above the steady state, MB in all", "worst second of one node, kB",
            "until all see all and serve"]
    return table(head, rows) if rows else None


def live_table(lines):
    rows = []
    for line in lines:
        if "live" not in line:
            continue
        rows.append([line["figure"], number(line["live"]), number(line["hollow_figure"])])
    return table(["a node", "real processes", "hollow nodes"], rows) if rows else None


def write_plot_data(lines, directory):
    by_traffic = [line for line in lines if line.get("slope") == "nodes"]
    with open(directory / "nodes.dat", "w", encoding="utf-8") as data:
        for line in by_traffic:
            if not line["metric"].startswith("bytes_per_s"):
                continue
            for x, value in zip(line["x"], line["values"]):
                data.write(f"{x} {value}\n")
            data.write("\n\n")
    with open(directory / "events.dat", "w", encoding="utf-8") as data:
        for line in lines:
            if line.get("slope") == "events" and line["metric"] == "cpu_percent":
                for x, value in zip(line["x"], line["values"]):
                    data.write(f"{x} {value}\n")


def main(page_name, data_name, *files):
    lines = []
    for name in files:
        with open(name, encoding="utf-8") as file:
            lines += [json.loads(line) for line in file if line.startswith("{")]
    page = pathlib.Path(page_name)
    text = page.read_text(encoding="utf-8")
    sections = {
        "budget": budget_table(lines),
        "slopes": slope_table(lines),
        "hollow": hollow_table(lines),
        "failures": failure_table(lines),
        "live": live_table(lines),
    }
    for name, content in sections.items():
        if content is None:
            continue
        pattern = re.compile(rf"(<!-- {name} -->\n).*?(<!-- /{name} -->)", re.DOTALL)
        if not pattern.search(text):
            sys.exit(f"capacity_page.py: no section {name} in {page_name}")
        text = pattern.sub(lambda match: match.group(1) + content + "\n" + match.group(2), text)
    page.write_text(text, encoding="utf-8")
    write_plot_data(lines, pathlib.Path(data_name))


if __name__ == "__main__":
    if len(sys.argv) < 4:
        sys.exit(__doc__)
    main(*sys.argv[1:])
