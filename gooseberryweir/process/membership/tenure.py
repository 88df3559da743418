"""When this host is the home of a resource, and with which state.

The state of a home is kept only while no other host can have been the home in
between: until its view gives the resource to another host, or until its right
has lapsed for `LEASE_SECONDS`. Each resource is judged by itself.
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

    def holder(self, resource: str) -> str | None:
        """Returns the host that holds a resource under the view."""

    def may_exercise(self, resource: str) -> bool:
        """Whether this host may act as the holder of a resource now."""


class Tenure:
    """Keeps the rights of this host to act as a home up to date.

    Membership lets a host act only once every grant of another home has run
    out, so a new home may begin at once, with an empty state.

    Attributes:
        host: Name of this host.
        clock: Source of time.
        membership: What decides.
        renewals: Functions called by `refresh`, one for each `Homes`.
    """

    def __init__(
        self, host: str, clock: clocks.Clock, membership: Membership
    ) -> None:
        self.host = host
        self.clock = clock
        self.membership = membership
        self.renewals: list[Callable[[], None]] = []

    def refresh(self) -> None:
        """Renews the right to each state held, or drops the state.

        Call it often (several times a second) and at each change of the view.
        """
        for renew in self.renewals:
            renew()


class Held(Generic[State]):
    """The state of a resource.

    Attributes:
        state: The state.
        exercised_at: When this host last had the right to act on it.
    """

    def __init__(self, state: State, exercised_at: float) -> None:
        self.state = state
        self.exercised_at = exercised_at


class Homes(Generic[State]):
    """The states of the resources whose home is this host."""

    def __init__(self, tenure: Tenure) -> None:
        self.tenure = tenure
        self.held: dict[str, Held[State]] = {}
        tenure.renewals.append(self.renew_all)

    def states(self) -> list[tuple[str, State]]:
        """Returns the resources held and their states."""
        return [(name, held.state) for name, held in self.held.items()]

    def renew_all(self) -> None:
        """Renews the right to each state held, or drops the state."""
        for name in list(self.held):
            self.renew(name)

    def renew(self, name: str) -> bool:
        """Returns whether this host may act; drops a state that is void.

        The time is read before the membership is asked, so that a pause in
        between cannot lengthen a right.
        """
        now = self.tenure.clock.monotonic()
        membership = self.tenure.membership
        if membership.holder(name) != self.tenure.host:
            self.held.pop(name, None)
            return False
        held = self.held.get(name)
        lapsed_at = now - timing.LEASE_SECONDS
        if held is not None and held.exercised_at <= lapsed_at:
            del self.held[name]
            held = None
        if not membership.may_exercise(name):
            return False
        if held is not None:
            held.exercised_at = now
        return True

    def get(self, name: str, create: Callable[[], State]) -> State | None:
        """Returns the state of a resource, or None if not its home now."""
        now = self.tenure.clock.monotonic()
        if not self.renew(name):
            return None
        if name not in self.held:
            self.held[name] = Held(create(), now)
        return self.held[name].state
