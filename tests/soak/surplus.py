"""Extra copies of answers, which faulty replicas send right behind an answer or late, where the next answer on the
connection is due."""

import random

# Of the answers, the share that is sent twice.
SHARE = 0.2
# Of the requests, the share that a replica turns away, and the rest that it asks for (seconds).
TURNED_AWAY_SHARE = 0.25
REST = 0.25


class SurplusAnswers:
    """Of one connection of a replica."""

    def __init__(self, draw: random.Random):
        self.draw = draw
        self.due = b""

    def before_answer(self) -> bytes:
        """What comes where an answer is due."""
        late, self.due = self.due, b""
        return late

    def behind_answer(self, answer: bytes) -> bytes:
        """What comes right behind an answer."""
        if self.draw.random() >= SHARE:
            return b""
        if self.draw.random() < 0.5:
            return answer
        self.due = answer
        return b""
