"""When this host is the home of a resource, and with which state.

The state of a home is kept only while no other host can have been the home in
between.
"""

from collections.abc import Callable
import math
from typing import Generic
from typing import Protocol
from typing import TypeVar

from gooseberryweir import clock as clocks
from gooseberryweir.process import timing

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

    def may_exercise(self) -> bool:
        """Whether this host may act as a holder now."""


class Tenure:
    """Watches whether this host may act as a home.

    Membership lets a host act only once every grant under another view has
    run out, so a new home may begin at once, with an empty state.
    """

    def __init__(
        self, host: str, clock: clocks.Clock, membership: Membership
    ) -> None:
        self.host = host
        self.clock = clock
        self.membership = membership
        self.digest: int | None = None
        self.exercised_at = -math.inf
        self.drop_all: list[Callable[[], None]] = []
        self.drop_lost: list[Callable[[], None]] = []

    def refresh(self) -> bool:
        """Brings the tenure up to now; True if duties may be exercised.

        Call it often (several times a second) and at each change of the view.
        The time is read before the membership is asked, so that a pause in
        between cannot lengthen a right.
        """
        now = self.clock.monotonic()
        digest = self.membership.view().digest
        if digest != self.digest:
            self.digest = digest
            _call_all(self.drop_lost)
        if not self.membership.may_exercise():
            return False
        if now - self.exercised_at >= timing.STANDING_SECONDS:
            _call_all(self.drop_all)
        self.exercised_at = now
        return True


class Homes(Generic[State]):
    """The states of the resources whose home is this host."""

    def __init__(self, tenure: Tenure) -> None:
        self.tenure = tenure
        self.states: dict[str, State] = {}
        tenure.drop_all.append(self.states.clear)
        tenure.drop_lost.append(self.drop_lost)

    def drop_lost(self) -> None:
        """Drops the states of resources that another host holds now."""
        membership = self.tenure.membership
        for name in list(self.states):
            if membership.holder(name) != self.tenure.host:
                del self.states[name]

    def get(self, name: str, create: Callable[[], State]) -> State | None:
        """Returns the state of a resource, or None if not its home now."""
        if not self.tenure.refresh():
            return None
        if self.tenure.membership.holder(name) != self.tenure.host:
            self.states.pop(name, None)
            return None
        state = self.states.get(name)
        if state is None:
            state = self.states[name] = create()
        return state


def _call_all(functions: list[Callable[[], None]]) -> None:
    for function in functions:
        function()
