"""Beats between hosts: who lives, what is known, how fresh it is.

Each host sends a beat to each other host over a connection of its own. A beat
carries the parts that the other one lacks. It also echoes the sending time of
the last beat from the other one, so that the age of what it says can be
counted on the receiver's own clock, however long the beat was on its way.
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

# Time between beats; four of them fit into `ALIVE_SECONDS`.
HEARTBEAT_SECONDS = 0.5
# Silence after which a host counts as down.
PEER_TIMEOUT_SECONDS = 2.0
# Silence after which a host can serve no keyed work any more, so that its part
# of a rate is free: the longest use of a confirmation and a beat.
SHARE_EXPIRY_SECONDS = 5.0
# A part is sent again by hosts that don't read the store after this time.
RESEND_SECONDS = 1.0
# Longest wait for a connection to another host, or for room to send.
SEND_TIMEOUT_SECONDS = 1.0
# Time after which the system gives up on bytes that were not acknowledged.
TCP_USER_TIMEOUT_MILLISECONDS = 2000
MAX_HEARTBEAT_BYTES = 16 * 1024 * 1024
_LENGTH = struct.Struct("!I")


class Heartbeat(NamedTuple):
    """What one host tells another.

    Attributes:
        entry: The sender's addresses.
        sent_at: Reading of the sender's clock.
        echo: `sent_at` of the last beat from the receiver, 0 for none.
        ready: Whether the sender serves callers.
        leaving: Whether the sender is shutting down.
        polling: Whether the sender polls the store.
        store_seconds: How long the store takes to answer the sender.
        confirmed_age: Seconds since the sender's configuration was confirmed.
        revisions: Revisions of the sender's parts.
        demand: Requests per second of each client account at the sender.
        snapshots: Parts that the receiver lacks.
        crashes: Starts of upstreams that ended under a request, by its
            fingerprint.
        answered: Such requests that an upstream has answered since.
    """

    entry: traffic.HostEntry
    sent_at: float
    echo: float
    ready: bool
    leaving: bool
    polling: bool
    store_seconds: float
    confirmed_age: float
    revisions: dict[str, int]
    demand: dict[str, float]
    snapshots: dict[str, store_cache_module.Snapshot]
    crashes: dict[str, tuple[str, ...]]
    answered: tuple[str, ...]


class Peer:
    """What is known of another host.

    Attributes:
        entry: Its addresses.
        last_heartbeat: Its last beat, or None.
        received_at: Reading of the clock when that beat came.
        behind_since: Since when it lacks something, or None.
        sent_revisions: Revisions of the parts sent since that beat.
    """

    def __init__(self, entry: traffic.HostEntry) -> None:
        self.entry = entry
        self.last_heartbeat: Heartbeat | None = None
        self.received_at = float("-inf")
        self.behind_since: float | None = None
        self.sent_revisions: dict[str, int] = {}


class LocalState(NamedTuple):
    """What this host says of itself in its beats.

    Attributes:
        ready: Returns whether it serves callers.
        leaving: Returns whether it is shutting down.
        polling: Returns whether it polls the store.
        store_seconds: Returns how long the store takes to answer.
        demand: Returns requests per second of each client account.
        refresh_demand: Renews what the others are told; called each beat.
        crashes: Returns the requests under which upstreams ended.
        answered: Returns those of them that were answered since.
    """

    ready: Callable[[], bool]
    leaving: Callable[[], bool]
    polling: Callable[[], bool]
    store_seconds: Callable[[], float]
    demand: Callable[[], dict[str, float]]
    refresh_demand: Callable[[], None]
    crashes: Callable[[], dict[str, tuple[str, ...]]]
    answered: Callable[[], tuple[str, ...]]


class Mesh:
    """Beats to and from all other hosts; a context manager."""

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
        """Returns the hosts that were heard lately, by name."""
        earliest = self.clock.monotonic() - PEER_TIMEOUT_SECONDS
        return [
            peer
            for _, peer in sorted(self.peers.items())
            if peer.received_at >= earliest
        ]

    def recent_heartbeats(self, seconds: float) -> list[Heartbeat]:
        """Returns the last beats of the hosts heard in a span."""
        earliest = self.clock.monotonic() - seconds
        return [
            peer.last_heartbeat
            for peer in self.peers.values()
            if peer.last_heartbeat is not None and peer.received_at >= earliest
        ]

    def unheard_hosts(self) -> set[str]:
        """Returns registered hosts that may live and were not heard yet."""
        if self.clock.monotonic() - self.started_at > SHARE_EXPIRY_SECONDS:
            return set()
        heard = {
            name
            for name, peer in self.peers.items()
            if peer.last_heartbeat is not None
        }
        return set(self.store_cache.hosts) - heard - {self.settings.host}

    def ready_hosts(self) -> list[traffic.HostEntry]:
        """Returns the other hosts that serve callers, by name."""
        return [
            peer.entry
            for peer in self.live_peers()
            if peer.last_heartbeat is not None
            and peer.last_heartbeat.ready
            and not peer.last_heartbeat.leaving
        ]

    def fleet_size(self) -> int:
        """Returns how many hosts may be serving, with this one."""
        names = set(self.peers) | set(self.store_cache.hosts)
        return len(names | {self.settings.host})

    def send_now(self) -> None:
        """Sends the next beat to all hosts at once."""
        for name in list(self.wakeups):
            wakeup = self.wakeups[name]
            if not wakeup.ready():
                wakeup.send()

    def _on_cache_change(self, kind: str) -> None:
        if kind == store_cache_module.HOSTS:
            for entry in self.store_cache.hosts.values():
                self.add_peer(entry)

    def add_peer(self, entry: traffic.HostEntry) -> Peer | None:
        """Begins to send beats to a host, unless it is this one."""
        if entry.name == self.settings.host:
            return None
        peer = self.peers.get(entry.name)
        if peer is None:
            peer = self.peers[entry.name] = Peer(entry)
            self.senders[entry.name] = eventlet.spawn(self._send_forever, peer)
        return peer

    # Sending.

    def _heartbeat_forever(self) -> None:
        while True:
            self.state.refresh_demand()
            self.send_now()
            self.clock.sleep(HEARTBEAT_SECONDS)

    def _send_forever(self, peer: Peer) -> None:
        while True:
            try:
                with contextlib.closing(self._connect(peer)) as connection:
                    self._send_beats(peer, connection)
            except (OSError, eventlet.Timeout) as error:
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

    def _send_beats(self, peer: Peer, connection: Any) -> None:
        connected_at = self.clock.monotonic()
        address = peer.entry.peer
        while peer.entry.peer == address:
            self.wakeups[peer.entry.name] = wakeup = event.Event()
            heartbeat = msgspec.msgpack.encode(self._build_heartbeat(peer))
            with eventlet.Timeout(SEND_TIMEOUT_SECONDS):
                connection.sendall(_LENGTH.pack(len(heartbeat)) + heartbeat)
            with eventlet.Timeout(2 * HEARTBEAT_SECONDS, False):
                wakeup.wait()
            if self._receives_nothing(peer, connected_at):
                raise ConnectionError("the other host gets nothing")

    def _receives_nothing(self, peer: Peer, connected_at: float) -> bool:
        """Whether the other host lives and did not get the last beats."""
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
            leaving=self.state.leaving(),
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
        """Returns the parts that a host lacks, unless they are on their way."""
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
        """Returns the parts that go to a host with the next beat.

        The host that reads the store sends at once; the others only if a host
        stays behind.
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
        # Not sent twice before the other host can have said what it has.
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
        """Reads the beats of one connection until it ends or is silent."""
        connection.settimeout(2 * PEER_TIMEOUT_SECONDS)
        with contextlib.closing(connection), connection.makefile("rb") as file:
            try:
                while True:
                    header = file.read(_LENGTH.size)
                    if len(header) < _LENGTH.size:
                        return
                    (size,) = _LENGTH.unpack(header)
                    if size > MAX_HEARTBEAT_BYTES:
                        raise ValueError(f"a beat of {size} bytes")
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
        if self.started_at <= heartbeat.echo <= peer.received_at:
            self.store_cache.confirm(
                heartbeat.revisions.get(store_cache_module.CONFIGURATION, 0),
                heartbeat.echo - heartbeat.confirmed_age,
            )
        for listener in self.heartbeat_listeners:
            listener(peer, heartbeat)
