"""Freshness: whether this host may do keyed work at this moment.

All instants are readings of this host's monotonic clock, and an answer
counts from before its question was sent, so whatever is delayed ages.
"""

from collections.abc import Collection
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir.process import timing

NEVER = float("-inf")


class Freshness(NamedTuple):
    """Whether and why a host is fresh.

    Attributes:
        fresh: Whether keyed work is allowed now.
        source: `platform`, `relayed`, `outage` or `none`.
        age: Seconds since the evidence; a large number if none.
    """

    fresh: bool
    source: str
    age: float


class PeerEvidence:
    """What one peer's answers proved.

    Attributes:
        answered_at: When its newest answer was asked for.
        platform_at: Time of its platform evidence, of whichever state.
        state_at: When it was last asked and held nothing that we lacked.
        facts_at: The same for facts.
        quorum_at: Time of its evidence of an outage.
    """

    def __init__(self) -> None:
        self.answered_at = NEVER
        self.platform_at = NEVER
        self.state_at = NEVER
        self.facts_at = NEVER
        self.quorum_at = NEVER

    def agreed_at(self) -> float:
        """Returns when it last agreed in both state and facts."""
        return min(self.state_at, self.facts_at)


class Evidence:
    """All evidence of this host's freshness.

    Attributes:
        clock: Source of time.
        platform_at: When the platform was last asked and had nothing newer.
        relayed_at: The same, as told by a peer with the same state.
        peers: Evidence from each peer.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.platform_at = NEVER
        self.relayed_at = NEVER
        self.peers: dict[str, PeerEvidence] = {}

    def peer(self, name: str) -> PeerEvidence:
        """Returns the record of a peer, made if needed."""
        return self.peers.setdefault(name, PeerEvidence())

    def platform_age(self) -> float:
        """Returns the age in seconds of the newest platform evidence."""
        newest = max(self.platform_at, self.relayed_at)
        return min(timing.NO_EVIDENCE_SECONDS, self.clock.monotonic() - newest)

    def outage_age(self, host: str, voters: Collection[str]) -> float:
        """Returns the age in seconds of the proof of an outage.

        A voter needs the agreement of a majority of the voters; another host
        takes the age that a relay or a parent gives. Either proof is void
        while any answer held platform evidence that is still fresh.
        """
        now = self.clock.monotonic()
        earliest = now - timing.FRESH_SECONDS
        if any(
            peer.answered_at >= earliest and peer.platform_at >= earliest
            for peer in self.peers.values()
        ):
            return timing.NO_EVIDENCE_SECONDS
        if host in voters:
            proof_at = self._majority_at(host, voters)
        else:
            proof_at = self._passed_on_at()
        return min(timing.NO_EVIDENCE_SECONDS, now - proof_at)

    def _majority_at(self, host: str, voters: Collection[str]) -> float:
        """Returns the time since which a majority of the voters agreed."""
        needed = len(voters) // 2
        if not needed:
            return self.clock.monotonic()
        times = sorted(
            (
                self.peers[name].agreed_at()
                for name in voters
                if name != host and name in self.peers
            ),
            reverse=True,
        )
        return times[needed - 1] if len(times) >= needed else NEVER

    def _passed_on_at(self) -> float:
        """Returns the newest outage evidence of a peer that agrees."""
        return max(
            (
                min(peer.quorum_at, peer.agreed_at())
                for peer in self.peers.values()
            ),
            default=NEVER,
        )

    def check(self, host: str, voters: Collection[str]) -> Freshness:
        """Returns the freshness at this moment."""
        age = self.platform_age()
        if age <= timing.FRESH_SECONDS:
            own = self.platform_at >= self.relayed_at
            return Freshness(True, "platform" if own else "relayed", age)
        age = self.outage_age(host, voters)
        if age <= timing.FRESH_SECONDS:
            return Freshness(True, "outage", age)
        return Freshness(False, "none", age)
