"""Selects the upstream of a request among those that may run it now."""

import collections
from collections.abc import Callable
import random
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.process.fleet import (
    upstream_tokens as upstream_tokens_module,
)
from gooseberryweir.request.steering import limits
from gooseberryweir.request.steering import overload
from gooseberryweir.request.steering import pending_request
from gooseberryweir.request.steering import placement
from gooseberryweir.request.steering import (
    processing_times as processing_times_module,
)
from gooseberryweir.request.steering import regions
from gooseberryweir.request.steering import round_trips as round_trips_module
from gooseberryweir.request.steering import (
    upstream_notices as upstream_notices_module,
)
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.version import traffic

# Objects whose ranking of the upstreams is cached.
MAX_RANKED_OBJECTS = 1024
# Limit on connections for services that declare none.
UNLIMITED_CONNECTIONS = 1 << 30


class SelectionDependencies(NamedTuple):
    """Objects of the process that the selection uses.

    Attributes:
        settings: Settings of the host.
        clock: Source of time.
        store_cache: Cache of the platform's store.
        states: Load, speed and failures of upstreams.
        cold_limit: Limit on the rate of requests to cold upstreams, which have
            started recently and whose caches are not filled.
        rng: Source of random numbers.
        fleet_size: Returns the number of hosts that may be serving.
        upstream_tokens: Tokens for requests to upstreams that limit their
            request rate.
        notices: Upstreams that leave or want no requests for some time.
    """

    settings: host_settings.HostSettings
    clock: clocks.Clock
    store_cache: store_cache_module.StoreCache
    states: upstream_state.UpstreamStates
    cold_limit: limits.ColdUpstreamLimit
    rng: random.Random
    fleet_size: Callable[[], int]
    upstream_tokens: upstream_tokens_module.UpstreamTokens
    notices: upstream_notices_module.UpstreamNotices


class _EligibleUpstream(NamedTuple):
    """An upstream that takes new requests, and its properties except load.

    Attributes:
        upstream: The upstream.
        region: Region of the upstream.
        weight: Relative share of the objects that the upstream gets.
    """

    upstream: traffic.Upstream
    region: str
    weight: float


class _UsableUpstream(NamedTuple):
    """An upstream that may run a request now.

    Attributes:
        eligible: The upstream and its properties except load.
        state: Load, speed and failures of the upstream.
    """

    eligible: _EligibleUpstream
    state: upstream_state.UpstreamState


