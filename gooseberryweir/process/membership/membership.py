"""Membership: what this host knows of the others, and what it may do.

See docs/design/membership.md. Each answer of a peer counts from before its
question was sent, and every check reads the clock at the moment of use, so a
process that was paused finds its rights lapsed when it wakes.
"""

from collections.abc import Callable
import logging

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir.connection import messages
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import freshness as freshness_module
from gooseberryweir.process.membership import hearing as hearing_module
from gooseberryweir.process.membership import incarnation as incarnation_module
from gooseberryweir.process.membership import neighbours as neighbours_module
from gooseberryweir.process.membership import standing as standing_module
from gooseberryweir.process.membership import transitions as transitions_module
from gooseberryweir.process.membership import view as view_module
from gooseberryweir.process.shares import timing
from gooseberryweir.version import objects
from gooseberryweir.version import tables as tables_module

MAX_HOLDERS_KEPT = 10_000
_HOST_FACTS = ("incarnation/", "leaving/", "dead/")

LOGGER = logging.getLogger(__name__)


class Membership:
    """This host's place among the others.

    Attributes:
        host: Name of this host.
        own: Its incarnation, and whether it has ended.
        clock: Source of time.
        tables: The tables of the version in force.
        facts: Facts shared between the hosts.
        store: The platform objects held.
        load: Returns this host's requests in flight, for its answers.
        loads: Newest load that each peer gave.
        standing: Votes on the view.
        evidence: Evidence of freshness.
        hearing: When each peer was last heard.
        transitions: What the last periodic check found.
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
        self.standing = standing_module.Standing(host, clock)
        self.evidence = freshness_module.Evidence(host, clock)
        self.hearing = hearing_module.Hearing(clock)
        self._view = view_module.EMPTY
        self._holders: dict[str, str | None] = {}
        self._neighbours: neighbours_module.Neighbours | None = None
        self._live: frozenset[str] | None = None
        self._voters: frozenset[str] = frozenset()
        self.transitions = transitions_module.Transitions()
        self.own = incarnation_module.Incarnation(
            host, incarnation, clock, facts
        )
        self._adopt_list()
        store.listeners.append(self._on_object)
        facts.listeners.append(self._on_facts)

    @property
    def incarnation(self) -> int:
        """This host's incarnation, milliseconds since the epoch."""
        return self.own.value

    # What this host may do.

    def view(self) -> view_module.View:
        """Returns the hosts eligible for duties."""
        return self._view

    def holder(self, resource: str) -> str | None:
        """Returns the host that holds a duty by this host's view."""
        if resource not in self._holders:
            if len(self._holders) >= MAX_HOLDERS_KEPT:
                self._holders.clear()
            found = view_module.holder(self._view, resource)
            self._holders[resource] = found
        return self._holders[resource]

    def stands(self) -> bool:
        """Returns whether a majority shares this host's view now."""
        return not self.own.superseded and self.standing.stands()

    def may_exercise(self, resource: str | None = None) -> bool:
        """Returns whether this host may act as a holder now.

        Args:
            resource: The duty; None for all that its view gives it.
        """
        if self.own.superseded:
            return False
        if resource is None:
            return self.standing.may_exercise()
        return self.standing.may_hold(resource)

    def freshness(self) -> freshness_module.Freshness:
        """Returns whether this host may do keyed work now."""
        if self.own.superseded or not self.store.digest:
            return freshness_module.Freshness(
                False, "none", timing.NO_EVIDENCE_SECONDS
            )
        return self.evidence.check()

    # Whom this host knows.

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
        """Returns the live hosts less those that this host misses."""
        suspects = self.suspects()
        return self.live().difference(suspects) if suspects else self.live()

    def in_service(self) -> frozenset[str]:
        """Returns the hosts that a look-up may name.

        A listed host that no host has heard since it was listed is left out.
        """
        return frozenset(
            name
            for name in self.reachable()
            if self.facts.get(facts_module.incarnation_key(name))
        )

    def suspects(self) -> tuple[str, ...]:
        """Returns the watched hosts not heard for `SILENCE_SECONDS`."""
        watched = self._voters.union(self.neighbours().everyone())
        return tuple(
            sorted(
                name
                for name in self.hearing.silent(watched - {self.host})
                if view_module.live_incarnation(self.facts, name)
            )
        )

    # What this host hears.

    def platform_answered(self, asked_at: float) -> None:
        """Notes that the platform had nothing newer than what is held.

        Args:
            asked_at: Monotonic instant before the question was sent.
        """
        self.evidence.check()
        self.evidence.platform_at = max(self.evidence.platform_at, asked_at)

    def on_heard(self, host: str, incarnation: int = 0) -> None:
        """Notes a message from a host.

        Args:
            host: Name of the sender.
            incarnation: Its incarnation, or 0 if the message doesn't say.
        """
        if host == self.host:
            return
        known = self.facts.get(facts_module.incarnation_key(host))
        if incarnation and incarnation < known:
            return
        self.hearing.note(host, self.clock.monotonic())
        if incarnation > known:
            self.facts.add(facts_module.incarnation_key(host), incarnation)

    def on_pong(self, sent_at: float, pong: messages.Pong) -> None:
        """Takes in the answer to a ping.

        Args:
            sent_at: Monotonic instant before the ping was sent.
            pong: The answer; ignored if it is older than one taken in.
        """
        known = self.facts.get(facts_module.incarnation_key(pong.host))
        if pong.host == self.host or pong.incarnation < known:
            return
        if sent_at < self.evidence.peer(pong.host).answered_at:
            return
        if pong.incarnation > known:
            self.facts.add(
                facts_module.incarnation_key(pong.host), pong.incarnation
            )
        self.hearing.note(pong.host, sent_at)
        self.loads[pong.host] = pong.load
        self.evidence.take(sent_at, pong)
        self.evidence.agree(
            pong.host,
            sent_at,
            state=pong.state_digest == self.store.digest,
            facts=pong.facts_digest == self.facts.digest,
        )
        self.standing.votes[pong.host] = standing_module.Vote(
            self.standing.received(pong.views),
            sent_at,
            frozenset(pong.suspects),
        )

    def on_state_fetched(self, host: str, asked_at: float) -> None:
        """Notes that all state a peer held, when asked, is held here too."""
        self.evidence.agree(host, asked_at, state=True)

    def on_facts_fetched(self, host: str, asked_at: float) -> None:
        """Notes that all facts a peer held, when asked, are held here too."""
        self.evidence.agree(host, asked_at, facts=True)
        self.own.confirmed = True

    # What this host tells.

    def pong(self) -> messages.Pong:
        """Returns this host's answer to a ping."""
        return messages.Pong(
            self.host,
            self.incarnation,
            self.evidence.platform_age(),
            self.store.digest,
            self.facts.digest,
            self.standing.ages(),
            self.suspects(),
            self.load(),
            self.evidence.outage_age(),
            self.evidence.recovered,
        )

    def leave(self) -> None:
        """Tells all hosts that this incarnation is shutting down."""
        self.own.leave()

    def tick(self) -> None:
        """Runs the periodic checks; call it each `HEARTBEAT_SECONDS`."""
        self.hearing.tick()
        self.facts.forget()
        self.transitions.note_silent(self.suspects())
        self._declare_dead()
        if self.own.is_dead() and self.standing.hears_majority():
            self.own.renew()
        self.may_exercise()
        self.transitions.note_standing(self.stands(), self._view)
        self.transitions.note_freshness(self.freshness())

    # Changes of the list and of facts.

    def _on_object(self, name: str) -> None:
        """Takes in a change of the platform's list of hosts."""
        if name == objects.HOSTS:
            self._adopt_list()

    def _adopt_list(self) -> None:
        """Takes the voters from the list."""
        self._voters = neighbours_module.voters(self.tables.hosts)
        self.evidence.replace_voters(self._voters)
        self._adopt_view()

    def _on_facts(self, new: dict[str, int]) -> None:
        """Takes in new facts about hosts."""
        keys = [key for key in new if key.startswith(_HOST_FACTS)]
        for key in keys:
            self._on_host_fact(key, new[key])
        if keys:
            self.own.settle()
            live = self._live_after(keys)
            self._adopt_view()
            self._live = live

    def _live_after(self, keys: list[str]) -> frozenset[str] | None:
        """Returns the live hosts after new facts; None if not known before.

        Only the hosts of the facts are looked at, since the list is long.
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
        """Notes and logs one new fact about a host."""
        kind, _, host = key.partition("/")
        if kind == "incarnation":
            self.hearing.note(host, self.clock.monotonic())
            name = "peer-joined"
        else:
            name = f"peer-{kind}"
        logs.event(LOGGER, name, subject=host, incarnation=incarnation)

    def _adopt_view(self) -> None:
        """Builds the view again and starts its age when it changed."""
        self._neighbours = self._live = None
        self._holders.clear()
        self._view = view_module.build(
            self.facts, self.tables.hosts, self._voters
        )
        if self.standing.adopt(self._view, self._voters, self.hearing.heard):
            logs.event(
                LOGGER,
                "view-changed",
                digest=f"{self._view.digest:016x}",
                members=",".join(name for name, _ in self._view.members),
                voters=len(self._voters),
            )

    # Periodic checks.

    def _declare_dead(self) -> None:
        """Adds the fact of a death that a majority of the voters agrees on."""
        if self.host not in self._voters:
            return
        earliest = self.clock.monotonic() - timing.LEASE_SECONDS
        for name in self.transitions.silent:
            asked_after = max(earliest, self.hearing.heard.get(name, earliest))
            count = 1 + self.standing.suspected_by(name, asked_after)
            if 2 * count > len(self._voters):
                incarnation = view_module.live_incarnation(self.facts, name)
                self.facts.add(facts_module.dead_key(name), incarnation)
