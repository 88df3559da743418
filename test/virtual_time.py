"""An eventlet hub whose time is a manual clock: tasks run in virtual time."""

import contextlib
import itertools

import eventlet
from eventlet import hubs
from eventlet.hubs import poll

from gooseberryweir import clock as clocks

# Too short to add up to anything within a test.
TICK_SECONDS = 1e-11


class VirtualHub(poll.Hub):
    """Moves the time forward whenever every task sleeps."""

    manual = clocks.ManualClock()

    def __init__(self):
        # Timers of one instant would run in the order of their addresses in
        # memory; readings that never repeat keep the order of creation.
        self.readings = itertools.count()
        super().__init__(clock=self.reading)

    def reading(self):
        return self.manual.now + next(self.readings) * TICK_SECONDS

    def wait(self, seconds=None):
        self.manual.advance(max(0.0, seconds or 0.0))


@contextlib.contextmanager
def virtual_time():
    """Runs the calling thread's tasks in virtual time; yields a clock."""
    before = type(hubs.get_hub())
    VirtualHub.manual = clocks.ManualClock()
    hubs.use_hub(VirtualHub)
    manual = VirtualHub.manual
    try:
        yield clocks.Clock(
            lambda: manual.now, lambda: manual.now, eventlet.sleep
        )
    finally:
        hubs.use_hub(before)
