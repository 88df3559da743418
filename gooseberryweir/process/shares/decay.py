"""A counter whose events lose weight exponentially with their age."""

import math


class DecayingCount:
    """Estimates the recent rate of events.

    Attributes:
        decay_seconds: Time constant of the exponential decay.
        count: Sum of the weights of all events at `updated_at`.
        updated_at: Monotonic instant of the last call of `add`.
    """

    def __init__(self, decay_seconds: float, now: float) -> None:
        self.decay_seconds = decay_seconds
        self.count = 0.0
        self.updated_at = now

    def add(self, events: float, now: float) -> None:
        """Adds events that happened at `now`."""
        self.count = self.rate(now) * self.decay_seconds + events
        self.updated_at = now

    def rate(self, now: float) -> float:
        """Returns the recent rate at `now`, in events per second."""
        elapsed = max(0.0, now - self.updated_at)
        return (
            self.count
            * math.exp(-elapsed / self.decay_seconds)
            / self.decay_seconds
        )
