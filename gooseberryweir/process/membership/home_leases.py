"""Leases of this host to act as a home, and the state of each resource.

A resource is a token bucket or a pool of slots; its home is the host that
grants shares of it, and its state there is a `BucketHome` or a `SlotHome`. A
lease is the time for which a host may act as the home. The state is kept only
if no other host can have been the home since the lease was last renewed: it is
dropped when the view assigns the resource to another host, or when the lease
was not renewed for `LEASE_SECONDS`. Each resource has its own lease.
"""

from collections.abc import Callable
from typing import Generic
from typing import Protocol
from typing import TypeVar

from gooseberryweir import clock as clocks
from gooseberryweir.process.shares import timing

State = TypeVar("State")


class View(Protocol):
    """Interface of `view.View` that the callers of `HomeLeases` use."""

    @property
    def digest(self) -> int:
        """Digest of the members and of the voters."""

    @property
    def members(self) -> tuple[tuple[str, int], ...]:
        """Name and incarnation of each host that can be a home."""


class Membership(Protocol):
    """Interface of `membership.Membership` that `HomeLeases` uses."""

    def view(self) -> View:
        """Returns the current view."""

    def home_of(self, resource: str) -> str | None:
        """Returns the home of a resource under the current view."""

    def may_grant(self, resource: str) -> bool:
        """Returns True if this host may act as home of a resource now."""


class HomeLeases:
    """Renews the leases of this host to act as a home.

    Membership allows a host to act only after all grants of another home have
    expired, so a new home may start at once, with an empty state.

    Attributes:
        host: Name of this host.
        clock: Source of time.
        membership: Decides which host may act as a home.
        renew_callbacks: Functions called by `refresh`, one per `HomeStates`.
    """

    def __init__(
        self, host: str, clock: clocks.Clock, membership: Membership
    ) -> None:
        self.host = host
        self.clock = clock
        self.membership = membership
        self.renew_callbacks: list[Callable[[], None]] = []

    def refresh(self) -> None:
        """Renews the lease of each resource, or drops its state.

        Call it several times a second and at each change of the view.
        """
        for renew in self.renew_callbacks:
            renew()


class Entry(Generic[State]):
    """The state of one resource and the latest renewal of its lease.

    Attributes:
        state: The state.
        permitted_at: Monotonic instant at which this host was last allowed to
            act as the home, in seconds.
    """

    def __init__(self, state: State, permitted_at: float) -> None:
        self.state = state
        self.permitted_at = permitted_at


class HomeStates(Generic[State]):
    """The states of all resources of one kind whose home is this host.

    Attributes:
        home_leases: The leases of this host.
        entries: State of each resource, by name of the resource.
    """

    def __init__(self, home_leases: HomeLeases) -> None:
        self.home_leases = home_leases
        self.entries: dict[str, Entry[State]] = {}
        home_leases.renew_callbacks.append(self.renew_all)

    def states(self) -> list[tuple[str, State]]:
        """Returns the name and the state of each resource in `entries`."""
        return [(name, entry.state) for name, entry in self.entries.items()]

    def renew_all(self) -> None:
        """Renews the lease of each resource, or drops its state."""
        for name in list(self.entries):
            self.renew(name)

    def renew(self, name: str) -> bool:
        """Renews the lease of a resource; drops its state if the lease ended.

        The clock is read before the membership decides, so that a pause in
        between cannot extend the lease.

        Returns:
            True if this host may act as the home now.
        """
        now = self.home_leases.clock.monotonic()
        membership = self.home_leases.membership
        if membership.home_of(name) != self.home_leases.host:
            self.entries.pop(name, None)
            return False
        entry = self.entries.get(name)
        expired_at = now - timing.LEASE_SECONDS
        if entry is not None and entry.permitted_at <= expired_at:
            del self.entries[name]
            entry = None
        if not membership.may_grant(name):
            return False
        if entry is not None:
            entry.permitted_at = now
        return True

    def get(self, name: str, create: Callable[[], State]) -> State | None:
        """Returns the state of a resource if this host may act as its home.

        Otherwise returns None.

        Args:
            name: Name of the resource.
            create: Returns the initial state, if there is no state yet.
        """
        now = self.home_leases.clock.monotonic()
        if not self.renew(name):
            return None
        if name not in self.entries:
            self.entries[name] = Entry(create(), now)
        return self.entries[name].state
