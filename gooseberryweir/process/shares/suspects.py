"""Requests that end the upstreams that run them.

A crash is a fact shared among hosts: which request (by fingerprint) was in
flight at which upstream when it ended. A fingerprint that completed since is
cleared, so a common request that ran beside the culprit is not refused. A
fingerprint that never completed here runs one at a time, on each host by a
gate and among hosts by a permit.

See docs/design/crashing-requests.md for the ways weighed.
"""

from collections import OrderedDict
from collections.abc import Iterator
import contextlib

from eventlet import semaphore

from gooseberryweir import clock as clocks
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.shares import permits as permits_module

# Crashes of one upstream closer together than this are one crash, seen by
# several hosts.
SAME_CRASH_MS = 2_000
# Crashes older than this no longer count.
FORGET_MS = 3_600_000
MAX_PROVEN = 50_000


class Suspects:
    """Crashes and completions of requests, by fingerprint."""

    def __init__(
        self,
        facts: facts_module.Facts,
        clock: clocks.Clock,
        permits: permits_module.Permits,
    ) -> None:
        self.facts = facts
        self.clock = clock
        self.permits = permits
        self.proven: OrderedDict[str, None] = OrderedDict()
        self.running: dict[str, semaphore.Semaphore] = {}
        self.crashes: dict[str, dict[str, list[int]]] = {}
        self.cleared: dict[str, int] = {}
        facts.listeners.append(self.learn)
        self.learn(facts.snapshot())

    def learn(self, facts: dict[str, int]) -> None:
        """Takes in new facts."""
        for key, value in facts.items():
            kind, _, rest = key.partition("/")
            if kind == "crash":
                name, upstream, _ = rest.split("/", 2)
                at = self.crashes.setdefault(name, {})
                at.setdefault(upstream, []).append(value)
                self.proven.pop(name, None)
            elif kind == "cleared":
                self.cleared[rest] = value

    def count(self, name: str) -> int:
        """Returns how many upstreams a request has ended lately."""
        if name not in self.crashes:
            return 0
        since = self.clock.wall() * 1000 - FORGET_MS
        since = max(since, self.cleared.get(name, 0))
        return sum(
            _distinct([at for at in times if at > since])
            for times in self.crashes[name].values()
        )

    def crashed(self, name: str, upstream: str) -> None:
        """Notes that an upstream ended while it ran a request."""
        if name in self.proven:
            return
        at = int(self.clock.wall() * 1000)
        self.facts.add(f"crash/{name}/{upstream}/{at}", at)

    def succeeded(self, name: str) -> None:
        """Notes that a request was answered by a living upstream."""
        if self.count(name):
            self.facts.add(f"cleared/{name}", int(self.clock.wall() * 1000))
        self.proven[name] = None
        self.proven.move_to_end(name)
        if len(self.proven) > MAX_PROVEN:
            self.proven.popitem(last=False)

    @contextlib.contextmanager
    def turn(self, name: str, timeout: float) -> Iterator[bool]:
        """Lets requests that never completed here run one at a time.

        Yields False if no turn came within the timeout, in seconds.
        """
        if name in self.proven:
            yield True
            return
        gate = self.running.setdefault(name, semaphore.Semaphore(1))
        if not gate.acquire(timeout=max(0.001, timeout)):
            yield False
            return
        try:
            with self._permitted(name, timeout) as permitted:
                yield permitted
        finally:
            gate.release()
            if gate.balance > 0:
                self.running.pop(name, None)

    @contextlib.contextmanager
    def _permitted(self, name: str, timeout: float) -> Iterator[bool]:
        """Holds the permit of the fleet; kept after a crash until it ends."""
        if name in self.proven:
            yield True
            return
        everywhere = self.count(name) > 0
        permitted = self.permits.wait(name, everywhere, timeout)
        crashes = self.count(name)
        yield permitted
        if permitted and self.count(name) == crashes:
            self.permits.release(name, everywhere)


def _distinct(times: list[int]) -> int:
    """Counts times that lie further apart than one crash."""
    count = 0
    last = -SAME_CRASH_MS
    for at in sorted(times):
        if at - last > SAME_CRASH_MS:
            count += 1
        last = at
    return count
