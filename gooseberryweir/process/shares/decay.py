"""A counter whose events lose weight exponentially with their age."""

import math


class DecayingCount:
    """Estimates the recent rate of events.

    Attributes:
        seconds: Time constant of the exponential decay, in seconds.
        count: Sum of the weights of all events at `updated_at`.
        updated_at: Monotonic instant of the last call of `add`.
    """

    def __init__(self, seconds: float, now: float) -> None:
        self.seconds = seconds
        self.count = 0.0
        self.updated_at = now

    def add(self, events: float, now: float) -> None:
        """Adds events that happened at `now`."""
        self.count = self.rate(now) * self.seconds + events
        self.updated_at = now

    def rate(self, now: float) -> float:
        """Returns the recent rate in events per second."""
        elapsed = max(0.0, now - self.updated_at)
        return self.count * math.exp(-elapsed / self.seconds) / self.seconds
