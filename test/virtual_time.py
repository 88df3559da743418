"""An eventlet hub whose time is a manual clock: tasks run in virtual time."""

import contextlib
import math

import eventlet
from eventlet import hubs
from eventlet.hubs import poll

from gooseberryweir import clock as clocks


class VirtualHub(poll.Hub):
    """Moves the time forward whenever every task sleeps."""

    manual = clocks.ManualClock()

    def __init__(self):
        super().__init__(clock=lambda: self.manual.now)
        self.taken = set()

    def add_timer(self, timer):
        # Timers of one instant would run in the order of their addresses in
        # memory; the next free instant keeps the order of their creation.
        scheduled = self.clock() + timer.seconds
        while scheduled in self.taken:
            scheduled = math.nextafter(scheduled, math.inf)
        self.taken.add(scheduled)
        self.next_timers.append((scheduled, timer))
        return scheduled

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
