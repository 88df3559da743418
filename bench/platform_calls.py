"""Calls to the platform by all hosts through a start and an outage.

Usage: python -m bench.platform_calls [HOSTS ...].

All hosts are in one region, so those
past nine have relays. For each span it prints the calls a second and how many
hosts made any.
"""

import statistics
import sys
import time

from bench import change_propagation
from test import _common
from test import _fleet

SIZES = (9, 27)
START_SECONDS = 36.0
SPAN_SECONDS = 5.0
# One span before, eight in the outage (longer than a host keeps the duty of
# a relay), three after it.
OUT_SPANS = tuple(f"out-{number}" for number in range(1, 9))
SPANS = ("before", *OUT_SPANS, "back-1", "back-2", "back-3")


def callers(running: _common.Deployment) -> dict[str, int]:
    """Returns the calls so far of each host."""
    counted = running.control()["callers"]
    return {name: sum(calls.values()) for name, calls in counted.items()}


def stale(running: _common.Deployment) -> list[int]:
    """Returns how often each host lost its freshness so far."""
    return [
        process.text().count("event=freshness-changed fresh=False")
        for process in running.hosts.values()
    ]


def describe(name: str, before: dict[str, int], after: dict[str, int]) -> None:
    """Prints one span."""
    made = [count - before.get(host, 0) for host, count in after.items()]
    made = [count for count in made if count > 0]
    print(
        f"  span={name} hosts_calling={len(made)}"
        f" calls_s={sum(made) / SPAN_SECONDS:.1f}"
        f" busiest_calls_s={max(made, default=0) / SPAN_SECONDS:.1f}",
        flush=True,
    )


def measure(hosts: int) -> None:
    """Runs one size."""
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
        started = sorted(callers(running).values())
        print(
            f"hosts={hosts} calls_of_a_start_median="
            f"{statistics.median(started):.0f}",
            flush=True,
        )
        unfresh = stale(running)
        for name in SPANS:
            if name in ("out-1", "back-1"):
                running.control(outage="refuse" if name == "out-1" else "")
            before = callers(running)
            time.sleep(SPAN_SECONDS)
            describe(name, before, callers(running))
        lost = [
            now > earlier
            for now, earlier in zip(stale(running), unfresh, strict=True)
        ]
        print(f"  hosts_that_lost_freshness={sum(lost)}", flush=True)


def main() -> None:
    """Measures the sizes given, or all."""
    for hosts in [int(each) for each in sys.argv[1:]] or SIZES:
        measure(hosts)


if __name__ == "__main__":
    main()
