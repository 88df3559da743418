"""Hosts in one process on a manual clock, with faults from a fixed seed.

Each host is a real `Membership`; the messages between them are function
calls that are lost, delayed and held back while a host is paused.
"""

from collections.abc import Callable
import heapq
import random
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import membership as membership_module
from gooseberryweir.process.shares import timing
from gooseberryweir.version import objects

PROBE_SECONDS = 0.1
RESOURCES = ("account/valle", "account/north", "slots/maps/centro")


class Entry(NamedTuple):
    """A listed host."""

    name: str
    region: str = "centro"
    peer: str = ""
    leaving: bool = False


class FakeTables:
    """The list of hosts."""

    def __init__(self, hosts: dict[str, Entry]) -> None:
        self.hosts = hosts


class FakeStore:
    """Platform objects of which only the version of the list is kept."""

    def __init__(self, version: int = 1) -> None:
        self.version = version
        self.listeners: list[Callable[[str], None]] = []

    @property
    def digest(self) -> int:
        return self.version

    def versions(self) -> dict[str, int]:
        names = [objects.HOSTS] if self.version else []
        return dict.fromkeys(names, self.version)


class Host:
    """One host: its membership and the parts below it."""

    def __init__(
        self,
        name: str,
        clock: clocks.ManualClock,
        hosts: dict[str, Entry],
        version: int = 1,
    ) -> None:
        self.tables = FakeTables(hosts)
        self.store = FakeStore(version)
        self.facts = facts_module.Facts()
        self.paused_until = 0.0
        self.membership = membership_module.Membership(
            name,
            int(clock.now * 1000),
            clock.interface(),
            self.tables,
            self.facts,
            self.store,
        )

    def take_list(self, version: int, hosts: dict[str, Entry]) -> None:
        """Applies a newer list."""
        if version > self.store.version:
            self.tables.hosts = hosts
            self.store.version = version
            for listener in self.store.listeners:
                listener(objects.HOSTS)


def exchange(asker: Host, answerer: Host) -> None:
    """Does one ping and repair without loss or delay."""
    sent_at = asker.membership.clock.monotonic()
    pong = answerer.membership.pong()
    asker.membership.on_pong(sent_at, pong)
    if pong.facts_digest != asker.facts.digest:
        answerer.facts.merge(asker.facts.snapshot())
        asker.facts.merge(answerer.facts.snapshot())
        asker.membership.on_facts_fetched(pong.host, sent_at)


def heartbeat(hosts: list[Host]) -> None:
    """Lets every host ping every other one once."""
    for asker in hosts:
        asker.membership.tick()
        for answerer in hosts:
            if answerer is not asker:
                exchange(asker, answerer)


