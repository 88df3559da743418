"""When each peer was last heard, and which have fallen silent."""

from collections.abc import Iterable

from gooseberryweir import clock as clocks
from gooseberryweir.process.shares import timing


class FailureDetector:
    """When each peer was last heard.

    Attributes:
        clock: Source of time.
        heard: Monotonic instant at which each peer was last heard.
        unpaused_since: Start of the last span without a pause.
        last_tick_at: When `tick` last ran.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.last_heard: dict[str, float] = {}
        self.unpaused_since = self.last_tick_at = clock.monotonic()

    def record(self, host: str, at: float) -> None:
        """Notes that a host was heard at a monotonic instant."""
        self.last_heard[host] = max(at, self.last_heard.get(host, at))

    def tick(self) -> None:
        """Finds out whether this process was paused since the last tick."""
        now = self.clock.monotonic()
        if now - self.last_tick_at > timing.PAUSE_SECONDS:
            self.unpaused_since = now
        self.last_tick_at = now

    def silent_hosts(self, hosts: Iterable[str]) -> list[str]:
        """Returns those of the hosts not heard for `SILENCE_SECONDS`.

        After a pause of this process everybody is given that time again.
        """
        earliest = self.clock.monotonic() - timing.SILENCE_SECONDS
        if self.unpaused_since > earliest:
            return []
        return [
            host
            for host in hosts
            if self.last_heard.get(host, self.unpaused_since) < earliest
        ]
