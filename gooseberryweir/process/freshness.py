"""Freshness: whether this host may do keyed work at this moment.

All instants are readings of this host's monotonic clock, and an answer
counts from before its question was sent, so whatever is delayed ages.
"""

from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir.connection import messages
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


class OutageProof(NamedTuple):
    """What all answers together say of an outage of the platform.

    Attributes:
        platform_at: Newest platform evidence that any peer gave.
        agreed_at: Since when a majority has agreed.
    """

    platform_at: float
    agreed_at: float


class Evidence:
    """All evidence of this host's freshness.

    Attributes:
        host: Name of this host.
        clock: Source of time.
        voters: The hosts whose majority proves an outage.
        platform_at: When the platform was last asked and had nothing newer.
        relayed_at: The same, as told by a peer with the same state.
        peers: Evidence from each peer.
        proof: Proof of an outage by the newest answers, or None if they
            were not summed up yet.
    """

    def __init__(self, host: str, clock: clocks.Clock) -> None:
        self.host = host
        self.clock = clock
        self.voters: frozenset[str] = frozenset()
        self.platform_at = NEVER
        self.relayed_at = NEVER
        self.peers: dict[str, PeerEvidence] = {}
        self.proof: OutageProof | None = None

    def peer(self, name: str) -> PeerEvidence:
        """Returns the record of a peer, made if needed."""
        return self.peers.setdefault(name, PeerEvidence())

    def take(self, sent_at: float, pong: messages.Pong) -> None:
        """Takes the ages that an answer to a ping gives.

        Args:
            sent_at: Monotonic instant before the ping was sent.
            pong: The newest answer of its host.
        """
        peer = self.peer(pong.host)
        peer.answered_at = sent_at
        peer.platform_at = sent_at - pong.platform_age
        peer.quorum_at = sent_at - pong.quorum_age
        self.forget_proof()

    def agree(
        self,
        host: str,
        asked_at: float,
        *,
        state: bool = False,
        facts: bool = False,
    ) -> None:
        """Notes that a peer held nothing that is not held here too.

        With its state, its newest platform evidence counts here too.

        Args:
            host: Name of the peer.
            asked_at: Monotonic instant before the peer was asked.
            state: Whether its state is held here.
            facts: Whether its facts are held here.
        """
        peer = self.peer(host)
        if state:
            peer.state_at = max(peer.state_at, asked_at)
            self.relayed_at = max(self.relayed_at, peer.platform_at)
        if facts:
            peer.facts_at = max(peer.facts_at, asked_at)
        self.forget_proof()

    def replace_voters(self, voters: frozenset[str]) -> None:
        """Takes the voters of a new list."""
        self.voters = voters
        self.forget_proof()

    def forget_proof(self) -> None:
        """Has the proof of an outage summed up again when it is next used."""
        self.proof = None

    def platform_age(self) -> float:
        """Returns the age in seconds of the newest platform evidence."""
        newest = max(self.platform_at, self.relayed_at)
        return min(timing.NO_EVIDENCE_SECONDS, self.clock.monotonic() - newest)

    def outage_age(self) -> float:
        """Returns the age in seconds of the proof of an outage.

        A voter needs the agreement of a majority of the voters; another host
        takes the age that a relay or a parent gives. Either proof is void
        while any answer held platform evidence that is still fresh.
        """
        if self.proof is None:
            self.proof = self._sum_up()
        now = self.clock.monotonic()
        if self.proof.platform_at >= now - timing.FRESH_SECONDS:
            return timing.NO_EVIDENCE_SECONDS
        agreed_at = self.proof.agreed_at
        if len(self.voters) < 2 and self.host in self.voters:
            agreed_at = now
        return min(timing.NO_EVIDENCE_SECONDS, now - agreed_at)

    def _sum_up(self) -> OutageProof:
        """Builds the proof from the newest answers."""
        votes = self.host in self.voters
        return OutageProof(
            max(
                (peer.platform_at for peer in self.peers.values()),
                default=NEVER,
            ),
            self._majority_at() if votes else self._passed_on_at(),
        )

    def _majority_at(self) -> float:
        """Returns since when a majority of the voters has agreed."""
        needed = len(self.voters) // 2
        times = sorted(
            self.peers[name].agreed_at()
            for name in self.voters
            if name != self.host and name in self.peers
        )
        return times[-needed] if 0 < needed <= len(times) else NEVER

    def _passed_on_at(self) -> float:
        """Returns the newest outage evidence of a peer that agrees."""
        return max(
            (
                min(peer.quorum_at, peer.agreed_at())
                for peer in self.peers.values()
            ),
            default=NEVER,
        )

    def check(self) -> Freshness:
        """Returns the freshness at this moment."""
        age = self.platform_age()
        if age <= timing.FRESH_SECONDS:
            own = self.platform_at >= self.relayed_at
            return Freshness(True, "platform" if own else "relayed", age)
        age = self.outage_age()
        if age <= timing.FRESH_SECONDS:
            return Freshness(True, "outage", age)
        return Freshness(False, "none", age)
