"""What a host knows of the other hosts.

A host hears some hosts itself, by their heartbeats. Of the others it knows what
a relay of its region sums up in digests: which hosts of the region are live,
and how many requests of each client account all other hosts have.
"""

from collections.abc import Callable
from collections.abc import Iterable

from gooseberryweir import clock as clocks
from gooseberryweir import rendezvous
from gooseberryweir.process.fleet import heartbeat as heartbeat_module
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import local_state
from gooseberryweir.process.fleet import relays
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.version import traffic

# Time without a heartbeat after which a peer counts as down.
PEER_TIMEOUT_SECONDS = 2.0
# Time without a heartbeat of a relay after which the next one is asked for
# digests too: over two heartbeat intervals.
RELAY_TIMEOUT_SECONDS = 1.25
# Time for which a host that did not answer is not preferred as a relay.
SILENT_SECONDS = 4.0
# Time without a heartbeat after which a peer can no longer serve authenticated
# requests, so that the other hosts may use its share of a client account's
# rate: the longest time for which a host relies on a confirmation that its
# configuration is the newest one, plus one heartbeat interval.
SHARE_EXPIRY_SECONDS = 5.0
# Time for which the crashes that a host reported count after it went down.
CRASH_REPORT_SECONDS = 600.0


class Peer:
    """State of another host.

    Attributes:
        entry: Name, addresses and location of the peer.
        last_heartbeat: Latest heartbeat received from the peer, or None.
        received_at: Monotonic time, in seconds, at which that heartbeat
            arrived.
        digest: Latest digest received from the peer, or None.
        digest_at: Monotonic time, in seconds, at which the digest arrived.
        contacted_since: Monotonic time, in seconds, since which this host
            expects answers of the peer, or None.
        silent_until: Monotonic time, in seconds, until which the peer is not
            preferred as a relay, since it did not answer.
        missing_since: Order of each snapshot that the peer lacks, and the
            monotonic time in seconds since which it lacks that one, by kind.
        sent_ranks: Order of the snapshots sent over the current connection to
            the peer, by kind.
    """

    def __init__(self, entry: traffic.HostEntry) -> None:
        self.entry = entry
        self.last_heartbeat: heartbeat_module.Heartbeat | None = None
        self.received_at = float("-inf")
        self.digest: heartbeat_module.Digest | None = None
        self.digest_at = float("-inf")
        self.contacted_since: float | None = None
        self.silent_until = float("-inf")
        self.missing_since: dict[
            str, tuple[store_cache_module.Rank, float]
        ] = {}
        self.sent_ranks: dict[str, store_cache_module.Rank] = {}

    @property
    def wants_digest(self) -> bool:
        """True if the peer asked this host for digests."""
        return (
            self.last_heartbeat is not None
            and self.last_heartbeat.relaying is not None
            and self.last_heartbeat.relaying.wants_digest
        )

    @property
    def wants_answer(self) -> bool:
        """True if the peer needs heartbeats of this host."""
        if self.last_heartbeat is None:
            return False
        relaying = self.last_heartbeat.relaying
        return relaying is None or relaying.wants_answer

    @property
    def supports_digests(self) -> bool:
        """True if the peer understands digests; False until it is known."""
        return (
            self.last_heartbeat is not None
            and self.last_heartbeat.supports_digests
        )

    @property
    def supports_calls(self) -> bool:
        """True if the peer handles calls; False until it is known."""
        return (
            self.last_heartbeat is not None
            and self.last_heartbeat.supports_calls
        )


