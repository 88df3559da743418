"""Selects the upstream of a request among those that may run it now."""

import collections
import random
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import knowledge as knowledge_module
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


class SelectionParts(NamedTuple):
    """What selecting needs of the process.

    Attributes:
        settings: Settings of the host.
        clock: Source of time.
        knowledge: What the platform says.
        states: What was seen of the upstreams.
        cold: Limits of cold upstreams.
        chance: Source of randomness.
    """

    settings: host_settings.HostSettings
    clock: clocks.Clock
    knowledge: knowledge_module.Knowledge
    states: upstream_state.UpstreamStates
    cold: limits.ColdLimit
    chance: random.Random


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
            self.round_trip(choice.upstream.zone)
            + (times.warm if choice.warm else times.cold)
            + choice.wait
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

    def _region_weights(
        self, upstreams: list[traffic.Upstream]
    ) -> dict[str, float]:
        """Returns the weight of a slot in each region."""
        slots: collections.Counter[str] = collections.Counter()
        for each in upstreams:
            slots[self._region(each)] += each.slots
        loads = regions.region_loads(slots, self.zones)
        return regions.region_weights(self.parts.settings.region, loads)

    def _candidates(
        self, work: work_module.Work, tried: set[str]
    ) -> list[placement.Candidate]:
        parts = self.parts
        now = parts.clock.monotonic()
        known = parts.knowledge
        service = (
            known.configuration.services.get(work.service)
            if known.configuration
            else None
        )
        open_upstreams = [
            each
            for each in known.upstreams.values()
            if each.service == work.service
            and not each.leaving
            and each.zone not in known.evacuated
        ]
        weights = self._region_weights(open_upstreams)
        found = []
        for upstream in open_upstreams:
            if upstream.name in tried or not self._allowed(work, upstream):
                continue
            state = parts.states.get(upstream.name, upstream.slots)
            if not state.usable(now):
                continue
            if (
                service is not None
                and self.cold(upstream)
                and not parts.cold.free(upstream.name, service.cold_rate)
            ):
                continue
            region = self._region(upstream)
            found.append(
                placement.Candidate(
                    upstream,
                    state.estimate(now),
                    self.round_trip(upstream.zone),
                    upstream.slots * weights.get(region, 1.0),
                    state.warm(work.object_name, now),
                )
            )
        return found

    def _allowed(
        self, work: work_module.Work, upstream: traffic.Upstream
    ) -> bool:
        allowed = work.admitted.regions
        return not allowed or self._region(upstream) in allowed
