"""Quorum: counts the voters that support this host as the home of a resource.

A view assigns each resource to one incarnation (one start) of one host, its
home, which grants shares of it. Two hosts never act as the home of one resource
at the same time: a host acts as the home at time t only if each voter of some
majority had, without a gap from before t - SETTLE_SECONDS until after
t - LEASE_SECONDS, only views that assign the resource to that incarnation.

Proof: two majorities share a voter. Suppose that the old home gave a grant at
t0 that is still valid at t, so t0 > t - GRANT_SECONDS. At
t0 - LEASE_SECONDS the shared voter then had a view that assigns the
resource to the old home. That instant lies after t - SETTLE_SECONDS and not
after t - LEASE_SECONDS, when the voter had only views that assign it to the
new home: a contradiction.

A voter supports a home only by answering its pings, and it receives a ping
before it answers. So if a voter removed a silent home from its view, its
support ended when it last heard from that home, and the time above counts from
then: the silence after which the home was declared dead is part of the wait.
If the voter itself was the home, it stops granting only when its view changes.

Only the home under each view matters, not which view it is or whether the view
changed in between, so a new view that leaves a resource at its home interrupts
nothing. A host looks up the views of a voter by their digests among the views
that it had itself; a view that it does not know counts as one that assigns the
resource to another host. An answer that supports the host is valid for
LEASE_SECONDS from its request, whatever the voter answers later, since the
proof depends only on earlier views of the voter.

The host itself must also have had only such views for GRANT_SECONDS: a home
that lost the resource briefly, in its own view alone, dropped its state, so
its grants must expire before it starts again with an empty state.

A voter whose view differs only in its list of voters may count too. Former
voters (those of earlier host lists) are dropped once a majority of them, and a
majority of the voters, had exactly the view of this host, including its list of
voters, for SETTLE_SECONDS: a host that still uses the old list does not know
that view, and needs the support of at least one of that majority of the former
voters.
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

MAX_VIEW_SPANS = 16
MAX_LEASES = 20_000


class Vote(NamedTuple):
    """The recent views of a peer, from its latest `Pong`.

    Attributes:
        spans: Recent views of the peer, newest first, without a gap.
        requested_at: Monotonic instant before the ping was sent, in seconds;
            the peer still had its newest view after that.
        suspected_hosts: Hosts that the peer has not heard from for
            `SILENCE_SECONDS`.
    """

    spans: tuple["ViewSpan", ...]
    requested_at: float
    suspected_hosts: frozenset[str]

    @property
    def digest(self) -> int:
        """Digest of the newest view, or 0."""
        return self.spans[0].digest if self.spans else 0


class ViewSpan(NamedTuple):
    """A view of one host, in use until the host adopted the next one.

    Attributes:
        digest: Digest of the view.
        since: Monotonic instant by which the view had been adopted, in
            seconds; it may have been adopted earlier.
        removed: Name and incarnation of each member of the previous view that
            is not in this one, and the instant at which it was last heard from.
    """

    digest: int
    since: float
    removed: Mapping[tuple[str, int], float]


class Quorum:
    """The votes of the peers, and the majorities that this host needs.

    Attributes:
        host: Name of this host.
        clock: Source of time.
        digest: Digest of this host's view.
        own_member: Name and incarnation of this host in its view, or None.
        spans: Recent views of this host, newest first.
        recent_views: Members of the recent views, by digest.
        leases: Monotonic instant until which this host may act as the home of
            a resource, by resource, in seconds.
        voters: The hosts that vote, from the newest host list.
        former_voters: Voters of earlier host lists, which may still use their
            own list.
        former_voters_until: Monotonic instant after which the former voters
            are dropped without a vote, in seconds.
        votes: Latest vote of each peer.
    """

    def __init__(self, host: str, clock: clocks.Clock) -> None:
        self.host = host
        self.clock = clock
        self.digest = 0
        self.own_member: tuple[str, int] | None = None
        self.spans: tuple[ViewSpan, ...] = (ViewSpan(0, clock.monotonic(), {}),)
        self.recent_views = view_module.RecentViews()
        self.leases: dict[str, float] = {}
        self.voters: frozenset[str] = frozenset()
        self.former_voters: list[frozenset[str]] = []
        self.former_voters_until = 0.0
        self.votes: dict[str, Vote] = {}

    def adopt(
        self,
        view: view_module.View,
        voters: frozenset[str],
        last_heard: Mapping[str, float],
    ) -> bool:
        """Adopts a view and its voters; returns True if the view is new.

        Args:
            view: The view.
            voters: The hosts that vote.
            last_heard: Monotonic instant, in seconds, at which each peer was
                last heard from.
        """
        if voters != self.voters:
            self._replace_voters(voters)
        if view.digest == self.digest:
            return False
        self.leases.clear()
        incarnation = dict(view.members).get(self.host)
        self.own_member = (
            None if incarnation is None else (self.host, incarnation)
        )
        now = self.clock.monotonic()
        previous = self.recent_views.views.get(
            self.digest, view_module.EMPTY_VIEW
        )
        removed = {
            member: last_heard.get(member[0], now)
            if member[0] != self.host
            else now
            for member in set(previous.members).difference(view.members)
        }
        self.digest = view.digest
        self.recent_views.add(view)
        self.spans = _trim_spans(
            (ViewSpan(view.digest, now, removed), *self.spans), now
        )
        return True

    def held_views(self) -> tuple[messages.HeldView, ...]:
        """Returns this host's recent views for its `Pong`, newest first."""
        now = self.clock.monotonic()
        self.spans = _trim_spans(self.spans, now)
        return tuple(
            messages.HeldView(
                span.digest,
                now - span.since,
                tuple(
                    (*member, now - heard_at)
                    for member, heard_at in span.removed.items()
                ),
            )
            for span in self.spans
        )

    def to_spans(
        self, views: Iterable[messages.HeldView]
    ) -> tuple[ViewSpan, ...]:
        """Converts the views of a `Pong` that has just arrived to spans.

        The network delay is unknown, so every instant is later than the true
        one by that delay.
        """
        now = self.clock.monotonic()
        return tuple(
            ViewSpan(
                digest,
                now - age,
                {
                    (name, incarnation): now - silent_for
                    for name, incarnation, silent_for in removed
                },
            )
            for digest, age, removed in views
        )

    def _replace_voters(self, voters: frozenset[str]) -> None:
        """Sets the voters and keeps the old ones as former voters.

        Hosts that still have the old list need a majority of the old voters,
        and majorities of two lists need not overlap. So the view needs a
        majority of the old voters too, until it has had one: none of those
        hosts returns to the old list.
        """
        if self.voters:
            self.former_voters.append(self.voters)
            self.former_voters_until = (
                self.clock.monotonic() + timing.FORMER_VOTERS_SECONDS
            )
        self.voters = voters
        self.leases.clear()

    def has_majority(self) -> bool:
        """Returns True if a majority of the voters has the view of this host.

        Counts answers requested within `LEASE_SECONDS`.
        """
        now = self.clock.monotonic()
        return self._has_majorities(now - timing.LEASE_SECONDS, now)

    def reaches_majority(self) -> bool:
        """Returns True if a majority of the voters answered, with any view.

        Counts answers requested within `LEASE_SECONDS`.
        """
        earliest = self.clock.monotonic() - timing.LEASE_SECONDS
        count = sum(
            name == self.host
            or (
                name in self.votes and self.votes[name].requested_at >= earliest
            )
            for name in self.voters
        )
        return 2 * count > len(self.voters)

    def may_grant(self, resource: str) -> bool:
        """Returns True if this host may act as the home of a resource now.

        A lease is cached until it expires; the clock is read at each call.
        """
        now = self.clock.monotonic()
        if now < self.leases.get(resource, -math.inf):
            return True
        self.leases.pop(resource, None)
        until = self._lease_until(resource, now)
        if now >= until:
            return False
        if len(self.leases) >= MAX_LEASES:
            self.leases.clear()
        self.leases[resource] = until
        return True

    def _lease_until(self, resource: str, now: float) -> float:
        """Returns the instant until which the votes support this host as home.

        Returns:
            Monotonic instant in seconds; not after `now` if the host may not
            act as the home.
        """
        if self.host not in self.voters or self.own_member is None:
            return -math.inf
        self._expire_former_voters(now)
        grants_expired_at = now - timing.GRANT_SECONDS
        if self._exclusive_since(resource, self.spans) > grants_expired_at:
            return -math.inf
        settled = {
            name: requested_at
            for name, requested_at in self._supporters(
                resource, now - timing.SETTLE_SECONDS
            )
        }
        until = min(
            _majority_until(group, settled)
            for group in [self.voters, *self.former_voters]
        )
        if now < until or self.former_voters:
            return until
        # As in `_unanimous`: only the earlier grants must have expired.
        unanimous = dict(self._supporters(resource, grants_expired_at))
        return min(
            unanimous.get(name, -math.inf) + timing.LEASE_SECONDS
            for name in self.voters
        )

    def _supporters(
        self, resource: str, max_adopted_at: float
    ) -> Iterator[tuple[str, float]]:
        """Yields the hosts that assign a resource to this host.

        Args:
            resource: Name of the resource.
            max_adopted_at: Monotonic instant since which the views of a host
                must have assigned the resource to this host, in seconds.

        Yields:
            Name of the host and `requested_at` of its vote; infinity for this
            host.
        """
        if self._exclusive_since(resource, self.spans) <= max_adopted_at:
            yield self.host, math.inf
        for name, vote in self.votes.items():
            if self._exclusive_since(resource, vote.spans) <= max_adopted_at:
                yield name, vote.requested_at

    def _exclusive_since(
        self, resource: str, spans: tuple[ViewSpan, ...]
    ) -> float:
        """Returns the instant since which only this host could be the home.

        Args:
            resource: Name of the resource.
            spans: Recent views of a voter, newest first.

        Returns:
            Monotonic instant in seconds; infinity if the newest view doesn't
            assign the resource to this host.
        """
        since = math.inf
        removed: Mapping[tuple[str, int], float] = {}
        for span in spans:
            home = self.recent_views.home_of(span.digest, resource)
            if home != self.own_member:
                # The voter's support for a removed home ended when it last
                # heard from it, but its support for a home before that may
                # have ended only when this span began.
                if home is None or since == math.inf:
                    return since
                return min(since, max(removed.get(home, since), span.since))
            since, removed = span.since, span.removed
        return since

    def may_grant_all(self) -> bool:
        """Returns True if this host may act as home of all its resources."""
        now = self.clock.monotonic()
        min_requested_at = now - timing.LEASE_SECONDS
        if self._has_majorities(min_requested_at, now - timing.SETTLE_SECONDS):
            self.former_voters.clear()
            return True
        return self._unanimous(min_requested_at, now - timing.GRANT_SECONDS)

    def _has_majorities(
        self, min_requested_at: float, max_adopted_at: float
    ) -> bool:
        """Returns True if every group of voters has a majority for the view.

        Args:
            min_requested_at: Earliest `requested_at` of a vote that counts.
            max_adopted_at: Latest monotonic instant, in seconds, at which a
                host may have adopted the view to count.
        """
        if self.host not in self.voters or not self.digest:
            return False
        self._expire_former_voters(self.clock.monotonic())
        return all(
            2 * self._count_supporters(group, min_requested_at, max_adopted_at)
            > len(group)
            for group in [self.voters, *self.former_voters]
        )

    def _expire_former_voters(self, now: float) -> None:
        """Drops the former voters after `FORMER_VOTERS_SECONDS`.

        After that, the host list is the only evidence that hosts which are no
        longer in it have stopped running.
        """
        if self.former_voters and now > self.former_voters_until:
            self.former_voters.clear()

    def _unanimous(
        self, min_requested_at: float, max_adopted_at: float
    ) -> bool:
        """Returns True if all voters, and so all earlier homes, have the view.

        An earlier home stopped acting when it adopted this view, so only its
        grants must have expired, not its votes.
        """
        if self.former_voters or not self._has_majorities(
            min_requested_at, max_adopted_at
        ):
            return False
        count = self._count_supporters(
            self.voters, min_requested_at, max_adopted_at
        )
        return count == len(self.voters)

    def _count_supporters(
        self,
        group: Collection[str],
        min_requested_at: float,
        max_adopted_at: float,
    ) -> int:
        """Returns the number of hosts in a group that support the view."""
        return sum(
            self._supports(name, min_requested_at, max_adopted_at)
            for name in group
        )

    def _supports(
        self, name: str, min_requested_at: float, max_adopted_at: float
    ) -> bool:
        """Returns True if a host supports the view of this host.

        A peer supports it if its latest vote is for that view, was requested
        at `min_requested_at` or later, and states that the peer adopted the
        view at `max_adopted_at` or earlier. For this host only the time of the
        adoption counts.
        """
        if name == self.host:
            return self.spans[0].since <= max_adopted_at
        vote = self.votes.get(name)
        return (
            vote is not None
            and vote.digest == self.digest
            and vote.requested_at >= min_requested_at
            and vote.spans[0].since <= max_adopted_at
        )

    def count_suspecting(self, name: str, requested_after: float) -> int:
        """Returns the number of other voters that suspect a host.

        Args:
            name: Name of the suspected host.
            requested_after: Only votes requested after this monotonic instant
                count, in seconds.
        """
        return sum(
            vote.requested_at > requested_after and name in vote.suspected_hosts
            for voter, vote in self.votes.items()
            if voter in self.voters and voter != self.host
        )


def _trim_spans(
    spans: tuple[ViewSpan, ...], now: float
) -> tuple[ViewSpan, ...]:
    """Drops the spans that are too old to affect any vote."""
    horizon = now - timing.SETTLE_SECONDS - timing.HEARTBEAT_SECONDS
    kept = 1
    while kept < len(spans) and spans[kept - 1].since > horizon:
        kept += 1
    return spans[: min(kept, MAX_VIEW_SPANS)]


def _majority_until(
    group: Collection[str], requested_at: Mapping[str, float]
) -> float:
    """Returns the instant until which answers of a majority are valid.

    Args:
        group: Names of the voters.
        requested_at: Monotonic instant before each answer was requested, by
            host, in seconds.

    Returns:
        Monotonic instant in seconds; minus infinity if too few answered.
    """
    times = sorted(
        (requested_at[name] for name in group if name in requested_at),
        reverse=True,
    )
    needed = len(group) // 2
    if len(times) <= needed:
        return -math.inf
    return times[needed] + timing.LEASE_SECONDS
