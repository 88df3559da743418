"""Compares placement policies on the same arrivals and simulated upstreams.

    python -m bench.placement [SEED] [REQUESTS_PER_SECOND]

Simulates a deployment with several regions (`Site`). Each upstream has slots
(each processes one request at a time), a bounded queue and a cache of recently
handled objects; requests for cached objects are processed faster. Each host
decides by its own observations only. Upstreams may be lost and their caches
emptied while requests arrive. The simulation runs in virtual time, so the
results of a seed are reproducible.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import functools
import heapq
import math
import random
import sys
from typing import NamedTuple

from gooseberryweir.request.steering import overload
from gooseberryweir.request.steering import placement
from gooseberryweir.request.steering import processing_times
from gooseberryweir.request.steering import regions
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.version import traffic

PROCESSING_JITTER_FRACTION = 0.15
# Availability zones of each region.
ZONES = 2
# In the policy with longer queues while objects are cold: ratio of mean to warm
# processing time from which on they count as cold, and the longest wait.
COLD_ALLOWANCE_TIME_RATIO = 1.8
COLD_ALLOWANCE_PROCESSING_TIMES = 2.5
LOCAL_ONE_WAY_SECONDS = 0.001
ARRIVAL_DURATION_SECONDS = 30.0


class Site(NamedTuple):
    """A simulated deployment.

    Attributes:
        upstream_counts: Number of upstreams in each region. Each region has two
            availability zones.
        hosts_per_region: Number of hosts in each region.
        slots: Requests that an upstream processes at a time.
        max_queued: Requests that wait at an upstream at most.
        objects_per_region: Number of objects that callers of a region use.
        max_cached_objects: Number of objects that an upstream keeps.
        cold_seconds: Processing time of a request whose object is not cached.
        warm_fraction: Fraction of that time that it takes if it is cached.
        round_trip: Seconds between regions and back.
        objective: Latency objective in seconds.
        timeout: Seconds after which a request that waits is dropped.
        swing: Fraction by which the demand of a region deviates from its mean
            in a wave; the waves of regions have different phases.
        period: Length of the wave in seconds.
    """

    upstream_counts: Mapping[str, int]
    hosts_per_region: int
    slots: int
    max_queued: int
    objects_per_region: int
    max_cached_objects: int
    cold_seconds: float
    warm_fraction: float
    round_trip: float
    objective: float
    timeout: float
    swing: float = 0.0
    period: float = 36.0


# The service `studio` at the first site where this system is used.
STUDIO = Site(
    {"centro": 6, "norte": 2, "golfo": 4},
    hosts_per_region=1,
    slots=8,
    max_queued=24,
    objects_per_region=79,
    max_cached_objects=82,
    cold_seconds=0.36,
    warm_fraction=0.3,
    round_trip=0.04,
    objective=0.25,
    timeout=0.8,
)
# A service of longer work in regions further apart, one of which has a seventh
# of the upstreams for a third of a demand that moves in waves.
MENU = Site(
    {"port": 14, "chag": 4, "sando": 12},
    hosts_per_region=4,
    slots=9,
    max_queued=27,
    objects_per_region=173,
    max_cached_objects=72,
    cold_seconds=0.48,
    warm_fraction=0.3,
    round_trip=0.11,
    objective=0.43,
    timeout=2.0,
    swing=0.55,
)


def route(site: Site) -> traffic.Route:
    """Returns the route of all requests of a site."""
    return traffic.Route(
        "r",
        "h",
        "/",
        (traffic.RouteTarget("s", 1.0),),
        True,
        site.timeout,
        site.objective,
        2,
        2,
        True,
        True,
        frozenset(),
    )


class Upstream:
    """A simulated upstream.

    Attributes:
        entry: Description of the upstream, as hosts get it from the platform.
        running: Number of requests that occupy slots.
        waiting: Queued requests, oldest first.
        objects: Names of the cached objects, least recently used first.
        is_lost: True while it gets no requests.
    """

    def __init__(self, name: str, region: str, site: Site) -> None:
        self.site = site
        self.entry = traffic.Upstream(
            name,
            "s",
            "10.0.0.1:80",
            region,
            site.slots,
            False,
            0.0,
            0,
            1,
        )
        self.running = 0
        self.is_lost = False
        self.waiting: collections.deque[Request] = collections.deque()
        self.objects: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def processing_seconds(self, object_name: str, rng: random.Random) -> float:
        """Returns the processing time of a request, and caches its object."""
        warm = object_name in self.objects
        self.objects[object_name] = None
        self.objects.move_to_end(object_name)
        if len(self.objects) > self.site.max_cached_objects:
            self.objects.popitem(last=False)
        mean = self.site.cold_seconds * (
            self.site.warm_fraction if warm else 1.0
        )
        return mean * rng.uniform(
            1 - PROCESSING_JITTER_FRACTION, 1 + PROCESSING_JITTER_FRACTION
        )


class Host:
    """A simulated host.

    Attributes:
        region: Region of the host.
        states: Load, speed and failures of upstreams as seen by the host.
        processing_times: Processing times as measured by the host.
    """

    def __init__(self, region: str, now: Callable[[], float]) -> None:
        self.region = region
        self.states = upstream_state.UpstreamStates(now)
        self.processing_times = processing_times.ProcessingTimeTracker()


class Request(NamedTuple):
    """A request in flight.

    Attributes:
        host: Host that sent the request.
        object_name: Name of the object for affinity.
        sent_at: Virtual time at which the request was sent, seconds.
        choice: The chosen upstream.
    """

    host: Host
    object_name: str
    sent_at: float
    choice: placement.Choice


class Simulation:
    """Simulated upstreams, hosts and time.

    Attributes:
        now: Virtual time in seconds.
        rng: Source of random numbers.
        upstreams: Upstreams by name.
        site: The deployment.
        route: Route of all requests.
        hosts: The hosts of each region.
        events: Heap of scheduled functions: time, sequence number, function.
        sequence: Number of events scheduled so far, which orders the events of
            the same time.
        outcomes: Number of requests by outcome.
        ranked: Upstreams in rank order by region and object; cleared when
            upstreams are lost.
    """

    def __init__(self, seed: int, site: Site = STUDIO) -> None:
        self.now = 0.0
        self.site = site
        self.route = route(site)
        self.rng = random.Random(seed)
        self.upstreams = {
            f"{region}-{index}": Upstream(f"{region}-{index}", region, site)
            for region, count in site.upstream_counts.items()
            for index in range(count)
        }
        self.hosts = {
            region: [
                Host(region, lambda: self.now)
                for _ in range(site.hosts_per_region)
            ]
            for region in site.upstream_counts
        }
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.ranked: dict[tuple[str, str], list[Upstream]] = {}

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedules a function to be called after some seconds."""
        self.sequence += 1
        heapq.heappush(self.events, (self.now + seconds, self.sequence, action))

    def round_trip(self, host: Host, upstream: Upstream) -> float:
        """Returns the seconds to an upstream and back."""
        local = upstream.entry.zone == host.region
        return 2 * LOCAL_ONE_WAY_SECONDS if local else self.site.round_trip

    def candidates(
        self, host: Host, name: str, weights: dict[str, float]
    ) -> list[placement.Candidate]:
        """Returns all upstreams with their state as seen by a host.

        Args:
            host: The host.
            name: Name of the object.
            weights: Weight of a slot in each region.
        """
        candidates = []
        for upstream in self.upstreams.values():
            if upstream.is_lost:
                continue
            state = host.states.get(upstream.entry.name, self.site.slots)
            candidates.append(
                placement.Candidate(
                    upstream.entry,
                    state.estimate(self.now),
                    self.round_trip(host, upstream),
                    self.site.slots * weights.get(upstream.entry.zone, 1.0),
                    state.handled_recently(name, self.now),
                )
            )
        return candidates

    def ranked_upstreams(self, region: str, name: str) -> list[Upstream]:
        """Returns the upstreams in rank order for an object of a region."""
        ranked = self.ranked.get((region, name))
        if ranked is None:
            available = [
                each for each in self.upstreams.values() if not each.is_lost
            ]
            slots: collections.Counter[str] = collections.Counter()
            for each in available:
                slots[each.entry.zone] += each.entry.slots
            zone_counts = dict.fromkeys(self.site.upstream_counts, ZONES)
            weights = regions.region_weights(
                region, regions.region_loads(slots, zone_counts, {})
            )
            ranked = self.ranked[region, name] = sorted(
                available,
                key=lambda each: placement.rendezvous_score(
                    name,
                    each.entry.name,
                    each.entry.slots * weights.get(each.entry.zone, 1.0),
                ),
                reverse=True,
            )
        return ranked

    def ranked_candidates(
        self, host: Host, name: str
    ) -> Iterator[placement.Candidate]:
        """Yields the upstreams in rank order with their state at a host."""
        for upstream in self.ranked_upstreams(host.region, name):
            state = host.states.get(upstream.entry.name, self.site.slots)
            yield placement.Candidate(
                upstream.entry,
                state.estimate(self.now),
                self.round_trip(host, upstream),
                1.0,
                state.handled_recently(name, self.now),
            )

    def send(self, request: Request) -> None:
        """Sends a request to its upstream."""
        upstream = self.upstreams[request.choice.upstream.name]
        state = request.host.states.get(upstream.entry.name, self.site.slots)
        state.record_sent()
        one_way = self.round_trip(request.host, upstream) / 2
        self.schedule(one_way, lambda: self.arrive(request, upstream))

    def arrive(self, request: Request, upstream: Upstream) -> None:
        """Runs, queues or sheds a request at its upstream."""
        if upstream.running < self.site.slots:
            self.run(request, upstream)
        elif len(upstream.waiting) < self.site.max_queued:
            upstream.waiting.append(request)
        else:
            self.outcomes["shed"] += 1
            self.answer(request, upstream, False)

    def run(self, request: Request, upstream: Upstream) -> None:
        """Runs a request unless it has timed out."""
        upstream.running += 1
        if self.now - request.sent_at > self.site.timeout:
            self.outcomes["timeout"] += 1
            self.finish(request, upstream, False)
            return
        seconds = upstream.processing_seconds(request.object_name, self.rng)
        self.schedule(seconds, lambda: self.finish(request, upstream, True))

    def finish(
        self, request: Request, upstream: Upstream, succeeded: bool
    ) -> None:
        """Ends a request and starts the next one in the queue."""
        upstream.running -= 1
        if upstream.waiting:
            self.run(upstream.waiting.popleft(), upstream)
        self.answer(request, upstream, succeeded)

    def answer(
        self, request: Request, upstream: Upstream, succeeded: bool
    ) -> None:
        """Sends an answer back to the host."""
        load = upstream.running + len(upstream.waiting)
        one_way = self.round_trip(request.host, upstream) / 2
        self.schedule(
            one_way,
            lambda: self.record_answer(request, upstream, load, succeeded),
        )

    def record_processing(
        self,
        request: Request,
        state: upstream_state.UpstreamState,
        elapsed: float,
    ) -> None:
        """Records a processing time, as `sending` does.

        Args:
            request: The request, which did not wait for a slot.
            state: State of its upstream at its host.
            elapsed: Seconds of processing.
        """
        times = request.host.processing_times
        estimate = times.estimate(self.route, "s")
        warm = request.choice.warm
        if warm:
            warm = elapsed / state.slowness < math.sqrt(
                estimate.warm * estimate.cold
            )
        if request.choice.handled_recently:
            state.record_affinity_result(warm)
        state.record_success(
            self.now, elapsed / (estimate.warm if warm else estimate.cold)
        )
        times.record(self.route, "s", warm, elapsed / state.slowness)

    def record_answer(
        self, request: Request, upstream: Upstream, load: int, succeeded: bool
    ) -> None:
        """Records an answer in the host's state, and its outcome."""
        host = request.host
        state = host.states.get(upstream.entry.name, self.site.slots)
        state.record_load(load, self.site.slots, self.now)
        state.record_ended()
        if not succeeded:
            state.record_shed(self.now)
            return
        seconds = self.now - request.sent_at
        state.record_object(request.object_name, self.now)
        elapsed = seconds - self.round_trip(host, upstream)
        waited = load > self.site.slots
        host.processing_times.record_mean(
            "s", elapsed - (request.choice.wait if waited else 0.0)
        )
        if waited:
            state.record_success(self.now, None)
        else:
            self.record_processing(request, state, elapsed)
        in_objective = seconds <= self.site.objective
        self.outcomes["in objective" if in_objective else "late"] += 1


