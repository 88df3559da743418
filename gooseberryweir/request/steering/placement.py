"""Chooses the upstream of a request: consistent hashing with bounded load.

An object is the data that a request's affinity key identifies. It is warm at an
upstream that handled it recently, and cold at the others, which need more
processing time for it. Weighted rendezvous hashing ranks the upstreams for each
object, and all hosts compute the same ranks. So the requests for an object stay
at the upstream where it is warm, and few objects move when upstreams are added
or removed.

A request goes to the upstream with the least expected time until its answer.
The object is expected to be warm at the first upstream by rank and at those
that handled it recently. So its requests move to another upstream only if the
wait at the warm one exceeds the additional processing time at the other. Among
the upstreams where the object is cold the rank decides, so that each object is
warm at few upstreams.

Sources: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", 1998; Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with
bounded loads", 2018.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import NamedTuple

from gooseberryweir import rendezvous
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.version import traffic

# Upstreams for an object are compared by cost * (1 + RANK_PENALTY * rank).
RANK_PENALTY = 0.05
# An upstream's cost is multiplied by 1 + FAILURE_PENALTY * failure ratio.
FAILURE_PENALTY = 6.0
# Candidates whose cost exceeds the least cost by at most this fraction count as
# equal.
TIE_COST_FRACTION = 0.05
_HASH_RANGE = float(2**64)


class ProcessingTimes(NamedTuple):
    """Expected processing times at an idle upstream, in seconds.

    Attributes:
        warm: Time of a request of the route where its object is warm.
        cold: Time of a request of the route where its object is cold.
        mean: Mean time of all requests of the service, used to estimate waits.
    """

    warm: float
    cold: float
    mean: float


class Candidate(NamedTuple):
    """An upstream that may run a request.

    Attributes:
        upstream: The upstream.
        estimate: Expected load, speed and failures of the upstream.
        round_trip: Seconds to the upstream and back.
        weight: Relative share of the objects that the upstream gets.
        handled_recently: True if the upstream recently ran a request for the
            object that this host sent.
    """

    upstream: traffic.Upstream
    estimate: upstream_state.Estimate
    round_trip: float
    weight: float
    handled_recently: bool


class Choice(NamedTuple):
    """The upstream chosen for a request, and the estimates for the choice.

    Attributes:
        upstream: The upstream.
        cost: Expected seconds until the answer, increased by the upstream's
            failure ratio (see `FAILURE_PENALTY`).
        processing_time: Expected seconds of processing.
        wait: Expected seconds until the request gets a slot, the place of one
            running request at the upstream.
        warm: True if the object is expected to be warm there.
        handled_recently: True if the upstream recently ran a request for the
            object that this host sent.
        rank: Rank of the upstream for the object, from 0.
        candidate_count: Number of upstreams that were considered.
    """

    upstream: traffic.Upstream
    cost: float
    processing_time: float
    wait: float
    warm: bool
    handled_recently: bool
    rank: int
    candidate_count: int


def expected_wait(candidate: Candidate, mean_seconds: float) -> float:
    """Returns the expected seconds until one more request gets a slot."""
    estimate = candidate.estimate
    queued = max(0.0, estimate.outstanding + 1 - estimate.slots)
    return mean_seconds * estimate.slowness * queued / estimate.slots


def expected_processing_time(
    candidate: Candidate, warm: bool, times: ProcessingTimes
) -> float:
    """Returns the expected processing time in seconds.

    Args:
        candidate: The upstream.
        warm: True if the object is expected to be warm there. The upstream's
            miss ratio accounts for objects that its cache has evicted.
        times: Processing times of the route.
    """
    estimate = candidate.estimate
    miss_ratio = estimate.miss_ratio if warm else 1.0
    processing_time = times.warm + miss_ratio * (times.cold - times.warm)
    return processing_time * estimate.slowness


def expected_cost(
    candidate: Candidate, processing_time: float, wait: float
) -> float:
    """Returns the expected seconds to the answer times a factor for failures.

    Args:
        candidate: The upstream.
        processing_time: Expected seconds of processing.
        wait: Expected seconds until the request gets a slot.
    """
    estimate = candidate.estimate
    seconds = candidate.round_trip + processing_time + wait
    return seconds * (1 + FAILURE_PENALTY * estimate.failure_ratio)


def rendezvous_score(
    object_name: str, upstream_name: str, weight: float
) -> float:
    """Returns the weighted rendezvous score; the highest ranks first."""
    hash_value = rendezvous.score(object_name, upstream_name)
    uniform = (hash_value + 0.5) / _HASH_RANGE
    return -weight / math.log(uniform)


def choose_by_affinity(
    object_name: str, candidates: Sequence[Candidate], times: ProcessingTimes
) -> Choice:
    """Returns the upstream for a request with an affinity key.

    Args:
        object_name: Name of the object.
        candidates: At least one upstream.
        times: Processing times of the route.
    """
    ordered = sorted(
        candidates,
        key=lambda each: rendezvous_score(
            object_name, each.upstream.name, each.weight
        ),
        reverse=True,
    )
    return choose_ranked(ordered, len(ordered), times)


def choose_ranked(
    ordered: Iterable[Candidate], count: int, times: ProcessingTimes
) -> Choice:
    """Returns the upstream for a request from candidates in rank order.

    Takes only as many candidates as may have the least cost.

    Args:
        ordered: At least one upstream, the first by rank first.
        count: Number of these upstreams.
        times: Processing times of the route.
    """
    least_cost = times.warm * upstream_state.MIN_SLOWNESS
    best: tuple[float, Choice] | None = None
    for rank, each in enumerate(ordered):
        warm = rank == 0 or each.handled_recently
        wait = expected_wait(each, times.mean)
        processing_time = expected_processing_time(each, warm, times)
        cost = expected_cost(each, processing_time, wait)
        penalised_cost = cost * (1 + RANK_PENALTY * rank)
        if best is None or penalised_cost < best[0]:
            choice = Choice(
                each.upstream,
                cost,
                processing_time,
                wait,
                warm,
                each.handled_recently,
                rank,
                count,
            )
            best = (penalised_cost, choice)
        if least_cost * (1 + RANK_PENALTY * (rank + 1)) >= best[0]:
            break
    assert best is not None
    return best[1]


def choose_least_cost(
    candidates: Sequence[Candidate],
    times: ProcessingTimes,
    random_index: Callable[[int], int],
) -> Choice:
    """Returns the upstream with the least cost, for requests without an object.

    Args:
        candidates: At least one upstream.
        times: Processing times of the route.
        random_index: Returns a random integer from 0 up to, but not including,
            its argument, to break ties.
    """
    waits = [expected_wait(each, times.mean) for each in candidates]
    processing_times = [
        expected_processing_time(each, False, times) for each in candidates
    ]
    costs = [
        expected_cost(each, processing_time, wait)
        for each, processing_time, wait in zip(
            candidates, processing_times, waits, strict=True
        )
    ]
    tie_limit = min(costs) * (1 + TIE_COST_FRACTION)
    tied = [index for index, cost in enumerate(costs) if cost <= tie_limit]
    chosen = tied[random_index(len(tied))]
    return Choice(
        candidates[chosen].upstream,
        costs[chosen],
        processing_times[chosen],
        waits[chosen],
        False,
        False,
        0,
        len(candidates),
    )


class WeightedRoundRobin:
    """Distributes a route's requests to services by weight.

    Smooth weighted round robin: after any number of requests, the count of each
    service is within one request of its share.

    Attributes:
        credit: Credit of each service, by route. It grows by the weight of the
            service with each request, and falls by the sum of all weights when
            the service is chosen.
    """

    def __init__(self) -> None:
        self.credit: dict[str, dict[str, float]] = {}

    def next(self, route: traffic.Route) -> str:
        """Returns the service for the next request of a route."""
        if len(route.targets) == 1:
            return route.targets[0].service
        credit = self.credit.setdefault(route.name, {})
        weights: Mapping[str, float] = {
            each.service: each.weight for each in route.targets
        }
        for removed in set(credit) - set(weights):
            del credit[removed]
        for service, weight in weights.items():
            credit[service] = credit.get(service, 0.0) + weight
        chosen = max(weights, key=lambda service: (credit[service], service))
        credit[chosen] -= sum(weights.values())
        return chosen