class FleetView:
    """Knowledge of the other hosts, from heartbeats and digests.

    Attributes:
        settings: Settings of this host.
        entry: Name, addresses and location of this host.
        store_cache: Cached content of the store, with the registered hosts.
        state: What this host reports of itself.
        clock: Source of time.
        started_at: Monotonic time, in seconds, at which this host started.
        peers: State of each other host, by name.
        restart_listeners: Functions called with the last heartbeat of a host
            before its restart.
    """

    def __init__(
        self,
        settings: host_settings.HostSettings,
        store_cache: store_cache_module.StoreCache,
        state: local_state.LocalState,
        clock: clocks.Clock,
    ) -> None:
        self.settings = settings
        self.store_cache = store_cache
        self.state = state
        self.clock = clock
        self.started_at = clock.monotonic()
        self.entry = traffic.HostEntry(
            name=settings.host,
            incarnation=settings.incarnation,
            front=settings.front_address,
            peer=settings.peer_address,
            zone=settings.zone,
            region=settings.region,
        )
        self.peers: dict[str, Peer] = {}
        self.restart_listeners: list[
            Callable[[heartbeat_module.Heartbeat], None]
        ] = []

    # Updates.

    def add_peer(self, entry: traffic.HostEntry) -> Peer | None:
        """Returns the state of a host, created on first use.

        Returns:
            The new or existing peer; None for this host.
        """
        if entry.name == self.settings.host:
            return None
        peer = self.peers.get(entry.name)
        if peer is None:
            peer = self.peers[entry.name] = Peer(entry)
        return peer

    def record(self, peer: Peer, heartbeat: heartbeat_module.Heartbeat) -> None:
        """Records a heartbeat of a peer."""
        now = self.clock.monotonic()
        previous = peer.last_heartbeat
        if (
            previous is not None
            and previous.entry.incarnation != heartbeat.entry.incarnation
            and now - peer.received_at <= CRASH_REPORT_SECONDS
        ):
            for listener in self.restart_listeners:
                listener(previous)
        peer.entry = heartbeat.entry
        peer.last_heartbeat = heartbeat
        peer.received_at = now
        peer.silent_until = float("-inf")
        relaying = heartbeat.relaying
        if relaying is not None and relaying.digest is not None:
            peer.digest = relaying.digest
            peer.digest_at = now

    def record_contacts(self, names: Iterable[str]) -> None:
        """Records from which peers this host expects answers from now on."""
        now = self.clock.monotonic()
        contacted = set(names)
        for name, peer in self.peers.items():
            if name not in contacted:
                peer.contacted_since = None
            elif peer.contacted_since is None:
                peer.contacted_since = now
            elif (
                now - max(peer.contacted_since, peer.received_at)
                > RELAY_TIMEOUT_SECONDS
            ):
                peer.silent_until = now + SILENT_SECONDS

    def is_silent(self, peer: Peer) -> bool:
        """Returns True if a peer did not answer this host recently."""
        return self.clock.monotonic() < peer.silent_until

    def seconds_until_silence(self) -> float:
        """Returns the seconds until the next contact counts as silent.

        Infinity if all contacts are silent already, or there is none.
        """
        now = self.clock.monotonic()
        return min(
            (
                max(peer.contacted_since, peer.received_at)
                + RELAY_TIMEOUT_SECONDS
                - now
                for peer in self.peers.values()
                if peer.contacted_since is not None and not self.is_silent(peer)
            ),
            default=float("inf"),
        )

    # Hosts.

    def live_peers(self) -> list[Peer]:
        """Returns the peers that sent a heartbeat recently, sorted by name."""
        earliest = self.clock.monotonic() - PEER_TIMEOUT_SECONDS
        return [
            peer
            for _, peer in sorted(self.peers.items())
            if peer.received_at >= earliest
        ]

    def recent_heartbeats(
        self, seconds: float
    ) -> list[heartbeat_module.Heartbeat]:
        """Returns the latest heartbeat of each peer that sent one recently.

        Args:
            seconds: Greatest age of the heartbeats.
        """
        earliest = self.clock.monotonic() - seconds
        return [
            peer.last_heartbeat
            for peer in self.peers.values()
            if peer.last_heartbeat is not None and peer.received_at >= earliest
        ]

    def digests(self, seconds: float) -> list[heartbeat_module.Digest]:
        """Returns the latest digest of each peer that sent one recently.

        Args:
            seconds: Greatest age of the digests.
        """
        earliest = self.clock.monotonic() - seconds
        return [
            peer.digest
            for peer in self.peers.values()
            if peer.digest is not None and peer.digest_at >= earliest
        ]

    def live_hosts(self) -> dict[str, heartbeat_module.HostStatus]:
        """Returns the status of the other hosts that are live, by name.

        These are the hosts that this host hears, and those of digests. Of other
        regions it knows few hosts, unless it is a relay.
        """
        hosts = {
            status.name: status
            for digest in self.digests(PEER_TIMEOUT_SECONDS)
            for status in digest.hosts
            if status.name != self.settings.host
        }
        for peer in self.live_peers():
            if peer.last_heartbeat is not None:
                hosts[peer.entry.name] = status_of(peer.last_heartbeat)
        return hosts

    def ready_hosts(self) -> list[traffic.HostEntry]:
        """Returns other hosts that are ready to serve callers, sorted by name.

        All of this host's region, and some of each other region.
        """
        live = self.live_hosts()
        names = {name for name, status in live.items() if status.ready}
        names.update(
            name
            for digest in self.digests(PEER_TIMEOUT_SECONDS)
            for name in digest.elsewhere
            if name not in live and name != self.settings.host
        )
        entries = (self._entry(name) for name in sorted(names))
        return [each for each in entries if each is not None]

    def _entry(self, name: str) -> traffic.HostEntry | None:
        """Returns the addresses of a host, or None if they are not known."""
        peer = self.peers.get(name)
        if peer is not None and peer.last_heartbeat is not None:
            return peer.entry
        return self.store_cache.hosts.get(name) or (
            peer.entry if peer else None
        )

    def registered_hosts(self) -> set[str]:
        """Returns the names of all hosts that may be serving."""
        return (
            set(self.peers) | set(self.store_cache.hosts) | {self.settings.host}
        )

    def fleet_size(self) -> int:
        """Returns how many hosts may be serving, including this one."""
        return len(self.registered_hosts())

    # Relays.

    def ranked_hosts(self, region: str) -> list[relays.Candidate]:
        """Returns the hosts of a region as candidates for its relays."""
        live = self.live_hosts()
        candidates = []
        for name, peer in self.peers.items():
            if peer.entry.region != region:
                continue
            status = live.get(name)
            state = relays.UNKNOWN
            if self.is_silent(peer):
                state = relays.SILENT
            elif status is not None:
                state = relays.READY if status.ready else relays.STARTING
            # Until the link of a host is known, it is assumed to be like that
            # of this host, so that the hashes decide.
            link_mbps = status.link_mbps if status else self.settings.link_mbps
            candidates.append(relays.Candidate(name, state, link_mbps))
        if region == self.settings.region:
            own_state = (
                relays.READY
                if self.state.ready() and not self.state.shutting_down()
                else relays.STARTING
            )
            candidates.append(
                relays.Candidate(
                    self.settings.host, own_state, self.settings.link_mbps
                )
            )
        return candidates

    def selected_relays(self, region: str) -> list[str]:
        """Returns the names of the relays of a region, the best one first."""
        return relays.select(region, self.ranked_hosts(region))

    def is_relay(self) -> bool:
        """Returns True if this host is a relay of its region."""
        return self.settings.host in self.selected_relays(self.settings.region)

    def contacts(self) -> dict[str, bool]:
        """Returns the hosts from which this host needs heartbeats.

        These are the relays of its region. If it is a relay itself, they also
        are the relays of the other regions and one host of each region of which
        nothing is known: without that, two groups of hosts that lost each other
        would stay apart.

        Returns:
            True for each host that this host asks for digests, False for the
            other ones, by name.
        """
        own_region = self.settings.region
        candidates = {own_region: self.ranked_hosts(own_region)}
        own_relays = relays.select(own_region, candidates[own_region])
        is_relay = self.settings.host in own_relays
        if is_relay:
            for region in {peer.entry.region for peer in self.peers.values()}:
                if region != own_region:
                    candidates[region] = self.ranked_hosts(region)
        contacts: dict[str, bool] = {}
        now = self.clock.monotonic()
        for region, hosts in candidates.items():
            asked = False
            for name in relays.select(region, hosts):
                if name == self.settings.host:
                    continue
                contacts[name] = not asked
                heard_at = self.peers[name].received_at
                asked = asked or now - heard_at <= RELAY_TIMEOUT_SECONDS
            unknown = relays.rank(
                region,
                (each for each in hosts if each.state == relays.UNKNOWN),
            )
            for name in unknown[:1] if is_relay else ():
                if name != self.settings.host:
                    contacts.setdefault(name, False)
        return contacts

    def token_source(self) -> str | None:
        """Returns the host from which this one takes tokens, or None.

        This is the best relay of the region that is known to be up; it may be
        this host.
        """
        now = self.clock.monotonic()
        for name in self.selected_relays(self.settings.region):
            if name == self.settings.host:
                return name
            if now - self.peers[name].received_at <= RELAY_TIMEOUT_SECONDS:
                return name
        return None

    def called_relay(self, region: str) -> str | None:
        """Returns the relay of a region that this host calls, or None.

        This is the best relay that is known to be up and handles calls; in the
        region of this host it may be this host.
        """
        now = self.clock.monotonic()
        for name in self.selected_relays(region):
            if name == self.settings.host:
                return name
            peer = self.peers[name]
            if (
                peer.supports_calls
                and now - peer.received_at <= RELAY_TIMEOUT_SECONDS
            ):
                return name
        return None

    # Requests that crash upstreams.

    def crash_reports(self) -> list[dict[str, tuple[str, ...]]]:
        """Returns the crashes that other hosts report, by fingerprint."""
        now = self.clock.monotonic()
        live = self.live_hosts()
        direct = [
            peer.last_heartbeat.crashes
            for peer in self.peers.values()
            if peer.last_heartbeat is not None
            and (
                now - peer.received_at <= PEER_TIMEOUT_SECONDS
                # What a host said that is live but no longer heard is
                # outdated; digests have the newer state.
                or (
                    now - peer.received_at <= CRASH_REPORT_SECONDS
                    and peer.entry.name not in live
                )
            )
        ]
        return direct + [
            each.crashes for each in self.digests(SHARE_EXPIRY_SECONDS)
        ]

    def trial_hosts(self, fingerprint: str) -> set[str]:
        """Returns the hosts of which one may send a suspect as a trial.

        They are in one region, whose hosts know which of them are live; the
        result is empty on hosts of other regions.
        """
        regions = {self.settings.region}
        for digest in self.digests(PEER_TIMEOUT_SECONDS):
            regions.update(digest.ready_regions)
        live = self.live_hosts()
        regions.update(
            peer.entry.region
            for name, peer in self.peers.items()
            if name in live
        )
        if rendezvous.first(fingerprint, regions) != self.settings.region:
            return set()
        return {self.settings.host} | {
            name
            for name in live
            if name in self.peers
            and self.peers[name].entry.region == self.settings.region
        }


def status_of(
    heartbeat: heartbeat_module.Heartbeat,
) -> heartbeat_module.HostStatus:
    """Returns the status of the sender of a heartbeat."""
    return heartbeat_module.HostStatus(
        heartbeat.entry.name,
        heartbeat.ready and not heartbeat.shutting_down,
        heartbeat.relaying.link_mbps if heartbeat.relaying else 0.0,
    )