# Chooses the upstream of a request at a host, given the name of its object.
# Returns None to refuse the request.
Policy = Callable[[Simulation, Host, str], placement.Choice | None]


def place_random(
    simulation: Simulation, host: Host, name: str
) -> placement.Choice:
    """Chooses a random upstream of the host's region."""
    local = [
        each
        for each in simulation.candidates(host, name, {})
        if each.upstream.zone == host.region
    ]
    return _choice(simulation.rng.choice(local))


def place_least_time(
    simulation: Simulation, host: Host, name: str
) -> placement.Choice:
    """Chooses the upstream with the least expected time in any region."""
    return placement.choose_least_cost(
        simulation.candidates(host, name, {}),
        host.processing_times.estimate(simulation.route, "s"),
        simulation.rng.randrange,
    )


def place_two_choices(
    simulation: Simulation, host: Host, name: str
) -> placement.Choice:
    """Chooses the less loaded of two local upstreams (power of two choices)."""
    local = [
        each
        for each in simulation.candidates(host, name, {})
        if each.upstream.zone == host.region
    ]
    two = [simulation.rng.choice(local) for _ in range(2)]
    return _choice(min(two, key=lambda each: each.estimate.outstanding))


def place_threshold(
    simulation: Simulation, host: Host, name: str
) -> placement.Choice:
    """Chooses the upstream with the least sum of round trip and expected wait.

    A remote upstream is chosen only if the wait at the local ones outweighs the
    round trip. This is the threshold rule from the literature on individually
    optimal routing: a job takes a slower route only if the queue of the faster
    one has reached some length.
    """
    times = host.processing_times.estimate(simulation.route, "s")

    def expected_delay(each: placement.Candidate) -> float:
        return each.round_trip + placement.expected_wait(each, times.mean)

    candidates = simulation.candidates(host, name, {})
    return _choice(
        min(
            candidates,
            key=lambda each: (expected_delay(each), each.estimate.outstanding),
        )
    )


