"""What a request gets that asks for a slot: a lease, or a refusal."""

from collections.abc import Callable
from types import TracebackType
from typing import NamedTuple

from eventlet import event as events

from gooseberryweir.version import tables


class Refused(NamedTuple):
    """No slot can be had within the wait.

    Attributes:
        retry_after: Seconds after which to come back.
    """

    retry_after: float


class Lease:
    """A slot in use; leaving the context gives it up.

    Attributes:
        upstream: The upstream.
    """

    def __init__(
        self, upstream: tables.UpstreamEntry, release: Callable[[], None]
    ) -> None:
        self.upstream = upstream
        self.release_once: Callable[[], None] | None = release

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
        """Gives the slot up; a second call does nothing."""
        release, self.release_once = self.release_once, None
        if release is not None:
            release()


class Waiter:
    """A request that waits for a slot."""

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
        """Ends the wait."""
        self.event.send(result)
