"""Chooses the upstream of a request: consistent hashing with bounded load.

Each object has its own order of the upstreams, by weighted rendezvous hashing,
that all hosts agree on; so an object stays where it is warm, and few objects
move when upstreams come and go. A request goes to the upstream with the least
expected time to its answer. The first in the object's order, and those that
handled the object lately, are expected to be warm; all others take the time of
cold work, so an object leaves its upstream only if the wait there outweighs
that. Among cold ones the order decides, so that an object has few homes.

Sources: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", 1998; Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with
bounded loads", 2018.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import NamedTuple

from gooseberryweir import rendezvous
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.version import traffic

# Part of the cost that each place in the order of an object adds.
RANK_PENALTY = 0.05
# Part of the cost that is added at an upstream that fails every request.
FAILURE_PENALTY = 6.0
# Upstreams whose costs differ by less count as equal.
TIE_FRACTION = 0.05
_HASH_RANGE = float(2**64)


class ProcessingTimes(NamedTuple):
    """How long requests take at an idle upstream, in seconds.

    Attributes:
        warm: A request of this kind where its object is warm.
        cold: A request of this kind elsewhere.
        mean: Any request of the service, for the wait behind others.
    """

    warm: float
    cold: float
    mean: float


class Candidate(NamedTuple):
    """An upstream that may run a request.

    Attributes:
        upstream: The upstream.
        estimate: Its load, speed and failures.
        round_trip: Seconds to it and back.
        weight: Its part of the objects, in any unit.
        warm: Whether it handled the object lately.
    """

    upstream: traffic.Upstream
    estimate: upstream_state.Estimate
    round_trip: float
    weight: float
    handled_recently: bool


class Choice(NamedTuple):
    """The upstream of a request and why.

    Attributes:
        upstream: The upstream.
        cost: Expected seconds to its answer, failures included.
        processing_time: Seconds of work expected there.
        wait: Seconds of them that it waits for a slot.
        warm: Whether the object is expected to be warm there.
        handled_recently: Whether this host sent the object there lately.
        rank: Its place in the order of the object.
        candidate_count: Upstreams that were considered.
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
    """Returns the expected seconds of work.

    Args:
        candidate: The upstream.
        warm: Whether the object should be warm there; an upstream that has
            more objects than it keeps warm misses a part of them.
        times: How long requests take.
    """
    estimate = candidate.estimate
    miss_ratio = estimate.miss_ratio if warm else 1.0
    processing_time = times.warm + miss_ratio * (times.cold - times.warm)
    return processing_time * estimate.slowness


def expected_cost(
    candidate: Candidate, processing_time: float, wait: float
) -> float:
    """Returns the expected seconds to the answer, failures included.

    Args:
        candidate: The upstream.
        processing_time: Seconds that the work takes there.
        wait: Seconds until it gets a slot.
    """
    estimate = candidate.estimate
    seconds = candidate.round_trip + processing_time + wait
    return seconds * (1 + FAILURE_PENALTY * estimate.failure_ratio)


def rendezvous_score(object_name: str, candidate: Candidate) -> float:
    """Returns the weighted rendezvous score of an upstream; greatest first."""
    hash_value = rendezvous.score(object_name, candidate.upstream.name)
    uniform = (hash_value + 0.5) / _HASH_RANGE
    return -candidate.weight / math.log(uniform)


def choose_by_affinity(
    object_name: str, candidates: Sequence[Candidate], times: ProcessingTimes
) -> Choice:
    """Returns the upstream of an object.

    Args:
        object_name: Names the object.
        candidates: At least one upstream.
        times: How long requests take.
    """
    ordered = sorted(
        candidates,
        key=lambda each: rendezvous_score(object_name, each),
        reverse=True,
    )
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
                len(candidates),
            )
            best = (penalised_cost, choice)
    assert best is not None
    return best[1]


def choose_least_cost(
    candidates: Sequence[Candidate],
    times: ProcessingTimes,
    random_index: Callable[[int], int],
) -> Choice:
    """Returns the upstream with the least expected time to the answer.

    Args:
        candidates: At least one upstream.
        times: How long requests take.
        random_index: Returns a random number below its argument, for ties.
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
    tie_limit = min(costs) * (1 + TIE_FRACTION)
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
    """Shares requests by weight, each in its turn.

    Smooth weighted round robin: after any number of requests each service has
    its part to within one request.
    """

    def __init__(self) -> None:
        self.credit: dict[str, dict[str, float]] = {}

    def next(self, route: traffic.Route) -> str:
        """Returns the service of the next request of a route."""
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