def place_by_affinity(
    simulation: Simulation, host: Host, name: str
) -> placement.Choice:
    """Chooses by affinity, with equal weights in all regions.

    The upstreams are ranked by the name of the object, and the expected cost of
    each is increased by its rank before the costs are compared.
    """
    return placement.choose_by_affinity(
        name,
        simulation.candidates(host, name, {}),
        host.processing_times.estimate(simulation.route, "s"),
    )


def place_by_region_affinity(
    simulation: Simulation, host: Host, name: str
) -> placement.Choice:
    """Chooses by affinity, with weights by region (water filling).

    The weights keep requests in the host's region as far as its slots suffice.
    """
    return placement.choose_ranked(
        simulation.ranked_candidates(host, name),
        len(simulation.upstreams),
        host.processing_times.estimate(simulation.route, "s"),
    )


def place_with_refusal(
    simulation: Simulation, host: Host, name: str
) -> placement.Choice | None:
    """Chooses by affinity and region; refuses if the wait would be too long."""
    choice = place_by_region_affinity(simulation, host, name)
    return None if choice.wait > _max_wait(simulation, host, choice) else choice


def place_with_cold_allowance(
    simulation: Simulation, host: Host, name: str
) -> placement.Choice | None:
    """The same, but requests may wait longer while most objects are cold."""
    choice = place_by_region_affinity(simulation, host, name)
    times = host.processing_times.estimate(simulation.route, "s")
    max_wait = _max_wait(simulation, host, choice)
    if times.mean > COLD_ALLOWANCE_TIME_RATIO * times.warm:
        max_wait = max(max_wait, COLD_ALLOWANCE_PROCESSING_TIMES * times.mean)
    return None if choice.wait > max_wait else choice


