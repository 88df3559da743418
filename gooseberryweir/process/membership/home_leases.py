"""When this host is the home of a resource, and with which state.

The state of a home is kept only while no other host can have been the home in
between: until its view gives the resource to another host, or until its right
has lapsed for `STANDING_SECONDS`. Each resource is judged by itself.
"""

from collections.abc import Callable
from typing import Generic
from typing import Protocol
from typing import TypeVar

from gooseberryweir import clock as clocks
from gooseberryweir.process.shares import timing

State = TypeVar("State")


class View(Protocol):
    """The hosts eligible for duties."""

    @property
    def digest(self) -> int:
        """Digest of the hosts and their incarnations."""

    @property
    def members(self) -> tuple[tuple[str, int], ...]:
        """Names and incarnations of the hosts."""


class Membership(Protocol):
    """What is used of `membership.Membership`."""

    def view(self) -> View:
        """Returns the current view."""

    def home_of(self, resource: str) -> str | None:
        """Returns the host that holds a resource under the view."""

    def may_grant(self, resource: str) -> bool:
        """Whether this host may act as the holder of a resource now."""


class HomeLeases:
    """Keeps the rights of this host to act as a home up to date.

    Membership lets a host act only once every grant of another home has run
    out, so a new home may begin at once, with an empty state.

    Attributes:
        host: Name of this host.
        clock: Source of time.
        membership: What decides.
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
        """Renews the right to each state held, or drops the state.

        Call it often (several times a second) and at each change of the view.
        """
        for renew in self.renew_callbacks:
            renew()


class Entry(Generic[State]):
    """The state of a resource.

    Attributes:
        state: The state.
        permitted_at: When this host last had the right to act on it.
    """

    def __init__(self, state: State, permitted_at: float) -> None:
        self.state = state
        self.permitted_at = permitted_at


class HomeStates(Generic[State]):
    """The states of the resources whose home is this host."""

    def __init__(self, leases: HomeLeases) -> None:
        self.leases = leases
        self.entries: dict[str, Entry[State]] = {}
        leases.renew_callbacks.append(self.renew_all)

    def states(self) -> list[tuple[str, State]]:
        """Returns the resources held and their states."""
        return [(name, entry.state) for name, entry in self.entries.items()]

    def renew_all(self) -> None:
        """Renews the right to each state held, or drops the state."""
        for name in list(self.entries):
            self.renew(name)

    def renew(self, name: str) -> bool:
        """Returns whether this host may act; drops a state that is void.

        The time is read before the membership is asked, so that a pause in
        between cannot lengthen a right.
        """
        now = self.leases.clock.monotonic()
        membership = self.leases.membership
        if membership.home_of(name) != self.leases.host:
            self.entries.pop(name, None)
            return False
        entry = self.entries.get(name)
        lapsed_at = now - timing.STANDING_SECONDS
        if entry is not None and entry.permitted_at <= lapsed_at:
            del self.entries[name]
            entry = None
        if not membership.may_grant(name):
            return False
        if entry is not None:
            entry.permitted_at = now
        return True

    def get(self, name: str, create: Callable[[], State]) -> State | None:
        """Returns the state of a resource, or None if not its home now."""
        now = self.leases.clock.monotonic()
        if not self.renew(name):
            return None
        if name not in self.entries:
            self.entries[name] = Entry(create(), now)
        return self.entries[name].state
