"""Reports metrics periodically: free slots and the worst-served account."""

from collections.abc import Iterator
import contextlib
import logging
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir import metrics as metrics_module
from gooseberryweir import tasks
from gooseberryweir.process.shares import shares as shares_module

LOGGER = logging.getLogger(__name__)
REPORT_INTERVAL_SECONDS = 5.0
# Largest number of latencies kept for each client account in one interval.
MAX_LATENCIES_PER_ACCOUNT = 1000
# Codes of the refusals (error answers by this system) that count as refusals of
# a request within the rate of its client account.
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
    """The worst-served client account of an interval.

    Attributes:
        account: Name of the client account.
        refused_share: Fraction of its requests that were refused although
            they were within its rate, 0 to 1.
        p99_ms: 99th percentile of its latency, milliseconds.
    """

    account: str
    refused_share: float
    p99_ms: float


class AccountOutcomes:
    """Counts and latencies of each client account's requests in an interval.

    Attributes:
        refusal_counts: Refusals of requests within the rate, by account.
        request_counts: Answered requests plus refusals within the rate, by
            account.
        latencies_ms: Latencies of answered requests, milliseconds, by account.
    """

    def __init__(self) -> None:
        self.refusal_counts: dict[str, int] = {}
        self.request_counts: dict[str, int] = {}
        self.latencies_ms: dict[str, list[float]] = {}

    def record_answer(self, account: str, milliseconds: float) -> None:
        """Records an answered request and its latency in milliseconds."""
        self.request_counts[account] = self.request_counts.get(account, 0) + 1
        latencies = self.latencies_ms.setdefault(account, [])
        if len(latencies) < MAX_LATENCIES_PER_ACCOUNT:
            latencies.append(milliseconds)

    def record_refusal_within_rate(self, account: str) -> None:
        """Records the refusal of a request within its account's rate."""
        self.request_counts[account] = self.request_counts.get(account, 0) + 1
        self.refusal_counts[account] = self.refusal_counts.get(account, 0) + 1

    def take_worst(self) -> WorstServedAccount | None:
        """Returns the worst-served account and starts a new interval.

        It is the account with the largest fraction of refusals within its
        rate; among equals, the one with the highest 99th percentile.
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
    """Returns the 99th percentile of values, or 0 if there are none."""
    if not values:
        return 0.0
    return sorted(values)[(len(values) * 99 - 1) // 100]


def slot_headroom(
    shares: shares_module.Shares, now: float
) -> Iterator[tuple[str, float]]:
    """Yields `SERVICE.REGION` and the fraction of free slots of each pool.

    A pool is the slots of one service in one region. Only pools with this host
    as their home, the host that grants their slots, are included.
    """
    shares.home_leases.refresh()
    for name, home in shares.slots.homes.states():
        usable_by_upstream = home.usable_slots(now)
        usable_slots = sum(usable_by_upstream.values())
        if usable_slots <= 0:
            continue
        granted_by_upstream = home.allocated()
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
    """Reports the metrics of one interval and starts the next one."""
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
    """Reports every REPORT_INTERVAL_SECONDS until the context ends."""

    def run() -> None:
        while True:
            clock.sleep(REPORT_INTERVAL_SECONDS)
            report_once(shares, outcomes, metrics, clock.monotonic())

    task = tasks.spawn("report", run)
    try:
        yield
    finally:
        task.kill()