def _max_wait(
    simulation: Simulation, host: Host, choice: placement.Choice
) -> float:
    """Returns the longest accepted wait at a chosen upstream, in seconds."""
    times = host.processing_times.estimate(simulation.route, "s")
    local = choice.upstream.zone == host.region
    return overload.max_queue_wait(
        simulation.site.objective,
        2 * LOCAL_ONE_WAY_SECONDS if local else simulation.site.round_trip,
        times.warm,
        times.mean,
        simulation.route.importance,
    )


def _choice(candidate: placement.Candidate) -> placement.Choice:
    """Returns the choice of an upstream, with all expected costs 0."""
    return placement.Choice(
        candidate.upstream, 0.0, 0.0, 0.0, False, False, 0, 1
    )


POLICIES: dict[str, Policy] = {
    "random in the region": place_random,
    "two choices in the region": place_two_choices,
    "threshold for far regions": place_threshold,
    "least expected time": place_least_time,
    "affinity over all regions": place_by_affinity,
    "affinity by region": place_by_region_affinity,
    "affinity by region, early refusal": place_with_refusal,
    "the same, longer queues while cold": place_with_cold_allowance,
}


# A change of the deployment while requests arrive.
Event = Callable[[Simulation], None]


def lose(*regions_lost: str) -> Event:
    """Returns an event after which upstreams of some regions get nothing."""

    def apply(simulation: Simulation) -> None:
        for upstream in simulation.upstreams.values():
            if upstream.entry.zone in regions_lost:
                upstream.is_lost = True
        simulation.ranked.clear()

    return apply


