"""Selects the upstream of a request among those that may run it now."""

import collections
from collections.abc import Callable
import random
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.request.steering import limits
from gooseberryweir.request.steering import overload
from gooseberryweir.request.steering import placement
from gooseberryweir.request.steering import regions
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.request.steering import work as work_module
from gooseberryweir.request.steering import work_times
from gooseberryweir.version import traffic

# Round trips between zones and between regions, for the order of upstreams.
# The users' zones are 2 ms apart, their regions 40 and 70 ms.
ZONE_SECONDS = 0.002
REGION_SECONDS = 0.05
# Connections where a service names no limit of them.
NO_LIMIT = 1 << 30


class SelectionParts(NamedTuple):
    """What selecting needs of the process.

    Attributes:
        settings: Settings of the host.
        clock: Source of time.
        knowledge: What the platform says.
        states: What was seen of the upstreams.
        cold: Limits of cold upstreams.
        chance: Source of randomness.
        fleet_size: Returns how many hosts may be serving.
    """

    settings: host_settings.HostSettings
    clock: clocks.Clock
    knowledge: store_cache_module.StoreCache
    states: upstream_state.UpstreamStates
    cold: limits.ColdLimit
    chance: random.Random
    fleet_size: Callable[[], int]


class _InService(NamedTuple):
    """An upstream that takes new work, with what does not change with load."""

    upstream: traffic.Upstream
    region: str
    round_trip: float
    weight: float


class Selection:
    """Selects upstreams.

    Attributes:
        times: How long requests take where they need not wait.
    """

    def __init__(self, parts: SelectionParts) -> None:
        self.parts = parts
        self.times = work_times.LearntTimes()
        self.zones = collections.Counter(parts.settings.region_by_zone.values())
        self.shifts = regions.ShiftBound(parts.clock.monotonic)
        self.sources: tuple[object, ...] = (None, None, None)
        self.in_service: dict[str, list[_InService]] = {}

    def choose(
        self, work: work_module.Work, tried: set[str]
    ) -> placement.Choice | None:
        """Returns the upstream of a request, or None if none may run it.

        Args:
            work: The request.
            tried: Names of upstreams that it was sent to.
        """
        candidates = self._in_bounds(self._candidates(work, tried))
        if not candidates:
            return None
        times = self.times.times(work.admitted.route, work.service)
        if work.object_name:
            return placement.choose_affine(work.object_name, candidates, times)
        return placement.choose_least(
            candidates, times, self.parts.chance.randrange
        )

    def overloaded(
        self, work: work_module.Work, choice: placement.Choice
    ) -> bool:
        """Whether the request would wait too long wherever it goes."""
        times = self.times.times(work.admitted.route, work.service)
        longest = overload.longest_wait(
            work.admitted.route.objective,
            self.round_trip(choice.upstream.zone),
            times.warm,
            times.mean,
            work.admitted.importance,
        )
        expected = (
            self.round_trip(choice.upstream.zone) + choice.work + choice.wait
        )
        left = work.deadline - self.parts.clock.monotonic()
        return choice.wait > longest or (choice.wait > 0 and expected > left)

    def sent(self, choice: placement.Choice) -> None:
        """Counts a request that goes to an upstream."""
        if self.cold(choice.upstream):
            self.parts.cold.take(choice.upstream.name)
        self.shifts.add(self._region(choice.upstream))

    def cold(self, upstream: traffic.Upstream) -> bool:
        """Whether an upstream is cold after its start."""
        until = self.parts.knowledge.cold_until.get(upstream.name, 0.0)
        return until > self.parts.clock.monotonic()

    def _region(self, upstream: traffic.Upstream) -> str:
        return self.parts.settings.region_by_zone.get(upstream.zone, "")

    def round_trip(self, zone: str) -> float:
        """Returns the seconds to an upstream in a zone and back."""
        settings = self.parts.settings
        if zone == settings.zone:
            return 0.0
        region = settings.region_by_zone.get(zone, "")
        return ZONE_SECONDS if region == settings.region else REGION_SECONDS

    def _in_bounds(
        self, candidates: list[placement.Candidate]
    ) -> list[placement.Candidate]:
        """Leaves out regions that would get too much more than before."""
        found = {self._region(each.upstream) for each in candidates}
        if self.parts.settings.region not in found:
            # The region has lost its upstreams; work has to go elsewhere.
            return candidates
        allowed = self.shifts.allowed(found)
        return [
            each
            for each in candidates
            if self._region(each.upstream) in allowed
        ] or candidates

    def _in_service(self, service: str) -> list[_InService]:
        """Returns the upstreams of a service that take new work.

        They are worked out again only when the lists that they come from are
        replaced.
        """
        known = self.parts.knowledge
        sources = (known.configuration, known.upstreams, known.evacuated_zones)
        if any(
            new is not old
            for new, old in zip(sources, self.sources, strict=True)
        ):
            self.sources = sources
            self.in_service = {}
        found = self.in_service.get(service)
        if found is None:
            found = self.in_service[service] = self._find_in_service(service)
        return found

    def _find_in_service(self, service: str) -> list[_InService]:
        known = self.parts.knowledge
        upstreams = [
            each
            for each in known.upstreams.values()
            if each.service == service
            and not each.leaving
            and each.zone not in known.evacuated_zones
        ]
        slots: collections.Counter[str] = collections.Counter()
        for each in upstreams:
            slots[self._region(each)] += each.slots
        known_accounts = (
            known.configuration.accounts.values() if known.configuration else ()
        )
        bound = regions.bound_parts(
            ((each.rate, each.regions) for each in known_accounts), slots
        )
        loads = regions.region_loads(slots, self.zones, bound)
        weights = regions.region_weights(self.parts.settings.region, loads)
        return [
            _InService(
                each,
                self._region(each),
                self.round_trip(each.zone),
                each.slots * weights.get(self._region(each), 1.0),
            )
            for each in upstreams
        ]

    def _candidates(
        self, work: work_module.Work, tried: set[str]
    ) -> list[placement.Candidate]:
        parts = self.parts
        now = parts.clock.monotonic()
        service = self._service(work.service)
        allowed = work.admitted.regions
        found = []
        for each in self._in_service(work.service):
            upstream = each.upstream
            if upstream.name in tried:
                continue
            if allowed and each.region not in allowed:
                continue
            state = parts.states.get(upstream.name, upstream.slots)
            if not state.usable(now):
                continue
            if service is not None and not self._within_limits(
                upstream, state, service
            ):
                continue
            found.append(
                placement.Candidate(
                    upstream,
                    state.estimate(now),
                    each.round_trip,
                    each.weight,
                    state.warm(work.object_name, now),
                )
            )
        return found

    def _within_limits(
        self,
        upstream: traffic.Upstream,
        state: upstream_state.UpstreamState,
        service: traffic.Service,
    ) -> bool:
        """Whether the limits of all hosts together allow one more request."""
        if state.in_flight >= self.max_connections(service.name):
            return False
        return not self.cold(upstream) or self.parts.cold.free(
            upstream.name, service.cold_rate
        )

    def _service(self, name: str) -> traffic.Service | None:
        configuration = self.parts.knowledge.configuration
        return configuration.services.get(name) if configuration else None

    def max_connections(self, name: str) -> int:
        """Returns this host's part of the connections to an upstream."""
        service = self._service(name)
        if service is None or service.max_connections <= 0:
            return NO_LIMIT
        return max(1, service.max_connections // self.parts.fleet_size())
