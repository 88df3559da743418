"""The home of a pool of slots: grants slots to the hosts that request them.

A slot granted to a host stays allocated until that host reports that it
returned it, or is removed (see `SlotHome.drop_expired`). So there are never
more slots of an upstream in use than it has.
"""

from collections.abc import Callable
import logging
import math
from typing import NamedTuple

from gooseberryweir import logs
from gooseberryweir import rendezvous
from gooseberryweir.connection import messages
from gooseberryweir.process.shares import decay
from gooseberryweir.process.shares import slot_capacity
from gooseberryweir.process.shares import slot_limits
from gooseberryweir.process.shares import timing

LOGGER = logging.getLogger(__name__)
# Added to the lifetime of a grant before the home counts it as expired.
GRANT_MARGIN_SECONDS = 0.05
# Longest timeout of a request; upstreams stop processing it at the timeout.
MAX_REQUEST_SECONDS = 600.0
# A new home waits at most this long until the hosts of the view reported their
# slots in use: a silent host has no requests at upstreams after the longest
# timeout.
REPORT_WAIT_SECONDS = MAX_REQUEST_SECONDS
# Time for which the peak of allocated slots counts as recent.
ALLOCATED_PEAK_WINDOW_SECONDS = 3.0
FREED_SLOTS_DECAY_SECONDS = 2.0
# Time for which a host counts as waiting for slots that it did not get.
UNMET_REQUEST_SECONDS = 0.25
# Retry delay sent if too few slots were returned recently to estimate it.
DEFAULT_RETRY_SECONDS = 0.5
MIN_RETRY_SECONDS = 0.02
MAX_RETRY_SECONDS = 1.0


class Pool(NamedTuple):
    """The slots of one service in one region, and functions that describe them.

    Attributes:
        service: Name of the service.
        region: Name of the region.
        capacities: Usable slots of the upstreams.
        classes: Returns the work classes that use the service.
        members: Returns the hosts of the membership view with their
            incarnations.
    """

    service: str
    region: str
    capacities: slot_capacity.Capacities
    classes: Callable[[], dict[str, slot_limits.WorkClass]]
    members: Callable[[], tuple[tuple[str, int], ...]]


