"""Data types of `slot_holder`: leases, refusals and waiting requests."""

from collections.abc import Callable
from types import TracebackType
from typing import NamedTuple

from eventlet import event as events

from gooseberryweir.version import tables


class Refused(NamedTuple):
    """No slot was available in time.

    Attributes:
        retry_after: Seconds after which to retry.
    """

    retry_after: float


class Lease:
    """A lease of one slot; leaving the context releases the slot.

    Attributes:
        upstream: Upstream that the slot belongs to.
        release_callback: Function that releases the slot, or None after the
            release.
    """

    def __init__(
        self, upstream: tables.UpstreamEntry, release: Callable[[], None]
    ) -> None:
        self.upstream = upstream
        self.release_callback: Callable[[], None] | None = release

    def __enter__(self) -> "Lease":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.release()

    def release(self) -> None:
        """Releases the slot; a second call does nothing."""
        release, self.release_callback = self.release_callback, None
        if release is not None:
            release()


class Waiter:
    """A request that waits for a slot.

    Attributes:
        rank: Sort key: importance, then order of arrival.
        importance: Importance of its work class; 1 is the highest.
        work_class: Name of its work class.
        exclude: Names of upstreams that it must not use.
        give_up_at: Monotonic instant at which it stops waiting.
        event: Receives the result of the wait.
    """

    def __init__(
        self,
        importance: int,
        arrival: int,
        work_class: str,
        exclude: frozenset[str],
        give_up_at: float,
    ) -> None:
        self.rank = (importance, arrival)
        self.importance = importance
        self.work_class = work_class
        self.exclude = exclude
        self.give_up_at = give_up_at
        self.event = events.Event()

    def complete(self, result: Lease | Refused) -> None:
        """Ends the wait with a slot or a refusal."""
        self.event.send(result)
