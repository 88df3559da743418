"""Compares two placement policies over a grid of unlike deployments.

    python -m bench.policy_grid [SEEDS]

Varies the trips between regions, the number of regions and their sizes, the
work, the objective, the phases of the demand and the number of hosts. Prints
the credit of each point with both policies.
"""

import itertools
import statistics
import sys

from bench import placement as simulation

SECONDS = 8.0
LATE_CREDIT = 0.2
BEFORE = "the same, longer queues while cold"
NOW = "affinity by region, early refusal"
# Upstreams by region; two, three and four regions, equal and unequal.
REGIONS = (
    {"a": 10, "b": 10},
    {"a": 12, "b": 3, "c": 9},
    {"a": 8, "b": 2, "c": 6, "d": 4},
)
ROUND_TRIPS_SECONDS = (0.02, 0.3)
# Processing time of a cold object, and the objective as a multiple of it.
COLD_SECONDS = (0.1, 1.2)
OBJECTIVE_RATIOS = (0.7, 1.5)
SWINGS = (0.0, 0.8)
HOSTS_PER_REGION = (1, 12)
# Demand as a fraction of what all slots serve while all objects are warm.
UTILISATIONS = (0.4, 0.8)
SLOTS = 9


def sites() -> list[simulation.Site]:
    """Returns the deployments of the grid."""
    return [
        simulation.Site(
            counts,
            hosts_per_region=hosts,
            slots=SLOTS,
            max_queued=3 * SLOTS,
            objects_per_region=120,
            max_cached_objects=72,
            cold_seconds=cold_seconds,
            warm_fraction=0.3,
            round_trip=round_trip,
            objective=ratio * cold_seconds,
            timeout=4 * cold_seconds,
            swing=swing,
        )
        for counts, hosts, cold_seconds, round_trip, ratio, swing in (
            itertools.product(
                REGIONS,
                HOSTS_PER_REGION,
                COLD_SECONDS,
                ROUND_TRIPS_SECONDS,
                OBJECTIVE_RATIOS,
                SWINGS,
            )
        )
    ]


def credit(
    policy: str, site: simulation.Site, utilisation: float, seed: int
) -> float:
    """Returns the credit per request with one cold return of all upstreams."""
    slots = SLOTS * sum(site.upstream_counts.values())
    rate = utilisation * slots / (site.cold_seconds * site.warm_fraction)
    outcomes = simulation.simulate(
        simulation.POLICIES[policy],
        seed,
        rate,
        SECONDS * site.cold_seconds,
        site,
        [(SECONDS * site.cold_seconds / 3, simulation.empty_caches)],
    )
    served = outcomes["in objective"] + LATE_CREDIT * outcomes["late"]
    return served / outcomes["asked"]


def main() -> None:
    """Prints the points, the worst change and the mean change."""
    seeds = range(1, 1 + (int(sys.argv[1]) if len(sys.argv) > 1 else 2))
    changes = []
    for site, utilisation in itertools.product(sites(), UTILISATIONS):
        values = [
            statistics.mean(
                credit(policy, site, utilisation, seed) for seed in seeds
            )
            for policy in (BEFORE, NOW)
        ]
        changes.append(values[1] - values[0])
        print(
            f"{len(site.upstream_counts)} regions,"
            f" {site.hosts_per_region} hosts, trip {site.round_trip:g} s,"
            f" work {site.cold_seconds:g} s, objective {site.objective:g} s,"
            f" swing {site.swing:g}, utilisation {utilisation:g}:"
            f" {values[0]:.3f} {values[1]:.3f} {changes[-1]:+.3f}",
            flush=True,
        )
    print(
        f"{len(changes)} points: least change {min(changes):+.3f},"
        f" mean {statistics.mean(changes):+.3f}, most {max(changes):+.3f}"
    )


if __name__ == "__main__":
    main()
