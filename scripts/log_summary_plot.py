"""A picture of the day by seconds, drawn with gnuplot."""
import collections
import subprocess

from log_summary_requests import FAILED, IN_TIME, LATE, REFUSED

DAY_S = 86400
COLUMNS = ("asked", IN_TIME, LATE, REFUSED, FAILED, "waiting", "candidates")
SCRIPT = """set terminal svg size 1200,800
set output {file}
set multiplot layout 2,1
set key outside right
set grid
set autoscale xfix
set ylabel "requests a second"
plot for [column=2:6] $day using 1:column with lines title columnheader(column)
set xlabel "seconds from the first line"
set ylabel "requests, replicas"
plot for [column=7:8] $day using 1:column with lines title columnheader(column)
unset multiplot
"""


def elapsed(began, seconds):
    """Seconds from one time of day to another; times of day begin anew at midnight."""
    return (seconds - began + DAY_S / 2) % DAY_S - DAY_S / 2


class Seconds:
    """Counts by second, from the first line on."""

    def __init__(self):
        self.began = None
        self.counts = collections.defaultdict(collections.Counter)

    def second(self, seconds):
        if self.began is None:
            self.began = seconds
        return int(elapsed(self.began, seconds))

    def add_dispatch(self, candidates, seconds):
        counts = self.counts[self.second(seconds)]
        counts["dispatches"] += 1
        counts["candidate sum"] += candidates

    def add_end(self, request, seconds):
        end = self.second(seconds)
        arrived = self.second(seconds - (request.total_ms or request.held_ms or 0) / 1000)
        self.counts[end][request.outcome] += 1
        self.counts[arrived]["asked"] += 1
        if request.held_ms:
            self.add_wait(arrived, self.second(seconds - self.after_hold(request) / 1000))

    @staticmethod
    def after_hold(request):
        return max((request.total_ms or request.held_ms) - request.held_ms, 0)

    def add_wait(self, first, last):
        """A request that waited counts in each second that began meanwhile."""
        for second in range(first + 1, last + 1):
            self.counts[second]["waiting"] += 1

    def rows(self):
        for second in range(min(self.counts, default=0), max(self.counts, default=0) + 1):
            counts = self.counts.get(second, collections.Counter())
            dispatches = counts["dispatches"]
            mean = f"{counts['candidate sum'] / dispatches:.2f}" if dispatches else "NaN"
            yield [str(second), *(str(counts[name]) for name in COLUMNS[:-1]), mean]

    def plot(self, file):
        rows = [" ".join(row) for row in self.rows()]
        heading = " ".join(f'"{name}"' for name in ("second", *COLUMNS))
        data = "\n".join(["$day << END", heading, *rows, "END", ""])
        quoted = "'" + file.replace("'", "''") + "'"
        subprocess.run(["gnuplot"], input=data + SCRIPT.format(file=quoted),
                       text=True, check=True)
