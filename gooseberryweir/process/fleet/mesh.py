"""Sends heartbeats to other hosts and receives theirs.

A host that sends heartbeats counts as live. The heartbeats spread the content
of the platform's store, the time at which the configuration was last confirmed
to be the newest one, and the requests per second of client accounts at each
host.

Each host sends heartbeats to the relays of its region (see `relays`), a relay
also to those of the other regions, and each host to those that send it theirs.
Each link is a separate connection. A heartbeat echoes the sending time of the
latest heartbeat from its receiver, so that the receiver computes the age of the
sender's data on its own clock, regardless of the network delay.

Snapshots of the store follow the digests: a host sends one at once to the hosts
that asked it for digests, and at most once over a connection.
"""

import collections
from collections.abc import Callable
import contextlib
import logging
import socket
import struct
from typing import Any

import eventlet
from eventlet import event

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir import tasks
from gooseberryweir.connection import addresses
from gooseberryweir.process.fleet import digests
from gooseberryweir.process.fleet import fleet_traffic
from gooseberryweir.process.fleet import fleet_view
from gooseberryweir.process.fleet import heartbeat as heartbeat_module
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import local_state
from gooseberryweir.process.fleet import snapshot_delivery
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.version import store_version

LOGGER = logging.getLogger(__name__)

# Interval of heartbeats; four intervals fit into `PEER_TIMEOUT_SECONDS`.
HEARTBEAT_SECONDS = 0.5
# The same for a host that others ask for digests. It sends one with each poll
# of the store or new confirmation, which come about every half second.
RELAY_HEARTBEAT_SECONDS = 0.65
# Shortest interval at which the demand of client accounts is updated; a host
# that polls or relays sends heartbeats between the intervals too.
MIN_REFRESH_SECONDS = 0.25
# Shortest interval between two checks for contacts that became silent.
MIN_LINK_UPDATE_SECONDS = 0.05
# A relay that learns of a confirmation newer by this time forwards it at once.
FORWARD_SECONDS = 0.25
# Timeout of connecting to a peer, and of sending one heartbeat.
SEND_TIMEOUT_SECONDS = 1.0
# TCP_USER_TIMEOUT: the kernel closes a connection whose sent bytes were not
# acknowledged for this time.
TCP_USER_TIMEOUT_MILLISECONDS = 2000
MAX_HEARTBEAT_BYTES = 16 * 1024 * 1024
# Interval at which a host logs what it sent to its peers.
TRAFFIC_LOG_SECONDS = 1.0
# Length of a frame's content. `_MESSAGE_FLAG` is added for messages about
# tokens of client accounts, which only hosts that understand digests get, and
# `_CALL_FLAG` for calls, which only hosts that handle calls get.
_LENGTH_PREFIX = struct.Struct("!I")
_MESSAGE_FLAG = 1 << 31
_CALL_FLAG = 1 << 30


def _frame(content: bytes, flag: int = 0) -> bytes:
    """Returns content with its length prefix."""
    return _LENGTH_PREFIX.pack(len(content) | flag) + content


def _reject_message(_sender: str, _message: bytes) -> None:
    """Handles messages of other hosts if nothing else does."""
    raise ValueError("unexpected message")


