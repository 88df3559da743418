"""Freshness: whether this host may do keyed work at this moment.

All instants are readings of this host's monotonic clock, and an answer
counts from before its question was sent, so whatever is delayed ages.
"""

from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir.connection import messages
from gooseberryweir.process.shares import timing

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
        platform_confirmed_at: Time of its evidence, of any state.
        state_at: When it was last asked and held nothing that we lacked.
        facts_at: The same for facts.
        quorum_at: Time of its evidence of an outage.
        recovered: Whether it had recovered what it lost at its start.
    """

    def __init__(self) -> None:
        self.pinged_at = NEVER
        self.platform_confirmed_at = NEVER
        self.state_matched_at = NEVER
        self.facts_matched_at = NEVER
        self.outage_quorum_at = NEVER
        self.recovered = False

    def matched_at(self) -> float:
        """Returns when it last agreed in both state and facts."""
        return min(self.state_matched_at, self.facts_matched_at)


class OutageProof(NamedTuple):
    """What all answers together say of an outage of the platform.

    Attributes:
        platform_confirmed_at: Newest platform evidence that any peer gave.
        quorum_at: Since when a majority has agreed.
    """

    platform_confirmed_at: float
    quorum_at: float


class Evidence:
    """All evidence of this host's freshness.

    Attributes:
        host: Name of this host.
        clock: Source of time.
        voters: The hosts whose majority proves an outage.
        platform_confirmed_at: When the platform last had nothing newer.
        relayed_confirmed_at: The same, as told by a peer with the same state.
        peers: Evidence from each peer.
        proof: Proof of an outage by the newest answers, or None if they
            were not summed up yet.
        recovered: Whether this process holds again what the one before it
            may have held: it has been fresh once.
        joined: Whether nothing can be missing from before the last time
            that this host was not fresh.
        platform_since: Start of the platform evidence without a break, used
            while not joined.
    """

    def __init__(self, host: str, clock: clocks.Clock) -> None:
        self.host = host
        self.clock = clock
        self.voters: frozenset[str] = frozenset()
        self.platform_confirmed_at = NEVER
        self.relayed_confirmed_at = NEVER
        self.peers: dict[str, PeerEvidence] = {}
        self.outage_proof: OutageProof | None = None
        self.recovered = False
        self.joined = False
        self.platform_confirmed_since: float | None = None

    def peer(self, name: str) -> PeerEvidence:
        """Returns the record of a peer, made if needed."""
        return self.peers.setdefault(name, PeerEvidence())

    def record_pong(self, sent_at: float, pong: messages.Pong) -> None:
        """Takes the ages that an answer to a ping gives.

        Args:
            sent_at: Monotonic instant before the ping was sent.
            pong: The newest answer of its host.
        """
        peer = self.peer(pong.host)
        peer.pinged_at = sent_at
        peer.platform_confirmed_at = sent_at - pong.platform_age
        peer.outage_quorum_at = sent_at - pong.quorum_age
        peer.recovered = pong.recovered
        self.invalidate_outage_proof()

    def record_match(
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
            peer.state_matched_at = max(peer.state_matched_at, asked_at)
            self.relayed_confirmed_at = max(
                self.relayed_confirmed_at, peer.platform_confirmed_at
            )
        if facts:
            peer.facts_matched_at = max(peer.facts_matched_at, asked_at)
        self.invalidate_outage_proof()

    def replace_voters(self, voters: frozenset[str]) -> None:
        """Takes the voters of a new list."""
        self.voters = voters
        self.invalidate_outage_proof()

    def invalidate_outage_proof(self) -> None:
        """Has the proof of an outage summed up again when it is next used."""
        self.outage_proof = None

    def platform_age(self) -> float:
        """Returns the age in seconds of the newest platform evidence."""
        newest = max(self.platform_confirmed_at, self.relayed_confirmed_at)
        return min(timing.NO_EVIDENCE_SECONDS, self.clock.monotonic() - newest)

    def outage_age(self) -> float:
        """Returns the age in seconds of the proof of an outage.

        A voter needs the agreement of a majority of the voters; another host
        takes the age that a relay or a parent gives. Either proof is void
        while any answer held platform evidence that is still fresh.
        """
        if self.outage_proof is None:
            self.outage_proof = self._build_outage_proof()
        now = self.clock.monotonic()
        if (
            self.outage_proof.platform_confirmed_at
            >= now - timing.FRESH_SECONDS
        ):
            return timing.NO_EVIDENCE_SECONDS
        quorum_at = self.outage_proof.quorum_at
        if len(self.voters) < 2 and self.host in self.voters:
            quorum_at = now
        return min(timing.NO_EVIDENCE_SECONDS, now - quorum_at)

    def _build_outage_proof(self) -> OutageProof:
        """Builds the proof from the newest answers."""
        votes = self.host in self.voters
        return OutageProof(
            max(
                (peer.platform_confirmed_at for peer in self.peers.values()),
                default=NEVER,
            ),
            self._majority_matched_at() if votes else self._relayed_quorum_at(),
        )

    def _majority_matched_at(self) -> float:
        """Returns since when a majority of the voters has agreed.

        A peer that has not recovered counts for nothing: it may have lost
        what the majority before it held.
        """
        needed = self._needed_peers()
        times = sorted(
            peer.matched_at() for peer in self._peer_voters() if peer.recovered
        )
        return times[-needed] if 0 < needed <= len(times) else NEVER

    def _needed_peers(self) -> int:
        """Returns how many peers meet every majority.

        A process that has not recovered may itself have been one of a
        majority before it was started again, so it needs one more if the
        number of voters is odd.
        """
        count = len(self.voters)
        return count // 2 if self.recovered else (count + 1) // 2

    def _peer_voters(self) -> list[PeerEvidence]:
        """Returns the records of the peers that are voters."""
        return [
            self.peers[name]
            for name in self.voters
            if name != self.host and name in self.peers
        ]

    def _relayed_quorum_at(self) -> float:
        """Returns the newest outage evidence of a peer that agrees."""
        return max(
            (
                min(peer.outage_quorum_at, peer.matched_at())
                for peer in self.peers.values()
            ),
            default=NEVER,
        )

    def check(self) -> Freshness:
        """Returns the freshness at this moment.

        After it was lost, and at the start, the platform alone does not give
        it back: what peers took in meanwhile may not be in the platform yet.
        """
        current = self._evaluate()
        if not current.fresh:
            self.joined = False
            self.platform_confirmed_since = None
            return current
        if not self.joined and not self._try_join(current):
            return current._replace(fresh=False, source="none")
        return current

    def _evaluate(self) -> Freshness:
        """Returns what the newest evidence gives."""
        age = self.platform_age()
        if age <= timing.FRESH_SECONDS:
            own = self.platform_confirmed_at >= self.relayed_confirmed_at
            return Freshness(True, "platform" if own else "relayed", age)
        age = self.outage_age()
        if age <= timing.FRESH_SECONDS:
            return Freshness(True, "outage", age)
        return Freshness(False, "none", age)

    def _try_join(self, current: Freshness) -> bool:
        """Becomes fresh again if enough peers had nothing that is missing.

        The proof of an outage shows that in itself. If too few peers answer,
        platform evidence without a break for `JOIN_SECONDS` does: by then
        they have written to the platform what they took in.
        """
        now = self.clock.monotonic()
        if current.source == "outage":
            self.joined = True
        else:
            if self.platform_confirmed_since is None:
                self.platform_confirmed_since = now
            waited = now - self.platform_confirmed_since >= timing.JOIN_SECONDS
            self.joined = waited or self._enough_peers_match(now)
        if self.joined and not self.recovered:
            self.recovered = True
            self.invalidate_outage_proof()
        return self.joined

    def _enough_peers_match(self, now: float) -> bool:
        """Returns whether enough peers agreed within `FRESH_SECONDS`."""
        if self.voters == {self.host}:
            return True
        if not self.voters:
            return False
        peers = list(self.peers.values())
        needed = 1
        if self.host in self.voters:
            peers, needed = self._peer_voters(), self._needed_peers()
        earliest = now - timing.FRESH_SECONDS
        matching = [peer for peer in peers if peer.matched_at() >= earliest]
        return len(matching) >= needed
