"""An eventlet hub whose time is a manual clock: tasks run in virtual time."""

import contextlib
import gc
import random

import eventlet
from eventlet import hubs
from eventlet.hubs import poll

from gooseberryweir import clock as clocks

TIE_SECONDS = 1e-9


class VirtualHub(poll.Hub):
    """Moves the time forward whenever every task sleeps."""

    manual = clocks.ManualClock()
    seed = 0

    def __init__(self):
        self.order = random.Random(self.seed)
        super().__init__(clock=lambda: self.manual.now)

    def add_timer(self, timer):
        """Adds a timer; those of one instant run in a seeded order."""
        at = self.clock() + timer.seconds + self.order.random() * TIE_SECONDS
        self.next_timers.append((at, timer))
        return at

    def wait(self, seconds=None):
        self.manual.advance(max(0.0, seconds or 0.0))


@contextlib.contextmanager
def virtual_time(seed=0):
    """Runs the calling thread's tasks in virtual time; yields a clock.

    Args:
        seed: Decides the order of what is due at one instant.
    """
    before = type(hubs.get_hub())
    VirtualHub.manual = clocks.ManualClock()
    VirtualHub.seed = seed
    hubs.use_hub(VirtualHub)
    manual = VirtualHub.manual
    try:
        yield clocks.Clock(
            lambda: manual.now, lambda: manual.now, eventlet.sleep
        )
    finally:
        hubs.use_hub(before)
        # Ends the tasks left over, so that they do not end in a later run.
        gc.collect()
