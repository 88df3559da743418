"""Peering: exchanges heartbeats and other messages with the peers.

One task for each neighbour (a host that this host pings) dials it, pings it and
fetches the platform objects and facts that differ; facts are key-value entries
that all hosts replicate and merge. One task starts and stops these tasks when
the neighbours change, and runs the checks of the membership. If a pushed
message is lost, the next heartbeat repairs the difference, so a push does not
wait for its receivers.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import logging
import random
from typing import Any

import eventlet

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir.connection import messages
from gooseberryweir.connection import peer_link
from gooseberryweir.connection import peer_server
from gooseberryweir.process.membership import anti_entropy
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import links as links_module
from gooseberryweir.process.membership import membership as membership_module
from gooseberryweir.process.shares import timing
from gooseberryweir.version import objects

DIAL_TIMEOUT_SECONDS = 1.0
SEND_TIMEOUT_SECONDS = 1.0
INITIAL_RETRY_DELAY_SECONDS = 0.1
MAX_RETRY_DELAY_SECONDS = 2.0
MAX_MISSED_PINGS = 2
MAX_PENDING_SENDS = 1000

LOGGER = logging.getLogger(__name__)


class Peering:
    """Communication of this host with its peers; a context manager.

    Attributes:
        seeds: Addresses to dial while this host has no neighbours.
        membership: Membership of this host.
        facts: Facts shared between the hosts.
        store: Platform objects of this host.
        clock: Source of time; its sleep must let other tasks run.
        rng: Source of jitter.
        handlers: Function for each message type that is not handled here, by
            type; it takes the message and returns the reply or None.
        links: Links to peers.
        server: Server that accepts links from peers.
        address: Bound address of the server, `IP:PORT`.
    """

    def __init__(
        self,
        address: str,
        seeds: Sequence[str],
        membership: membership_module.Membership,
        facts: facts_module.Facts,
        store: objects.ObjectStore,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        """Binds the server; entering the context starts all tasks.

        Args:
            address: Address to listen on, `IP:PORT`; port 0 for any.
            seeds: Addresses to dial while this host has no neighbours.
            membership: Membership of this host.
            facts: Facts shared between the hosts.
            store: Platform objects of this host.
            clock: Source of time; its sleep must let other tasks run.
            rng: Source of jitter, seeded in tests.
        """
        self.seeds = tuple(seeds)
        self.membership = membership
        self.facts = facts
        self.store = store
        self.clock = clock
        self.rng = rng
        self.handlers: dict[type, Callable[[Any], Any]] = {}
        self.links = links_module.Links(self._hello, clock)
        self.server = peer_server.PeerServer(address, self._hello, self._handle)
        self.address = self.server.address
        self._send_pool = eventlet.GreenPool(MAX_PENDING_SENDS)
        self._stack = contextlib.ExitStack()
        self._tasks: dict[tuple[str, str], Any] = {}

    def __enter__(self) -> "Peering":
        self._stack.enter_context(self.server)
        self._stack.enter_context(self.links)
        self._stack.callback(self._stop_tasks)
        self._stack.callback(eventlet.spawn(self._run_periodic).kill)
        self.store.listeners.append(self._push_object)
        self._stack.callback(self.store.listeners.remove, self._push_object)
        self.facts.listeners.append(self._push_facts)
        self._stack.callback(self.facts.listeners.remove, self._push_facts)
        return self

    def __exit__(self, *_exc: object) -> None:
        self._stack.close()

    def _stop_tasks(self) -> None:
        """Stops the task of each neighbour."""
        for task in self._tasks.values():
            task.kill()

    def call(self, host: str, message: Any, timeout: float) -> Any:
        """Sends a message to a peer and returns its reply.

        Dials the peer if there is no open link.

        Args:
            host: Name of the peer.
            message: The message.
            timeout: Seconds for dialling and the reply together.

        Raises:
            peer_link.PeerError: There was no reply in time.
        """
        deadline = self.clock.monotonic() + timeout
        link = self._get_link(host, min(timeout, DIAL_TIMEOUT_SECONDS))
        return link.call(message, max(0.0, deadline - self.clock.monotonic()))

    def broadcast(self, message: Any) -> None:
        """Sends a message to all neighbours without waiting."""
        self._send_to(self.membership.neighbours().all_hosts(), message)

    # Tasks.

    def _run_periodic(self) -> None:
        """Runs `Membership.tick` and updates the tasks at each heartbeat."""
        while True:
            try:
                self.membership.tick()
                self._update_tasks()
                neighbours = self.membership.neighbours().all_hosts()
                if neighbours:
                    self.links.close_idle(neighbours)
            except Exception:
                LOGGER.exception("event=peering-failed")
            self.clock.sleep(timing.HEARTBEAT_SECONDS)

    def _update_tasks(self) -> None:
        """Starts and stops tasks so that each neighbour has one."""
        targets = self._ping_targets()
        for key in [key for key in self._tasks if key not in targets]:
            self._tasks.pop(key).kill()
        for key in targets.difference(self._tasks):
            self._tasks[key] = eventlet.spawn(self._maintain_link, *key)

    def _ping_targets(self) -> set[tuple[str, str]]:
        """Returns the name and address of each host to ping.

        The name of a seed is empty.
        """
        hosts = self.membership.tables.hosts
        names = self.membership.neighbours().all_hosts()
        if names:
            return {(name, hosts[name].peer) for name in names}
        return {("", seed) for seed in self.seeds if seed != self.address}

    def _maintain_link(self, name: str, address: str) -> None:
        """Keeps a link to one neighbour open and pings over it."""
        failures = 0
        while True:
            try:
                link = self.links.connect(name, address, DIAL_TIMEOUT_SECONDS)
                failures = 0
                self._ping_until_lost(link)
            except peer_link.PeerError as error:
                logs.event(
                    LOGGER, "link-lost", peer=name, address=address, error=error
                )
            except Exception:
                LOGGER.exception("event=link-failed")
            self.clock.sleep(self._retry_delay(failures))
            failures += 1

    def _retry_delay(self, failures: int) -> float:
        """Returns the exponential back-off with jitter, in seconds."""
        backoff = INITIAL_RETRY_DELAY_SECONDS * 2.0 ** min(failures, 10)
        return min(MAX_RETRY_DELAY_SECONDS, backoff) * self.rng.uniform(
            0.5, 1.0
        )

    def _ping_until_lost(self, link: peer_link.PeerLink) -> None:
        """Pings over a link until it closes or too many pings are missed.

        After missed pings the link is retired, not closed: a forwarded request
        may take longer than that, and its reply may still arrive.

        Raises:
            peer_link.PeerError: The link closed or too many pings were missed.
        """
        missed = 0
        try:
            while missed < MAX_MISSED_PINGS:
                started_at = self.clock.monotonic()
                missed = 0 if self._heartbeat(link) else missed + 1
                elapsed = self.clock.monotonic() - started_at
                self.clock.sleep(max(0.0, timing.HEARTBEAT_SECONDS - elapsed))
        except Exception:
            link.close()
            raise
        self.links.retire(link)
        raise peer_link.PeerError("too many pings without an answer")

    def _heartbeat(self, link: peer_link.PeerLink) -> bool:
        """Pings a peer and fetches the objects and facts that differ.

        Returns:
            False if the peer did not answer in time.
        """
        try:
            pong = anti_entropy.ping(
                link, self.membership, timing.PING_TIMEOUT_SECONDS
            )
            anti_entropy.repair(
                link, pong, self.store, self.facts, self.membership
            )
        except peer_link.PeerTimeoutError:
            return False
        return True

    # Links.

    def _hello(self) -> messages.Hello:
        """Returns the `Hello` that this host sends on a new link."""
        return messages.Hello(
            messages.PROTOCOL_VERSION,
            self.membership.host,
            self.membership.incarnation,
        )

    def _get_link(self, host: str, timeout: float) -> peer_link.PeerLink:
        """Returns the open link to a host; dials one if the host is listed."""
        link = self.links.find(host)
        if link is not None:
            return link
        entry = self.membership.tables.hosts.get(host)
        if entry is None:
            raise peer_link.PeerError(f"{host} is not in the host list")
        return self.links.connect(host, entry.peer, timeout)

    # Messages.

    def _handle(self, peer: messages.Hello, message: Any) -> Any:
        """Handles one received message; returns the reply or None."""
        if isinstance(message, messages.Ping):
            self.membership.on_message(message.host, message.incarnation)
            return self.membership.pong()
        if isinstance(message, messages.FetchState):
            return messages.StateObjects(
                self.store.newer_than(message.versions)
            )
        if isinstance(message, messages.StateObjects):
            return anti_entropy.apply_objects(self.store, message)
        if isinstance(message, messages.FetchFacts):
            return messages.Facts(self.facts.reply(message.facts))
        if isinstance(message, messages.Facts):
            self.facts.merge(message.facts)
            return None
        return self._handle_registered(peer, message)

    def _handle_registered(self, peer: messages.Hello, message: Any) -> Any:
        """Calls the handler of a message type; returns the reply or None."""
        handler = self.handlers.get(type(message))
        if handler is None:
            logs.event(
                LOGGER,
                "message-unexpected",
                logging.WARNING,
                peer=peer.host,
                type=type(message).__name__,
            )
            return None
        return handler(message)

    def _push_object(self, name: str) -> None:
        """Pushes a changed object down the tree of the region.

        A host gets it from its first parent; if that fails, its next ping to
        the second parent finds the difference.
        """
        children = self.membership.neighbours().first_children
        if not children:
            return
        versions = self.store.versions()
        known = {
            key: version for key, version in versions.items() if key != name
        }
        message = messages.StateObjects(self.store.newer_than(known))
        self._send_to(children, message)

    def _push_facts(self, new: dict[str, int]) -> None:
        """Pushes new facts to all neighbours."""
        self.broadcast(messages.Facts(new))

    def _send_to(self, hosts: Iterable[str], message: Any) -> None:
        """Sends a message to each host in a task of its own.

        A host without an open link gets no message, nor does any host while
        `MAX_PENDING_SENDS` messages are being sent.
        """
        for host in hosts:
            link = self.links.find(host)
            if link is not None and self._send_pool.free():
                self._send_pool.spawn_n(_send, link, message)


def _send(link: peer_link.PeerLink, message: Any) -> None:
    """Sends a message without a reply; a failure is only logged."""
    try:
        link.notify(message, SEND_TIMEOUT_SECONDS)
    except peer_link.PeerError as error:
        logs.event(
            LOGGER, "tell-failed", logging.DEBUG, peer=link.address, error=error
        )
