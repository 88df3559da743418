"""Rates and slots, each host on its own: the version without sharing."""

from gooseberryweir import clock as clocks
from gooseberryweir.process import slots
from gooseberryweir.version import tables as tables_module


class Shares:
    """Token buckets and slots of this host."""

    def __init__(
        self, tables: tables_module.Tables, clock: clocks.Clock
    ) -> None:
        self.tables = tables
        self.clock = clock
        self.levels: dict[str, tuple[float, float]] = {}
        self.busy: dict[str, int] = {}

    def __enter__(self) -> "Shares":
        return self

    def __exit__(self, *_: object) -> None:
        self.levels.clear()

    def take(self, bucket: str, deadline: float) -> float | None:
        """Takes one token; returns None, or seconds after which to return."""
        kind, _, account = bucket.partition("/")
        declared = self.tables.declarations
        if kind != "account" or declared is None:
            return None
        limits = declared.accounts.get(account)
        if limits is None:
            return 1.0
        now = self.clock.monotonic()
        level, at = self.levels.get(bucket, (float(limits.burst), now))
        level = min(limits.burst, level + (now - at) * limits.rate)
        if level < 1:
            self.levels[bucket] = (level, now)
            return (1 - level) / limits.rate
        self.levels[bucket] = (level - 1, now)
        return None

    def acquire(
        self,
        service: str,
        region: str,
        work_class: str,
        exclude: frozenset[str],
        deadline: float,
    ) -> slots.Lease | slots.Refused:
        """Leases a slot of the least busy upstream of a region."""
        free = [
            (self.busy.get(entry.name, 0) / entry.slots, entry.name, entry)
            for entry in self.tables.upstreams.get(service, ())
            if entry.region == region
            and not entry.leaving
            and entry.name not in exclude
            and f"upstream/{entry.name}" not in self.tables.drains
            and self.busy.get(entry.name, 0) < entry.slots
        ]
        if not free:
            return slots.Refused(1.0)
        return slots.Lease(min(free)[2], self.busy)

    def upstream_died(self, upstream: tables_module.UpstreamEntry) -> None:
        """Notes that an upstream refuses connections."""
