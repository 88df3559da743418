"""Where a process is in its life: serving, leaving, turning requests away."""

from eventlet import event
from eventlet import hubs

from gooseberryweir import clock as clocks

# After SIGTERM a host serves until cached look-ups have mostly run out, then
# turns new requests away and ends once its open requests have ended.
LEAVE_SERVING_SECONDS = 2.8


class Phase:
    """Where the process is in its life.

    Attributes:
        leaving_since: Reading of the clock at SIGTERM, or None.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.leaving_since: float | None = None
        self.told = event.Event()

    def leave(self, *_: object) -> None:
        """Takes SIGTERM; a repeat changes nothing."""
        if self.leaving_since is None:
            self.leaving_since = self.clock.monotonic()
            hubs.get_hub().schedule_call_global(0, self.told.send)

    def leaving(self) -> bool:
        """Whether the process was told to leave."""
        return self.leaving_since is not None

    def refusing(self) -> bool:
        """Whether new requests are turned away."""
        return (
            self.leaving_since is not None
            and self.clock.monotonic() - self.leaving_since
            > LEAVE_SERVING_SECONDS
        )
