"""Where a process is in its life: serving, leaving, turning requests away."""

from eventlet import event
from eventlet import hubs

from gooseberryweir import clock as clocks

# After SIGTERM a host serves until cached look-ups have mostly run out, then
# turns new requests away and ends once its open requests have ended.
SERVE_AFTER_SIGTERM_SECONDS = 2.8


class Shutdown:
    """Where the process is in its life.

    Attributes:
        started_at: Reading of the clock at SIGTERM, or None.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.started_at: float | None = None
        self.start_event = event.Event()

    def start(self, *_: object) -> None:
        """Takes SIGTERM; a repeat changes nothing."""
        if self.started_at is None:
            self.started_at = self.clock.monotonic()
            hubs.get_hub().schedule_call_global(0, self.start_event.send)

    def started(self) -> bool:
        """Whether the process was told to leave."""
        return self.started_at is not None

    def refusing(self) -> bool:
        """Whether new requests are turned away."""
        return (
            self.started_at is not None
            and self.clock.monotonic() - self.started_at
            > SERVE_AFTER_SIGTERM_SECONDS
        )
