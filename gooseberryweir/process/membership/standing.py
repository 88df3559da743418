"""Standing: whether a majority of the voters give a resource to this host.

A view gives each resource to one incarnation of one host. Why no two of them
hold one resource: a host acts for it at time t only if each voter of some
majority held, without a break from before t - SETTLE_SECONDS until after
t - LEASE_SECONDS, only views that give the resource to that incarnation.
Two majorities share a voter. Let the old holder give a grant at t0 that still
lives at t, so t0 > t - GRANT_SECONDS. At t0 - LEASE_SECONDS the shared
voter then held a view that gives the resource to the old holder. That instant
lies after t - SETTLE_SECONDS and not after t - LEASE_SECONDS, where it
held only views that give it to the new one: a contradiction.

A voter supports a holder only by its answers, and it hears a host before it
answers it. So where a voter dropped a silent holder from its view, its support
ended when it last heard it, and the time above counts from there: the silence
that made the holder dead is part of the wait. A voter's own acts as a holder
end only with its view.

Which views these are makes no difference, nor whether they changed meanwhile,
so a change that leaves a resource where it is interrupts nothing. A host
judges the views of a voter by their digests and knows those that it held
itself; any other counts against it. An answer found good stays good for
LEASE_SECONDS after its question, whatever the voter says later, since the
proof is about what the voter held before.

A host also needs to have held only such views itself for GRANT_SECONDS: a
holder that lost the resource for a moment, by its own view alone, dropped its
state, so its grants must run out before it begins again with none.

A voter that only changed its list of voters may count too. Former voters are
forgotten only once a majority of them, and of the voters, held the very view
of this host, with its list, for SETTLE_SECONDS: a host that still counts by
the old list does not know that view, and needs one of them.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import math
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir.connection import messages
from gooseberryweir.process.membership import view as view_module
from gooseberryweir.process.shares import timing

MAX_SPANS = 16
MAX_RIGHTS = 20_000


class Vote(NamedTuple):
    """What a peer's newest answer said of its view.

    Attributes:
        spans: The views that it held lately, newest first, without a gap.
        asked_at: When the answer was asked for; it held the newest view
            after that.
        suspects: Hosts that it has not heard for the silence time.
    """

    spans: tuple["Span", ...]
    asked_at: float
    suspects: frozenset[str]

    @property
    def digest(self) -> int:
        """Digest of the newest view, or 0."""
        return self.spans[0].digest if self.spans else 0


class Span(NamedTuple):
    """A view that was held until the next newer one was adopted.

    Attributes:
        digest: Digest of the view.
        since: When it had surely been adopted already.
        lost: The hosts, with their incarnations, that the view before held
            eligible and this one does not, and when each was last heard.
    """

    digest: int
    since: float
    lost: Mapping[tuple[str, int], float]


class Standing:
    """The votes of the peers and the groups that must each give a majority.

    Attributes:
        host: Name of this host.
        clock: Source of time.
        digest: Digest of this host's view.
        owner: Name and incarnation of this host by its view, or None.
        spans: The views that this host held lately, newest first.
        recent: The members of the views held lately.
        rights: Until when each resource may be held by the answers so far.
        voters: The hosts that vote, by the newest list.
        former: Earlier sets of voters that may still act by their own list.
        former_until: When the platform's word that they are gone is enough.
        votes: Newest vote of each peer.
    """

    def __init__(self, host: str, clock: clocks.Clock) -> None:
        self.host = host
        self.clock = clock
        self.digest = 0
        self.owner: tuple[str, int] | None = None
        self.spans: tuple[Span, ...] = (Span(0, clock.monotonic(), {}),)
        self.recent = view_module.Recent()
        self.rights: dict[str, float] = {}
        self.voters: frozenset[str] = frozenset()
        self.former: list[frozenset[str]] = []
        self.former_until = 0.0
        self.votes: dict[str, Vote] = {}

    def adopt(
        self,
        view: view_module.View,
        voters: frozenset[str],
        heard: Mapping[str, float],
    ) -> bool:
        """Takes a view and its voters; returns whether they are new.

        Args:
            view: The view.
            voters: The hosts that vote.
            heard: When each other host was last heard.
        """
        if voters != self.voters:
            self._replace_voters(voters)
        if view.digest == self.digest:
            return False
        self.rights.clear()
        incarnation = dict(view.members).get(self.host)
        self.owner = None if incarnation is None else (self.host, incarnation)
        now = self.clock.monotonic()
        before = self.recent.views.get(self.digest, view_module.EMPTY)
        lost = {
            member: heard.get(member[0], now) if member[0] != self.host else now
            for member in set(before.members).difference(view.members)
        }
        self.digest = view.digest
        self.recent.add(view)
        self.spans = _trim((Span(view.digest, now, lost), *self.spans), now)
        return True

    def ages(self) -> tuple[messages.HeldView, ...]:
        """Returns the views held lately as a `Pong` tells them."""
        now = self.clock.monotonic()
        self.spans = _trim(self.spans, now)
        return tuple(
            messages.HeldView(
                span.digest,
                now - span.since,
                tuple((*who, now - at) for who, at in span.lost.items()),
            )
            for span in self.spans
        )

    def received(self, views: Iterable[messages.HeldView]) -> tuple[Span, ...]:
        """Returns the spans that a `Pong` received now tells.

        All is taken to be later than it was, by the time that it travelled.
        """
        now = self.clock.monotonic()
        return tuple(
            Span(
                digest,
                now - age,
                {(name, inc): now - ago for name, inc, ago in lost},
            )
            for digest, age, lost in views
        )

    def _replace_voters(self, voters: frozenset[str]) -> None:
        """Keeps the old voters: hosts that hold the old list count by it.

        Majorities of two lists need not meet. So the view needs a majority
        of the old voters too, until one was seen: none of these hosts goes
        back to the old list.
        """
        if self.voters:
            self.former.append(self.voters)
            self.former_until = (
                self.clock.monotonic() + timing.FORMER_VOTERS_SECONDS
            )
        self.voters = voters
        self.rights.clear()

    def stands(self) -> bool:
        """Returns whether a majority answered with this view lately."""
        now = self.clock.monotonic()
        return self._majorities(now - timing.LEASE_SECONDS, now)

    def hears_majority(self) -> bool:
        """Returns whether a majority answered lately, with any view."""
        earliest = self.clock.monotonic() - timing.LEASE_SECONDS
        count = sum(
            name == self.host
            or (name in self.votes and self.votes[name].asked_at >= earliest)
            for name in self.voters
        )
        return 2 * count > len(self.voters)

    def may_hold(self, resource: str) -> bool:
        """Returns whether this host may act as the holder of a resource.

        What the answers so far allow is kept until it lapses; the clock is
        read at each call.
        """
        now = self.clock.monotonic()
        if now < self.rights.get(resource, -math.inf):
            return True
        self.rights.pop(resource, None)
        until = self._held_until(resource, now)
        if now >= until:
            return False
        if len(self.rights) >= MAX_RIGHTS:
            self.rights.clear()
        self.rights[resource] = until
        return True

    def _held_until(self, resource: str, now: float) -> float:
        """Returns until when the answers so far let this host hold it."""
        if self.host not in self.voters or self.owner is None:
            return -math.inf
        self._forget_former(now)
        grants_ended = now - timing.GRANT_SECONDS
        if self._given_since(resource, self.spans) > grants_ended:
            return -math.inf
        settled = {
            name: asked_at
            for name, asked_at in self._supporters(
                resource, now - timing.SETTLE_SECONDS
            )
        }
        until = min(
            _majority_until(group, settled)
            for group in [self.voters, *self.former]
        )
        if now < until or self.former:
            return until
        # As in `_unanimous`: only the grants have to run out.
        unanimous = dict(self._supporters(resource, grants_ended))
        return min(
            unanimous.get(name, -math.inf) + timing.LEASE_SECONDS
            for name in self.voters
        )

    def _supporters(
        self, resource: str, held_before: float
    ) -> Iterator[tuple[str, float]]:
        """Yields the hosts that give it to this host, and when asked."""
        if self._given_since(resource, self.spans) <= held_before:
            yield self.host, math.inf
        for name, vote in self.votes.items():
            if self._given_since(resource, vote.spans) <= held_before:
                yield name, vote.asked_at

    def _given_since(self, resource: str, spans: tuple[Span, ...]) -> float:
        """Returns since when no other host could hold it by these views.

        Infinity if the newest view doesn't give it to this host.
        """
        since = math.inf
        lost: Mapping[tuple[str, int], float] = {}
        for span in spans:
            holder = self.recent.holder(span.digest, resource)
            if holder != self.owner:
                # Its support for a holder ended when it last heard it, but
                # its support for an earlier one may have ended as this began.
                if holder is None or since == math.inf:
                    return since
                return min(since, max(lost.get(holder, since), span.since))
            since, lost = span.since, span.lost
        return since

    def may_exercise(self) -> bool:
        """Returns whether this host may act for all that its view gives it."""
        now = self.clock.monotonic()
        asked_after = now - timing.LEASE_SECONDS
        if self._majorities(asked_after, now - timing.SETTLE_SECONDS):
            self.former.clear()
            return True
        return self._unanimous(asked_after, now - timing.GRANT_SECONDS)

    def _majorities(self, asked_after: float, held_before: float) -> bool:
        """Returns whether every group gives a majority for the view."""
        if self.host not in self.voters or not self.digest:
            return False
        self._forget_former(self.clock.monotonic())
        return all(
            2 * self._count(group, asked_after, held_before) > len(group)
            for group in [self.voters, *self.former]
        )

    def _forget_former(self, now: float) -> None:
        """Takes the platform's word for it that former voters are gone."""
        if self.former and now > self.former_until:
            self.former.clear()

    def _unanimous(self, asked_after: float, held_before: float) -> bool:
        """Returns whether all possible earlier holders held this view.

        Each of them stopped acting under another view when it adopted this
        one, so only its grants have to run out, not its votes.
        """
        if self.former or not self._majorities(asked_after, held_before):
            return False
        count = self._count(self.voters, asked_after, held_before)
        return count == len(self.voters)

    def _count(
        self, group: Collection[str], asked_after: float, held_before: float
    ) -> int:
        """Counts the hosts of a group that support the view."""
        return sum(
            self._supports(name, asked_after, held_before) for name in group
        )

    def _supports(
        self, name: str, asked_after: float, held_before: float
    ) -> bool:
        """Returns whether a host held the view through the whole span."""
        if name == self.host:
            return self.spans[0].since <= held_before
        vote = self.votes.get(name)
        return (
            vote is not None
            and vote.digest == self.digest
            and vote.asked_at >= asked_after
            and vote.spans[0].since <= held_before
        )

    def suspected_by(self, name: str, asked_after: float) -> int:
        """Counts the voters whose answers, asked for since, suspect a host."""
        return sum(
            vote.asked_at > asked_after and name in vote.suspects
            for voter, vote in self.votes.items()
            if voter in self.voters and voter != self.host
        )


def _trim(spans: tuple[Span, ...], now: float) -> tuple[Span, ...]:
    """Drops the views that were replaced before an answer could matter."""
    horizon = now - timing.SETTLE_SECONDS - timing.HEARTBEAT_SECONDS
    kept = 1
    while kept < len(spans) and spans[kept - 1].since > horizon:
        kept += 1
    return spans[: min(kept, MAX_SPANS)]


def _majority_until(
    group: Collection[str], asked_at: Mapping[str, float]
) -> float:
    """Returns until when the answers make up a majority of a group."""
    times = sorted(
        (asked_at[name] for name in group if name in asked_at), reverse=True
    )
    needed = len(group) // 2
    if len(times) <= needed:
        return -math.inf
    return times[needed] + timing.LEASE_SECONDS
