"""Membership: the live peers, and what this host may do.

A host may serve requests while it is fresh, and it may act as the home of a
resource (the host that grants shares of it) while a majority supports it. See
docs/design/membership.md. The age of a peer's answer is counted from before its
request was sent, and every check reads the clock when it is called, so a
process that was paused too long may do neither when it resumes.
"""

from collections.abc import Callable
import logging

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir.connection import messages
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import failure_detector
from gooseberryweir.process.membership import freshness as freshness_module
from gooseberryweir.process.membership import incarnation as incarnation_module
from gooseberryweir.process.membership import neighbours as neighbours_module
from gooseberryweir.process.membership import quorum as quorum_module
from gooseberryweir.process.membership import transitions as transitions_module
from gooseberryweir.process.membership import view as view_module
from gooseberryweir.process.shares import timing
from gooseberryweir.version import objects
from gooseberryweir.version import tables as tables_module

MAX_CACHED_HOMES = 10_000
_HOST_FACT_PREFIXES = ("incarnation/", "leaving/", "dead/")

LOGGER = logging.getLogger(__name__)


class Membership:
    """This host's view of the fleet, its leases and its freshness.

    Attributes:
        host: Name of this host.
        own_incarnation: The incarnation of this process.
        clock: Source of time.
        tables: The active tables.
        facts: Facts shared between the hosts.
        store: Platform objects of this host.
        load: Returns this host's number of requests in flight, for its pongs.
        loads: Latest number of requests in flight of each peer, by name.
        quorum: Votes of the peers on the view.
        freshness_tracker: Confirmations that decide if this host is fresh.
        failure_detector: Detects peers that have become silent.
        transitions: Logs what has changed since the last call of `tick`.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        clock: clocks.Clock,
        tables: tables_module.Tables,
        facts: facts_module.Facts,
        store: objects.ObjectStore,
    ) -> None:
        self.host = host
        self.clock = clock
        self.tables = tables
        self.facts = facts
        self.store = store
        self.load: Callable[[], int] = lambda: 0
        self.loads: dict[str, int] = {}
        self.quorum = quorum_module.Quorum(host, clock)
        self.freshness_tracker = freshness_module.FreshnessTracker(host, clock)
        self.failure_detector = failure_detector.FailureDetector(clock)
        self._view = view_module.EMPTY_VIEW
        self._homes: dict[str, str | None] = {}
        self._neighbours: neighbours_module.Neighbours | None = None
        self._live: frozenset[str] | None = None
        self._voters: frozenset[str] = frozenset()
        self.transitions = transitions_module.Transitions()
        self.own_incarnation = incarnation_module.Incarnation(
            host, incarnation, clock, facts
        )
        self._on_host_list()
        store.listeners.append(self._on_object)
        facts.listeners.append(self._on_facts)

    @property
    def incarnation(self) -> int:
        """This host's incarnation, in milliseconds since the epoch."""
        return self.own_incarnation.value

    # Homes of the resources, and what this host may do.

    def view(self) -> view_module.View:
        """Returns the hosts that can be homes."""
        return self._view

    def home_of(self, resource: str) -> str | None:
        """Returns the home of a resource under this host's view.

        Returns None if the view has no members.
        """
        if resource not in self._homes:
            if len(self._homes) >= MAX_CACHED_HOMES:
                self._homes.clear()
            home = view_module.home_of(self._view, resource)
            self._homes[resource] = home
        return self._homes[resource]

    def has_majority(self) -> bool:
        """Returns True if a majority of the voters has this host's view."""
        return (
            not self.own_incarnation.superseded and self.quorum.has_majority()
        )

    def may_grant(self, resource: str | None = None) -> bool:
        """Returns True if this host may act as a home now.

        Args:
            resource: Name of the resource; None for all resources of this
                host.
        """
        if self.own_incarnation.superseded:
            return False
        if resource is None:
            return self.quorum.may_grant_all()
        return self.quorum.may_grant(resource)

    def freshness(self) -> freshness_module.Freshness:
        """Returns the freshness of this host now."""
        if self.own_incarnation.superseded or not self.store.digest:
            return freshness_module.Freshness(
                False, "none", timing.NO_CONFIRMATION_AGE_SECONDS
            )
        return self.freshness_tracker.check()

    # Peers of this host.

    def neighbours(self) -> neighbours_module.Neighbours:
        """Returns the hosts that this host pings."""
        if self._neighbours is None:
            self._neighbours = neighbours_module.find(
                self.host, self.tables.hosts, self.live()
            )
        return self._neighbours

    def live(self) -> frozenset[str]:
        """Returns the listed hosts that are neither leaving nor dead."""
        if self._live is None:
            self._live = view_module.live_hosts(self.facts, self.tables.hosts)
        return self._live

    def reachable(self) -> frozenset[str]:
        """Returns the live hosts that this host does not suspect."""
        suspects = self.suspected_hosts()
        return self.live().difference(suspects) if suspects else self.live()

    def lookup_candidates(self) -> frozenset[str]:
        """Returns the hosts that the answer to a caller's look-up may list.

        A listed host without a known incarnation is left out, since no host
        has heard from it yet.
        """
        return frozenset(
            name
            for name in self.reachable()
            if self.facts.get(facts_module.incarnation_key(name))
        )

    def suspected_hosts(self) -> tuple[str, ...]:
        """Returns the monitored hosts not heard from for `SILENCE_SECONDS`.

        A host monitors the voters and its neighbours.
        """
        monitored = self._voters.union(self.neighbours().all_hosts())
        return tuple(
            sorted(
                name
                for name in self.failure_detector.silent_hosts(
                    monitored - {self.host}
                )
                if view_module.live_incarnation(self.facts, name)
            )
        )

    # Messages that this host receives.

    def platform_answered(self, requested_at: float) -> None:
        """Records that the platform had no newer objects than this host.

        Args:
            requested_at: Monotonic instant before the request was sent, in
                seconds.
        """
        self.freshness_tracker.check()
        self.freshness_tracker.platform_confirmed_at = max(
            self.freshness_tracker.platform_confirmed_at, requested_at
        )

    def on_message(self, host: str, incarnation: int = 0) -> None:
        """Records that a message from a host arrived.

        Args:
            host: Name of the sender.
            incarnation: Incarnation of the sender, or 0 if not in the message.
        """
        if host == self.host:
            return
        known_incarnation = self.facts.get(facts_module.incarnation_key(host))
        if incarnation and incarnation < known_incarnation:
            return
        self.failure_detector.record(host, self.clock.monotonic())
        if incarnation > known_incarnation:
            self.facts.add(facts_module.incarnation_key(host), incarnation)

    def on_pong(self, sent_at: float, pong: messages.Pong) -> None:
        """Handles the answer to a ping.

        Args:
            sent_at: Monotonic instant before the ping was sent, in seconds.
            pong: The answer; ignored if a newer one was handled before.
        """
        known_incarnation = self.facts.get(
            facts_module.incarnation_key(pong.host)
        )
        if pong.host == self.host or pong.incarnation < known_incarnation:
            return
        if sent_at < self.freshness_tracker.peer(pong.host).pinged_at:
            return
        if pong.incarnation > known_incarnation:
            self.facts.add(
                facts_module.incarnation_key(pong.host), pong.incarnation
            )
        self.failure_detector.record(pong.host, sent_at)
        self.loads[pong.host] = pong.load
        self.freshness_tracker.record_pong(sent_at, pong)
        self.freshness_tracker.record_match(
            pong.host,
            sent_at,
            state=pong.state_digest == self.store.digest,
            facts=pong.facts_digest == self.facts.digest,
        )
        self.quorum.votes[pong.host] = quorum_module.Vote(
            self.quorum.to_spans(pong.views),
            sent_at,
            frozenset(pong.suspects),
        )

    def on_state_fetched(self, host: str, requested_at: float) -> None:
        """Records that all platform objects of a peer were fetched.

        Args:
            host: Name of the peer.
            requested_at: Monotonic instant before the request was sent, in
                seconds.
        """
        self.freshness_tracker.record_match(host, requested_at, state=True)

    def on_facts_fetched(self, host: str, requested_at: float) -> None:
        """Records that all facts of a peer were fetched.

        Args:
            host: Name of the peer.
            requested_at: Monotonic instant before the request was sent, in
                seconds.
        """
        self.freshness_tracker.record_match(host, requested_at, facts=True)
        self.own_incarnation.facts_fetched = True

    # Messages that this host sends, and the checks of each heartbeat.

    def pong(self) -> messages.Pong:
        """Returns this host's answer to a ping."""
        return messages.Pong(
            self.host,
            self.incarnation,
            self.freshness_tracker.platform_age(),
            self.store.digest,
            self.facts.digest,
            self.quorum.held_views(),
            self.suspected_hosts(),
            self.load(),
            self.freshness_tracker.outage_age(),
            self.freshness_tracker.recovered,
        )

    def leave(self) -> None:
        """Publishes that this incarnation is shutting down."""
        self.own_incarnation.leave()

    def tick(self) -> None:
        """Updates what depends on elapsed time, and logs what has changed.

        Drops obsolete facts, declares hosts dead, renews this host's
        incarnation if it was declared dead, and drops the former voters when a
        majority of them has this host's view. Call it every
        `HEARTBEAT_SECONDS`.
        """
        self.failure_detector.tick()
        self.facts.drop_obsolete()
        self.transitions.update_silent_hosts(self.suspected_hosts())
        self._declare_dead()
        if self.own_incarnation.is_dead() and self.quorum.reaches_majority():
            self.own_incarnation.renew()
        self.may_grant()
        self.transitions.update_majority(self.has_majority(), self._view)
        self.transitions.update_freshness(self.freshness())

    # Changes of the host list and of facts.

    def _on_object(self, name: str) -> None:
        """Handles a change of the platform's host list."""
        if name == objects.HOSTS:
            self._on_host_list()

    def _on_host_list(self) -> None:
        """Updates the voters and the view from the host list."""
        self._voters = neighbours_module.voters(self.tables.hosts)
        self.freshness_tracker.replace_voters(self._voters)
        self._rebuild_view()

    def _on_facts(self, new: dict[str, int]) -> None:
        """Handles new facts about hosts."""
        keys = [key for key in new if key.startswith(_HOST_FACT_PREFIXES)]
        for key in keys:
            self._on_host_fact(key, new[key])
        if keys:
            self.own_incarnation.check_facts()
            live = self._updated_live_hosts(keys)
            self._rebuild_view()
            self._live = live

    def _updated_live_hosts(self, keys: list[str]) -> frozenset[str] | None:
        """Returns the live hosts after new facts.

        Only the hosts of these facts are checked, since the host list is long.

        Args:
            keys: Keys of the new facts.

        Returns:
            The live hosts, or None if they were not cached before.
        """
        if self._live is None:
            return None
        names = {key.partition("/")[2] for key in keys}
        entries = {
            name: self.tables.hosts[name]
            for name in names
            if name in self.tables.hosts
        }
        return (self._live - names) | view_module.live_hosts(
            self.facts, entries
        )

    def _on_host_fact(self, key: str, incarnation: int) -> None:
        """Records and logs one new fact about a host."""
        kind, _, host = key.partition("/")
        if kind == "incarnation":
            self.failure_detector.record(host, self.clock.monotonic())
            name = "peer-joined"
        else:
            name = f"peer-{kind}"
        logs.event(LOGGER, name, subject=host, incarnation=incarnation)

    def _rebuild_view(self) -> None:
        """Rebuilds the view; adopts and logs it if it changed."""
        self._neighbours = self._live = None
        self._homes.clear()
        self._view = view_module.build(
            self.facts, self.tables.hosts, self._voters
        )
        if self.quorum.adopt(
            self._view, self._voters, self.failure_detector.last_heard
        ):
            logs.event(
                LOGGER,
                "view-changed",
                digest=f"{self._view.digest:016x}",
                members=",".join(name for name, _ in self._view.members),
                voters=len(self._voters),
            )

    # Detection of dead hosts.

    def _declare_dead(self) -> None:
        """Declares each host dead that a majority of the voters suspects."""
        if self.host not in self._voters:
            return
        earliest = self.clock.monotonic() - timing.LEASE_SECONDS
        for name in self.transitions.silent_hosts:
            requested_after = max(
                earliest, self.failure_detector.last_heard.get(name, earliest)
            )
            count = 1 + self.quorum.count_suspecting(name, requested_after)
            if 2 * count > len(self._voters):
                incarnation = view_module.live_incarnation(self.facts, name)
                self.facts.add(facts_module.dead_key(name), incarnation)
