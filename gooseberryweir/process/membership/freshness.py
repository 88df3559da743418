"""Freshness: decides if this host may serve requests now.

A host is fresh while it has a recent platform confirmation, an observation that
its objects were the platform's current ones, or a recent outage confirmation:
the platform is unavailable and a majority of the voters have the same objects
and facts. The voters are the hosts that `neighbours.voters` selects from the
host list. The platform objects of a host are called its state. A host that is
not fresh refuses all requests of callers, since admission checks the freshness
before the route.

All instants are readings of this host's monotonic clock in seconds. The age of
an answer is counted from before its request was sent, so it includes the delay.
"""

from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir.connection import messages
from gooseberryweir.process.shares import timing

# Instant of a confirmation that was never received.
NEVER = float("-inf")


class Freshness(NamedTuple):
    """Freshness of a host and the confirmation that it depends on.

    Attributes:
        fresh: True while the host may serve requests.
        source: Source of the confirmation: `platform`, `relayed`, `outage` or
            `none`.
        age: Age of the confirmation in seconds; a large number if there is
            none.
    """

    fresh: bool
    source: str
    age: float


class PeerConfirmations:
    """Confirmations from the answers of one peer.

    The state or the facts of a peer match if they have nothing that this host
    lacks.

    Attributes:
        pinged_at: Instant before the ping was sent that the peer answered last.
        platform_confirmed_at: Instant of its latest platform confirmation,
            which need not be for the state that this host has.
        state_matched_at: Latest instant at which its state matched.
        facts_matched_at: Latest instant at which its facts matched.
        outage_quorum_at: Instant of its outage confirmation.
        recovered: True if the peer was fresh once since its process started,
            so that it has again the objects and facts that it lost by the
            restart.
    """

    def __init__(self) -> None:
        self.pinged_at = NEVER
        self.platform_confirmed_at = NEVER
        self.state_matched_at = NEVER
        self.facts_matched_at = NEVER
        self.outage_quorum_at = NEVER
        self.recovered = False

    def matched_at(self) -> float:
        """Returns the instant at which both its state and facts matched."""
        return min(self.state_matched_at, self.facts_matched_at)


class OutageConfirmation(NamedTuple):
    """Confirmation of a platform outage from the answers of all peers.

    Attributes:
        platform_confirmed_at: Instant of the newest platform confirmation of
            any peer.
        quorum_at: Latest instant at which the state and facts of a majority of
            the voters matched, as seen by this host or relayed by a peer.
    """

    platform_confirmed_at: float
    quorum_at: float


