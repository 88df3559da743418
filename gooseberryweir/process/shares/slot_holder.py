"""The slots of one pool of upstreams that this host may use.

Slots are kept for the next request for a short time after use, and drawn from
the home of the pool when none is left.
"""

import bisect
from collections.abc import Callable
import logging
import math
from typing import NamedTuple

import eventlet
from eventlet import event as events

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir import rendezvous
from gooseberryweir.connection import messages
from gooseberryweir.process.shares import decay
from gooseberryweir.process.shares import slot_lease
from gooseberryweir.process.shares import slot_limits
from gooseberryweir.version import tables

WAIT_SECONDS = 2.0
CALL_SECONDS = 0.25
RENEW_SECONDS = 0.2
POLL_SECONDS = 0.03
IDLE_SLOT_SECONDS = 0.25
UNREACHABLE_RETRY_SECONDS = 0.5
FAILURE_SLEEP_SECONDS = 0.1
SHORTEST_DRAW_SECONDS = 0.002
RESERVE_DRAW_SECONDS = 0.1
MAX_WAITERS = 64
MAX_RESERVE = 4
DEMAND_SECONDS = 1.0
HOLD_WEIGHT = 0.1

LOGGER = logging.getLogger(__name__)


class Home(NamedTuple):
    """How a holder reaches the home of its pool.

    Attributes:
        find: Returns the home's host name, or None if not known.
        call: Sends a draw to a host, waiting at most some seconds; returns
            None if the host did not answer.
        entries: Returns the upstreams that take new work now, by name.
        dead: Returns the upstreams found dead by this host lately.
        importance: Returns the importance of a class of work.
        view: Returns the digest of the view.
    """

    find: Callable[[], str | None]
    call: Callable[[str, messages.DrawSlots, float], messages.SlotGrant | None]
    entries: Callable[[], dict[str, tables.UpstreamEntry]]
    dead: Callable[[], frozenset[str]]
    importance: Callable[[str], int]
    view: Callable[[], int]