class Requester:
    """State that the home keeps of one incarnation of a requesting host.

    Attributes:
        sequence: Sequence number of its latest request.
        reply: Reply to its latest request.
        allocated: Slots allocated to it, by upstream name.
        expires_at: Monotonic instant at which its latest grant expires.
        unmet: Slots that it requested and did not get, by work class.
        unmet_until: Monotonic instant until which `unmet` counts.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self.reply = messages.SlotGrant({}, 0.0, 0.0, True, 0, False)
        self.allocated: dict[str, int] = {}
        self.expires_at = -math.inf
        self.unmet: dict[str, int] = {}
        self.unmet_until = -math.inf


class SlotHome:
    """State of one pool at its home.

    Attributes:
        pool: The pool.
        started_at: Monotonic instant at which this host became the home.
        requesters: State of each requester, by host name and incarnation.
        unreported_hosts: Names of the hosts in the view at the start that have
            not reported their slots in use.
        peaks: Recent peak of allocated slots and its monotonic instant, by
            upstream name.
        freed_slots: Recent rate of slots that hosts returned, per second.
    """

    def __init__(self, pool: Pool, now: float) -> None:
        self.pool = pool
        self.started_at = now
        self.requesters: dict[tuple[str, int], Requester] = {}
        # A host that joins later has no slots in use.
        self.unreported_hosts = {host for host, _ in pool.members()}
        self.peaks: dict[str, tuple[int, float]] = {}
        self.freed_slots = decay.DecayingCount(FREED_SLOTS_DECAY_SECONDS, now)

    def allocated(self) -> dict[str, int]:
        """Returns the slots allocated on each upstream."""
        total: dict[str, int] = {}
        for requester in self.requesters.values():
            for upstream, slots in requester.allocated.items():
                total[upstream] = total.get(upstream, 0) + slots
        return total

    def handle(
        self, message: messages.DrawSlots, now: float
    ) -> messages.SlotGrant:
        """Answers a request for slots.

        A repeated sequence number gets the same reply again; an older one gets
        no slots.
        """
        self.drop_expired(now)
        key = (message.host, message.incarnation)
        requester = self.requesters.setdefault(key, Requester())
        if message.sequence == requester.sequence:
            return requester.reply
        if message.sequence < requester.sequence:
            return messages.SlotGrant({}, 0.0, 0.0, False, 0, False)
        self.unreported_hosts.discard(message.host)
        self.record_freed(requester.allocated, message.held, now)
        requester.allocated = dict(message.held)
        requester.sequence = message.sequence
        requester.expires_at = now + timing.GRANT_SECONDS + GRANT_MARGIN_SECONDS
        requester.reply = self.answer(requester, message, now)
        return requester.reply

    def answer(
        self, requester: Requester, message: messages.DrawSlots, now: float
    ) -> messages.SlotGrant:
        """Returns a grant of the slots that a host keeps and of new ones."""
        usable = self.usable_slots(now)
        kept = self.slots_to_keep(requester, message, usable, now)
        granted, retry_after = self.grant(requester, message, usable, now)
        if message.requested:
            self.log_placement(requester, message, usable, granted)
        slots = {
            upstream: kept.get(upstream, 0) + granted.get(upstream, 0)
            for upstream in kept.keys() | granted.keys()
        }
        for upstream, added in granted.items():
            allocated = requester.allocated.get(upstream, 0)
            requester.allocated[upstream] = allocated + added
        self.record_peaks(now)
        return messages.SlotGrant(
            {upstream: count for upstream, count in slots.items() if count > 0},
            timing.GRANT_SECONDS,
            retry_after,
            True,
            self.lowest_importance(usable),
            bool(
                self.unmet_by_others(requester, slot_limits.ANY_IMPORTANCE, now)
            ),
        )

    def log_placement(
        self,
        requester: Requester,
        message: messages.DrawSlots,
        usable: dict[str, int],
        granted: dict[str, int],
    ) -> None:
        """Logs the upstreams chosen for a host and the inputs of the choice."""
        logs.event(
            LOGGER,
            "slots-placed",
            pool=message.pool,
            drawer=message.host,
            want=message.requested,
            granted=granted,
            held=self.allocated(),
            usable=usable,
            limits=self.class_limits(usable),
            reason="no-slot" if requester.unmet else "least-share-held",
        )

    def usable_slots(self, now: float) -> dict[str, int]:
        """Returns the slots that this fleet may use, by upstream name."""
        pool = self.pool
        usable = pool.capacities.usable_slots(pool.service, pool.region)
        return {
            upstream: slots
            - pool.capacities.slots_for_other_clients(
                upstream, slots, self.recent_peak(upstream, now)
            )
            for upstream, slots in usable.items()
        }

    def class_limits(self, usable: dict[str, int]) -> dict[str, int]:
        """Returns the limit of each class; see `slot_limits.region_limits`."""
        total = sum(usable.values())
        return slot_limits.region_limits(total, self.pool.classes())

    def lowest_importance(self, usable: dict[str, int]) -> int:
        """Returns the lowest importance of the work that may use a slot now."""
        allocated = self.allocated()
        total = sum(allocated.get(upstream, 0) for upstream in usable)
        return slot_limits.lowest_importance(
            total, self.class_limits(usable), self.pool.classes()
        )

    def slots_to_keep(
        self,
        requester: Requester,
        message: messages.DrawSlots,
        usable: dict[str, int],
        now: float,
    ) -> dict[str, int]:
        """Returns the slots that a host may keep, by upstream name.

        Spare slots are taken back if their upstream accepts no new requests, if
        more slots are allocated than any work class may use, or if other hosts
        wait. Slots in use are recalled, to be returned after use, if other
        hosts wait and the requesting host has more than its fair share.
        """
        allocated = self.allocated()
        limits = self.class_limits(usable)
        total = sum(allocated.get(upstream, 0) for upstream in usable)
        surplus = total - max(limits.values(), default=0)
        highest = self.highest_importance(message.requested)
        unmet = self.unmet_by_others(requester, highest, now)
        recalled = max(0, -surplus) + self.recalled_from_others(requester)
        surplus = max(0, surplus, unmet - recalled)
        kept: dict[str, int] = {}
        for upstream, slots in message.held.items():
            in_use = min(slots, message.in_use.get(upstream, 0))
            over_capacity = allocated.get(upstream, 0) - usable.get(upstream, 0)
            spare = max(0, min(slots - in_use, slots - in_use - over_capacity))
            reclaimed = min(spare, surplus)
            surplus -= reclaimed
            kept[upstream] = in_use + spare - reclaimed
        excess = sum(kept.values()) - self.fair_share(limits, now)
        return recall_slots(kept, min(surplus, excess))

    def recalled_from_others(self, requester: Requester) -> int:
        """Returns the slots that other hosts still have to return."""
        return sum(
            max(0, slots - other.reply.slots.get(upstream, 0))
            for other in self.requesters.values()
            if other is not requester
            for upstream, slots in other.allocated.items()
        )

    def highest_importance(self, requested: dict[str, int]) -> int:
        """Returns the highest importance among the classes requested."""
        classes = self.pool.classes()
        return min(
            (classes[name].importance for name in requested if name in classes),
            default=slot_limits.ANY_IMPORTANCE,
        )

    def unmet_by_others(
        self, requester: Requester, lowest: int, now: float
    ) -> int:
        """Returns the number of slots that other hosts wait for.

        Args:
            requester: State of the host that is not counted.
            lowest: Lowest importance (largest number) that counts.
            now: Monotonic time.
        """
        classes = self.pool.classes()
        return sum(
            count
            for other in self.requesters.values()
            if other is not requester and other.unmet_until > now
            for name, count in other.unmet.items()
            if name in classes and classes[name].importance <= lowest
        )

    def fair_share(self, limits: dict[str, int], now: float) -> int:
        """Returns the equal share of each host that has or awaits slots."""
        active = sum(
            bool(requester.allocated) or requester.unmet_until > now
            for requester in self.requesters.values()
        )
        return max(limits.values(), default=0) // max(1, active)

    def grant(
        self,
        requester: Requester,
        message: messages.DrawSlots,
        usable: dict[str, int],
        now: float,
    ) -> tuple[dict[str, int], float]:
        """Grants requested slots, the most important class first.

        Returns:
            Slots granted by upstream name, and the seconds until a retry if
            some are missing, else 0.
        """
        allocated = self.allocated()
        limits = self.class_limits(usable)
        total = sum(allocated.get(upstream, 0) for upstream in usable)
        granted: dict[str, int] = {}
        unmet: dict[str, int] = {}
        for name in self.classes_by_importance(message.requested):
            limit = limits.get(name, 0) - self.unmet_by_more_important(
                requester, name, now
            )
            for _ in range(message.requested[name]):
                upstream = self.least_loaded(allocated, usable, message)
                if upstream is None or total >= limit:
                    unmet[name] = unmet.get(name, 0) + 1
                    continue
                allocated[upstream] = allocated.get(upstream, 0) + 1
                granted[upstream] = granted.get(upstream, 0) + 1
                total += 1
        unmet.pop(slot_limits.RESERVE_CLASS, None)
        requester.unmet = unmet
        if not unmet:
            requester.unmet_until = -math.inf
            return granted, 0.0
        retry_after = self.retry_after(requester, usable, now)
        requester.unmet_until = now + UNMET_REQUEST_SECONDS
        return granted, retry_after

    def unmet_by_more_important(
        self, requester: Requester, name: str, now: float
    ) -> int:
        """Returns the slots that others wait for with more important work.

        Args:
            requester: State of the host that is not counted.
            name: Name of the work class.
            now: Monotonic time.
        """
        work_class = self.pool.classes().get(name)
        lowest = (
            slot_limits.ANY_IMPORTANCE
            if work_class is None
            else work_class.importance - 1
        )
        return self.unmet_by_others(requester, lowest, now)

    def classes_by_importance(self, requested: dict[str, int]) -> list[str]:
        """Returns the classes requested, the most important first."""
        classes = self.pool.classes()
        names = [name for name in requested if name in classes]
        names.sort(key=lambda name: (classes[name].importance, name))
        return names + [
            name for name in requested if name == slot_limits.RESERVE_CLASS
        ]

    def least_loaded(
        self,
        allocated: dict[str, int],
        usable: dict[str, int],
        message: messages.DrawSlots,
    ) -> str | None:
        """Returns the upstream with the smallest fraction of slots allocated.

        Returns None if no upstream has a free slot, or if some hosts have not
        reported their slots in use.
        """
        if not self.all_hosts_reported():
            return None
        free = [
            upstream
            for upstream, slots in usable.items()
            if allocated.get(upstream, 0) < slots
            and upstream not in message.avoid
        ]
        return min(
            free,
            key=lambda upstream: (
                allocated.get(upstream, 0) / usable[upstream],
                -rendezvous.score(message.host, upstream),
            ),
            default=None,
        )

    def all_hosts_reported(self) -> bool:
        """Returns True if each host of the view reported its slots in use.

        A host that died leaves the view; one that is paused or unreachable may
        still have requests at upstreams.
        """
        now = self.pool.capacities.clock.monotonic()
        if now - self.started_at >= REPORT_WAIT_SECONDS:
            return True
        return self.unreported_hosts.isdisjoint(
            host for host, _ in self.pool.members()
        )

    def retry_after(
        self, requester: Requester, usable: dict[str, int], now: float
    ) -> float:
        """Returns the seconds until a slot is expected for a host."""
        if not usable:
            return MAX_RETRY_SECONDS
        classes = self.pool.classes()
        lowest = min(classes[name].importance for name in requester.unmet)
        unmet_slots = self.unmet_by_others(requester, lowest, now)
        rate = self.freed_slots.rate(now)
        if rate * MAX_RETRY_SECONDS <= 1:
            return DEFAULT_RETRY_SECONDS
        delay = (1 + unmet_slots) / rate
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, delay))

    def record_freed(
        self, previous: dict[str, int], kept: dict[str, int], now: float
    ) -> None:
        """Records the number of slots that a host returned.

        Args:
            previous: Slots allocated to the host so far, by upstream name.
            kept: Slots that it keeps, by upstream name.
            now: Monotonic time.
        """
        freed = sum(
            max(0, slots - kept.get(upstream, 0))
            for upstream, slots in previous.items()
        )
        self.freed_slots.add(freed, now)

    def recent_peak(self, upstream: str, now: float) -> int:
        """Returns the recent peak of slots allocated on an upstream."""
        count, recorded_at = self.peaks.get(upstream, (0, -math.inf))
        return (
            count if now - recorded_at <= ALLOCATED_PEAK_WINDOW_SECONDS else 0
        )

    def record_peaks(self, now: float) -> None:
        """Updates the recent peaks of slots allocated on the upstreams."""
        for upstream, count in self.allocated().items():
            if count >= self.recent_peak(upstream, now):
                self.peaks[upstream] = (count, now)

    def drop_expired(self, now: float) -> None:
        """Removes requesters that are dead or whose requests must have ended.

        A host outside the view is removed when its grant expires, any other
        when its grant expired `MAX_REQUEST_SECONDS` ago.
        """
        members = set(self.pool.members())
        expired = [
            key
            for key, requester in self.requesters.items()
            if (requester.expires_at < now and key not in members)
            or requester.expires_at + MAX_REQUEST_SECONDS < now
        ]
        for key in expired:
            del self.requesters[key]


def recall_slots(kept: dict[str, int], count: int) -> dict[str, int]:
    """Removes slots from those to keep, from the upstream with the most first.

    Args:
        kept: Slots that a host may keep, by upstream name.
        count: Number of slots to remove.
    """
    kept = dict(kept)
    for _ in range(max(0, count)):
        upstream = max(kept, key=lambda name: (kept[name], name), default=None)
        if upstream is None or kept[upstream] <= 0:
            break
        kept[upstream] -= 1
    return kept
