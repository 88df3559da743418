"""Clock interface that is passed to all code that depends on time.

Durations are in seconds, as float. Points in time are readings of a monotonic
clock, which have no meaning in other processes.
"""

from collections.abc import Callable
import time
from typing import NamedTuple


class Clock(NamedTuple):
    """A source of time.

    Attributes:
        monotonic: Returns the time in seconds of a clock that never goes
            backwards.
        wall: Returns the time in seconds since the Unix epoch.
        sleep: Suspends the current task for a number of seconds.
    """

    monotonic: Callable[[], float]
    wall: Callable[[], float]
    sleep: Callable[[float], None]


def system_clock() -> Clock:
    """Returns the clock of the machine.

    After eventlet has patched the standard library, `sleep` suspends only the
    current green thread.
    """
    return Clock(time.monotonic, time.time, time.sleep)


def boottime_clock() -> Clock:
    """Returns a clock that also counts time while the machine is suspended."""
    return Clock(
        lambda: time.clock_gettime(time.CLOCK_BOOTTIME), time.time, time.sleep
    )


class ManualClock:
    """A clock for tests that moves forward only when `advance` is called.

    Attributes:
        now: Current time in seconds, both monotonic and wall time.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self.now = start

    def advance(self, seconds: float) -> None:
        """Moves the clock forward by a number of seconds."""
        self.now += seconds

    def interface(self) -> Clock:
        """Returns this clock as a `Clock` whose `sleep` advances the time."""
        return Clock(lambda: self.now, lambda: self.now, self.advance)
