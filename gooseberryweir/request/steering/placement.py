"""Chooses the upstream of a request: consistent hashing with bounded load.

Each object has its own order of the upstreams, by weighted rendezvous hashing,
that all hosts agree on; so an object stays where it is warm, and few objects
move when upstreams come and go. The first upstream in that order gets the
request unless it is expected to take much longer than the best one would: then
the next one in the order is considered, so that the objects of a busy upstream
spread over the others.

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

# How much longer than the best upstream a request's own one may take.
STRETCH = 2.5
# Part of a failing upstream's cost that is added for each failing request.
FAILURE_COST = 4.0
# Shortest work that is expected, so that ratios stay meaningful.
MIN_WORK_SECONDS = 0.01
_HASH_RANGE = float(2**64)


class Candidate(NamedTuple):
    """An upstream that may run a request.

    Attributes:
        upstream: The upstream.
        estimate: Its load, speed and failures.
        round_trip: Seconds to it and back.
        weight: Its part of the objects, in any unit.
    """

    upstream: traffic.Upstream
    estimate: upstream_state.Estimate
    round_trip: float
    weight: float


class Choice(NamedTuple):
    """The upstream of a request and why.

    Attributes:
        upstream: The upstream.
        cost: Expected seconds to its answer.
        best_cost: Expected seconds at the best upstream.
        place: Its place in the order of the object.
        candidates: Upstreams that were considered.
    """

    upstream: traffic.Upstream
    cost: float
    best_cost: float
    place: int
    candidates: int


def cost(candidate: Candidate, work: float) -> float:
    """Returns the expected seconds to the answer of one more request.

    Args:
        candidate: The upstream.
        work: Seconds that the work takes on the whole.
    """
    estimate = candidate.estimate
    work = max(MIN_WORK_SECONDS, work) * estimate.slowness
    ahead = max(0.0, estimate.busy + 1 - estimate.slots)
    wait = work * ahead / estimate.slots
    expected = candidate.round_trip + work + wait
    return expected * (1 + FAILURE_COST * estimate.failing)


def rank_key(name: str, candidate: Candidate) -> float:
    """Returns the weighted rendezvous score of an upstream; greatest first."""
    hashed = rendezvous.score(name, candidate.upstream.name)
    uniform = (hashed + 0.5) / _HASH_RANGE
    return -candidate.weight / math.log(uniform)


def choose_affine(
    name: str, candidates: Sequence[Candidate], work: float
) -> Choice:
    """Returns the upstream of an object.

    Args:
        name: Names the object.
        candidates: At least one upstream.
        work: Seconds that the work takes on the whole.
    """
    costs = {each.upstream.name: cost(each, work) for each in candidates}
    best = min(costs.values())
    ordered = sorted(
        candidates, key=lambda each: rank_key(name, each), reverse=True
    )
    for place, each in enumerate(ordered):
        expected = costs[each.upstream.name]
        if expected <= STRETCH * best:
            return Choice(each.upstream, expected, best, place, len(candidates))
    raise AssertionError("the best candidate always fits")


def choose_least(
    candidates: Sequence[Candidate], work: float, pick: Callable[[int], int]
) -> Choice:
    """Returns the upstream with the least expected time to the answer.

    Args:
        candidates: At least one upstream.
        work: Seconds that the work takes on the whole.
        pick: Returns a random number below its argument, for ties.
    """
    costs = [cost(each, work) for each in candidates]
    best = min(costs)
    ties = [index for index, each in enumerate(costs) if each <= best * 1.05]
    chosen = ties[pick(len(ties))]
    return Choice(
        candidates[chosen].upstream, costs[chosen], best, 0, len(candidates)
    )


class WeightedTurns:
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
        for gone in set(credit) - set(weights):
            del credit[gone]
        for service, weight in weights.items():
            credit[service] = credit.get(service, 0.0) + weight
        chosen = max(weights, key=lambda service: (credit[service], service))
        credit[chosen] -= sum(weights.values())
        return chosen
