"""Failure detector: finds peers that have sent nothing for some time."""

from collections.abc import Iterable

from gooseberryweir import clock as clocks
from gooseberryweir.process.shares import timing


class FailureDetector:
    """Detects peers that were not heard from for `SILENCE_SECONDS`.

    All instants are readings of the monotonic clock, in seconds.

    Attributes:
        clock: Source of time.
        last_heard: Instant at which each peer was last heard from, by name.
        unpaused_since: Instant since which this process has run without a
            pause.
        last_tick_at: Instant at which `tick` last ran.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.last_heard: dict[str, float] = {}
        self.unpaused_since = self.last_tick_at = clock.monotonic()

    def record(self, host: str, at: float) -> None:
        """Records that a host was heard from at a monotonic instant."""
        self.last_heard[host] = max(at, self.last_heard.get(host, at))

    def tick(self) -> None:
        """Detects a pause of this process since the last tick."""
        now = self.clock.monotonic()
        if now - self.last_tick_at > timing.MIN_PROCESS_PAUSE_SECONDS:
            self.unpaused_since = now
        self.last_tick_at = now

    def silent_hosts(self, hosts: Iterable[str]) -> list[str]:
        """Returns the hosts not heard from for `SILENCE_SECONDS`.

        After a pause of this process, that time starts again for every host.
        """
        earliest = self.clock.monotonic() - timing.SILENCE_SECONDS
        if self.unpaused_since > earliest:
            return []
        return [
            host
            for host in hosts
            if self.last_heard.get(host, self.unpaused_since) < earliest
        ]
