"""The links to the other hosts: server, heartbeats and messages.

One task for each neighbour dials it, pings it and repairs differences; one
task follows the list of neighbours. A pushed message that gets lost is
repaired by the next heartbeat, so pushing never waits for anybody.
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

DIAL_SECONDS = 1.0
TELL_SECONDS = 1.0
RETRY_FIRST_SECONDS = 0.1
RETRY_LIMIT_SECONDS = 2.0
MISSED_PINGS_LIMIT = 2
MAX_TELLS = 1000

LOGGER = logging.getLogger(__name__)


class Peering:
    """This host's links to the others; a context manager.

    Attributes:
        seeds: Addresses to dial while this host has no neighbours.
        membership: What is known of the others.
        facts: Facts shared between the hosts.
        store: The platform objects held.
        clock: Source of time; its sleep must let other tasks run.
        random: Source of jitter.
        handlers: Function for each further type of message, which takes the
            message and returns the reply or None.
        links: Open links to other hosts.
        server: The listening end.
        address: Its bound address, `IP:PORT`.
    """

    def __init__(
        self,
        address: str,
        seeds: Sequence[str],
        membership: membership_module.Membership,
        facts: facts_module.Facts,
        store: objects.ObjectStore,
        clock: clocks.Clock,
        jitter: random.Random,
    ) -> None:
        """Binds the server; entering the context starts all tasks.

        Args:
            address: Address to listen on, `IP:PORT`; port 0 for any.
            seeds: Addresses to dial while this host has no neighbours.
            membership: What is known of the others.
            facts: Facts shared between the hosts.
            store: The platform objects held.
            clock: Source of time; its sleep must let other tasks run.
            jitter: Source of jitter, seeded in tests.
        """
        self.seeds = tuple(seeds)
        self.membership = membership
        self.facts = facts
        self.store = store
        self.clock = clock
        self.random = jitter
        self.handlers: dict[type, Callable[[Any], Any]] = {}
        self.links = links_module.Links(self._hello, clock)
        self.server = peer_server.PeerServer(address, self._hello, self._handle)
        self.address = self.server.address
        self._tells = eventlet.GreenPool(MAX_TELLS)
        self._stack = contextlib.ExitStack()
        self._tasks: dict[tuple[str, str], Any] = {}

    def __enter__(self) -> "Peering":
        self._stack.enter_context(self.server)
        self._stack.enter_context(self.links)
        self._stack.callback(self._end_tasks)
        self._stack.callback(eventlet.spawn(self._manage).kill)
        self.store.listeners.append(self._push_object)
        self._stack.callback(self.store.listeners.remove, self._push_object)
        self.facts.listeners.append(self._push_facts)
        self._stack.callback(self.facts.listeners.remove, self._push_facts)
        return self

    def __exit__(self, *_exc: object) -> None:
        self._stack.close()

    def _end_tasks(self) -> None:
        """Ends the tasks of the neighbours."""
        for task in self._tasks.values():
            task.kill()

    def call(self, host: str, message: Any, timeout: float) -> Any:
        """Sends a message to a host, dialled if need be; returns its reply.

        Args:
            host: Name of the host.
            message: The message.
            timeout: Seconds for everything.

        Raises:
            peer_link.PeerError: There was no reply in time.
        """
        deadline = self.clock.monotonic() + timeout
        link = self._open(host, min(timeout, DIAL_SECONDS))
        return link.call(message, max(0.0, deadline - self.clock.monotonic()))

    def tell(self, message: Any) -> None:
        """Sends a message to all neighbours, without waiting."""
        self._tell(self.membership.neighbours().everyone(), message)

    # The tasks.

    def _manage(self) -> None:
        """Runs the periodic checks and follows the list of neighbours."""
        while True:
            try:
                self.membership.tick()
                self._follow_neighbours()
                neighbours = self.membership.neighbours().everyone()
                if neighbours:
                    self.links.close_idle(neighbours)
            except Exception:
                LOGGER.exception("event=peering-failed")
            self.clock.sleep(timing.HEARTBEAT_SECONDS)

    def _follow_neighbours(self) -> None:
        """Starts and ends tasks until each neighbour has one."""
        wanted = self._wanted()
        for key in [key for key in self._tasks if key not in wanted]:
            self._tasks.pop(key).kill()
        for key in wanted.difference(self._tasks):
            self._tasks[key] = eventlet.spawn(self._keep_peer, *key)

    def _wanted(self) -> set[tuple[str, str]]:
        """Returns name and address of each host to ping; seeds lack names."""
        hosts = self.membership.tables.hosts
        names = self.membership.neighbours().everyone()
        if names:
            return {(name, hosts[name].peer) for name in names}
        return {("", seed) for seed in self.seeds if seed != self.address}

    def _keep_peer(self, name: str, address: str) -> None:
        """Keeps a link to one neighbour open, with pings."""
        failures = 0
        while True:
            try:
                link = self.links.reach(name, address, DIAL_SECONDS)
                failures = 0
                self._keep_link(link)
            except peer_link.PeerError as error:
                logs.event(
                    LOGGER, "link-lost", peer=name, address=address, error=error
                )
            except Exception:
                LOGGER.exception("event=link-failed")
            self.clock.sleep(self._retry_delay(failures))
            failures += 1

    def _retry_delay(self, failures: int) -> float:
        """Returns the jittered exponential delay in seconds."""
        limit = RETRY_FIRST_SECONDS * 2.0 ** min(failures, 10)
        return min(RETRY_LIMIT_SECONDS, limit) * self.random.uniform(0.5, 1.0)

    def _keep_link(self, link: peer_link.PeerLink) -> None:
        """Pings over a link until it is closed or misses too many pings.

        Then it is retired: a call of a caller's request takes longer than
        that, and its reply may still come.
        """
        missed = 0
        try:
            while missed < MISSED_PINGS_LIMIT:
                started_at = self.clock.monotonic()
                missed = 0 if self._exchange(link) else missed + 1
                passed = self.clock.monotonic() - started_at
                self.clock.sleep(max(0.0, timing.HEARTBEAT_SECONDS - passed))
        except Exception:
            link.close()
            raise
        self.links.retire(link)
        raise peer_link.PeerError("too many pings without an answer")

    def _exchange(self, link: peer_link.PeerLink) -> bool:
        """Does one heartbeat with a peer; returns whether it answered."""
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
        """Returns what this host says of itself on a new link."""
        return messages.Hello(
            messages.PROTOCOL_VERSION,
            self.membership.host,
            self.membership.incarnation,
        )

    def _open(self, host: str, timeout: float) -> peer_link.PeerLink:
        """Returns an open link to a host; a new one only if it is listed."""
        link = self.links.find(host)
        if link is not None:
            return link
        entry = self.membership.tables.hosts.get(host)
        if entry is None:
            raise peer_link.PeerError(f"{host} is not listed")
        return self.links.reach(host, entry.peer, timeout)

    # Messages.

    def _handle(self, peer: messages.Hello, message: Any) -> Any:
        """Handles one message that arrived; returns the reply or None."""
        if isinstance(message, messages.Ping):
            self.membership.on_heard(message.host, message.incarnation)
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
        """Hands a message to the part that registered for its type."""
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
        """Forwards a changed object down the tree of the region.

        A child gets it from its first parent; if that fails, the next ping
        to the second one finds the difference.
        """
        children = self.membership.neighbours().first_children
        if not children:
            return
        versions = self.store.versions()
        known = {key: held for key, held in versions.items() if key != name}
        message = messages.StateObjects(self.store.newer_than(known))
        self._tell(children, message)

    def _push_facts(self, new: dict[str, int]) -> None:
        """Forwards new facts to all neighbours."""
        self.tell(messages.Facts(new))

    def _tell(self, hosts: Iterable[str], message: Any) -> None:
        """Sends a message to hosts, each in a task; drops it if too many."""
        for host in hosts:
            link = self.links.find(host)
            if link is not None and self._tells.free():
                self._tells.spawn_n(_tell_link, link, message)


def _tell_link(link: peer_link.PeerLink, message: Any) -> None:
    """Sends a message that may get lost."""
    try:
        link.notify(message, TELL_SECONDS)
    except peer_link.PeerError as error:
        logs.event(
            LOGGER, "tell-failed", logging.DEBUG, peer=link.address, error=error
        )
