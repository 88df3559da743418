"""When each peer was last heard, and which have fallen silent."""

from collections.abc import Iterable

from gooseberryweir import clock as clocks
from gooseberryweir.process.shares import timing


class Hearing:
    """When each peer was last heard.

    Attributes:
        clock: Source of time.
        heard: Monotonic instant at which each peer was last heard.
        awake_since: Start of the last span without a pause.
        ticked_at: When `tick` last ran.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.heard: dict[str, float] = {}
        self.awake_since = self.ticked_at = clock.monotonic()

    def note(self, host: str, at: float) -> None:
        """Notes that a host was heard at a monotonic instant."""
        self.heard[host] = max(at, self.heard.get(host, at))

    def tick(self) -> None:
        """Finds out whether this process was paused since the last tick."""
        now = self.clock.monotonic()
        if now - self.ticked_at > timing.PAUSE_SECONDS:
            self.awake_since = now
        self.ticked_at = now

    def silent(self, hosts: Iterable[str]) -> list[str]:
        """Returns those of the hosts not heard for `SILENCE_SECONDS`.

        After a pause of this process everybody is given that time again.
        """
        earliest = self.clock.monotonic() - timing.SILENCE_SECONDS
        if self.awake_since > earliest:
            return []
        return [
            host
            for host in hosts
            if self.heard.get(host, self.awake_since) < earliest
        ]
