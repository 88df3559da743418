"""The clock interface that every time-dependent part is handed.

All durations are seconds as float; all instants are readings of a monotonic
clock, which has no meaning outside its process.
"""

from collections.abc import Callable
import time
from typing import NamedTuple


class Clock(NamedTuple):
    """A source of time.

    Attributes:
        monotonic: Returns seconds that never go back.
        wall: Returns seconds since the Unix epoch.
        sleep: Suspends the current task for some seconds.
    """

    monotonic: Callable[[], float]
    wall: Callable[[], float]
    sleep: Callable[[float], None]


def system_clock() -> Clock:
    """Returns the clock of the machine; green once eventlet has patched it."""
    return Clock(time.monotonic, time.time, time.sleep)


def suspend_clock() -> Clock:
    """Returns a clock that also counts the time of a suspended machine."""
    return Clock(
        lambda: time.clock_gettime(time.CLOCK_BOOTTIME), time.time, time.sleep
    )


class ManualClock:
    """A clock that moves only when told to, for tests."""

    def __init__(self, start: float = 1000.0) -> None:
        self.now = start

    def advance(self, seconds: float) -> None:
        """Moves the clock forward by some seconds."""
        self.now += seconds

    def interface(self) -> Clock:
        """Returns this clock as a `Clock`; its sleep advances the time."""
        return Clock(lambda: self.now, lambda: self.now, self.advance)
