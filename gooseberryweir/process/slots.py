"""Slots of upstreams, each host on its own: the version without sharing."""

from typing import NamedTuple

from gooseberryweir.version import tables as tables_module


class Refused(NamedTuple):
    """No slot is free.

    Attributes:
        retry_after: Seconds after which to come back.
    """

    retry_after: float


class Lease:
    """One slot of an upstream; a context manager that gives it back."""

    def __init__(
        self, upstream: tables_module.UpstreamEntry, busy: dict[str, int]
    ) -> None:
        self.upstream = upstream
        self.busy = busy
        self.held = True
        busy[upstream.name] = busy.get(upstream.name, 0) + 1

    def __enter__(self) -> "Lease":
        return self

    def __exit__(self, *_: object) -> None:
        self.release()

    def release(self) -> None:
        """Gives the slot back."""
        if self.held:
            self.held = False
            self.busy[self.upstream.name] -= 1
