"""Rate of calls to the platform while a fleet starts and during an outage.

Usage: python -m bench.platform_calls [HOSTS ...]. All hosts are in one region,
so a fleet of more than nine has relays, the hosts that watch the platform for
the others. Prints the rate of calls and the number of hosts that made any, for
each interval before, during and after an outage of the platform.
"""

import statistics
import sys
import time

from bench import change_propagation
from test import _common
from test import _fleet

HOST_COUNTS = (9, 27)
# Calls until this long after the fleet has converged count as calls of its
# start.
START_SECONDS = 36.0
INTERVAL_SECONDS = 5.0
# The outage takes eight intervals, which is longer than the time for which a
# host that is not a relay temporarily watches the platform.
OUTAGE_INTERVALS = tuple(f"out-{number}" for number in range(1, 9))
INTERVALS = ("before", *OUTAGE_INTERVALS, "back-1", "back-2", "back-3")


def calls_by_host(running: _common.Deployment) -> dict[str, int]:
    """Returns the number of calls that each host has made so far."""
    callers = running.control()["callers"]
    return {name: sum(calls.values()) for name, calls in callers.items()}


def count_freshness_losses(running: _common.Deployment) -> list[int]:
    """Returns how many times each host logged that it is no longer fresh.

    A host is fresh while its objects were confirmed as current recently enough.
    """
    return [
        process.output().count("event=freshness-changed fresh=False")
        for process in running.hosts.values()
    ]


def print_interval(
    name: str, before: dict[str, int], after: dict[str, int]
) -> None:
    """Prints the row of one interval.

    Args:
        name: Name of the interval.
        before: Calls of each host until the start of the interval.
        after: Calls of each host until the end of the interval.
    """
    counts = [count - before.get(host, 0) for host, count in after.items()]
    counts = [count for count in counts if count > 0]
    print(
        f"  span={name} hosts_calling={len(counts)}"
        f" calls_s={sum(counts) / INTERVAL_SECONDS:.1f}"
        f" busiest_calls_s={max(counts, default=0) / INTERVAL_SECONDS:.1f}",
        flush=True,
    )


def measure(hosts: int) -> None:
    """Measures a fleet with a number of hosts and prints its rows."""
    document = _fleet.declare(
        change_propagation.REGIONS, ("contracts",), {"ada": (100.0, 100)}
    )
    deployment = _common.Deployment(
        change_propagation.REGIONS, document, [], hosts=hosts
    )
    with deployment as running:
        _common.wait_until(
            lambda: change_propagation.converged(running), 60.0, "converged"
        )
        time.sleep(START_SECONDS)
        start_calls = sorted(calls_by_host(running).values())
        print(
            f"hosts={hosts} calls_of_a_start_median="
            f"{statistics.median(start_calls):.0f}",
            flush=True,
        )
        losses_before = count_freshness_losses(running)
        for name in INTERVALS:
            if name in ("out-1", "back-1"):
                running.control(outage="refuse" if name == "out-1" else "")
            before = calls_by_host(running)
            time.sleep(INTERVAL_SECONDS)
            print_interval(name, before, calls_by_host(running))
        lost_freshness = [
            now > earlier
            for now, earlier in zip(
                count_freshness_losses(running), losses_before, strict=True
            )
        ]
        print(f"  hosts_that_lost_freshness={sum(lost_freshness)}", flush=True)


def main() -> None:
    """Measures the numbers of hosts given as arguments, or the default ones."""
    for hosts in [int(each) for each in sys.argv[1:]] or HOST_COUNTS:
        measure(hosts)


if __name__ == "__main__":
    main()
