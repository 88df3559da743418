"""Counts the upstreams that each request crashed.

A suspect, a request that crashed too many, is refused. A crash is recorded as a
fact, an entry that all hosts replicate: the fingerprint of a request that was
in flight at an upstream when the upstream ended. Crashes before the latest
completion of a request with the same fingerprint no longer count, so a common
request that was in flight beside the one that caused the crash is not refused.
Requests with the same fingerprint run one at a time until one has completed on
this host: a lock ensures this on a host, a permit among hosts. Both are
released when the request was answered. After a failed attempt, or if a crash
was recorded meanwhile, the lock is released and the permit expires.

See docs/design/crashing-requests.md for alternatives.
"""

from collections import OrderedDict
from collections.abc import Iterator
import contextlib

from eventlet import semaphore

from gooseberryweir import clock as clocks
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.shares import permits as permits_module

# Crashes of one upstream within this time are the same crash, seen by several
# hosts.
SAME_CRASH_MS = 2_000
# Older crashes do not count.
CRASH_RETENTION_MS = 3_600_000
MAX_COMPLETED_FINGERPRINTS = 50_000


class Suspects:
    """Crashes and completions of requests, by fingerprint.

    Attributes:
        facts: Facts that all hosts replicate.
        clock: Source of time.
        permits: Permits that keep other hosts from running a request at the
            same time.
        completed: Fingerprints that completed on this host, the latest last.
        locks: Locks on this host by fingerprint of the requests that run or
            wait.
        crashes: Times of the crashes by fingerprint and upstream name, in
            milliseconds since the epoch.
        cleared: Time of the latest completion after a crash, in milliseconds
            since the epoch, by fingerprint.
    """

    def __init__(
        self,
        facts: facts_module.Facts,
        clock: clocks.Clock,
        permits: permits_module.Permits,
    ) -> None:
        self.facts = facts
        self.clock = clock
        self.permits = permits
        self.completed: OrderedDict[str, None] = OrderedDict()
        self.locks: dict[str, semaphore.Semaphore] = {}
        self.crashes: dict[str, dict[str, list[int]]] = {}
        self.cleared: dict[str, int] = {}
        facts.listeners.append(self.apply_facts)
        self.apply_facts(facts.snapshot())

    def apply_facts(self, facts: dict[str, int]) -> None:
        """Adds the crashes and completions among new facts."""
        for key, value in facts.items():
            kind, _, remainder = key.partition("/")
            if kind == "crash":
                fingerprint, upstream, _ = remainder.split("/", 2)
                crash_times = self.crashes.setdefault(fingerprint, {})
                crash_times.setdefault(upstream, []).append(value)
                self.completed.pop(fingerprint, None)
            elif kind == "cleared":
                self.cleared[remainder] = value

    def crash_count(self, fingerprint: str) -> int:
        """Counts recent crashes of upstreams that ran a request.

        Those before the latest completion of an equal request do not count.
        """
        if fingerprint not in self.crashes:
            return 0
        since_ms = self.clock.wall() * 1000 - CRASH_RETENTION_MS
        since_ms = max(since_ms, self.cleared.get(fingerprint, 0))
        return sum(
            _count_distinct([at_ms for at_ms in times if at_ms > since_ms])
            for times in self.crashes[fingerprint].values()
        )

    def record_crash(self, fingerprint: str, upstream: str) -> None:
        """Records that an upstream crashed while it ran a request.

        Does nothing if an equal request has completed on this host.
        """
        if fingerprint in self.completed:
            return
        at_ms = int(self.clock.wall() * 1000)
        self.facts.add(f"crash/{fingerprint}/{upstream}/{at_ms}", at_ms)

    def record_success(self, fingerprint: str) -> None:
        """Records that a request completed at an upstream that still runs."""
        if self.crash_count(fingerprint):
            self.facts.add(
                f"cleared/{fingerprint}", int(self.clock.wall() * 1000)
            )
        self.completed[fingerprint] = None
        self.completed.move_to_end(fingerprint)
        if len(self.completed) > MAX_COMPLETED_FINGERPRINTS:
            self.completed.popitem(last=False)

    @contextlib.contextmanager
    def run_exclusively(
        self, fingerprint: str, timeout: float
    ) -> Iterator[bool]:
        """Lets equal requests run one at a time until one completed here.

        Args:
            fingerprint: Fingerprint of the request.
            timeout: Longest wait in seconds.

        Yields:
            True if the request may run, False if the wait timed out.
        """
        if fingerprint in self.completed:
            yield True
            return
        lock = self.locks.setdefault(fingerprint, semaphore.Semaphore(1))
        if not lock.acquire(timeout=max(0.001, timeout)):
            yield False
            return
        try:
            with self._hold_permit(fingerprint, timeout) as permitted:
                yield permitted
        finally:
            lock.release()
            if lock.balance > 0:
                self.locks.pop(fingerprint, None)

    @contextlib.contextmanager
    def _hold_permit(self, fingerprint: str, timeout: float) -> Iterator[bool]:
        """Holds a permit, and releases it when the request was answered.

        The permit is not released, and so expires, if the body of the `with`
        statement raises an exception or a crash was recorded meanwhile.

        Yields:
            True if the request may run, False if the wait timed out.
        """
        if fingerprint in self.completed:
            yield True
            return
        fleet_wide = self.crash_count(fingerprint) > 0
        permitted = self.permits.acquire(fingerprint, fleet_wide, timeout)
        crashes = self.crash_count(fingerprint)
        yield permitted
        if permitted and self.crash_count(fingerprint) == crashes:
            self.permits.release(fingerprint, fleet_wide)


def _count_distinct(times: list[int]) -> int:
    """Counts the times except those within `SAME_CRASH_MS` after another."""
    count = 0
    last_ms = -SAME_CRASH_MS
    for at_ms in sorted(times):
        if at_ms - last_ms > SAME_CRASH_MS:
            count += 1
        last_ms = at_ms
    return count
