"""Processor time, traffic and memory of an idle host by its number of peers.

Usage: python -m bench.idle [REGIONS ...]. Each region has three hosts, so every
host is a relay: it pings all other hosts and watches the platform, as the
relays of a large fleet do. Without arguments, two further runs have 8 and 80
client accounts with 20 keys each.
"""

import random
import statistics
import sys
import time

from bench import change_propagation
from bench import usage
from test import _common
from test import _fleet

REGION_COUNTS = (1, 3, 6, 12)
HOSTS_PER_REGION = 3
SETTLE_SECONDS = 5.0
IDLE_SECONDS = 8.0
ACCOUNT_COUNTS = (8, 80)
KEYS_PER_ACCOUNT = 20
SEED = 7


def make_regions(count: int) -> _fleet.Regions:
    """Returns a number of regions with two zones each."""
    return {
        f"r{number}": (f"z{number}-a", f"z{number}-b")
        for number in range(count)
    }


def make_deployment(regions: int, accounts: int) -> _common.Deployment:
    """Returns a deployment without upstreams, not yet started.

    Args:
        regions: Number of regions.
        accounts: Number of client accounts.
    """
    limits = {f"account-{number}": (100.0, 100) for number in range(accounts)}
    document = _fleet.declare(make_regions(regions), ("contracts",), limits)
    return _common.Deployment(
        make_regions(regions), document, [], hosts=HOSTS_PER_REGION * regions
    )


def issue_keys(running: _common.Deployment) -> None:
    """Issues `KEYS_PER_ACCOUNT` keys to every account."""
    rng = random.Random(SEED)
    for account in running.keys:
        digests = {
            f"{rng.getrandbits(256):064x}": "issued"
            for _ in range(KEYS_PER_ACCOUNT)
        }
        spec = {"id": "keys", "digests": digests}
        running.put("steeringobjects", f"keys.{account}", spec)


def mean_resident_mb(running: _common.Deployment) -> float:
    """Returns the mean resident memory of the hosts in MB (10^6 bytes)."""
    return statistics.mean(
        usage.resident_mb(process.pid) for process in running.hosts.values()
    )


def measure(regions: int, accounts: int = 1) -> change_propagation.Phase:
    """Measures an idle fleet and prints its rows.

    Args:
        regions: Number of regions.
        accounts: Number of client accounts. Keys are issued only if there is
            more than one.
    """
    with make_deployment(regions, accounts) as running:
        _common.wait_until(
            lambda: change_propagation.converged(running), 60.0, "converged"
        )
        if accounts > 1:
            issue_keys(running)
        time.sleep(SETTLE_SECONDS + regions)
        phase = change_propagation.run_phase(
            running, lambda: time.sleep(IDLE_SECONDS)
        )
        print(
            f"peers={HOSTS_PER_REGION * regions - 1} accounts={accounts}"
            f" keys={KEYS_PER_ACCOUNT * accounts if accounts > 1 else 1}"
            f" resident_mb={mean_resident_mb(running):.1f}",
            flush=True,
        )
        change_propagation.print_phase(
            "rest", HOSTS_PER_REGION * regions, phase
        )
    return phase


def main() -> None:
    """Measures the given or default numbers of regions.

    Also prints linear fits by the number of peers.
    """
    region_counts = [int(each) for each in sys.argv[1:]] or list(REGION_COUNTS)
    peers = [float(HOSTS_PER_REGION * count - 1) for count in region_counts]
    rows = [
        change_propagation.resource_rates(measure(count))
        for count in region_counts
    ]
    for column, name in ((0, "cpu_percent"), (2, "out"), (3, "in")):
        slope, base = usage.fit(peers, [row[column] for row in rows])
        print(f"fit {name} = {base:.3f} + {slope:.4f} * peers", flush=True)
    if len(sys.argv) == 1:
        for accounts in ACCOUNT_COUNTS:
            measure(1, accounts)


if __name__ == "__main__":
    main()
