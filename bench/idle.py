"""Control cost of a host at rest against its peers, and its memory.

Usage: python -m bench.idle [REGIONS ...]. Three hosts in each region: all are
relays, each pings all others and watches the platform, as the relays of a
large fleet do. The last rows have 8 and 80 client accounts with 20 keys each.
"""

import random
import statistics
import sys
import time

from bench import change_propagation
from bench import usage
from test import _common
from test import _fleet

REGIONS = (1, 3, 6, 12)
HOSTS_IN_REGION = 3
SETTLE_SECONDS = 5.0
REST_SECONDS = 8.0
ACCOUNTS = (8, 80)
KEYS_IN_ACCOUNT = 20
SEED = 7


def places(count: int) -> _fleet.Regions:
    """Returns regions of two zones each."""
    return {
        f"r{number}": (f"z{number}-a", f"z{number}-b")
        for number in range(count)
    }


def start(regions: int, accounts: int) -> _common.Deployment:
    """Returns a deployment without upstreams, not yet started."""
    wide = {f"account-{number}": (100.0, 100) for number in range(accounts)}
    document = _fleet.declare(places(regions), ("contracts",), wide)
    return _common.Deployment(
        places(regions), document, [], hosts=HOSTS_IN_REGION * regions
    )


def issue_keys(running: _common.Deployment) -> None:
    """Issues keys to every account."""
    rng = random.Random(SEED)
    for account in running.keys:
        digests = {
            f"{rng.getrandbits(256):064x}": "issued"
            for _ in range(KEYS_IN_ACCOUNT)
        }
        spec = {"id": "keys", "digests": digests}
        running.put("steeringobjects", f"keys.{account}", spec)


def memory(running: _common.Deployment) -> float:
    """Returns the mean resident memory of the hosts in MB."""
    return statistics.mean(
        usage.resident_mb(process.pid) for process in running.hosts.values()
    )


def rest(regions: int, accounts: int = 1) -> change_propagation.Phase:
    """Measures one size at rest and prints its row."""
    with start(regions, accounts) as running:
        _common.wait_until(
            lambda: change_propagation.converged(running), 60.0, "converged"
        )
        if accounts > 1:
            issue_keys(running)
        time.sleep(SETTLE_SECONDS + regions)
        phase = change_propagation.run_phase(
            running, lambda: time.sleep(REST_SECONDS)
        )
        print(
            f"peers={HOSTS_IN_REGION * regions - 1} accounts={accounts}"
            f" keys={KEYS_IN_ACCOUNT * accounts if accounts > 1 else 1}"
            f" resident_mb={memory(running):.1f}",
            flush=True,
        )
        change_propagation.describe("rest", HOSTS_IN_REGION * regions, phase)
    return phase


def main() -> None:
    """Measures the sizes given, or all, and fits lines."""
    sizes = [int(each) for each in sys.argv[1:]] or list(REGIONS)
    peers = [float(HOSTS_IN_REGION * regions - 1) for regions in sizes]
    rows = [change_propagation.rates(rest(regions)) for regions in sizes]
    for position, name in ((0, "cpu_percent"), (2, "out"), (3, "in")):
        slope, base = usage.fit(peers, [row[position] for row in rows])
        print(f"fit {name} = {base:.3f} + {slope:.4f} * peers", flush=True)
    if len(sys.argv) == 1:
        for accounts in ACCOUNTS:
            rest(1, accounts)


if __name__ == "__main__":
    main()
