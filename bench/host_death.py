"""Counts refusals within rate after one of nine hosts is killed.

Run from the root: `python -m bench.host_death [SEED]`. Twelve accounts ask for
a quarter of their rate at the hosts that stay. The host killed is the home of
some accounts and of no pool of upstreams. Prints a row for each account:
whether its home died, the requests sent after the kill, the refusals by code,
and the seconds from the kill until the last refusal.
"""

import collections
import sys
import time

from gooseberryweir import rendezvous
from test import _common
from test import _deployments
from test import _load

RATE = 20.0
BURST = 20
DEMAND = 5.0
BEFORE_SECONDS = 4.0
AFTER_SECONDS = 10.0
ACCOUNTS = (_deployments.ACCOUNTS[0], *(f"a{number}" for number in range(11)))


def victim(names: list[str]) -> str:
    """Returns the host that is home of most accounts and of no pool."""
    pools = {
        rendezvous.first(f"slots/{_deployments.SERVICE}/{region}", names)
        for region in _deployments.REGIONS
    }
    homes = collections.Counter(
        rendezvous.first(f"account/{account}", names) for account in ACCOUNTS
    )
    return max(
        (name for name in names if name not in pools),
        key=lambda name: homes[name],
    )


def report(seen: list[_load.Result], names: list[str], killed: str, at: float):
    """Prints a row for each account and the sums."""
    sums = collections.Counter()
    for account in ACCOUNTS:
        home = rendezvous.first(f"account/{account}", names)
        mine = [one for one in seen if one.account == account]
        after = [one for one in mine if one.sent_at >= at]
        refused = [one for one in after if one.status != 200]
        codes = collections.Counter(one.code for one in refused)
        last = max((one.sent_at - at for one in refused), default=0.0)
        early = sum(one.status != 200 for one in mine) - len(refused)
        died = home == killed
        sums[died, "sent"] += len(after)
        sums[died, "refused"] += len(refused)
        print(
            f"account={account} home_died={died} sent={len(after)}"
            f" refused={len(refused)} codes={dict(codes)}"
            f" last_after_s={last:.1f} refused_before_kill={early}"
        )
    for died in (False, True):
        print(
            f"home_died={died} sent={sums[died, 'sent']}"
            f" refused={sums[died, 'refused']}"
        )


def main(seed: int) -> None:
    """Runs the trial once."""
    limits = dict.fromkeys(ACCOUNTS, (RATE, BURST))
    document = _deployments.declarations(limits)
    deployment = _deployments.deployment(9, 6, 9, document=document)
    with deployment as running:
        _deployments.wait_serving(running)
        names = sorted(running.host_specs)
        killed = victim(names)
        staying = [name for name in names if name != killed]
        streams = [
            _load.Stream(
                account,
                DEMAND,
                lambda number, order=order: staying[
                    (number + order) % len(staying)
                ],
            )
            for order, account in enumerate(ACCOUNTS)
        ]
        for stream in streams:
            _common.wait_until(
                lambda stream=stream: all(
                    _load.send(running, name, stream).status == 200
                    for name in staying
                ),
                description=f"all hosts serve {stream.account}",
            )
        killed_at = []

        def kill() -> None:
            time.sleep(BEFORE_SECONDS)
            running.hosts[killed].kill()
            killed_at.append(time.monotonic())

        seconds = BEFORE_SECONDS + AFTER_SECONDS
        seen = _load.run(running, streams, seconds, seed, kill)
    report(seen, names, killed, killed_at[0])


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
