"""Tracks the graceful shutdown of a host, from SIGTERM until its exit."""

import math

from eventlet import event
from eventlet import hubs

from gooseberryweir import clock as clocks

# Time after SIGTERM during which a host still accepts requests: most look-up
# responses that callers have cached expire within it. After that the host
# refuses new requests and exits once its open requests have ended.
SERVE_AFTER_SIGTERM_SECONDS = 2.8


class Shutdown:
    """State of the graceful shutdown of the process.

    Attributes:
        started_at: Monotonic time of SIGTERM in seconds, or None.
        start_event: Sent when the shutdown starts.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.started_at: float | None = None
        self.start_event = event.Event()

    def start(self, *_: object) -> None:
        """Starts the shutdown, as the handler of SIGTERM and SIGINT.

        Later calls have no effect.
        """
        if self.started_at is None:
            self.started_at = self.clock.monotonic()
            hubs.get_hub().schedule_call_global(0, self.start_event.send)

    def started(self) -> bool:
        """Returns True once the shutdown has started."""
        return self.started_at is not None

    def seconds_until(self, exit_seconds: float) -> float:
        """Returns the time until the process exits, in seconds.

        Args:
            exit_seconds: Seconds from SIGTERM to the exit.

        Returns:
            The seconds; infinity if the shutdown has not started.
        """
        if self.started_at is None:
            return math.inf
        return self.started_at + exit_seconds - self.clock.monotonic()

    def refusing(self) -> bool:
        """Returns True once new requests are refused."""
        return (
            self.started_at is not None
            and self.clock.monotonic() - self.started_at
            > SERVE_AFTER_SIGTERM_SECONDS
        )
