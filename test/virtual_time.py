"""An eventlet hub driven by a manual clock: tasks run in virtual time."""

import contextlib
import gc
import random

import eventlet
from eventlet import hubs
from eventlet.hubs import poll

from gooseberryweir import clock as clocks

TIE_BREAK_SECONDS = 1e-9


class VirtualHub(poll.Hub):
    """Hub that advances a manual clock whenever every task sleeps.

    Attributes:
        manual_clock: Clock of the current call of `virtual_time`.
        seed: Seed of the order of timers that are due at one instant.
        rng: Decides that order.
    """

    manual_clock = clocks.ManualClock()
    seed = 0

    def __init__(self):
        self.rng = random.Random(self.seed)
        super().__init__(clock=lambda: self.manual_clock.now)

    def add_timer(self, timer):
        """Adds a timer; timers due at one instant run in a seeded order."""
        due_at = (
            self.clock() + timer.seconds + self.rng.random() * TIE_BREAK_SECONDS
        )
        self.next_timers.append((due_at, timer))
        return due_at

    def wait(self, seconds=None):
        self.manual_clock.advance(max(0.0, seconds or 0.0))


@contextlib.contextmanager
def virtual_time(seed=0):
    """Runs the calling thread's tasks in virtual time; yields a clock.

    Args:
        seed: Seed of the order of tasks that are due at one instant.
    """
    previous_hub = type(hubs.get_hub())
    VirtualHub.manual_clock = clocks.ManualClock()
    VirtualHub.seed = seed
    hubs.use_hub(VirtualHub)
    manual_clock = VirtualHub.manual_clock
    try:
        yield clocks.Clock(
            lambda: manual_clock.now, lambda: manual_clock.now, eventlet.sleep
        )
    finally:
        hubs.use_hub(previous_hub)
        # Ends the remaining tasks now, so that they do not end in a later test.
        gc.collect()