class Mesh:
    """Sends and receives heartbeats; a context manager.

    Attributes:
        settings: Settings of this host.
        store_cache: Cached content of the store.
        state: What this host reports of itself.
        clock: Source of time.
        view: What this host knows of the other hosts.
        contacts: Hosts to which this host has to send heartbeats; True for
            those that it asks for digests.
        is_relay: True if this host is a relay of its region.
        token_source: Name of the host from which this one takes tokens of
            client accounts, or None.
        on_message: Handles messages of other hosts that are no heartbeats, with
            the name of the sender; may raise `ValueError`.
        on_call: Handles calls of other hosts, likewise.
        outboxes: Frames to send to each peer, by name.
        called_relays: Relays that this host calls, by region, since the last
            update of its links.
        senders: Task that sends heartbeats to each peer, by name.
        wakeups: Event that makes each of these tasks send at once, by name.
        heartbeats_due: Names of peers to which a heartbeat is to be sent.
        tasks: Tasks that accept connections and time the heartbeats.
        heartbeat_listeners: Functions called with each heartbeat received.
        refreshed_at: Monotonic time, in seconds, of the last update of the
            demand.
        triggered_at: Monotonic time, in seconds, at which heartbeats to all
            peers were last triggered.
        traffic: What this host has sent to its peers since the last log line.
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
        self.view = fleet_view.FleetView(settings, store_cache, state, clock)
        self.contacts: dict[str, bool] = {}
        self.is_relay = True
        self.token_source: str | None = settings.host
        self.on_message: Callable[[str, bytes], None] = _reject_message
        self.on_call: Callable[[str, bytes], None] = _reject_message
        self.called_relays: dict[str, str | None] = {}
        self.outboxes: dict[str, collections.deque[bytes]] = {}
        self.senders: dict[str, Any] = {}
        self.wakeups: dict[str, event.Event] = {}
        self.heartbeats_due: set[str] = set()
        self.tasks: list[Any] = []
        self.heartbeat_listeners: list[
            Callable[[heartbeat_module.Heartbeat], None]
        ] = []
        self.refreshed_at = float("-inf")
        self.triggered_at = float("-inf")
        self.traffic = fleet_traffic.FleetTraffic(clock.monotonic())

    def __enter__(self) -> "Mesh":
        host, _, port = self.settings.peer_address.rpartition(":")
        listener = eventlet.listen((host, int(port)), backlog=256)
        self.tasks.append(tasks.spawn("accept", self._accept, listener))
        self.tasks.append(tasks.spawn("heartbeat", self._heartbeat_forever))
        self.store_cache.listeners.append(self._on_cache_change)
        return self

    def __exit__(self, *_: object) -> None:
        for task in [*self.tasks, *self.senders.values()]:
            task.kill()

    def send_now(self) -> None:
        """Sends the next heartbeat to all peers immediately."""
        now = self.clock.monotonic()
        self.triggered_at = now
        if now - self.refreshed_at >= MIN_REFRESH_SECONDS:
            self.refreshed_at = now
            self.state.refresh_demand()
        for name in list(self.wakeups):
            self._wake(name)

    def send_message(self, name: str, message: bytes) -> None:
        """Sends a message that is no heartbeat to a peer.

        It is dropped if there is no link to the peer, or the link fails.
        """
        self._send_frame(name, _frame(message, _MESSAGE_FLAG))

    def send_call(self, name: str, message: bytes) -> bool:
        """Sends a message of `peer_calls` to a peer.

        Returns:
            False if there is no link to the peer or it does not handle calls.
        """
        peer = self.view.peers.get(name)
        if peer is None or not peer.supports_calls:
            return False
        return self._send_frame(name, _frame(message, _CALL_FLAG))

    def _send_frame(self, name: str, frame: bytes) -> bool:
        """Queues a frame for a peer; returns False if there is no link."""
        outbox = self.outboxes.get(name)
        if outbox is None:
            return False
        outbox.append(frame)
        self._wake(name, heartbeat_due=False)
        return True

    def called_relay(self, region: str) -> str | None:
        """Returns the relay of a region that this host calls, or None."""
        if region not in self.called_relays:
            self.called_relays[region] = self.view.called_relay(region)
        return self.called_relays[region]

    def _wake(self, name: str, heartbeat_due: bool = True) -> None:
        """Makes the sender of a peer send a heartbeat or its outbox."""
        wakeup = self.wakeups.get(name)
        if wakeup is None:
            return
        if heartbeat_due:
            self.heartbeats_due.add(name)
        if not wakeup.ready():
            wakeup.send()

    def _on_cache_change(self, kind: str) -> None:
        if kind == store_cache_module.HOSTS:
            for entry in self.store_cache.hosts.values():
                self.view.add_peer(entry)
            self._update_links()

    # Links.

    def _update_links(self) -> None:
        """Opens and closes links according to the current contacts."""
        # Contacts that have become silent are replaced now.
        self.view.record_contacts(self.contacts)
        contacts = self.view.contacts()
        is_relay = self.view.is_relay()
        if set(contacts) != set(self.contacts) or is_relay != self.is_relay:
            logs.event(
                LOGGER,
                "relays-changed",
                contacts=",".join(sorted(contacts)),
                is_relay=is_relay,
            )
        self.contacts = contacts
        self.is_relay = is_relay
        self.token_source = self.view.token_source()
        self.called_relays.clear()
        links = set(contacts) | {
            peer.entry.name
            for peer in self.view.live_peers()
            if peer.wants_answer
        }
        for name in set(self.senders) - links:
            self.wakeups.pop(name, None)
            self.outboxes.pop(name, None)
            # `kill` lets other tasks run, which may call this method.
            eventlet.spawn(self.senders.pop(name).kill)
        for name in sorted(links - set(self.senders)):
            self.senders[name] = tasks.spawn(
                f"send to {name}", self._send_forever, self.view.peers[name]
            )
        self.view.record_contacts(contacts)

    # Sending.

    def _heartbeat_forever(self) -> None:
        """Triggers a heartbeat to all peers at each heartbeat interval."""
        while True:
            self._update_links()
            interval = (
                RELAY_HEARTBEAT_SECONDS
                if self._serves_digests()
                else HEARTBEAT_SECONDS
            )
            due_in = self.triggered_at + interval - self.clock.monotonic()
            if due_in <= 0:
                self.send_now()
                due_in = interval
            self._log_traffic()
            silence_in = max(
                self.view.seconds_until_silence(), MIN_LINK_UPDATE_SECONDS
            )
            self.clock.sleep(min(due_in, silence_in))

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
            live=len(self.view.live_hosts()),
        )
        self.traffic = fleet_traffic.FleetTraffic(now)

    def _send_forever(self, peer: fleet_view.Peer) -> None:
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

    def _connect(self, peer: fleet_view.Peer) -> Any:
        with eventlet.Timeout(SEND_TIMEOUT_SECONDS):
            connection = addresses.connect(peer.entry.peer)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            TCP_USER_TIMEOUT_MILLISECONDS,
        )
        return connection

    def _send_heartbeats(self, peer: fleet_view.Peer, connection: Any) -> None:
        """Sends heartbeats over a connection until the peer's address changes.

        Raises:
            ConnectionError: The peer is up but does not receive heartbeats from
                this host.
            OSError: The connection failed.
            eventlet.Timeout: Sending exceeded `SEND_TIMEOUT_SECONDS`.
        """
        name = peer.entry.name
        connected_at = self.clock.monotonic()
        address = peer.entry.peer
        peer.sent_ranks = {}
        outbox = self.outboxes[name] = collections.deque()
        self.heartbeats_due.add(name)
        while peer.entry.peer == address:
            self.wakeups[name] = wakeup = event.Event()
            frames = list(outbox)
            outbox.clear()
            if name in self.heartbeats_due:
                self.heartbeats_due.discard(name)
                frames.append(self._encode_heartbeat(peer))
            with eventlet.Timeout(SEND_TIMEOUT_SECONDS):
                connection.sendall(b"".join(frames))
            with eventlet.Timeout(2 * HEARTBEAT_SECONDS, False):
                wakeup.wait()
            if self._peer_receives_nothing(peer, connected_at):
                raise ConnectionError("peer does not receive heartbeats")

    def _encode_heartbeat(self, peer: fleet_view.Peer) -> bytes:
        """Returns the frame of the next heartbeat to a peer."""
        heartbeat = self._build_heartbeat(peer)
        encoded = heartbeat_module.encode(heartbeat)
        self.traffic.record(heartbeat, len(encoded))
        return _frame(encoded)

    def _peer_receives_nothing(
        self, peer: fleet_view.Peer, connected_at: float
    ) -> bool:
        """Returns True if the peer is up but gets no heartbeats from this host.

        Args:
            peer: The peer.
            connected_at: Monotonic time, in seconds, at which the connection to
                the peer was opened.
        """
        now = self.clock.monotonic()
        if (
            peer.last_heartbeat is None
            or now - peer.received_at > fleet_view.PEER_TIMEOUT_SECONDS
        ):
            return False
        return (
            now - max(peer.last_heartbeat.echo, connected_at)
            > 2 * fleet_view.PEER_TIMEOUT_SECONDS
        )

    def _build_heartbeat(
        self, peer: fleet_view.Peer
    ) -> heartbeat_module.Heartbeat:
        received = peer.last_heartbeat
        now = self.clock.monotonic()
        age = now - self.store_cache.confirmed_at
        revisions = {
            kind: self.store_cache.version(kind).revision
            for kind in self.store_cache.current_kinds()
        }
        return heartbeat_module.Heartbeat(
            entry=self.view.entry,
            sent_at=now,
            echo=0.0 if received is None else received.sent_at,
            ready=self.state.ready(),
            shutting_down=self.state.shutting_down(),
            polling=self.state.polling(),
            store_seconds=self.state.store_seconds(),
            confirmed_age=min(age, 1e9),
            revisions={
                **revisions,
                heartbeat_module.DIGEST_SUPPORT_KEY: 1,
                heartbeat_module.CALL_SUPPORT_KEY: 1,
                heartbeat_module.ERA_KEY: self.store_cache.era,
                heartbeat_module.NUMBER_KEY: (
                    self.store_cache.configuration_number
                ),
            },
            demand=self._demand_for(peer),
            snapshots=self._snapshots_to_send(peer),
            crashes=self.state.crashes(),
            answered=self.state.answered(),
            relaying=self._relaying(peer),
        )

    def _demand_for(self, peer: fleet_view.Peer) -> dict[str, float]:
        """Returns the demand to send to a peer, empty if it has other sources.

        Only relays of this host's region count its demand by its heartbeats,
        and hosts of earlier builds. Digests have it for all others.
        """
        if not peer.supports_digests or (
            peer.entry.name in self.contacts
            and peer.entry.region == self.settings.region
        ):
            return self.state.demand()
        return {}

    def _relaying(
        self, peer: fleet_view.Peer
    ) -> heartbeat_module.Relaying | None:
        """Returns what a heartbeat to a peer says about digests.

        None until the peer is known to understand it.
        """
        if not peer.supports_digests:
            return None
        return heartbeat_module.Relaying(
            link_mbps=self.settings.link_mbps,
            is_relay=self.is_relay,
            wants_answer=peer.entry.name in self.contacts,
            wants_digest=self.contacts.get(peer.entry.name, False),
            takes_tokens=peer.entry.name == self.token_source,
            stable_seconds=min(self.store_cache.stable_seconds(), 1e9),
            digest=digests.build(self.view, peer)
            if peer.wants_digest
            else None,
        )

    def _snapshots_to_send(
        self, peer: fleet_view.Peer
    ) -> dict[str, heartbeat_module.SentSnapshot]:
        """Returns the snapshots that the next heartbeat to a peer carries.

        A peer that asked for digests gets new snapshots at once. So do, from
        the host that polls the store, the hosts that it asks for digests, and
        those of earlier builds.
        """
        at_once = peer.wants_digest or (
            self.state.polling()
            and (
                self.contacts.get(peer.entry.name, False)
                or not peer.supports_digests
            )
        )
        return snapshot_delivery.take_due(
            peer, self.store_cache, at_once, self.clock.monotonic()
        )

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
        connection.settimeout(2 * fleet_view.PEER_TIMEOUT_SECONDS)
        with contextlib.closing(connection), connection.makefile("rb") as file:
            try:
                sender = ""
                while True:
                    header = file.read(_LENGTH_PREFIX.size)
                    if len(header) < _LENGTH_PREFIX.size:
                        return
                    (prefix,) = _LENGTH_PREFIX.unpack(header)
                    size = prefix & ~(_MESSAGE_FLAG | _CALL_FLAG)
                    if size > MAX_HEARTBEAT_BYTES:
                        raise ValueError(
                            f"heartbeat of {size} bytes is too large"
                        )
                    content = file.read(size)
                    if prefix & (_MESSAGE_FLAG | _CALL_FLAG):
                        self._on_message(sender, content, prefix)
                        continue
                    heartbeat = heartbeat_module.decode(content)
                    sender = heartbeat.entry.name
                    self._on_heartbeat(heartbeat)
            except (OSError, ValueError) as error:
                logs.event(
                    LOGGER,
                    "peer-connection-ended",
                    reason=type(error).__name__,
                )
            except Exception as error:
                # The sender connects again.
                tasks.log_failure(f"receive from {sender}", error)

    def _on_message(self, sender: str, content: bytes, prefix: int) -> None:
        """Hands a message that is no heartbeat to its handler.

        Args:
            sender: Name of the sender.
            content: Content of the frame.
            prefix: Prefix of the frame, whose flags select the handler.

        Raises:
            ValueError: The message is malformed.
        """
        if prefix & _CALL_FLAG:
            self.on_call(sender, content)
        else:
            self.on_message(sender, content)

    def _on_heartbeat(self, heartbeat: heartbeat_module.Heartbeat) -> None:
        """Updates the state of the sender and the cache from a heartbeat."""
        peer = self.view.add_peer(heartbeat.entry)
        if peer is None:
            return
        previous = peer.last_heartbeat
        if previous is None or previous.ready != heartbeat.ready:
            logs.event(
                LOGGER,
                "peer-state",
                peer=heartbeat.entry.name,
                ready=heartbeat.ready,
            )
        self.view.record(peer, heartbeat)
        if heartbeat.entry.name not in self.senders:
            self._update_links()
        era = heartbeat.era(self.store_cache.era)
        self.store_cache.enter_era(era, heartbeat.entry.name)
        accepted = [
            self.store_cache.accept(
                kind,
                store_version.StoreVersion(era, snapshot.revision),
                snapshot.content,
                heartbeat.entry.name,
            )
            for kind, snapshot in heartbeat.snapshots.items()
        ]
        previously_confirmed_at = self.store_cache.confirmed_at
        # An echo outside this range was sent by an earlier incarnation of this
        # host, or is 0.
        if self.view.started_at <= heartbeat.echo <= peer.received_at:
            self.store_cache.confirm(
                heartbeat.rank(
                    store_cache_module.CONFIGURATION, self.store_cache
                ),
                heartbeat.echo - heartbeat.confirmed_age,
                heartbeat.relaying.stable_seconds if heartbeat.relaying else 0,
            )
        for listener in self.heartbeat_listeners:
            listener(heartbeat)
        confirmed_by = self.store_cache.confirmed_at - previously_confirmed_at
        if any(accepted) or confirmed_by >= FORWARD_SECONDS:
            self._forward()
        elif heartbeat.supports_digests and (
            previous is None
            or (previous.relaying is None) != (heartbeat.relaying is None)
        ):
            # The peer gets the first digest without waiting for an interval.
            self._wake(heartbeat.entry.name)

    def _forward(self) -> None:
        """Sends heartbeats now if another host relies on this one."""
        if self._serves_digests():
            self.send_now()

    def _serves_digests(self) -> bool:
        """Returns True if another host asks this one for digests."""
        return any(peer.wants_digest for peer in self.view.live_peers())
