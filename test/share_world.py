"""Nine hosts with fake membership and links, for the tests of shares.

Membership's promise is taken as given: a host acts as home only once every
grant of the earlier home has run out.
"""

from typing import NamedTuple

import eventlet

from gooseberryweir.process.membership import home_leases
from gooseberryweir.process.shares import timing

HOSTS = tuple(f"h{number}" for number in range(1, 10))
SAMPLE_SECONDS = 0.05


class LostError(Exception):
    """A message or its reply was lost."""


class View(NamedTuple):
    """A view of all hosts."""

    digest: int
    members: tuple[tuple[str, int], ...]


class Membership:
    """One host's membership: follows the world's home after a delay."""

    def __init__(self, world, host):
        self.world = world
        self.host = host
        self.known = world.home

    def view(self):
        members = tuple(sorted(self.world.incarnations.items()))
        return View(self.known[1], members)

    def home_of(self, resource):
        del resource
        return self.known[0]

    def may_grant(self, resource):
        del resource
        now = self.world.clock.monotonic()
        return self.known == self.world.home and now >= self.world.begins_at


class Peering:
    """One host's links, with delays, losses, repeats and pauses."""

    def __init__(self, world, host):
        self.world = world
        self.host = host
        self.handlers = {}

    def call(self, host, message, timeout):
        world = self.world
        deadline = world.clock.monotonic() + timeout
        reply = eventlet.event.Event()
        for _ in range(1 + (world.random.random() < world.repeats)):
            eventlet.spawn_n(self.deliver, host, message, reply)
        answer = reply.wait(timeout=timeout)
        world.wait_while_paused(self.host)
        if answer is None or world.clock.monotonic() > deadline:
            raise LostError
        return answer

    def deliver(self, host, message, reply):
        world = self.world
        world.wait_while_paused(self.host)
        if world.delay():
            return
        world.wait_while_paused(host)
        answer = world.peers[host].handlers[type(message)](message)
        if world.delay():
            return
        if not reply.ready():
            reply.send(answer)


class World:
    """The hosts, who is home, who is paused, and how bad the network is."""

    def __init__(self, clock, random, losses=0.0, repeats=0.0, slow=0.0):
        self.clock = clock
        self.random = random
        self.losses = losses
        self.repeats = repeats
        self.slow = slow
        self.incarnations = dict.fromkeys(HOSTS, 1)
        self.home = (HOSTS[0], 1)
        self.begins_at = clock.monotonic()
        self.paused_until = dict.fromkeys(HOSTS, 0.0)
        self.peers = {host: Peering(self, host) for host in HOSTS}
        self.members = {host: Membership(self, host) for host in HOSTS}
        self.tenures = {
            host: home_leases.HomeLeases(host, clock, self.members[host])
            for host in HOSTS
        }
        self.on_refresh = []
        self.ready_seconds = 0.0
        eventlet.spawn_n(self.count_ready)
        for host in HOSTS:
            eventlet.spawn_n(self.refresh, host)

    def delay(self):
        """Sleeps as long as a message travels; True if it is lost."""
        slow = self.random.random() < self.slow
        eventlet.sleep(self.random.uniform(0.0, 1.5 if slow else 0.04))
        return self.random.random() < self.losses

    def refresh(self, host):
        while True:
            self.wait_while_paused(host)
            self.tenures[host].refresh()
            for refresh in self.on_refresh:
                refresh(host)
            eventlet.sleep(0.2)

    def wait_while_paused(self, host):
        while (left := self.paused_until[host] - self.clock.monotonic()) > 0:
            eventlet.sleep(left)

    def pause(self, host, seconds):
        self.paused_until[host] = self.clock.monotonic() + seconds

    def move_home(self, host):
        """Makes another host the home; the others learn of it later."""
        self.home = (host, self.home[1] + 1)
        self.begins_at = self.clock.monotonic() + timing.GRANT_SECONDS
        for name in HOSTS:
            eventlet.spawn_n(self.learn_home, name, self.home)

    def learn_home(self, name, home):
        eventlet.sleep(self.random.uniform(0.0, 1.0))
        if home[1] > self.members[name].known[1]:
            self.members[name].known = home
            self.tenures[name].refresh()

    def count_ready(self):
        """Counts the seconds in which every host could draw from the home."""
        while True:
            eventlet.sleep(SAMPLE_SECONDS)
            now = self.clock.monotonic()
            known = all(m.known == self.home for m in self.members.values())
            paused = self.paused_until[self.home[0]] > now
            if known and not paused and now >= self.begins_at:
                self.ready_seconds += SAMPLE_SECONDS

    def disturb(self, seconds):
        """Pauses hosts and moves the home at random for some seconds."""
        ends_at = self.clock.monotonic() + seconds
        while self.clock.monotonic() < ends_at:
            eventlet.sleep(self.random.uniform(0.2, 2.0))
            host = self.random.choice(HOSTS)
            if self.random.random() < 0.5:
                self.pause(host, self.random.uniform(0.1, 4.0))
            elif self.random.random() < 0.3:
                self.move_home(host)
