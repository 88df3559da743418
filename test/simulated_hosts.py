"""Simulated hosts in one process on a manual clock, with seeded faults.

Each host has a real `Membership`. Messages between hosts are function calls
that may be lost or delayed, and that wait while the receiver is paused. The
home of a resource, such as a rate limit, is the host that grants shares of it.
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

GRANT_INTERVAL_SECONDS = 0.1
RESOURCES = ("account/valle", "account/north", "slots/maps/centro")


class Entry(NamedTuple):
    """An entry of the host list."""

    name: str
    region: str = "centro"
    peer: str = ""
    leaving: bool = False


class FakeTables:
    """Tables with only the host list."""

    def __init__(self, hosts: dict[str, Entry]) -> None:
        self.hosts = hosts


class FakeStore:
    """An object store with only the version of the host list."""

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
    """One host: its membership, tables, store and facts."""

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

    def apply_host_list(self, version: int, hosts: dict[str, Entry]) -> None:
        """Applies a host list if it is newer than the current one."""
        if version > self.store.version:
            self.tables.hosts = hosts
            self.store.version = version
            for listener in self.store.listeners:
                listener(objects.HOSTS)


def ping_and_repair(sender: Host, responder: Host) -> None:
    """Pings a host and exchanges differing facts, without loss or delay."""
    sent_at = sender.membership.clock.monotonic()
    pong = responder.membership.pong()
    sender.membership.on_pong(sent_at, pong)
    if pong.facts_digest != sender.facts.digest:
        responder.facts.merge(sender.facts.snapshot())
        sender.facts.merge(responder.facts.snapshot())
        sender.membership.on_facts_fetched(pong.host, sent_at)


def heartbeat(hosts: list[Host]) -> None:
    """Calls `Membership.tick` of each host; each then pings all others."""
    for sender in hosts:
        sender.membership.tick()
        for responder in hosts:
            if responder is not sender:
                ping_and_repair(sender, responder)


class Simulation:
    """Runs hosts with injected faults and checks the grants that they give.

    Attributes:
        violations: Instant, resource, granting host and earlier granting host
            of each grant given while another host's grant was valid.
        handovers: Number of grants of a resource given by another host than
            the previous grant.
    """

    def __init__(self, seed: int, count: int = 5) -> None:
        self.rng = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.names = [f"c{number}" for number in range(count)]
        self.host_list = {name: Entry(name) for name in self.names}
        self.version = 1
        self.hosts = {
            name: Host(name, self.clock, self.host_list) for name in self.names
        }
        self.isolated: frozenset[str] = frozenset()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.grants: dict[tuple[str, str], float] = {}
        self.last_granter: dict[str, str] = {}
        self.violations: list[tuple[float, str, str, str]] = []
        self.handovers = 0
        for name in self.names:
            self.schedule(self.rng.uniform(0, 0.5), self.run_heartbeat, name)

    def schedule(
        self, delay: float, function: Callable[..., None], *args
    ) -> None:
        """Schedules a function to run after a delay in seconds."""
        self.sequence += 1
        item = (self.clock.now + delay, self.sequence, lambda: function(*args))
        heapq.heappush(self.events, item)

    def run(self, seconds: float, faults: list[Callable[[], None]]) -> None:
        """Runs the simulation with a fault every few seconds.

        Args:
            seconds: Simulated time.
            faults: Functions that inject a fault, chosen at random.
        """
        end = self.clock.now + seconds
        self.schedule(5.0, self.inject_faults, faults)
        self.schedule(0.0, self.try_grants)
        while self.events[0][0] < end:
            due_at, _, function = heapq.heappop(self.events)
            self.clock.now = max(self.clock.now, due_at)
            function()

    def inject_faults(self, faults: list[Callable[[], None]]) -> None:
        """Injects one fault now and schedules the next."""
        self.rng.choice(faults)()
        self.schedule(self.rng.uniform(0.2, 6.0), self.inject_faults, faults)

    def pause(self) -> None:
        """Pauses a random host."""
        host = self.hosts[self.rng.choice(self.names)]
        host.paused_until = self.clock.now + self.rng.uniform(0.5, 9.0)

    def partition(self) -> None:
        """Isolates random hosts; an empty set of them ends a partition."""
        size = self.rng.randrange(len(self.names))
        self.isolated = frozenset(self.rng.sample(self.names, size))

    def restart(self) -> None:
        """Restarts a random host, which keeps only its host list."""
        name = self.rng.choice(self.names)
        old = self.hosts[name]
        self.hosts[name] = Host(
            name, self.clock, old.tables.hosts, old.store.version
        )

    def toggle_leaving(self) -> None:
        """Toggles the `leaving` field of a random host in the host list."""
        name = self.rng.choice(self.names)
        entry = self.host_list[name]
        self.publish(
            {**self.host_list, name: entry._replace(leaving=not entry[3])}
        )

    def replace_host_list(self) -> None:
        """Replaces the host list with at least three random hosts."""
        size = self.rng.randrange(3, len(self.names) + 1)
        names = self.rng.sample(self.names, size)
        self.publish({name: Entry(name) for name in names})

    def publish(self, hosts: dict[str, Entry]) -> None:
        """Sends a new host list to each host after a random delay."""
        self.host_list = hosts
        self.version += 1
        for name in self.names:
            self.schedule(
                self.rng.uniform(0, 4), self.receive_list, name, self.version
            )

    def receive_list(self, name: str, version: int) -> None:
        """Applies the newest host list at a host once it is not paused."""
        host = self.hosts[name]
        if host.paused_until > self.clock.now:
            delay = host.paused_until - self.clock.now
            self.schedule(delay, self.receive_list, name, version)
        elif version == self.version:
            host.apply_host_list(version, self.host_list)

    def run_heartbeat(self, name: str) -> None:
        """Runs one heartbeat of a host unless it is paused."""
        host = self.hosts[name]
        if host.paused_until <= self.clock.now:
            host.membership.tick()
            for peer in host.tables.hosts:
                if peer != name:
                    self.send(name, peer, self.handle_ping, host, peer)
        self.schedule(timing.HEARTBEAT_SECONDS, self.run_heartbeat, name)

    def send(
        self, origin: str, target: str, function: Callable[..., None], *args
    ) -> None:
        """Sends a call to a host with a random delay; it may be lost."""
        if (origin in self.isolated) != (target in self.isolated):
            return
        if self.rng.random() < 0.1:
            return
        max_delay = self.rng.choice((0.05, 0.05, 0.05, 0.4, 3.0))
        sent_at = self.clock.now
        delay = self.rng.uniform(0, max_delay)
        self.schedule(delay, self.deliver, target, function, sent_at, *args)

    def deliver(self, target: str, function: Callable[..., None], *args):
        """Runs a received call once its host is not paused."""
        delay = self.hosts[target].paused_until - self.clock.now
        if delay > 0:
            self.schedule(delay, self.deliver, target, function, *args)
        else:
            function(*args)

    def handle_ping(self, sent_at: float, sender: Host, target: str) -> None:
        """Handles a ping at its target and sends the answer."""
        host = self.hosts[target]
        sender_name = sender.membership.host
        host.membership.on_message(sender_name, sender.membership.incarnation)
        pong = host.membership.pong()
        facts = host.facts.snapshot()
        self.send(
            target, sender_name, self.handle_pong, sender, sent_at, pong, facts
        )

    def handle_pong(self, _, sender: Host, sent_at, pong, facts) -> None:
        """Handles an answer; merges the facts if their digests differ."""
        if self.hosts[sender.membership.host] is not sender:
            return
        sender.membership.on_pong(sent_at, pong)
        if pong.facts_digest != sender.facts.digest:
            sender.facts.merge(facts)
            sender.membership.on_facts_fetched(pong.host, sent_at)

    def try_grants(self) -> None:
        """Tries to grant each resource at each host that is not paused.

        Repeats this every `GRANT_INTERVAL_SECONDS`.
        """
        for name, host in self.hosts.items():
            if host.paused_until <= self.clock.now:
                for resource in RESOURCES:
                    self.try_grant(resource, name, host)
        self.schedule(GRANT_INTERVAL_SECONDS, self.try_grants)

    def try_grant(self, resource: str, name: str, host: Host) -> None:
        """Gives a grant if the host may; records violations and handovers."""
        membership = host.membership
        if membership.home_of(resource) != name or (
            not membership.may_grant(resource)
        ):
            return
        now = self.clock.now
        for (granted_resource, granter), until in self.grants.items():
            if granted_resource == resource and granter != name and until > now:
                self.violations.append((now, resource, name, granter))
        self.grants[resource, name] = now + timing.GRANT_SECONDS
        self.handovers += self.last_granter.get(resource, name) != name
        self.last_granter[resource] = name
