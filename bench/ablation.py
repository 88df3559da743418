"""Switches off one mechanism of the placement at a time, in the simulator.

    python -m bench.ablation [SEEDS]

Prints the credit of each load (`LOADS`) with all mechanisms, and how much it
changes without each of them, with the standard deviation over the seeds. Both
runs of a seed get the same requests.
"""

from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import statistics
import sys
from typing import Any
from typing import NamedTuple
from unittest import mock

from bench import placement as simulation
from gooseberryweir.request.steering import overload
from gooseberryweir.request.steering import placement
from gooseberryweir.request.steering import regions
from gooseberryweir.request.steering import upstream_state

SECONDS = 10.0
LATE_CREDIT = 0.2
# A number that is large enough to turn a limit off.
UNLIMITED = 1e9


class Load(NamedTuple):
    """Requests and events of one simulated time.

    Attributes:
        rate: Requests per second over all regions.
        events: Changes of the deployment and their times in seconds.
    """

    rate: float
    events: Sequence[tuple[float, simulation.Event]] = ()


LOADS = {
    "calm": Load(700.0),
    "heavy": Load(1000.0),
    "region lost": Load(900.0, [(3.0, simulation.lose("port"))]),
    "cold return": Load(900.0, [(3.0, simulation.empty_caches)]),
    "surge": Load(1400.0),
}


def _replace_estimate(**fields: float) -> Callable[..., Any]:
    """Returns `UpstreamState.estimate` with some fields of its result fixed."""
    original = upstream_state.UpstreamState.estimate

    def estimate(
        state: upstream_state.UpstreamState, now: float
    ) -> upstream_state.Estimate:
        return original(state, now)._replace(**fields)  # type: ignore[arg-type]

    return estimate


def _own_requests_only(
    state: upstream_state.UpstreamState, _now: float
) -> upstream_state.Estimate:
    """Returns an estimate of the load by this host's own requests alone."""
    return upstream_state.Estimate(
        state.in_flight, state.slots, state.slowness, state.failure_ratio
    )


def _same_weights(
    _region: str, loads: dict[str, regions.RegionLoad]
) -> dict[str, float]:
    return dict.fromkeys(loads, 1.0)


# Object and attribute to replace, and its value while the mechanism is off.
MECHANISMS: dict[str, list[tuple[Any, str, Any]]] = {
    "rank penalty": [(placement, "RANK_PENALTY", 0.0)],
    "bounded load (moves to another upstream)": [
        (placement, "RANK_PENALTY", UNLIMITED)
    ],
    "memory of handled objects": [(upstream_state, "WARM_SECONDS", 0.0)],
    "weights of regions": [(regions, "region_weights", _same_weights)],
    "early refusal": [(overload, "MIN_WAIT_PROCESSING_TIME_RATIO", UNLIMITED)],
    "reported load": [
        (upstream_state.UpstreamState, "estimate", _own_requests_only)
    ],
    "decay of reported load": [
        (upstream_state, "WAITING_DECAY_SECONDS", UNLIMITED),
        (upstream_state, "RUNNING_DECAY_SECONDS", UNLIMITED),
    ],
    "average load of peers": [
        (upstream_state, "ESTIMATE_DECAY_SECONDS", 1 / UNLIMITED)
    ],
    "failure penalty": [(placement, "FAILURE_PENALTY", 0.0)],
    "slowness": [
        (
            upstream_state.UpstreamState,
            "estimate",
            _replace_estimate(slowness=1.0),
        )
    ],
    "miss ratio": [
        (
            upstream_state.UpstreamState,
            "estimate",
            _replace_estimate(miss_ratio=0.0),
        )
    ],
}


def credit(load: Load, seed: int) -> float:
    """Returns the credit per request, 1 if all are answered in time."""
    outcomes = simulation.simulate(
        simulation.POLICIES["affinity by region, early refusal"],
        seed,
        load.rate,
        SECONDS,
        simulation.MENU,
        load.events,
    )
    served = outcomes["in objective"] + LATE_CREDIT * outcomes["late"]
    return served / outcomes["asked"]


def main() -> None:
    """Prints a table with one row per mechanism."""
    seeds = range(1, 1 + (int(sys.argv[1]) if len(sys.argv) > 1 else 3))
    before = {
        name: [credit(load, seed) for seed in seeds]
        for name, load in LOADS.items()
    }
    print("| without |", " | ".join(LOADS), "|")
    means = [f"{statistics.mean(each):.3f}" for each in before.values()]
    print("| nothing |", " | ".join(means), "|", flush=True)
    for mechanism, replacements in MECHANISMS.items():
        cells = []
        with contextlib.ExitStack() as stack:
            for target, attribute, value in replacements:
                stack.enter_context(mock.patch.object(target, attribute, value))
            for name, load in LOADS.items():
                changes = [
                    credit(load, seed) - known
                    for seed, known in zip(seeds, before[name], strict=True)
                ]
                deviation = statistics.pstdev(changes)
                cells.append(
                    f"{statistics.mean(changes):+.3f} ({deviation:.3f})"
                )
        print(f"| {mechanism} |", " | ".join(cells), "|", flush=True)


if __name__ == "__main__":
    main()