class Simulation:
    """Some hosts, their faults, and the grants that they give.

    Attributes:
        violations: Grants given while another host's grant was alive.
        handovers: Grants given by another host than the one before.
    """

    def __init__(self, seed: int, count: int = 5) -> None:
        self.random = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.names = [f"c{number}" for number in range(count)]
        self.list = {name: Entry(name) for name in self.names}
        self.version = 1
        self.hosts = {
            name: Host(name, self.clock, self.list) for name in self.names
        }
        self.cut: frozenset[str] = frozenset()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.grants: dict[tuple[str, str], float] = {}
        self.latest: dict[str, str] = {}
        self.violations: list[tuple[float, str, str, str]] = []
        self.handovers = 0
        for name in self.names:
            self.at(self.random.uniform(0, 0.5), self.beat, name)

    def at(self, delay: float, function: Callable[..., None], *args) -> None:
        """Runs a function after a delay in seconds."""
        self.sequence += 1
        item = (self.clock.now + delay, self.sequence, lambda: function(*args))
        heapq.heappush(self.events, item)

    def run(self, seconds: float, faults: list[Callable[[], None]]) -> None:
        """Runs for some seconds with a fault every few."""
        end = self.clock.now + seconds
        self.at(5.0, self.disturb, faults)
        self.at(0.0, self.probe)
        while self.events[0][0] < end:
            at, _, function = heapq.heappop(self.events)
            self.clock.now = max(self.clock.now, at)
            function()

    def disturb(self, faults: list[Callable[[], None]]) -> None:
        """Makes one fault now and another later."""
        self.random.choice(faults)()
        self.at(self.random.uniform(0.2, 6.0), self.disturb, faults)

    def pause(self) -> None:
        """Pauses a host."""
        host = self.hosts[self.random.choice(self.names)]
        host.paused_until = self.clock.now + self.random.uniform(0.5, 9.0)

    def partition(self) -> None:
        """Cuts some hosts off from the rest for a while, or heals."""
        size = self.random.randrange(len(self.names))
        self.cut = frozenset(self.random.sample(self.names, size))

    def restart(self) -> None:
        """Replaces a host's process by one that knows only the list."""
        name = self.random.choice(self.names)
        old = self.hosts[name]
        self.hosts[name] = Host(
            name, self.clock, old.tables.hosts, old.store.version
        )

    def flap(self) -> None:
        """Changes whether the platform lists a host as leaving."""
        name = self.random.choice(self.names)
        entry = self.list[name]
        self.publish({**self.list, name: entry._replace(leaving=not entry[3])})

    def relist(self) -> None:
        """Lists some of the hosts anew."""
        size = self.random.randrange(3, len(self.names) + 1)
        names = self.random.sample(self.names, size)
        self.publish({name: Entry(name) for name in names})

    def publish(self, hosts: dict[str, Entry]) -> None:
        """Gives a new list to each host, sooner or later."""
        self.list = hosts
        self.version += 1
        for name in self.names:
            self.at(self.random.uniform(0, 4), self.learn, name, self.version)

    def learn(self, name: str, version: int) -> None:
        """Gives a host the newest list, unless it is paused."""
        host = self.hosts[name]
        if host.paused_until > self.clock.now:
            delay = host.paused_until - self.clock.now
            self.at(delay, self.learn, name, version)
        elif version == self.version:
            host.take_list(version, self.list)

    def beat(self, name: str) -> None:
        """Runs one heartbeat of a host, unless it is paused."""
        host = self.hosts[name]
        if host.paused_until <= self.clock.now:
            host.membership.tick()
            for peer in host.tables.hosts:
                if peer != name:
                    self.send(name, peer, self.ask, host, peer)
        self.at(timing.HEARTBEAT_SECONDS, self.beat, name)

    def send(
        self, origin: str, target: str, function: Callable[..., None], *args
    ) -> None:
        """Delivers a call to a host, late or never."""
        if (origin in self.cut) != (target in self.cut):
            return
        if self.random.random() < 0.1:
            return
        limit = self.random.choice((0.05, 0.05, 0.05, 0.4, 3.0))
        sent_at = self.clock.now
        delay = self.random.uniform(0, limit)
        self.at(delay, self.deliver, target, function, sent_at, *args)

    def deliver(self, target: str, function: Callable[..., None], *args):
        """Runs a delivered call once its host is not paused."""
        wait = self.hosts[target].paused_until - self.clock.now
        if wait > 0:
            self.at(wait, self.deliver, target, function, *args)
        else:
            function(*args)

    def ask(self, sent_at: float, asker: Host, target: str) -> None:
        """Answers a ping."""
        host = self.hosts[target]
        asker_name = asker.membership.host
        host.membership.on_message(asker_name, asker.membership.incarnation)
        pong = host.membership.pong()
        facts = host.facts.snapshot()
        self.send(target, asker_name, self.answer, asker, sent_at, pong, facts)

    def answer(self, _, asker: Host, sent_at, pong, facts) -> None:
        """Takes in an answer, and the facts that differ."""
        if self.hosts[asker.membership.host] is not asker:
            return
        asker.membership.on_pong(sent_at, pong)
        if pong.facts_digest != asker.facts.digest:
            asker.facts.merge(facts)
            asker.membership.on_facts_fetched(pong.host, sent_at)

    def probe(self) -> None:
        """Lets each host that may give a grant of each resource do so."""
        for name, host in self.hosts.items():
            if host.paused_until <= self.clock.now:
                for resource in RESOURCES:
                    self.grant(resource, name, host)
        self.at(PROBE_SECONDS, self.probe)

    def grant(self, resource: str, name: str, host: Host) -> None:
        """Gives a grant if the host may, and checks it against the others."""
        membership = host.membership
        if membership.home_of(resource) != name or (
            not membership.may_grant(resource)
        ):
            return
        now = self.clock.now
        for (other, granter), until in self.grants.items():
            if other == resource and granter != name and until > now:
                self.violations.append((now, resource, name, granter))
        self.grants[resource, name] = now + timing.GRANT_SECONDS
        self.handovers += self.latest.get(resource, name) != name
        self.latest[resource] = name