class SlotHolder:
    """Slots of one pool on this host."""

    def __init__(
        self,
        pool: str,
        host: str,
        incarnation: Callable[[], int],
        clock: clocks.Clock,
        home: Home,
    ) -> None:
        self.pool = pool
        self.host = host
        self.incarnation = incarnation
        self.clock = clock
        self.home = home
        self.allowed: dict[str, int] = {}
        self.in_use: dict[str, int] = {}
        self.ends_at = -math.inf
        self.lowest_importance = 0
        self.waiters: list[slot_lease.Waiter] = []
        self.order = 0
        self.sequence = 0
        self.running = False
        self.asleep_until = -math.inf
        self.wake = events.Event()
        self.reported_to: tuple[str | None, int] | None = None
        self.drawn_at = -math.inf
        self.retry_at = -math.inf
        self.expected_at = -math.inf
        # Highest importance of the work that the expectation was told for.
        self.expected_for = slot_limits.ALL_CLASSES
        self.reserve_at = -math.inf
        self.window_at = -math.inf
        self.unused = 0
        self.recalled = False
        self.contended = False
        self.hold_seconds = 0.0
        self.asked = decay.DecayingCount(DEMAND_SECONDS, clock.monotonic())

    def acquire(
        self,
        work_class: str,
        exclude: frozenset[str] = frozenset(),
        deadline: float = math.inf,
    ) -> slot_lease.Lease | slot_lease.Refused:
        """Takes a slot, waiting for one if one is expected in time.

        Args:
            work_class: Class of the work.
            exclude: Upstreams not to use.
            deadline: Instant on the monotonic clock until which to wait.
        """
        now = self.clock.monotonic()
        self.asked.add(1, now)
        importance = self.home.importance(work_class)
        if not self.waiters:
            upstream = self.pick(importance, exclude)
            if upstream is not None:
                lease = self.use(upstream)
                self.start()
                return lease
        self.order += 1
        give_up_at = min(deadline, now + WAIT_SECONDS)
        waiter = slot_lease.Waiter(
            importance, self.order, work_class, exclude, give_up_at
        )
        position = bisect.bisect(
            [other.rank for other in self.waiters], waiter.rank
        )
        delay = self.expected_delay(position, importance)
        if now + delay > give_up_at or position >= MAX_WAITERS:
            return slot_lease.Refused(max(delay, SHORTEST_DRAW_SECONDS))
        self.waiters.insert(position, waiter)
        if len(self.waiters) > MAX_WAITERS:
            self.waiters.pop().settle(
                slot_lease.Refused(UNREACHABLE_RETRY_SECONDS)
            )
        self.serve()
        self.start()
        return self.wait(waiter)

    def wait(
        self, waiter: slot_lease.Waiter
    ) -> slot_lease.Lease | slot_lease.Refused:
        """Waits until a waiter is settled or gives up."""
        left = max(0.0, waiter.give_up_at - self.clock.monotonic())
        try:
            result = waiter.event.wait(timeout=left)
        except BaseException:
            self.withdraw(waiter)
            raise
        if result is None:
            result = self.withdraw(waiter)
        if (
            isinstance(result, slot_lease.Lease)
            and self.clock.monotonic() >= self.ends_at
        ):
            result.release()
            return slot_lease.Refused(SHORTEST_DRAW_SECONDS)
        return result

    def withdraw(self, waiter: slot_lease.Waiter) -> slot_lease.Refused:
        """Takes a waiter back; a slot that it got is given up."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
        elif waiter.event.ready():
            result = waiter.event.wait()
            if isinstance(result, slot_lease.Lease):
                result.release()
        return slot_lease.Refused(UNREACHABLE_RETRY_SECONDS)

    def pick(
        self, importance: int, exclude: frozenset[str]
    ) -> tables.UpstreamEntry | None:
        """Returns the upstream to use now from the reserve, if any.

        The end of the slots is checked here, at the moment of use.
        """
        if self.clock.monotonic() >= self.ends_at:
            return None
        if importance > self.lowest_importance:
            return None
        entries = self.home.entries()
        free = [
            entries[upstream]
            for upstream, allowed in self.allowed.items()
            if self.in_use.get(upstream, 0) < allowed
            and upstream not in exclude
            and upstream in entries
        ]
        return min(
            free,
            key=lambda entry: (
                self.in_use.get(entry.name, 0) / max(1, entry.slots),
                -rendezvous.score(self.host, entry.name),
            ),
            default=None,
        )

    def use(self, entry: tables.UpstreamEntry) -> slot_lease.Lease:
        """Puts a slot in use."""
        self.in_use[entry.name] = self.in_use.get(entry.name, 0) + 1
        self.unused = min(self.unused, self.spare())
        started = self.clock.monotonic()
        return slot_lease.Lease(
            entry, lambda: self.release(entry.name, started)
        )

    def release(self, upstream: str, started: float) -> None:
        """Puts a slot in the reserve, or notes that it must go back."""
        seconds = self.clock.monotonic() - started
        mean = self.hold_seconds or seconds
        self.hold_seconds = mean + HOLD_WEIGHT * (seconds - mean)
        if self.in_use[upstream] > self.allowed.get(upstream, 0):
            self.recalled = True
        self.in_use[upstream] -= 1
        if not self.in_use[upstream]:
            del self.in_use[upstream]
        self.serve()
        self.start()

    def spare(self) -> int:
        """Returns the slots in reserve."""
        return sum(
            max(0, allowed - self.in_use.get(upstream, 0))
            for upstream, allowed in self.allowed.items()
        )

    def idle_seconds(self) -> float:
        """Returns how long an unused slot is kept."""
        return SHORTEST_DRAW_SECONDS if self.contended else IDLE_SLOT_SECONDS

    def serve(self) -> None:
        """Gives slots in reserve to waiters, the most important first."""
        for waiter in list(self.waiters):
            upstream = self.pick(waiter.importance, waiter.exclude)
            if upstream is not None:
                self.waiters.remove(waiter)
                waiter.settle(self.use(upstream))

    def expected_delay(self, position: int, importance: int) -> float:
        """Returns seconds until a waiter at a position expects a slot.

        What the home told for less important work says nothing about this.
        """
        if importance < self.expected_for:
            return 0.0
        home_delay = max(0.0, self.expected_at - self.clock.monotonic())
        in_use = sum(self.in_use.values())
        if not in_use or not self.hold_seconds:
            return home_delay
        return min(home_delay, self.hold_seconds * (position + 1) / in_use)

    def reserve(self) -> int:
        """Returns the slots to keep in reserve for the demand expected."""
        if self.contended:
            return 0
        demand = self.asked.rate(self.clock.monotonic())
        return min(MAX_RESERVE, round(demand * RESERVE_DRAW_SECONDS))

    def start(self) -> None:
        """Makes the drawing task run, or look again at what is due."""
        due_at = self.due_at()
        if self.running:
            if due_at < self.asleep_until and not self.wake.ready():
                self.wake.send(True)
        elif due_at < math.inf:
            self.running = True
            eventlet.spawn_n(self.run)

    def due_at(self) -> float:
        """Returns the instant of the next draw; infinity for none."""
        if self.waiters:
            return self.retry_at
        if self.reported_to != (self.home.find(), self.home.view()):
            return self.retry_at
        if self.recalled:
            return self.drawn_at + SHORTEST_DRAW_SECONDS
        due = math.inf
        if self.allowed or self.in_use:
            due = self.drawn_at + RENEW_SECONDS
        spare = self.spare()
        reserve = self.reserve()
        if spare > reserve:
            due = min(due, self.window_at + self.idle_seconds())
        if spare < reserve:
            due = min(due, max(self.reserve_at, self.drawn_at))
        return max(due, self.retry_at)

    def run(self) -> None:
        """Draws whenever that is due."""
        try:
            while (due_at := self.due_at()) < math.inf:
                now = self.clock.monotonic()
                if due_at > now:
                    self.wake = events.Event()
                    self.asleep_until = due_at
                    self.wake.wait(timeout=due_at - now)
                    self.asleep_until = -math.inf
                else:
                    self.draw_once()
        finally:
            self.running = False
            while self.waiters:
                self.waiters.pop().settle(
                    slot_lease.Refused(UNREACHABLE_RETRY_SECONDS)
                )

    def draw_once(self) -> None:
        """Makes one draw, at another host if the home has moved."""
        grant = None
        home = self.home.find()
        if home is not None:
            grant = self.draw_from(home)
            second = self.home.find()
            if grant is not None and not grant.is_home and second != home:
                grant = self.draw_from(second) if second else None
        now = self.clock.monotonic()
        if grant is None or not grant.is_home:
            self.retry_at = now + FAILURE_SLEEP_SECONDS
            self.expected_at = now + UNREACHABLE_RETRY_SECONDS
            self.expected_for = 0
        else:
            self.retry_at = now + min(
                POLL_SECONDS, max(SHORTEST_DRAW_SECONDS, grant.retry_after)
            )
            self.expected_at = now + grant.retry_after
        self.serve()
        self.refuse_late()

    def draw_from(self, home: str) -> messages.SlotGrant | None:
        """Sends a draw and takes its answer over."""
        sent_at = self.drawn_at = self.clock.monotonic()
        draw = self.next_draw(sent_at)
        asked_for = min(
            (waiter.importance for waiter in self.waiters),
            default=slot_limits.ALL_CLASSES,
        )
        grant = self.home.call(home, draw, CALL_SECONDS)
        if grant is None or not grant.is_home:
            return grant
        self.expected_for = asked_for
        self.reported_to = (home, draw.view)
        self.allowed = dict(grant.slots)
        self.ends_at = sent_at + grant.lifetime
        self.lowest_importance = grant.importance
        self.contended = grant.contended
        self.unused = min(self.unused, self.spare())
        if self.spare() < self.reserve():
            self.reserve_at = sent_at + RENEW_SECONDS
        logs.event(
            LOGGER,
            "slots-drawn",
            logging.DEBUG,
            pool=self.pool,
            home=home,
            slots=sum(grant.slots.values()),
            retry_after=grant.retry_after,
        )
        return grant

    def next_draw(self, now: float) -> messages.DrawSlots:
        """Builds a draw; slots that it gives back are not used any more."""
        self.sequence += 1
        self.recalled = False
        held = self.keep(now)
        self.allowed = dict(held)
        want: dict[str, int] = {}
        for waiter in self.waiters:
            want[waiter.work_class] = want.get(waiter.work_class, 0) + 1
        missing = self.reserve() - self.spare()
        if missing > 0:
            want[slot_limits.RESERVE_CLASS] = missing
        return messages.DrawSlots(
            self.pool,
            self.host,
            self.incarnation(),
            self.home.view(),
            want,
            held,
            dict(self.in_use),
            self.avoid(),
            self.sequence,
        )

    def avoid(self) -> tuple[str, ...]:
        """Returns the upstreams that no waiter may use, or that are dead."""
        names = [waiter.exclude for waiter in self.waiters]
        excluded = names[0].intersection(*names) if names else frozenset()
        return tuple(sorted(excluded.union(self.home.dead())))

    def keep(self, now: float) -> dict[str, int]:
        """Returns the slots to keep, those in use included."""
        held = dict(self.in_use)
        if now >= self.ends_at:
            return held
        surplus = 0
        entries = self.home.entries()
        if now >= self.window_at + self.idle_seconds():
            surplus = self.unused - self.reserve()
            if self.contended:
                surplus = self.spare()
            elif self.waiters:
                surplus = 0
            self.window_at = now
            self.unused = self.spare()
        for upstream, allowed in self.allowed.items():
            spare = allowed - self.in_use.get(upstream, 0)
            if spare <= 0 or upstream not in entries:
                continue
            given = min(spare, max(0, surplus))
            surplus -= given
            if spare > given:
                held[upstream] = held.get(upstream, 0) + spare - given
        return held

    def refuse_late(self) -> None:
        """Refuses the waiters that give up before a slot is expected."""
        now = self.clock.monotonic()
        for position, waiter in enumerate(list(self.waiters)):
            delay = self.expected_delay(position, waiter.importance)
            if now + delay > waiter.give_up_at:
                self.waiters.remove(waiter)
                waiter.settle(slot_lease.Refused(delay))