class FreshnessTracker:
    """Tracks the confirmations that decide if this host is fresh.

    Attributes:
        host: Name of this host.
        clock: Source of time.
        voters: The hosts whose majority confirms an outage.
        platform_confirmed_at: Latest instant at which the platform had nothing
            newer than this host.
        relayed_confirmed_at: Latest instant of a platform confirmation that a
            peer with the same state relayed.
        peers: Confirmations from each peer, by name.
        outage_confirmation: Outage confirmation from the latest answers, or
            None if it must be built again.
        recovered: True if this process was fresh once, so that it has the
            objects and facts that an earlier process of this host may have had.
        joined: True if this host has the objects and facts that its peers had
            received when it was last not fresh.
        platform_confirmed_since: Instant since which platform confirmations
            have been recent without interruption; used while `joined` is False.
    """

    def __init__(self, host: str, clock: clocks.Clock) -> None:
        self.host = host
        self.clock = clock
        self.voters: frozenset[str] = frozenset()
        self.platform_confirmed_at = NEVER
        self.relayed_confirmed_at = NEVER
        self.peers: dict[str, PeerConfirmations] = {}
        self.outage_confirmation: OutageConfirmation | None = None
        self.recovered = False
        self.joined = False
        self.platform_confirmed_since: float | None = None

    def peer(self, name: str) -> PeerConfirmations:
        """Returns the confirmations from a peer; adds the peer if it is new."""
        return self.peers.setdefault(name, PeerConfirmations())

    def record_pong(self, sent_at: float, pong: messages.Pong) -> None:
        """Records the ages in the answer to a ping.

        Args:
            sent_at: Monotonic instant before the ping was sent.
            pong: The latest answer of its host.
        """
        peer = self.peer(pong.host)
        peer.pinged_at = sent_at
        peer.platform_confirmed_at = sent_at - pong.platform_age
        peer.outage_quorum_at = sent_at - pong.quorum_age
        peer.recovered = pong.recovered
        self.invalidate_outage_confirmation()

    def record_match(
        self,
        host: str,
        requested_at: float,
        *,
        state: bool = False,
        facts: bool = False,
    ) -> None:
        """Records that a peer had nothing that this host lacks.

        If its state matched, its latest platform confirmation applies to this
        host too.

        Args:
            host: Name of the peer.
            requested_at: Monotonic instant before the request was sent.
            state: True if the peer's state had nothing that this host lacks.
            facts: True if the peer's facts had nothing that this host lacks.
        """
        peer = self.peer(host)
        if state:
            peer.state_matched_at = max(peer.state_matched_at, requested_at)
            self.relayed_confirmed_at = max(
                self.relayed_confirmed_at, peer.platform_confirmed_at
            )
        if facts:
            peer.facts_matched_at = max(peer.facts_matched_at, requested_at)
        self.invalidate_outage_confirmation()

    def replace_voters(self, voters: frozenset[str]) -> None:
        """Sets the voters of a new host list."""
        self.voters = voters
        self.invalidate_outage_confirmation()

    def invalidate_outage_confirmation(self) -> None:
        """Discards the outage confirmation; the next use builds it again."""
        self.outage_confirmation = None

    def platform_age(self) -> float:
        """Returns the age of the newest platform confirmation in seconds.

        The confirmation is this host's own or relayed by a peer.
        """
        newest = max(self.platform_confirmed_at, self.relayed_confirmed_at)
        return min(
            timing.NO_CONFIRMATION_AGE_SECONDS, self.clock.monotonic() - newest
        )

    def outage_age(self) -> float:
        """Returns the age of the outage confirmation in seconds.

        A voter needs a majority of the voters with the same state and facts;
        any other host uses the age that a relay or a parent reports. Neither
        is valid while any peer reports a recent platform confirmation.
        """
        if self.outage_confirmation is None:
            self.outage_confirmation = self._build_outage_confirmation()
        now = self.clock.monotonic()
        if (
            self.outage_confirmation.platform_confirmed_at
            >= now - timing.FRESH_SECONDS
        ):
            return timing.NO_CONFIRMATION_AGE_SECONDS
        quorum_at = self.outage_confirmation.quorum_at
        if len(self.voters) < 2 and self.host in self.voters:
            quorum_at = now
        return min(timing.NO_CONFIRMATION_AGE_SECONDS, now - quorum_at)

    def _build_outage_confirmation(self) -> OutageConfirmation:
        """Builds the outage confirmation from the latest answers."""
        is_voter = self.host in self.voters
        return OutageConfirmation(
            max(
                (peer.platform_confirmed_at for peer in self.peers.values()),
                default=NEVER,
            ),
            self._majority_matched_at()
            if is_voter
            else self._relayed_quorum_at(),
        )

    def _majority_matched_at(self) -> float:
        """Returns the latest instant at which a majority of the voters matched.

        A peer that has not recovered does not count: it may have lost what an
        earlier majority had.
        """
        needed = self._needed_peers()
        times = sorted(
            peer.matched_at() for peer in self._peer_voters() if peer.recovered
        )
        return times[-needed] if 0 < needed <= len(times) else NEVER

    def _needed_peers(self) -> int:
        """Returns how many voters among the peers must match.

        They, and this process if it has recovered, must include a voter of any
        earlier majority. A process that has not recovered may have been part of
        a majority before it restarted, so it needs one more peer if the number
        of voters is odd.
        """
        count = len(self.voters)
        return count // 2 if self.recovered else (count + 1) // 2

    def _peer_voters(self) -> list[PeerConfirmations]:
        """Returns the confirmations from the peers that are voters."""
        return [
            self.peers[name]
            for name in self.voters
            if name != self.host and name in self.peers
        ]

    def _relayed_quorum_at(self) -> float:
        """Returns the instant of the latest outage confirmation of a peer.

        Only peers whose state and facts matched count.
        """
        return max(
            (
                min(peer.outage_quorum_at, peer.matched_at())
                for peer in self.peers.values()
            ),
            default=NEVER,
        )

    def check(self) -> Freshness:
        """Returns the freshness now and updates `joined`.

        At the start and after freshness was lost, a platform confirmation alone
        is not enough: facts that peers received meanwhile may not be in the
        platform yet.
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
        """Returns the freshness that follows from the confirmations' ages.

        Ignores `joined`, so this host may still lack objects or facts that its
        peers have.
        """
        age = self.platform_age()
        if age <= timing.FRESH_SECONDS:
            direct = self.platform_confirmed_at >= self.relayed_confirmed_at
            return Freshness(True, "platform" if direct else "relayed", age)
        age = self.outage_age()
        if age <= timing.FRESH_SECONDS:
            return Freshness(True, "outage", age)
        return Freshness(False, "none", age)

    def _try_join(self, current: Freshness) -> bool:
        """Sets `joined` if enough peers had nothing that this host lacks.

        An outage confirmation implies that. If too few peers answer, recent
        platform confirmations for `JOIN_SECONDS` without interruption are
        enough: by then the peers have written to the platform the key
        withdrawals that they received.

        Args:
            current: Freshness by the newest confirmation.

        Returns:
            The value of `joined`.
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
            self.invalidate_outage_confirmation()
        return self.joined

    def _enough_peers_match(self, now: float) -> bool:
        """Returns True if enough peers matched within `FRESH_SECONDS`."""
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