class Selection:
    """Selects the upstream of each request.

    Attributes:
        dependencies: Objects of the process that the selection uses.
        processing_times: Processing times by route and service.
        round_trips: Round trips to upstreams.
        zone_counts: Number of availability zones in each region.
        shift_limiter: Limit on shifts of requests between regions.
        eligible_inputs: Objects from which `eligible_by_service` was computed:
            configuration, upstreams, evacuated zones and upstreams that leave.
        eligible_by_service: Cache of the upstreams that take new requests, by
            service.
        ranked_by_object: Cache of the same upstreams in rank order, by service
            and object.
    """

    def __init__(self, dependencies: SelectionDependencies) -> None:
        self.dependencies = dependencies
        self.processing_times = processing_times_module.ProcessingTimeTracker()
        self.round_trips = round_trips_module.RoundTrips(
            dependencies.settings.zone, dependencies.settings.region_by_zone
        )
        self.zone_counts = collections.Counter(
            dependencies.settings.region_by_zone.values()
        )
        self.shift_limiter = regions.RegionShiftLimiter(
            dependencies.clock.monotonic
        )
        self.eligible_inputs: tuple[object, ...] = (None,) * 4
        self.eligible_by_service: dict[str, list[_EligibleUpstream]] = {}
        self.ranked_by_object: dict[
            tuple[str, str], list[_EligibleUpstream]
        ] = {}

    def choose(
        self, request: pending_request.PendingRequest, tried: set[str]
    ) -> placement.Choice | None:
        """Returns the upstream of a request, or None if none may run it.

        Args:
            request: The request.
            tried: Names of upstreams that the request was already sent to.
        """
        usable = self._within_shift_limit(self._usable(request, tried))
        if not usable:
            return None
        processing_times = self.processing_times.estimate(
            request.admitted.route, request.service
        )
        now = self.dependencies.clock.monotonic()
        # Created as needed: most upstreams rank too low to be chosen.
        candidates = (
            placement.Candidate(
                each.eligible.upstream,
                each.state.estimate(now),
                self.round_trips.estimate(each.eligible.upstream.zone),
                each.eligible.weight,
                each.state.handled_recently(request.object_name, now),
            )
            for each in usable
        )
        if request.object_name:
            return placement.choose_ranked(
                candidates, len(usable), processing_times
            )
        return placement.choose_least_cost(
            list(candidates), processing_times, self.dependencies.rng.randrange
        )

    def is_overloaded(
        self, request: pending_request.PendingRequest, choice: placement.Choice
    ) -> bool:
        """Returns True if the expected wait for a slot is too long.

        A slot is the place of one running request at the upstream. The wait is
        too long if it exceeds what the route's latency objective and the
        request's importance allow, or if the answer would miss the deadline.
        """
        processing_times = self.processing_times.estimate(
            request.admitted.route, request.service
        )
        round_trip = self.round_trips.estimate(choice.upstream.zone)
        max_wait = overload.max_queue_wait(
            request.admitted.route.objective,
            round_trip,
            processing_times.warm,
            processing_times.mean,
            request.admitted.importance,
        )
        expected_seconds = round_trip + choice.processing_time + choice.wait
        remaining = request.deadline - self.dependencies.clock.monotonic()
        return choice.wait > max_wait or (
            choice.wait > 0 and expected_seconds > remaining
        )

    def pause_seconds(self, request: pending_request.PendingRequest) -> float:
        """Returns the seconds until an upstream's pause lets a request run.

        Returns:
            The least time for which an upstream that may run the request wants
            no requests; 0 if one of them has not asked for a pause.
        """
        allowed_regions = request.admitted.regions
        return min(
            (
                self.dependencies.notices.pause_seconds(
                    each.upstream.incarnation
                )
                for each in self._eligible_upstreams(request.service)
                if not allowed_regions or each.region in allowed_regions
            ),
            default=0.0,
        )

    def take_token(self, choice: placement.Choice) -> bool:
        """Returns True if a request may be sent to its upstream.

        Takes a token if the upstream limits its request rate.
        """
        return self.dependencies.upstream_tokens.take(
            choice.upstream.incarnation, self._region(choice.upstream)
        )

    def record_sent(self, choice: placement.Choice) -> None:
        """Records a request that is sent to an upstream."""
        if self.is_cold(choice.upstream):
            self.dependencies.cold_limit.record_request(choice.upstream.name)
        self.shift_limiter.record(self._region(choice.upstream))

    def is_cold(self, upstream: traffic.Upstream) -> bool:
        """Returns True while an upstream is cold after its start."""
        cold_until = self.dependencies.store_cache.cold_until.get(
            upstream.name, 0.0
        )
        return cold_until > self.dependencies.clock.monotonic()

    def _region(self, upstream: traffic.Upstream) -> str:
        """Returns the region of an upstream, or an empty string."""
        return self.dependencies.settings.region_by_zone.get(upstream.zone, "")

    def _within_shift_limit(
        self, usable: list[_UsableUpstream]
    ) -> list[_UsableUpstream]:
        """Returns the upstreams in regions that may get more requests.

        Returns all upstreams if there is no such region, or if this host's
        region has none.
        """
        usable_regions = {each.eligible.region for each in usable}
        if self.dependencies.settings.region not in usable_regions:
            # This host's region has no usable upstream: requests must run in
            # other regions, whatever the limit.
            return usable
        allowed_regions = self.shift_limiter.allowed_regions(usable_regions)
        return [
            each for each in usable if each.eligible.region in allowed_regions
        ] or usable

    def _eligible_upstreams(self, service: str) -> list[_EligibleUpstream]:
        """Returns the upstreams of a service that take new requests.

        The result is cached until the configuration, the upstreams, the
        evacuated zones or the upstreams that leave are replaced.
        """
        store_cache = self.dependencies.store_cache
        inputs = (
            store_cache.configuration,
            store_cache.upstreams,
            store_cache.evacuated_zones,
            self.dependencies.notices.leaving,
        )
        if any(
            current is not previous
            for current, previous in zip(
                inputs, self.eligible_inputs, strict=True
            )
        ):
            self.eligible_inputs = inputs
            self.eligible_by_service = {}
            self.ranked_by_object = {}
        eligible = self.eligible_by_service.get(service)
        if eligible is None:
            eligible = self.eligible_by_service[service] = (
                self._find_eligible_upstreams(service)
            )
        return eligible

    def _find_eligible_upstreams(self, service: str) -> list[_EligibleUpstream]:
        """Computes the upstreams of a service that take new requests."""
        store_cache = self.dependencies.store_cache
        upstreams = [
            each
            for each in store_cache.upstreams.values()
            if each.service == service
            and not each.draining
            and each.zone not in store_cache.evacuated_zones
            and each.incarnation not in self.dependencies.notices.leaving
        ]
        slots: collections.Counter[str] = collections.Counter()
        for each in upstreams:
            slots[self._region(each)] += each.slots
        accounts = (
            store_cache.configuration.accounts.values()
            if store_cache.configuration
            else ()
        )
        restricted = regions.restricted_fractions(
            ((each.rate, each.regions) for each in accounts), slots
        )
        loads = regions.region_loads(slots, self.zone_counts, restricted)
        weights = regions.region_weights(
            self.dependencies.settings.region, loads
        )
        return [
            _EligibleUpstream(
                each,
                self._region(each),
                each.slots * weights.get(self._region(each), 1.0),
            )
            for each in upstreams
        ]

    def _ranked_upstreams(
        self, service: str, object_name: str
    ) -> list[_EligibleUpstream]:
        """Returns the upstreams of a service that take new requests.

        They are in rank order for an object; in any order without one.
        """
        eligible = self._eligible_upstreams(service)
        if not object_name:
            return eligible
        ranked = self.ranked_by_object.get((service, object_name))
        if ranked is None:
            ranked = sorted(
                eligible,
                key=lambda each: placement.rendezvous_score(
                    object_name, each.upstream.name, each.weight
                ),
                reverse=True,
            )
            if len(self.ranked_by_object) >= MAX_RANKED_OBJECTS:
                del self.ranked_by_object[next(iter(self.ranked_by_object))]
            self.ranked_by_object[service, object_name] = ranked
        return ranked

    def _usable(
        self, request: pending_request.PendingRequest, tried: set[str]
    ) -> list[_UsableUpstream]:
        """Returns the upstreams that may run a request now, in rank order.

        If there are none, those that were ejected but send bytes.
        """
        dependencies = self.dependencies
        now = dependencies.clock.monotonic()
        service = self._find_service(request.service)
        max_connections = self.max_connections(request.service)
        allowed_regions = request.admitted.regions
        refused_until = dependencies.upstream_tokens.refused_until
        usable: list[_UsableUpstream] = []
        last_resorts: list[_UsableUpstream] = []
        for eligible in self._ranked_upstreams(
            request.service, request.object_name
        ):
            upstream = eligible.upstream
            if upstream.name in tried:
                continue
            if allowed_regions and eligible.region not in allowed_regions:
                continue
            if not dependencies.notices.accepts(upstream.incarnation):
                continue
            state = dependencies.states.get(upstream.name, upstream.slots)
            is_usable = state.is_usable(now)
            if state.in_flight >= max_connections or not (
                is_usable or state.is_last_resort()
            ):
                continue
            if service is not None and not self._accepts_cold(
                upstream, service
            ):
                continue
            if refused_until and not dependencies.upstream_tokens.may_ask(
                upstream.incarnation
            ):
                continue
            found = usable if is_usable else last_resorts
            found.append(_UsableUpstream(eligible, state))
        return usable or last_resorts

    def _accepts_cold(
        self, upstream: traffic.Upstream, service: traffic.Service
    ) -> bool:
        """Returns True unless an upstream is cold and gets no more requests.

        The limit on the rate of requests to a cold upstream is shared by all
        hosts.
        """
        return not self.is_cold(
            upstream
        ) or self.dependencies.cold_limit.has_capacity(
            upstream.name, service.cold_rate
        )

    def _find_service(self, name: str) -> traffic.Service | None:
        """Returns a service of the active configuration, or None."""
        configuration = self.dependencies.store_cache.configuration
        return configuration.services.get(name) if configuration else None

    def max_connections(self, name: str) -> int:
        """Returns this host's share of the connections to each upstream.

        Args:
            name: Name of the upstream's service, which declares the limit.
        """
        service = self._find_service(name)
        if service is None or service.max_connections <= 0:
            return UNLIMITED_CONNECTIONS
        return max(1, service.max_connections // self.dependencies.fleet_size())
