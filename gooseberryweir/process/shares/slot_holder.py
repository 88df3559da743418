"""This host's share of a pool of slots: leases slots granted by the home.

The home of the pool is the host that grants its slots to all hosts. After use a
slot is kept for the next request for a short time. If no slot is left, more are
requested from the home.
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

MAX_WAIT_SECONDS = 2.0
HOME_CALL_TIMEOUT_SECONDS = 0.25
# Interval at which the slots held are renewed at the home.
RENEWAL_INTERVAL_SECONDS = 0.2
# Longest pause between messages to the home while requests wait for a slot.
MAX_POLL_INTERVAL_SECONDS = 0.03
# Time for which an unused slot is kept while no other host waits.
IDLE_SLOT_SECONDS = 0.25
# Retry delay that a refusal gives if no home answers.
UNREACHABLE_RETRY_SECONDS = 0.5
# Pause after a request that no home answered.
FAILURE_SLEEP_SECONDS = 0.1
MIN_REQUEST_INTERVAL_SECONDS = 0.002
# The reserve of spare slots covers the expected demand for this long.
RESERVE_DEMAND_SECONDS = 0.1
MAX_WAITERS = 64
MAX_RESERVE_SLOTS = 4
DEMAND_DECAY_SECONDS = 1.0
# Weight of the latest use in the average time that a slot is in use.
USE_TIME_WEIGHT = 0.1

LOGGER = logging.getLogger(__name__)


class HomeClient(NamedTuple):
    """Functions by which this host reaches the home of a pool.

    Attributes:
        find_host: Returns the name of the host that is the home, or None.
        call: Sends a request to a host and waits for the reply for at most the
            given number of seconds; returns None if the host did not answer.
        upstreams: Returns the upstreams that accept new requests, by name.
        dead_upstreams: Returns the upstreams that refused connections from
            this host recently.
        importance: Returns the importance of a work class.
        view_digest: Returns the digest of this host's membership view.
    """

    find_host: Callable[[], str | None]
    call: Callable[[str, messages.DrawSlots, float], messages.SlotGrant | None]
    upstreams: Callable[[], dict[str, tables.UpstreamEntry]]
    dead_upstreams: Callable[[], frozenset[str]]
    importance: Callable[[str], int]
    view_digest: Callable[[], int]


class SlotHolder:
    """This host's share of a pool: the slots that the home granted to it.

    Leases the slots to requests and requests further ones from the home.

    Attributes:
        pool: Name of the pool.
        host: Name of this host.
        incarnation: Returns the incarnation of this host.
        clock: Source of time.
        home: Functions by which this host reaches the home.
        granted: Slots that this host may use, by upstream name.
        in_use: Slots in use, by upstream name.
        expires_at: Monotonic instant from which no slot may be leased.
        lowest_importance: Lowest importance (largest number) of the work that
            may lease a slot now.
        waiters: Requests that wait for a slot, the most important first.
        arrivals: Number of requests so far that found no spare slot.
        sequence: Sequence number of the latest message to the home.
        running: True while the task that sends requests to the home runs.
        sleeping_until: Monotonic instant until which that task sleeps.
        wake_event: Wakes that task.
        reported_to: Receiving host and view digest of the latest request that
            the home answered.
        requested_at: Monotonic instant of the latest request to the home.
        retry_at: Earliest monotonic instant of the next request.
        slot_expected_at: Monotonic instant at which the home expects a free
            slot.
        expectation_importance: Highest importance of the work for which the
            home stated `slot_expected_at`.
        reserve_request_at: Earliest monotonic instant of the next request
            that only fills the reserve.
        idle_window_started_at: Monotonic instant since which `idle_slots` is
            counted.
        idle_slots: Fewest spare slots since then.
        slots_recalled: True if a released slot must go back to the home.
        contended: True if other hosts wait for slots.
        mean_use_seconds: Moving average of the time that a slot is in use.
        demand: Recent rate of requests for slots, per second.
    """

    def __init__(
        self,
        pool: str,
        host: str,
        incarnation: Callable[[], int],
        clock: clocks.Clock,
        home: HomeClient,
    ) -> None:
        self.pool = pool
        self.host = host
        self.incarnation = incarnation
        self.clock = clock
        self.home = home
        self.granted: dict[str, int] = {}
        self.in_use: dict[str, int] = {}
        self.expires_at = -math.inf
        self.lowest_importance = 0
        self.waiters: list[slot_lease.Waiter] = []
        self.arrivals = 0
        self.sequence = 0
        self.running = False
        self.sleeping_until = -math.inf
        self.wake_event = events.Event()
        self.reported_to: tuple[str | None, int] | None = None
        self.requested_at = -math.inf
        self.retry_at = -math.inf
        self.slot_expected_at = -math.inf
        self.expectation_importance = slot_limits.ANY_IMPORTANCE
        self.reserve_request_at = -math.inf
        self.idle_window_started_at = -math.inf
        self.idle_slots = 0
        self.slots_recalled = False
        self.contended = False
        self.mean_use_seconds = 0.0
        self.demand = decay.DecayingCount(
            DEMAND_DECAY_SECONDS, clock.monotonic()
        )

    def acquire(
        self,
        work_class: str,
        exclude: frozenset[str] = frozenset(),
        deadline: float = math.inf,
    ) -> slot_lease.Lease | slot_lease.Refused:
        """Leases a slot, and waits for one if it is expected in time.

        Args:
            work_class: Name of the work class.
            exclude: Names of upstreams that must not be used.
            deadline: Monotonic instant at which to stop waiting; the wait is
                never longer than `MAX_WAIT_SECONDS`.
        """
        now = self.clock.monotonic()
        self.demand.add(1, now)
        importance = self.home.importance(work_class)
        if not self.waiters:
            upstream = self.choose_upstream(importance, exclude)
            if upstream is not None:
                lease = self.lease_slot(upstream)
                self.start_or_wake()
                return lease
        self.arrivals += 1
        give_up_at = min(deadline, now + MAX_WAIT_SECONDS)
        waiter = slot_lease.Waiter(
            importance, self.arrivals, work_class, exclude, give_up_at
        )
        position = bisect.bisect(
            [other.rank for other in self.waiters], waiter.rank
        )
        delay = self.expected_delay(position, importance)
        if now + delay > give_up_at or position >= MAX_WAITERS:
            return slot_lease.Refused(max(delay, MIN_REQUEST_INTERVAL_SECONDS))
        self.waiters.insert(position, waiter)
        if len(self.waiters) > MAX_WAITERS:
            self.waiters.pop().complete(
                slot_lease.Refused(UNREACHABLE_RETRY_SECONDS)
            )
        self.serve_waiters()
        self.start_or_wake()
        return self.wait(waiter)

    def wait(
        self, waiter: slot_lease.Waiter
    ) -> slot_lease.Lease | slot_lease.Refused:
        """Waits until a waiter gets a result or gives up."""
        remaining = max(0.0, waiter.give_up_at - self.clock.monotonic())
        try:
            result = waiter.event.wait(timeout=remaining)
        except BaseException:
            self.cancel(waiter)
            raise
        if result is None:
            result = self.cancel(waiter)
        if (
            isinstance(result, slot_lease.Lease)
            and self.clock.monotonic() >= self.expires_at
        ):
            result.release()
            return slot_lease.Refused(MIN_REQUEST_INTERVAL_SECONDS)
        return result

    def cancel(self, waiter: slot_lease.Waiter) -> slot_lease.Refused:
        """Removes a waiter; if it already got a slot, releases the slot."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
        elif waiter.event.ready():
            result = waiter.event.wait()
            if isinstance(result, slot_lease.Lease):
                result.release()
        return slot_lease.Refused(UNREACHABLE_RETRY_SECONDS)

    def choose_upstream(
        self, importance: int, exclude: frozenset[str]
    ) -> tables.UpstreamEntry | None:
        """Returns the least used upstream with a spare slot, or None.

        The expiry of the slots is checked here, immediately before use.
        """
        if self.clock.monotonic() >= self.expires_at:
            return None
        if importance > self.lowest_importance:
            return None
        upstreams = self.home.upstreams()
        free = [
            upstreams[upstream]
            for upstream, granted in self.granted.items()
            if self.in_use.get(upstream, 0) < granted
            and upstream not in exclude
            and upstream in upstreams
        ]
        return min(
            free,
            key=lambda entry: (
                self.in_use.get(entry.name, 0) / max(1, entry.slots),
                -rendezvous.score(self.host, entry.name),
            ),
            default=None,
        )

    def lease_slot(self, entry: tables.UpstreamEntry) -> slot_lease.Lease:
        """Marks a slot of an upstream as in use and returns its lease."""
        self.in_use[entry.name] = self.in_use.get(entry.name, 0) + 1
        self.idle_slots = min(self.idle_slots, self.spare_slots())
        started_at = self.clock.monotonic()
        return slot_lease.Lease(
            entry, lambda: self.release(entry.name, started_at)
        )

    def release(self, upstream: str, started_at: float) -> None:
        """Marks a slot as unused; records if it must go back to the home."""
        seconds = self.clock.monotonic() - started_at
        mean_seconds = self.mean_use_seconds or seconds
        self.mean_use_seconds = mean_seconds + USE_TIME_WEIGHT * (
            seconds - mean_seconds
        )
        if self.in_use[upstream] > self.granted.get(upstream, 0):
            self.slots_recalled = True
        self.in_use[upstream] -= 1
        if not self.in_use[upstream]:
            del self.in_use[upstream]
        self.serve_waiters()
        self.start_or_wake()

    def spare_slots(self) -> int:
        """Returns the number of granted slots that are not in use."""
        return sum(
            max(0, granted - self.in_use.get(upstream, 0))
            for upstream, granted in self.granted.items()
        )

    def max_idle_seconds(self) -> float:
        """Returns how long a spare slot is kept, in seconds."""
        return (
            MIN_REQUEST_INTERVAL_SECONDS
            if self.contended
            else IDLE_SLOT_SECONDS
        )

    def serve_waiters(self) -> None:
        """Leases spare slots to waiters, the most important first."""
        for waiter in list(self.waiters):
            upstream = self.choose_upstream(waiter.importance, waiter.exclude)
            if upstream is not None:
                self.waiters.remove(waiter)
                waiter.complete(self.lease_slot(upstream))

    def expected_delay(self, position: int, importance: int) -> float:
        """Returns the seconds until a waiter can expect a slot.

        If the home's latest answer was for less important work only, it does
        not apply, and the result is 0.

        Args:
            position: Number of waiters ahead.
            importance: Importance of the waiter's work; 1 is the highest.
        """
        if importance < self.expectation_importance:
            return 0.0
        home_delay = max(0.0, self.slot_expected_at - self.clock.monotonic())
        in_use = sum(self.in_use.values())
        if not in_use or not self.mean_use_seconds:
            return home_delay
        return min(home_delay, self.mean_use_seconds * (position + 1) / in_use)

    def reserve_target(self) -> int:
        """Returns the number of spare slots to keep for expected demand."""
        if self.contended:
            return 0
        demand_rate = self.demand.rate(self.clock.monotonic())
        return min(
            MAX_RESERVE_SLOTS, round(demand_rate * RESERVE_DEMAND_SECONDS)
        )

    def start_or_wake(self) -> None:
        """Starts the sending task, or wakes it if a request is due earlier."""
        due_at = self.next_request_at()
        if self.running:
            if due_at < self.sleeping_until and not self.wake_event.ready():
                self.wake_event.send(True)
        elif due_at < math.inf:
            self.running = True
            eventlet.spawn_n(self.run)

    def next_request_at(self) -> float:
        """Returns the instant of the next request; infinity if none is due."""
        if self.waiters:
            return self.retry_at
        if self.reported_to != (self.home.find_host(), self.home.view_digest()):
            return self.retry_at
        if self.slots_recalled:
            return self.requested_at + MIN_REQUEST_INTERVAL_SECONDS
        due_at = math.inf
        if self.granted or self.in_use:
            due_at = self.requested_at + RENEWAL_INTERVAL_SECONDS
        spare = self.spare_slots()
        reserve = self.reserve_target()
        if spare > reserve:
            due_at = min(
                due_at, self.idle_window_started_at + self.max_idle_seconds()
            )
        if spare < reserve:
            due_at = min(
                due_at, max(self.reserve_request_at, self.requested_at)
            )
        return max(due_at, self.retry_at)

    def run(self) -> None:
        """Sends a request to the home whenever one is due.

        Refuses the waiters that remain when it ends.
        """
        try:
            while (due_at := self.next_request_at()) < math.inf:
                now = self.clock.monotonic()
                if due_at > now:
                    self.wake_event = events.Event()
                    self.sleeping_until = due_at
                    self.wake_event.wait(timeout=due_at - now)
                    self.sleeping_until = -math.inf
                else:
                    self.request_once()
        finally:
            self.running = False
            while self.waiters:
                self.waiters.pop().complete(
                    slot_lease.Refused(UNREACHABLE_RETRY_SECONDS)
                )

    def request_once(self) -> None:
        """Sends one request, and another one if a new host became the home."""
        grant = None
        home = self.home.find_host()
        if home is not None:
            grant = self.request_from(home)
            new_home = self.home.find_host()
            if grant is not None and not grant.is_home and new_home != home:
                grant = self.request_from(new_home) if new_home else None
        now = self.clock.monotonic()
        if grant is None or not grant.is_home:
            self.retry_at = now + FAILURE_SLEEP_SECONDS
            self.slot_expected_at = now + UNREACHABLE_RETRY_SECONDS
            self.expectation_importance = 0
        else:
            self.retry_at = now + min(
                MAX_POLL_INTERVAL_SECONDS,
                max(MIN_REQUEST_INTERVAL_SECONDS, grant.retry_after),
            )
            self.slot_expected_at = now + grant.retry_after
        self.serve_waiters()
        self.refuse_unservable()

    def request_from(self, home: str) -> messages.SlotGrant | None:
        """Sends a request to a home and applies its grant."""
        sent_at = self.requested_at = self.clock.monotonic()
        request = self.next_request(sent_at)
        requested_importance = min(
            (waiter.importance for waiter in self.waiters),
            default=slot_limits.ANY_IMPORTANCE,
        )
        grant = self.home.call(home, request, HOME_CALL_TIMEOUT_SECONDS)
        if grant is None or not grant.is_home:
            return grant
        self.expectation_importance = requested_importance
        self.reported_to = (home, request.view)
        self.granted = dict(grant.slots)
        self.expires_at = sent_at + grant.lifetime
        self.lowest_importance = grant.importance
        self.contended = grant.contended
        self.idle_slots = min(self.idle_slots, self.spare_slots())
        if self.spare_slots() < self.reserve_target():
            self.reserve_request_at = sent_at + RENEWAL_INTERVAL_SECONDS
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

    def next_request(self, now: float) -> messages.DrawSlots:
        """Creates a request; stops the use of the slots that it returns."""
        self.sequence += 1
        self.slots_recalled = False
        kept = self.slots_to_keep(now)
        self.granted = dict(kept)
        requested: dict[str, int] = {}
        for waiter in self.waiters:
            requested[waiter.work_class] = (
                requested.get(waiter.work_class, 0) + 1
            )
        reserve_missing = self.reserve_target() - self.spare_slots()
        if reserve_missing > 0:
            requested[slot_limits.RESERVE_CLASS] = reserve_missing
        return messages.DrawSlots(
            self.pool,
            self.host,
            self.incarnation(),
            self.home.view_digest(),
            requested,
            kept,
            dict(self.in_use),
            self.upstreams_to_avoid(),
            self.sequence,
        )

    def upstreams_to_avoid(self) -> tuple[str, ...]:
        """Returns the upstreams of which to request no slots.

        They refused connections recently, or every waiter excludes them.
        """
        exclusions = [waiter.exclude for waiter in self.waiters]
        excluded = (
            exclusions[0].intersection(*exclusions)
            if exclusions
            else frozenset()
        )
        return tuple(sorted(excluded.union(self.home.dead_upstreams())))

    def slots_to_keep(self, now: float) -> dict[str, int]:
        """Returns the slots to keep, in use or spare, by upstream name."""
        kept = dict(self.in_use)
        if now >= self.expires_at:
            return kept
        surplus = 0
        upstreams = self.home.upstreams()
        if now >= self.idle_window_started_at + self.max_idle_seconds():
            surplus = self.idle_slots - self.reserve_target()
            if self.contended:
                surplus = self.spare_slots()
            elif self.waiters:
                surplus = 0
            self.idle_window_started_at = now
            self.idle_slots = self.spare_slots()
        for upstream, granted in self.granted.items():
            spare = granted - self.in_use.get(upstream, 0)
            if spare <= 0 or upstream not in upstreams:
                continue
            returned = min(spare, max(0, surplus))
            surplus -= returned
            if spare > returned:
                kept[upstream] = kept.get(upstream, 0) + spare - returned
        return kept

    def refuse_unservable(self) -> None:
        """Refuses the waiters that give up before a slot is expected."""
        now = self.clock.monotonic()
        for position, waiter in enumerate(list(self.waiters)):
            delay = self.expected_delay(position, waiter.importance)
            if now + delay > waiter.give_up_at:
                self.waiters.remove(waiter)
                waiter.complete(slot_lease.Refused(delay))
