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
REPORT_INTERVAL_SECONDS = 5.0
# Latencies kept for each client account in one interval.
MAX_LATENCIES_PER_ACCOUNT = 1000
# Refusals of a request that its client account's rate would have allowed.
REFUSALS_WITHIN_RATE = frozenset(
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


class WorstServedAccount(NamedTuple):
    """The client account served worst in an interval.

    Attributes:
        account: Its name.
        refused_share: Share of its requests that were refused within rate.
        p99_ms: 99th percentile of its latency, milliseconds.
    """

    account: str
    refused_share: float
    p99_ms: float


class AccountOutcomes:
    """What became of the requests of each client account in an interval."""

    def __init__(self) -> None:
        self.refusal_counts: dict[str, int] = {}
        self.request_counts: dict[str, int] = {}
        self.latencies_ms: dict[str, list[float]] = {}

    def record_answer(self, account: str, milliseconds: float) -> None:
        """Counts an answer with its latency."""
        self.request_counts[account] = self.request_counts.get(account, 0) + 1
        latencies = self.latencies_ms.setdefault(account, [])
        if len(latencies) < MAX_LATENCIES_PER_ACCOUNT:
            latencies.append(milliseconds)

    def record_refusal_within_rate(self, account: str) -> None:
        """Counts a refusal."""
        self.request_counts[account] = self.request_counts.get(account, 0) + 1
        self.refusal_counts[account] = self.refusal_counts.get(account, 0) + 1

    def take_worst(self) -> WorstServedAccount | None:
        """Returns the worst-served account and begins a new interval.

        The one with the largest share of refusals within rate is the worst;
        among equals, the one with the highest p99.
        """
        accounts = [
            WorstServedAccount(
                account,
                self.refusal_counts.get(account, 0) / count,
                percentile_99(self.latencies_ms.get(account, [])),
            )
            for account, count in self.request_counts.items()
            if account
        ]
        self.refusal_counts.clear()
        self.request_counts.clear()
        self.latencies_ms.clear()
        return max(
            accounts,
            key=lambda row: (row.refused_share, row.p99_ms),
            default=None,
        )


def percentile_99(values: list[float]) -> float:
    """Returns the 99th percentile, 0 for no values."""
    if not values:
        return 0.0
    return sorted(values)[(len(values) * 99 - 1) // 100]


def slot_headroom(
    shares: shares_module.Shares, now: float
) -> Iterator[tuple[str, float]]:
    """Yields `SERVICE.REGION` and the share of slots free, of homes here."""
    shares.tenure.refresh()
    for name, home in shares.slots.homes.states():
        usable_by_upstream = home.usable(now)
        usable_slots = sum(usable_by_upstream.values())
        if usable_slots <= 0:
            continue
        granted_by_upstream = home.counted()
        granted_slots = sum(
            granted_by_upstream.get(upstream, 0)
            for upstream in usable_by_upstream
        )
        _, service, region = name.split("/", 2)
        yield (
            f"{service}.{region}",
            max(0.0, 1.0 - granted_slots / usable_slots),
        )


def report_once(
    shares: shares_module.Shares,
    outcomes: AccountOutcomes,
    metrics: metrics_module.Metrics,
    now: float,
) -> None:
    """Reports once."""
    for name, free_fraction in slot_headroom(shares, now):
        metrics.gauge(f"headroom.{name}", free_fraction)
    worst = outcomes.take_worst()
    if worst is None:
        return
    metrics.gauge("worst_account.refused_share", worst.refused_share)
    metrics.gauge("worst_account.p99_ms", worst.p99_ms)
    logs.event(LOGGER, "account-worst-served", **worst._asdict())


@contextlib.contextmanager
def periodic_reports(
    shares: shares_module.Shares,
    outcomes: AccountOutcomes,
    metrics: metrics_module.Metrics,
    clock: clocks.Clock,
) -> Iterator[None]:
    """Reports at intervals until the context ends."""

    def run() -> None:
        while True:
            clock.sleep(REPORT_INTERVAL_SECONDS)
            report_once(shares, outcomes, metrics, clock.monotonic())

    task = eventlet.spawn(run)
    try:
        yield
    finally:
        task.kill()
