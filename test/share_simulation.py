"""Simulates nine hosts that share token buckets and pools of slots.

Their membership and links are fakes. The home is the host that grants shares.

The fake membership keeps the guarantee of the real one: a host acts as home
only once every grant of the previous home has expired.
"""

from typing import NamedTuple

import eventlet

from gooseberryweir.process.membership import home_leases
from gooseberryweir.process.shares import timing

HOSTS = tuple(f"h{number}" for number in range(1, 10))
SAMPLE_INTERVAL_SECONDS = 0.05


class MessageLostError(Exception):
    """A message or its reply was lost."""


class View(NamedTuple):
    """Fake view (the hosts that can be homes); all hosts are members.

    Attributes:
        digest: Number in place of a hash; grows by one with each change of the
            home, so hosts that know the same home have the same digest.
        members: Names and incarnations of the hosts.
    """

    digest: int
    members: tuple[tuple[str, int], ...]


class Membership:
    """Fake membership of one host; it learns of a new home after a delay.

    Attributes:
        simulation: The simulation.
        host: Name of the host.
        home: Home known to the host, and the number of changes so far.
    """

    def __init__(self, simulation, host):
        self.simulation = simulation
        self.host = host
        self.home = simulation.home

    def view(self):
        members = tuple(sorted(self.simulation.incarnations.items()))
        return View(self.home[1], members)

    def home_of(self, resource):
        del resource
        return self.home[0]

    def may_grant(self, resource):
        del resource
        now = self.simulation.clock.monotonic()
        return (
            self.home == self.simulation.home
            and now >= self.simulation.grants_allowed_from
        )


class Peering:
    """Fake links of one host; they delay, lose and repeat messages."""

    def __init__(self, simulation, host):
        self.simulation = simulation
        self.host = host
        self.handlers = {}

    def call(self, host, message, timeout):
        simulation = self.simulation
        deadline = simulation.clock.monotonic() + timeout
        reply = eventlet.event.Event()
        for _ in range(1 + (simulation.rng.random() < simulation.repeat_rate)):
            eventlet.spawn_n(self.deliver, host, message, reply)
        result = reply.wait(timeout=timeout)
        simulation.wait_while_paused(self.host)
        if result is None or simulation.clock.monotonic() > deadline:
            raise MessageLostError
        return result

    def deliver(self, host, message, reply):
        simulation = self.simulation
        simulation.wait_while_paused(self.host)
        if simulation.simulate_delay():
            return
        simulation.wait_while_paused(host)
        result = simulation.peerings[host].handlers[type(message)](message)
        if simulation.simulate_delay():
            return
        if not reply.ready():
            reply.send(result)


class Simulation:
    """The hosts, their home, their pauses, and the state of the network.

    Attributes:
        clock: Source of time.
        rng: Source of random numbers.
        loss_rate: Fraction of messages and replies lost.
        repeat_rate: Fraction of messages delivered twice.
        slow_rate: Fraction of messages delayed by up to 1.5 s; all others are
            delayed by up to 0.04 s.
        incarnations: Incarnation of each host.
        home: Home of all limits, and the number of its changes so far.
        grants_allowed_from: Monotonic instant from which the home may grant.
        paused_until: Monotonic instant until which each host is paused.
        peerings: Links of each host.
        memberships: Membership of each host.
        home_leases: Home leases of each host.
        on_refresh: Functions called with the name of a host when its leases
            are renewed.
        ready_seconds: Total time in which every host could get grants.
    """

    def __init__(
        self, clock, rng, loss_rate=0.0, repeat_rate=0.0, slow_rate=0.0
    ):
        self.clock = clock
        self.rng = rng
        self.loss_rate = loss_rate
        self.repeat_rate = repeat_rate
        self.slow_rate = slow_rate
        self.incarnations = dict.fromkeys(HOSTS, 1)
        self.home = (HOSTS[0], 1)
        self.grants_allowed_from = clock.monotonic()
        self.paused_until = dict.fromkeys(HOSTS, 0.0)
        self.peerings = {host: Peering(self, host) for host in HOSTS}
        self.memberships = {host: Membership(self, host) for host in HOSTS}
        self.home_leases = {
            host: home_leases.HomeLeases(host, clock, self.memberships[host])
            for host in HOSTS
        }
        self.on_refresh = []
        self.ready_seconds = 0.0
        eventlet.spawn_n(self.measure_ready_time)
        for host in HOSTS:
            eventlet.spawn_n(self.refresh, host)

    def simulate_delay(self):
        """Sleeps for the delay of a message; returns True if it is lost."""
        slow = self.rng.random() < self.slow_rate
        eventlet.sleep(self.rng.uniform(0.0, 1.5 if slow else 0.04))
        return self.rng.random() < self.loss_rate

    def refresh(self, host):
        while True:
            self.wait_while_paused(host)
            self.home_leases[host].refresh()
            for refresh in self.on_refresh:
                refresh(host)
            eventlet.sleep(0.2)

    def wait_while_paused(self, host):
        while (
            remaining := self.paused_until[host] - self.clock.monotonic()
        ) > 0:
            eventlet.sleep(remaining)

    def pause(self, host, seconds):
        self.paused_until[host] = self.clock.monotonic() + seconds

    def move_home(self, host):
        """Makes another host the home; each host is informed after a delay."""
        self.home = (host, self.home[1] + 1)
        self.grants_allowed_from = self.clock.monotonic() + timing.GRANT_SECONDS
        for name in HOSTS:
            eventlet.spawn_n(self.set_home_after_delay, name, self.home)

    def set_home_after_delay(self, name, home):
        eventlet.sleep(self.rng.uniform(0.0, 1.0))
        if home[1] > self.memberships[name].home[1]:
            self.memberships[name].home = home
            self.home_leases[name].refresh()

    def measure_ready_time(self):
        """Adds up the time in which every host could get grants."""
        while True:
            eventlet.sleep(SAMPLE_INTERVAL_SECONDS)
            now = self.clock.monotonic()
            all_updated = all(
                membership.home == self.home
                for membership in self.memberships.values()
            )
            paused = self.paused_until[self.home[0]] > now
            if all_updated and not paused and now >= self.grants_allowed_from:
                self.ready_seconds += SAMPLE_INTERVAL_SECONDS

    def inject_faults(self, seconds):
        """Pauses hosts and changes the home at random for some seconds."""
        ends_at = self.clock.monotonic() + seconds
        while self.clock.monotonic() < ends_at:
            eventlet.sleep(self.rng.uniform(0.2, 2.0))
            host = self.rng.choice(HOSTS)
            if self.rng.random() < 0.5:
                self.pause(host, self.rng.uniform(0.1, 4.0))
            elif self.rng.random() < 0.3:
                self.move_home(host)
