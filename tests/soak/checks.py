"""Rules that the soak checks, apart from any network: what they count, and when they are broken."""

import bisect
import collections
import dataclasses
import math

# A fault of a node or of the table service that ended less than this ago is still felt (seconds).
CALM_AFTER = 3.0


@dataclasses.dataclass
class Trouble:
    """A fault of one node or of the table service; one that is under way has no end."""

    begin: float
    end: float | None = None


def calm_since(troubles: list[Trouble]) -> float:
    """From when on none of the faults is felt any more."""
    ends = (math.inf if one.end is None else one.end + CALM_AFTER for one in troubles)
    return max(ends, default=-math.inf)


class VersionRule:
    """No request begins on an older version of the weights later than the bound (seconds) after a
    newer one was acknowledged. Counted within one stretch in which the table service was
    undisturbed: what it is kept from telling, no node can heed."""

    def __init__(self, bound: float, store_troubles: list[Trouble]):
        self.bound, self.store_troubles = bound, store_troubles
        # When each version was acknowledged.
        self.named: dict[int, float] = {}

    @property
    def newest(self) -> int:
        return max(self.named, default=0)

    def late_by(self, version: int, at: float) -> float:
        """How much too late a request begins on the version; below 0 where it is in time."""
        newer = [acknowledged for named, acknowledged in self.named.items() if named > version]
        if not newer:
            return -math.inf
        return at - max(min(newer), calm_since(self.store_troubles)) - self.bound


@dataclasses.dataclass
class RepeatRule:
    """Within each window a service receives at most ratio x requests + slack arrivals beyond the
    first of each request, refused ones included. The requests are those that callers sent, in that
    window, the one before it or the one half a window before it, whichever has most."""

    window: float
    ratio: float
    slack: float
    sent: list[float] = dataclasses.field(default_factory=list)
    repeats: list[float] = dataclasses.field(default_factory=list)
    arrivals: collections.Counter = dataclasses.field(default_factory=collections.Counter)

    def on_sent(self, at: float):
        self.sent.append(at)

    def on_arrival(self, identifier: str, at: float):
        self.arrivals[identifier] += 1
        if self.arrivals[identifier] > 1:
            self.repeats.append(at)

    def requests_until(self, end: float) -> int:
        first = bisect.bisect_left(self.sent, end - self.window)
        return bisect.bisect_right(self.sent, end) - first

    def worst(self) -> tuple[float, int, float]:
        """End, repeats and allowance of the window in which the least is left."""
        windows = [(0.0, 0, self.slack)]
        for index, end in enumerate(self.repeats):
            count = index + 1 - bisect.bisect_right(self.repeats, end - self.window)
            before = (end, end - self.window / 2, end - self.window)
            requests = max(self.requests_until(moment) for moment in before)
            windows.append((end, count, self.ratio * requests + self.slack))
        return min(windows, key=lambda window: window[2] - window[1])
