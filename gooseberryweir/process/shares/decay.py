"""A count of events that fade exponentially with their age."""

import math


class DecayingCount:
    """Events weighed by age, as a rate a second.

    Attributes:
        seconds: Time constant of the decay, seconds.
    """

    def __init__(self, seconds: float, now: float) -> None:
        self.seconds = seconds
        self.count = 0.0
        self.updated_at = now

    def add(self, events: float, now: float) -> None:
        """Counts some events that happen now."""
        self.count = self.rate(now) * self.seconds + events
        self.updated_at = now

    def rate(self, now: float) -> float:
        """Returns the events a second of late."""
        elapsed = max(0.0, now - self.updated_at)
        return self.count * math.exp(-elapsed / self.seconds) / self.seconds
