"""Exchanges heartbeats between all hosts.

A host that sends heartbeats counts as live. The heartbeats spread the content
of the platform's store, the time at which the configuration was last confirmed
to be the newest one, and the requests per second of client accounts at each
host.

Each host sends heartbeats to each peer over a separate connection. A heartbeat
carries the snapshots of the store that the peer lacks. It also echoes the
sending time of the latest heartbeat from that peer, so that the receiver
computes the age of the sender's data on its own clock, regardless of the
network delay.
"""

from collections.abc import Callable
import contextlib
import logging
import socket
import struct
from typing import Any
from typing import NamedTuple

import eventlet
from eventlet import event
import msgspec

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.version import traffic

LOGGER = logging.getLogger(__name__)

# Interval of heartbeats; four intervals fit into `PEER_TIMEOUT_SECONDS`.
HEARTBEAT_SECONDS = 0.5
# Time without a heartbeat after which a peer counts as down.
PEER_TIMEOUT_SECONDS = 2.0
# Time without a heartbeat after which a peer can no longer serve authenticated
# requests, so that the other hosts may use its share of a client account's
# rate: the longest time for which a host relies on a confirmation that its
# configuration is the newest one, plus one heartbeat interval.
SHARE_EXPIRY_SECONDS = 5.0
# A host that does not poll the store sends a snapshot only to a peer that has
# lacked it for this time.
RESEND_SECONDS = 1.0
# Timeout of connecting to a peer, and of sending one heartbeat.
SEND_TIMEOUT_SECONDS = 1.0
# TCP_USER_TIMEOUT: the kernel closes a connection whose sent bytes were not
# acknowledged for this time.
TCP_USER_TIMEOUT_MILLISECONDS = 2000
MAX_HEARTBEAT_BYTES = 16 * 1024 * 1024
# Interval at which a host logs what it sent to its peers.
TRAFFIC_LOG_SECONDS = 1.0
_LENGTH_PREFIX = struct.Struct("!I")


class Heartbeat(NamedTuple):
    """Periodic message from one host to another.

    Attributes:
        entry: Name, addresses and location of the sender.
        sent_at: Sending time on the sender's monotonic clock, in seconds.
        echo: `sent_at` of the latest heartbeat from the receiver, 0 if none.
        ready: True if the sender is ready to serve callers.
        shutting_down: True if the sender is shutting down.
        polling: True if the sender polls the store.
        store_seconds: Latency of the sender's last poll of the store, in
            seconds.
        confirmed_age: Seconds since the sender's configuration was confirmed to
            be the newest one.
        revisions: Revision of each snapshot of the sender, by kind.
        demand: Requests per second of each client account at the sender.
        snapshots: Snapshots that the receiver lacks, by kind.
        crashes: Names of the upstream incarnations that crashed while they ran
            a request, by the fingerprint of the request.
        answered: Fingerprints of requests that crashed an upstream and were
            answered by an upstream later.
    """

    entry: traffic.HostEntry
    sent_at: float
    echo: float
    ready: bool
    shutting_down: bool
    polling: bool
    store_seconds: float
    confirmed_age: float
    revisions: dict[str, int]
    demand: dict[str, float]
    snapshots: dict[str, store_cache_module.Snapshot]
    crashes: dict[str, tuple[str, ...]]
    answered: tuple[str, ...]


class Peer:
    """State of another host.

    Attributes:
        entry: Name, addresses and location of the peer.
        last_heartbeat: Latest heartbeat received from the peer, or None.
        received_at: Monotonic time, in seconds, at which that heartbeat
            arrived.
        behind_since: Monotonic time, in seconds, since which the peer lacks a
            snapshot, or None.
        sent_revisions: Revisions of the snapshots sent to the peer since that
            heartbeat, by kind.
    """

    def __init__(self, entry: traffic.HostEntry) -> None:
        self.entry = entry
        self.last_heartbeat: Heartbeat | None = None
        self.received_at = float("-inf")
        self.behind_since: float | None = None
        self.sent_revisions: dict[str, int] = {}


class LocalState(NamedTuple):
    """Functions that return what this host reports in its heartbeats.

    Attributes:
        ready: Returns True if the host is ready to serve callers.
        shutting_down: Returns True if the host is shutting down.
        polling: Returns True if the host polls the store.
        store_seconds: Returns the latency of the last poll of the store, in
            seconds.
        demand: Returns the requests per second of each client account.
        refresh_demand: Updates the result of `demand`; called at each heartbeat
            interval.
        crashes: Returns the names of the upstream incarnations that crashed, by
            the fingerprint of the request that they ran.
        answered: Returns the fingerprints of requests that crashed an upstream
            and were answered by an upstream later.
    """

    ready: Callable[[], bool]
    shutting_down: Callable[[], bool]
    polling: Callable[[], bool]
    store_seconds: Callable[[], float]
    demand: Callable[[], dict[str, float]]
    refresh_demand: Callable[[], None]
    crashes: Callable[[], dict[str, tuple[str, ...]]]
    answered: Callable[[], tuple[str, ...]]


