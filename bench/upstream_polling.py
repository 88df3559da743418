"""Processor time and traffic of polling the load of upstreams.

Usage: python -m bench.upstream_polling. Three hosts in one region share one
pool, the slots of the upstreams of one service; no requests are sent. The home
of the pool (the host that grants its slots) asks each upstream for its load
twice a second. Each row is the home's use above the mean of the other two
hosts.
"""

import statistics
import time

from bench import change_propagation
from bench import usage
from test import _common
from test import _fleet

UPSTREAM_COUNTS = (3, 12, 48)
SETTLE_SECONDS = 8.0
IDLE_SECONDS = 8.0


def measure(upstreams: int) -> float:
    """Measures a pool with a number of upstreams and prints its row.

    Returns:
        Processor time of the home above the mean of the other hosts, percent
        of a core.
    """
    document = _fleet.declare(
        change_propagation.REGIONS, ("contracts",), {"ada": (100.0, 100)}
    )
    specs = _fleet.place_upstreams(
        change_propagation.REGIONS, "contracts", upstreams
    )
    with _common.Deployment(
        change_propagation.REGIONS, document, specs
    ) as running:
        _common.wait_until(
            lambda: change_propagation.converged(running), 60.0, "converged"
        )
        time.sleep(SETTLE_SECONDS)
        phase = change_propagation.run_phase(
            running, lambda: time.sleep(IDLE_SECONDS)
        )
    # The host that used the most processor time is assumed to be the home.
    used = sorted(phase.used, key=lambda each: each.cpu_seconds)
    others = statistics.mean(each.cpu_seconds for each in used[:-1])
    percent = 100 * (used[-1].cpu_seconds - others) / phase.seconds
    sent = used[-1].sent - statistics.mean(each.sent for each in used[:-1])
    received = used[-1].received - statistics.mean(
        each.received for each in used[:-1]
    )
    print(
        f"upstreams={upstreams} home_extra_cpu_percent={percent:.2f}"
        f" out_bytes_s={sent / phase.seconds:.0f}"
        f" in_bytes_s={received / phase.seconds:.0f}",
        flush=True,
    )
    return percent


def main() -> None:
    """Measures all numbers of upstreams and prints a linear fit."""
    percents = [measure(upstreams) for upstreams in UPSTREAM_COUNTS]
    counts = [float(upstreams) for upstreams in UPSTREAM_COUNTS]
    slope, base = usage.fit(counts, percents)
    print(f"fit cpu_percent = {base:.3f} + {slope:.4f} * upstreams")


if __name__ == "__main__":
    main()