def empty_caches(simulation: Simulation) -> None:
    """Empties the caches of all upstreams, as a restart of them does."""
    for upstream in simulation.upstreams.values():
        upstream.objects.clear()


def simulate(
    policy: Policy,
    seed: int,
    rate: float,
    seconds: float = ARRIVAL_DURATION_SECONDS,
    site: Site = STUDIO,
    events: Sequence[tuple[float, Event]] = (),
) -> collections.Counter[str]:
    """Runs one policy and returns the number of requests by outcome.

    Args:
        policy: Policy that chooses the upstreams.
        seed: Seed of arrivals and processing times.
        rate: Requests per second over all regions.
        seconds: Time for which requests arrive.
        site: The deployment.
        events: Changes of the deployment and their times in seconds.
    """
    simulation = Simulation(seed, site)
    arrivals = random.Random(seed)
    names = list(site.upstream_counts)

    def weight(index: int) -> float:
        phase = simulation.now / site.period + index / len(names)
        return 1 + site.swing * math.sin(2 * math.pi * phase)

    def arrive() -> None:
        region = arrivals.choices(names, map(weight, range(len(names))))[0]
        name = f"{region}-{arrivals.randrange(site.objects_per_region)}"
        host = arrivals.choice(simulation.hosts[region])
        choice = policy(simulation, host, name)
        if choice is None:
            simulation.outcomes["refused"] += 1
        else:
            simulation.send(Request(host, name, simulation.now, choice))
        simulation.outcomes["asked"] += 1
        if simulation.now < seconds:
            simulation.schedule(arrivals.expovariate(rate), arrive)

    for at, event in events:
        simulation.schedule(at, functools.partial(event, simulation))
    simulation.schedule(0.0, arrive)
    while simulation.events:
        simulation.now, _, action = heapq.heappop(simulation.events)
        action()
    return simulation.outcomes


def main() -> None:
    """Prints a table with one row per policy."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    rate = float(sys.argv[2]) if len(sys.argv) > 2 else 310.0
    columns = ["in objective", "late", "refused", "shed", "timeout"]
    print(
        f"seed {seed}, {rate:g} requests per second, fractions of all requests"
    )
    print("| policy |", " | ".join(columns), "|")
    for name, policy in POLICIES.items():
        outcomes = simulate(policy, seed, rate)
        fractions = [
            f"{outcomes[each] / outcomes['asked']:.3f}" for each in columns
        ]
        print(f"| {name} |", " | ".join(fractions), "|")


if __name__ == "__main__":
    main()
