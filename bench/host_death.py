"""Counts refusals within the rate limit after one of nine hosts is killed.

Usage: python -m bench.host_death [SEED]. Twelve client accounts send requests
at a quarter of their rate limit to the hosts that are not killed. The killed
host is the home of some accounts (the host that grants the tokens of their rate
limits) but of no pool; a pool is the upstreams of one service in one region.
Prints a row for each account: whether its home was killed, the requests sent
after the kill, the refusals by code, and the seconds from the kill to the last
refusal.
"""

import collections
import sys
import time

from gooseberryweir import rendezvous
from test import _common
from test import _deployments
from test import _load

RATE_LIMIT_PER_SECOND = 20.0
BURST_REQUESTS = 20
REQUESTS_PER_SECOND = 5.0
SECONDS_BEFORE_KILL = 4.0
SECONDS_AFTER_KILL = 10.0
ACCOUNTS = (_deployments.ACCOUNTS[0], *(f"a{number}" for number in range(11)))


def choose_host(names: list[str]) -> str:
    """Returns the host to kill.

    It is the home of the most accounts among the hosts that are the home of no
    pool of upstreams.
    """
    pool_homes = {
        rendezvous.first(f"slots/{_deployments.SERVICE}/{region}", names)
        for region in _deployments.REGIONS
    }
    account_counts = collections.Counter(
        rendezvous.first(f"account/{account}", names) for account in ACCOUNTS
    )
    return max(
        (name for name in names if name not in pool_homes),
        key=lambda name: account_counts[name],
    )


def report(
    results: list[_load.Result], names: list[str], killed: str, killed_at: float
):
    """Prints a row for each account, and totals by whether its home was killed.

    Args:
        results: Results of all requests.
        names: Names of all hosts.
        killed: Name of the killed host.
        killed_at: Monotonic time of the kill, seconds.
    """
    totals = collections.Counter()
    for account in ACCOUNTS:
        home = rendezvous.first(f"account/{account}", names)
        account_results = [each for each in results if each.account == account]
        after = [each for each in account_results if each.sent_at >= killed_at]
        refused = [each for each in after if each.status != 200]
        codes = collections.Counter(each.code for each in refused)
        last = max((each.sent_at - killed_at for each in refused), default=0.0)
        refused_early = sum(
            each.status != 200 for each in account_results
        ) - len(refused)
        home_died = home == killed
        totals[home_died, "sent"] += len(after)
        totals[home_died, "refused"] += len(refused)
        print(
            f"account={account} home_died={home_died} sent={len(after)}"
            f" refused={len(refused)} codes={dict(codes)}"
            f" last_after_s={last:.1f} refused_before_kill={refused_early}"
        )
    for home_died in (False, True):
        print(
            f"home_died={home_died} sent={totals[home_died, 'sent']}"
            f" refused={totals[home_died, 'refused']}"
        )


def main(seed: int) -> None:
    """Runs the measurement once.

    Args:
        seed: Seed of the random send times of requests.
    """
    limits = dict.fromkeys(ACCOUNTS, (RATE_LIMIT_PER_SECOND, BURST_REQUESTS))
    document = _deployments.declarations(limits)
    deployment = _deployments.deployment(9, 6, 9, document=document)
    with deployment as running:
        _deployments.wait_serving(running)
        names = sorted(running.host_specs)
        killed = choose_host(names)
        remaining = [name for name in names if name != killed]
        streams = [
            _load.Stream(
                account,
                REQUESTS_PER_SECOND,
                lambda number, offset=offset: remaining[
                    (number + offset) % len(remaining)
                ],
            )
            for offset, account in enumerate(ACCOUNTS)
        ]
        for stream in streams:
            _common.wait_until(
                lambda stream=stream: all(
                    _load.send(running, name, stream).status == 200
                    for name in remaining
                ),
                description=f"all hosts serve {stream.account}",
            )
        killed_at = []

        def kill() -> None:
            time.sleep(SECONDS_BEFORE_KILL)
            running.hosts[killed].kill()
            killed_at.append(time.monotonic())

        seconds = SECONDS_BEFORE_KILL + SECONDS_AFTER_KILL
        results = _load.run(running, streams, seconds, seed, kill)
    report(results, names, killed, killed_at[0])


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
