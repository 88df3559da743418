"""Standing: whether a majority of the voters hold the same view as we do.

Why no two hosts hold one duty: a host exercises at time t only if each voter
of some majority held the host's view without a break from before
t - SETTLE_SECONDS until after t - STANDING_SECONDS. Two majorities share a
voter. Let the old holder give a grant at t0 that still lives at t, so
t0 > t - GRANT_SECONDS. The shared voter then held the old view at
t0 - STANDING_SECONDS, which lies after t - SETTLE_SECONDS and not after
t - STANDING_SECONDS, where it held the new one: a contradiction.
"""

from collections.abc import Collection
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir.process import timing


class Vote(NamedTuple):
    """What a peer's newest answer said of its view.

    Attributes:
        digest: Digest of the view.
        asked_at: When the answer was asked for; it held the view after that.
        held_since: When it had surely adopted the view already.
        suspects: Hosts that it has not heard for the silence time.
    """

    digest: int
    asked_at: float
    held_since: float
    suspects: frozenset[str]


class Standing:
    """The votes of the peers and the groups that must each give a majority.

    Attributes:
        host: Name of this host.
        clock: Source of time.
        digest: Digest of this host's view.
        held_since: When this host adopted it.
        voters: The hosts that vote, by the newest list.
        former: Earlier sets of voters that may still act by their own list.
        former_until: When the platform's word that they are gone is enough.
        votes: Newest vote of each peer.
    """

    def __init__(self, host: str, clock: clocks.Clock) -> None:
        self.host = host
        self.clock = clock
        self.digest = 0
        self.held_since = clock.monotonic()
        self.voters: frozenset[str] = frozenset()
        self.former: list[frozenset[str]] = []
        self.former_until = 0.0
        self.votes: dict[str, Vote] = {}

    def adopt(self, digest: int, voters: frozenset[str]) -> bool:
        """Takes a view and its voters; returns whether they are new."""
        if voters != self.voters:
            self._replace_voters(voters)
        if digest == self.digest:
            return False
        self.digest = digest
        self.held_since = self.clock.monotonic()
        return True

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

    def stands(self) -> bool:
        """Returns whether a majority answered with this view lately."""
        now = self.clock.monotonic()
        return self._majorities(now - timing.STANDING_SECONDS, now)

    def hears_majority(self) -> bool:
        """Returns whether a majority answered lately, with any view."""
        earliest = self.clock.monotonic() - timing.STANDING_SECONDS
        count = sum(
            name == self.host
            or (name in self.votes and self.votes[name].asked_at >= earliest)
            for name in self.voters
        )
        return 2 * count > len(self.voters)

    def may_exercise(self) -> bool:
        """Returns whether this host may act as the holder of its duties."""
        now = self.clock.monotonic()
        asked_after = now - timing.STANDING_SECONDS
        if self._majorities(asked_after, now - timing.SETTLE_SECONDS):
            self.former.clear()
            return True
        return self._unanimous(asked_after, now - timing.GRANT_SECONDS)

    def _majorities(self, asked_after: float, held_before: float) -> bool:
        """Returns whether every group gives a majority for the view."""
        if self.host not in self.voters or not self.digest:
            return False
        if self.former and self.clock.monotonic() > self.former_until:
            self.former.clear()
        return all(
            2 * self._count(group, asked_after, held_before) > len(group)
            for group in [self.voters, *self.former]
        )

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
            return self.held_since <= held_before
        vote = self.votes.get(name)
        return (
            vote is not None
            and vote.digest == self.digest
            and vote.asked_at >= asked_after
            and vote.held_since <= held_before
        )

    def suspected_by(self, name: str, asked_after: float) -> int:
        """Counts the voters whose answers, asked for since, suspect a host."""
        return sum(
            vote.asked_at > asked_after and name in vote.suspects
            for voter, vote in self.votes.items()
            if voter in self.voters and voter != self.host
        )