class FleetTraffic:
    """Counts what this host sends to its peers, between two log lines.

    Attributes:
        heartbeats: Heartbeats sent.
        sent_bytes: Bytes of these heartbeats.
        snapshots: Snapshots that they carried.
        snapshot_bytes: Bytes of these snapshots.
        lost_links: Connections to peers that failed.
        started_at: Monotonic time, in seconds, at which counting started.
    """

    def __init__(self, now: float) -> None:
        self.heartbeats = 0
        self.sent_bytes = 0
        self.snapshots = 0
        self.snapshot_bytes = 0
        self.lost_links = 0
        self.started_at = now

    def record(self, heartbeat: Heartbeat, size: int) -> None:
        """Counts a heartbeat of some bytes."""
        self.heartbeats += 1
        self.sent_bytes += size
        self.snapshots += len(heartbeat.snapshots)
        self.snapshot_bytes += sum(
            len(each.content) for each in heartbeat.snapshots.values()
        )


class Mesh:
    """Sends heartbeats to all peers and receives theirs; a context manager.

    Attributes:
        started_at: Monotonic time, in seconds, at which this host started.
        entry: Name, addresses and location of this host.
        peers: State of each peer, by name.
        senders: Task that sends heartbeats to each peer, by name.
        wakeups: Event that makes each of these tasks send at once, by name.
        tasks: Tasks that accept connections and time the heartbeats.
        heartbeat_listeners: Functions called with each heartbeat received.
        traffic: What this host has sent to its peers since the last log line.
    """

    def __init__(
        self,
        settings: host_settings.HostSettings,
        store_cache: store_cache_module.StoreCache,
        state: LocalState,
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
        self.senders: dict[str, Any] = {}
        self.wakeups: dict[str, event.Event] = {}
        self.tasks: list[Any] = []
        self.heartbeat_listeners: list[Callable[[Peer, Heartbeat], None]] = []
        self.traffic = FleetTraffic(self.started_at)

    def __enter__(self) -> "Mesh":
        host, _, port = self.settings.peer_address.rpartition(":")
        listener = eventlet.listen((host, int(port)), backlog=256)
        self.tasks.append(eventlet.spawn(self._accept, listener))
        self.tasks.append(eventlet.spawn(self._heartbeat_forever))
        self.store_cache.listeners.append(self._on_cache_change)
        return self

    def __exit__(self, *_: object) -> None:
        for task in [*self.tasks, *self.senders.values()]:
            task.kill()

    def live_peers(self) -> list[Peer]:
        """Returns the peers that sent a heartbeat recently, sorted by name."""
        earliest = self.clock.monotonic() - PEER_TIMEOUT_SECONDS
        return [
            peer
            for _, peer in sorted(self.peers.items())
            if peer.received_at >= earliest
        ]

    def recent_heartbeats(self, seconds: float) -> list[Heartbeat]:
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

    def hosts_without_heartbeat(self) -> set[str]:
        """Returns the names of hosts from which no heartbeat has arrived yet.

        They are registered in the store and may be up. The set is empty once
        this host has run for `SHARE_EXPIRY_SECONDS`.
        """
        if self.clock.monotonic() - self.started_at > SHARE_EXPIRY_SECONDS:
            return set()
        with_heartbeat = {
            name
            for name, peer in self.peers.items()
            if peer.last_heartbeat is not None
        }
        return (
            set(self.store_cache.hosts) - with_heartbeat - {self.settings.host}
        )

    def ready_hosts(self) -> list[traffic.HostEntry]:
        """Returns the peers that are ready to serve callers, sorted by name."""
        return [
            peer.entry
            for peer in self.live_peers()
            if peer.last_heartbeat is not None
            and peer.last_heartbeat.ready
            and not peer.last_heartbeat.shutting_down
        ]

    def fleet_size(self) -> int:
        """Returns how many hosts may be serving, including this one."""
        names = set(self.peers) | set(self.store_cache.hosts)
        return len(names | {self.settings.host})

    def send_now(self) -> None:
        """Sends the next heartbeat to all peers immediately."""
        for name in list(self.wakeups):
            wakeup = self.wakeups[name]
            if not wakeup.ready():
                wakeup.send()

    def _on_cache_change(self, kind: str) -> None:
        if kind == store_cache_module.HOSTS:
            for entry in self.store_cache.hosts.values():
                self.add_peer(entry)

    def add_peer(self, entry: traffic.HostEntry) -> Peer | None:
        """Starts to send heartbeats to a host, unless it is this host.

        Returns:
            The new or existing peer; None for this host.
        """
        if entry.name == self.settings.host:
            return None
        peer = self.peers.get(entry.name)
        if peer is None:
            peer = self.peers[entry.name] = Peer(entry)
            self.senders[entry.name] = eventlet.spawn(self._send_forever, peer)
        return peer

    # Sending.

    def _heartbeat_forever(self) -> None:
        """Triggers a heartbeat to all peers at each heartbeat interval."""
        while True:
            self.state.refresh_demand()
            self.send_now()
            self._log_traffic()
            self.clock.sleep(HEARTBEAT_SECONDS)

    def _log_traffic(self) -> None:
        """Logs what this host sent to its peers, at the logging interval."""
        now = self.clock.monotonic()
        traffic_seconds = now - self.traffic.started_at
        if traffic_seconds < TRAFFIC_LOG_SECONDS:
            return
        logs.event(
            LOGGER,
            "fleet-traffic",
            seconds=traffic_seconds,
            heartbeats=self.traffic.heartbeats,
            bytes=self.traffic.sent_bytes,
            snapshots=self.traffic.snapshots,
            snapshot_bytes=self.traffic.snapshot_bytes,
            lost_links=self.traffic.lost_links,
            links=len(self.senders),
            live=len(self.live_peers()),
        )
        self.traffic = FleetTraffic(now)

    def _send_forever(self, peer: Peer) -> None:
        """Sends heartbeats to a peer; opens a new connection after an error."""
        while True:
            try:
                with contextlib.closing(self._connect(peer)) as connection:
                    self._send_heartbeats(peer, connection)
            except (OSError, eventlet.Timeout) as error:
                self.traffic.lost_links += 1
                logs.event(
                    LOGGER,
                    "peer-link-lost",
                    peer=peer.entry.name,
                    reason=type(error).__name__,
                )
            self.clock.sleep(HEARTBEAT_SECONDS)

    def _connect(self, peer: Peer) -> Any:
        host, _, port = peer.entry.peer.rpartition(":")
        with eventlet.Timeout(SEND_TIMEOUT_SECONDS):
            connection = eventlet.connect((host, int(port)))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            TCP_USER_TIMEOUT_MILLISECONDS,
        )
        return connection

    def _send_heartbeats(self, peer: Peer, connection: Any) -> None:
        """Sends heartbeats over a connection until the peer's address changes.

        Raises:
            ConnectionError: The peer is up but does not receive heartbeats from
                this host.
            OSError: The connection failed.
            eventlet.Timeout: Sending exceeded `SEND_TIMEOUT_SECONDS`.
        """
        connected_at = self.clock.monotonic()
        address = peer.entry.peer
        while peer.entry.peer == address:
            self.wakeups[peer.entry.name] = wakeup = event.Event()
            heartbeat = self._build_heartbeat(peer)
            encoded = msgspec.msgpack.encode(heartbeat)
            self.traffic.record(heartbeat, len(encoded))
            with eventlet.Timeout(SEND_TIMEOUT_SECONDS):
                connection.sendall(_LENGTH_PREFIX.pack(len(encoded)) + encoded)
            with eventlet.Timeout(2 * HEARTBEAT_SECONDS, False):
                wakeup.wait()
            if self._peer_receives_nothing(peer, connected_at):
                raise ConnectionError("peer does not receive heartbeats")

    def _peer_receives_nothing(self, peer: Peer, connected_at: float) -> bool:
        """Returns True if the peer is up but gets no heartbeats from this host.

        Args:
            peer: The peer.
            connected_at: Monotonic time, in seconds, at which the connection to
                the peer was opened.
        """
        now = self.clock.monotonic()
        if (
            peer.last_heartbeat is None
            or now - peer.received_at > PEER_TIMEOUT_SECONDS
        ):
            return False
        return (
            now - max(peer.last_heartbeat.echo, connected_at)
            > 2 * PEER_TIMEOUT_SECONDS
        )

    def _build_heartbeat(self, peer: Peer) -> Heartbeat:
        received = peer.last_heartbeat
        now = self.clock.monotonic()
        age = now - self.store_cache.confirmed_at
        return Heartbeat(
            entry=self.entry,
            sent_at=now,
            echo=0.0 if received is None else received.sent_at,
            ready=self.state.ready(),
            shutting_down=self.state.shutting_down(),
            polling=self.state.polling(),
            store_seconds=self.state.store_seconds(),
            confirmed_age=min(age, 1e9),
            revisions={
                kind: snapshot.revision
                for kind, snapshot in self.store_cache.snapshots.items()
            },
            demand=self.state.demand(),
            snapshots=self._snapshots_to_send(peer),
            crashes=self.state.crashes(),
            answered=self.state.answered(),
        )

    def _missing_snapshots(
        self, peer: Peer
    ) -> dict[str, store_cache_module.Snapshot]:
        """Returns the snapshots that a peer lacks.

        Leaves out those sent to the peer since its latest heartbeat.
        """
        if peer.last_heartbeat is None:
            return {}
        peer_revisions = {
            **peer.last_heartbeat.revisions,
            **peer.sent_revisions,
        }
        return {
            kind: snapshot
            for kind, snapshot in self.store_cache.snapshots.items()
            if snapshot.revision > peer_revisions.get(kind, 0)
        }

    def _snapshots_to_send(
        self, peer: Peer
    ) -> dict[str, store_cache_module.Snapshot]:
        """Returns the snapshots that the next heartbeat to a peer carries.

        A host that polls the store sends new snapshots at once; other hosts
        send them only if the peer has lacked them for `RESEND_SECONDS`.
        """
        missing = self._missing_snapshots(peer)
        now = self.clock.monotonic()
        if not missing:
            peer.behind_since = None
            return {}
        if peer.behind_since is None:
            peer.behind_since = now
        overdue = now - peer.behind_since >= RESEND_SECONDS
        if not (self.state.polling() or overdue):
            return {}
        # Avoids sending a snapshot again before the peer's next heartbeat,
        # which lists the revisions that the peer has.
        peer.sent_revisions.update(
            {kind: snapshot.revision for kind, snapshot in missing.items()}
        )
        return missing

    # Receiving.

    def _accept(self, listener: Any) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError as error:
                logs.event(
                    LOGGER, "peer-accept-failed", logging.WARNING, reason=error
                )
                self.clock.sleep(HEARTBEAT_SECONDS)
                continue
            eventlet.spawn(self._receive, connection)

    def _receive(self, connection: Any) -> None:
        """Reads heartbeats from a connection until it closes or times out.

        Also stops at a malformed heartbeat.
        """
        connection.settimeout(2 * PEER_TIMEOUT_SECONDS)
        with contextlib.closing(connection), connection.makefile("rb") as file:
            try:
                while True:
                    header = file.read(_LENGTH_PREFIX.size)
                    if len(header) < _LENGTH_PREFIX.size:
                        return
                    (size,) = _LENGTH_PREFIX.unpack(header)
                    if size > MAX_HEARTBEAT_BYTES:
                        raise ValueError(
                            f"heartbeat of {size} bytes is too large"
                        )
                    heartbeat = msgspec.msgpack.decode(
                        file.read(size), type=Heartbeat
                    )
                    self._on_heartbeat(heartbeat)
            except (OSError, ValueError) as error:
                logs.event(
                    LOGGER,
                    "peer-connection-ended",
                    reason=type(error).__name__,
                )

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Updates the state of the sender and the cache from a heartbeat."""
        peer = self.add_peer(heartbeat.entry)
        if peer is None:
            return
        if (
            peer.last_heartbeat is None
            or peer.last_heartbeat.ready != heartbeat.ready
        ):
            logs.event(
                LOGGER,
                "peer-state",
                peer=heartbeat.entry.name,
                ready=heartbeat.ready,
            )
        peer.entry = heartbeat.entry
        peer.last_heartbeat = heartbeat
        peer.sent_revisions = {}
        peer.received_at = self.clock.monotonic()
        for kind, snapshot in heartbeat.snapshots.items():
            self.store_cache.accept(
                kind, snapshot.revision, snapshot.content, heartbeat.entry.name
            )
        # An echo outside this range was sent by an earlier incarnation of this
        # host, or is 0.
        if self.started_at <= heartbeat.echo <= peer.received_at:
            self.store_cache.confirm(
                heartbeat.revisions.get(store_cache_module.CONFIGURATION, 0),
                heartbeat.echo - heartbeat.confirmed_age,
            )
        for listener in self.heartbeat_listeners:
            listener(peer, heartbeat)
