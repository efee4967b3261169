"""What may reach a stand-in of a replica: requests that callers sent, and the nodes' own calls to the very instance that
gets them."""

import collections
import dataclasses

# The nodes' own calls; no caller sends a request to these paths.
ORDER_PATH, REPORT_PATH, CACHE_EVENTS_PATH = "/-/order", "/-/report", "/-/kv-events"
CALLS = (ORDER_PATH, REPORT_PATH, CACHE_EVENTS_PATH)


@dataclasses.dataclass
class UnaskedRule:
    """Work that nobody has sent: `sent` are the callers' requests, by identifier."""

    sent: dict
    # What stand-ins turned away, as it was meant for another instance or nobody had sent it, by path.
    turned_away: collections.Counter = dataclasses.field(default_factory=collections.Counter)

    def on_turned_away(self, message):
        self.turned_away[message.path] += 1

    def broken_by(self, message, instance: str, serves_calls: bool) -> str | None:
        """Why the message is none that `instance` may carry out."""
        if message.path in CALLS:
            meant_for = message.headers.get("x-covewing-expected-instance", "nobody in particular")
            if serves_calls and meant_for == instance:
                return None
            return f"a call of a node that was meant for {meant_for}"
        sent = self.sent.get(message.headers.get("x-covewing-request-id", ""))
        if sent is None:
            return "a request that no caller sent"
        if message.path != f"/{sent.route}/x":
            return f"another path than its caller sent, on route {sent.route}"
        return None

    def figures(self) -> dict[str, int]:
        return {f"turned away: {path}": count for path, count in self.turned_away.items() if path in CALLS}
