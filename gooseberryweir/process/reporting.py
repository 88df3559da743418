"""Figures reported at intervals: headroom and the worst-served account."""

from collections.abc import Iterator
import contextlib
import logging
from typing import NamedTuple

import eventlet

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir import metrics as metrics_module
from gooseberryweir.process.shares import shares as shares_module

LOGGER = logging.getLogger(__name__)
REPORT_SECONDS = 5.0
# Latencies kept for each client account in one interval.
KEPT_LATENCIES = 1000
# Refusals of a request that its client account's rate would have allowed.
WITHIN_RATE = frozenset(
    {
        codes.Code.NO_HEADROOM,
        codes.Code.SHIFT_CAPPED,
        codes.Code.HOST_STALE,
        codes.Code.HOST_STARTING,
        codes.Code.DEADLINE_PASSED,
        codes.Code.UPSTREAM_SHED,
        codes.Code.HOST_OVERLOADED,
    }
)


class Worst(NamedTuple):
    """The client account served worst in an interval.

    Attributes:
        account: Its name.
        refused_share: Share of its requests that were refused within rate.
        p99_ms: 99th percentile of its latency, milliseconds.
    """

    account: str
    refused_share: float
    p99_ms: float


class Outcomes:
    """What became of the requests of each client account in an interval."""

    def __init__(self) -> None:
        self.refused: dict[str, int] = {}
        self.count: dict[str, int] = {}
        self.latencies: dict[str, list[float]] = {}

    def answered(self, account: str, milliseconds: float) -> None:
        """Counts an answer with its latency."""
        self.count[account] = self.count.get(account, 0) + 1
        kept = self.latencies.setdefault(account, [])
        if len(kept) < KEPT_LATENCIES:
            kept.append(milliseconds)

    def refused_within_rate(self, account: str) -> None:
        """Counts a refusal."""
        self.count[account] = self.count.get(account, 0) + 1
        self.refused[account] = self.refused.get(account, 0) + 1

    def take_worst(self) -> Worst | None:
        """Returns the worst-served account and begins a new interval.

        The one with the largest share of refusals within rate is the worst;
        among equals, the one with the highest p99.
        """
        rows = [
            Worst(
                account,
                self.refused.get(account, 0) / count,
                percentile_99(self.latencies.get(account, [])),
            )
            for account, count in self.count.items()
            if account
        ]
        self.refused.clear()
        self.count.clear()
        self.latencies.clear()
        return max(
            rows, key=lambda row: (row.refused_share, row.p99_ms), default=None
        )


def percentile_99(values: list[float]) -> float:
    """Returns the 99th percentile, 0 for no values."""
    if not values:
        return 0.0
    return sorted(values)[(len(values) * 99 - 1) // 100]


def headroom(
    shares: shares_module.Shares, now: float
) -> Iterator[tuple[str, float]]:
    """Yields `SERVICE.REGION` and the share of slots free, of homes here."""
    shares.home_leases.refresh()
    for name, home in shares.slots.homes.states():
        usable = home.usable_slots(now)
        total = sum(usable.values())
        if total <= 0:
            continue
        counted = home.allocated()
        held = sum(counted.get(upstream, 0) for upstream in usable)
        _, service, region = name.split("/", 2)
        yield f"{service}.{region}", max(0.0, 1.0 - held / total)


def report(
    shares: shares_module.Shares,
    outcomes: Outcomes,
    metrics: metrics_module.Metrics,
    now: float,
) -> None:
    """Reports once."""
    for name, share in headroom(shares, now):
        metrics.gauge(f"headroom.{name}", share)
    worst = outcomes.take_worst()
    if worst is None:
        return
    metrics.gauge("worst_account.refused_share", worst.refused_share)
    metrics.gauge("worst_account.p99_ms", worst.p99_ms)
    logs.event(LOGGER, "account-worst-served", **worst._asdict())


@contextlib.contextmanager
def reports(
    shares: shares_module.Shares,
    outcomes: Outcomes,
    metrics: metrics_module.Metrics,
    clock: clocks.Clock,
) -> Iterator[None]:
    """Reports at intervals until the context ends."""

    def run() -> None:
        while True:
            clock.sleep(REPORT_SECONDS)
            report(shares, outcomes, metrics, clock.monotonic())

    task = eventlet.spawn(run)
    try:
        yield
    finally:
        task.kill()
