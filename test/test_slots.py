"""Slot pools: never more in use than an upstream or a region has."""

import collections
import random
import unittest
from unittest import mock

import eventlet

from gooseberryweir import clock as clocks
from gooseberryweir.connection import messages
from gooseberryweir.process.shares import slot_capacity
from gooseberryweir.process.shares import slot_holder
from gooseberryweir.process.shares import slot_home
from gooseberryweir.process.shares import slot_lease
from gooseberryweir.process.shares import slot_limits
from gooseberryweir.process.shares import slots
from gooseberryweir.process.shares import timing
from gooseberryweir.version import tables
from test import share_world
from test import virtual_time

CLASSES = {
    "live": slot_limits.WorkClass(1, 0.1),
    "archive": slot_limits.WorkClass(2, 0.3),
}
POOL = "slots/maps/norte"


def entry(name, count=8, leaving=False):
    return tables.UpstreamEntry(
        name, "maps", "norte", "z", "127.0.0.1:1", count, 330, leaving
    )


class Platform:
    """What the hosts know of upstreams; changed by the tests."""

    def __init__(self, *entries):
        self.entries = {item.name: item for item in entries}
        self.drains = frozenset()
        self.dead = set()
        self.reports = {}

    def sources(self):
        return slot_capacity.Sources(
            lambda service: list(self.entries.values()),
            lambda: self.drains,
            lambda name: name not in self.dead,
            self.reports.get,
        )

    def total(self):
        return sum(item.slots for item in self.entries.values())


class HomeTest(unittest.TestCase):
    """The home of a pool by itself."""

    def setUp(self):
        self.clock = clocks.ManualClock()
        self.platform = Platform(entry("u1"), entry("u2"))
        capacities = slot_capacity.Capacities(
            self.clock.interface(), self.platform.sources()
        )
        self.members = (("h1", 1), ("h2", 1))
        pool = slot_home.Pool(
            "maps", "norte", capacities, lambda: CLASSES, lambda: self.members
        )
        self.home = slot_home.SlotHome(pool, self.clock.now)
        self.clock.advance(slot_home.REPORT_WAIT_SECONDS)
        self.sequence = 0

    def draw(self, host, want, held=None, busy=None, **fields):
        self.sequence += 1
        message = messages.DrawSlots(
            POOL, host, 1, 1, want, held or {}, busy or {}, (), self.sequence
        )._replace(**fields)
        return self.home.draw(message, self.clock.now)

    def test_a_class_leaves_its_headroom_and_a_step_to_those_above(self):
        self.assertEqual(
            sum(self.draw("h1", {"archive": 99}).slots.values()), 11
        )
        self.assertEqual(sum(self.draw("h2", {"live": 99}).slots.values()), 3)

    def test_grants_go_to_the_least_loaded_upstreams(self):
        self.assertEqual(self.draw("h1", {"live": 4}).slots, {"u1": 2, "u2": 2})

    def test_a_repeated_draw_gets_the_same_grant(self):
        first = self.draw("h1", {"live": 3}, sequence=5)
        self.assertIs(self.draw("h1", {"live": 3}, sequence=5), first)
        self.assertEqual(sum(self.home.counted().values()), 3)

    def test_a_silent_host_counts_until_it_is_dead(self):
        self.draw("h2", {"live": 14})
        self.clock.advance(60.0)
        self.assertEqual(self.draw("h1", {"live": 1}).slots, {})
        self.members = (("h1", 1),)
        self.assertEqual(sum(self.draw("h1", {"live": 1}).slots.values()), 1)

    def test_a_new_home_first_hears_what_hosts_use(self):
        self.home.started_at = self.clock.now
        self.assertEqual(self.draw("h1", {"live": 1}).slots, {})
        self.draw("h2", {}, {"u1": 8, "u2": 6}, {"u1": 8, "u2": 6})
        self.assertEqual(self.draw("h1", {"live": 1}).slots, {})
        self.assertEqual(sum(self.home.counted().values()), 14)

    def test_a_drained_upstream_keeps_only_what_is_in_use(self):
        self.draw("h1", {"live": 6})
        self.platform.drains = frozenset(["upstream/u1"])
        grant = self.draw("h1", {}, {"u1": 3, "u2": 3}, {"u1": 1})
        self.assertEqual(grant.slots, {"u1": 1, "u2": 3})

    def test_a_new_upstream_gains_its_slots_slowly(self):
        self.draw("h1", {})
        self.platform.entries["u3"] = entry("u3")
        usable = self.home.usable(self.clock.now)
        self.assertEqual(usable, {"u1": 8, "u2": 8, "u3": 2})
        self.clock.advance(slot_capacity.COLD_RAMP_SECONDS)
        self.assertEqual(self.home.usable(self.clock.now)["u3"], 8)

    def test_reports_only_lower_what_is_granted(self):
        self.platform.reports["u1"] = slot_capacity.Report(0, 99, 0.0)
        self.assertEqual(self.home.usable(self.clock.now)["u1"], 8)
        self.platform.reports["u1"] = slot_capacity.Report(99, 8, 0.0)
        self.assertEqual(self.home.usable(self.clock.now)["u1"], 4)
        self.platform.reports["u1"] = slot_capacity.Report(99, 8, 3.0)
        self.assertEqual(self.home.usable(self.clock.now)["u1"], 8)

    def test_a_host_with_all_slots_yields_to_one_that_waits(self):
        held = self.draw("h1", {"live": 99}).slots
        self.draw("h2", {"live": 2})
        kept = self.draw("h1", {"live": 99}, held, held).slots
        self.assertEqual(sum(kept.values()), 12)


class ExpectationTest(unittest.TestCase):
    """What a holder concludes from what its home told it."""

    def test_important_work_asks_although_other_work_was_put_off(self):
        def call(host, draw, timeout):
            if "live" in draw.requested:
                return messages.SlotGrant({"u1": 1}, 2.0, 0.0, True, 1, False)
            return messages.SlotGrant({}, 2.0, 5.0, True, 1, True)

        home = slot_holder.Home(
            find=lambda: "h2",
            call=call,
            entries=lambda: {"u1": entry("u1", 5)},
            dead=frozenset,
            importance={"live": 1, "archive": 3}.__getitem__,
            view=lambda: 1,
        )
        with virtual_time.virtual_time() as clock:
            holder = slot_holder.SlotHolder(
                "slots/maps/norte", "h1", lambda: 1, clock, home
            )
            none = frozenset()
            deadline = clock.monotonic() + 10.0
            eventlet.spawn_n(holder.acquire, "archive", none, deadline)
            eventlet.sleep(0.1)
            found = holder.acquire("live", none, clock.monotonic() + 0.5)
        self.assertIsInstance(found, slot_lease.Lease)


class FleetTest(unittest.TestCase):
    """Nine hosts with losses, repeats, pauses, deaths and moving homes."""

    def start(self, clock, chance, platform, losses=0.03):
        self.world = share_world.World(clock, chance, losses, 0.1, 0.02)
        self.busy = collections.Counter()
        self.results = collections.Counter()
        self.platform = platform
        sources = slots.Sources(
            platform.sources(),
            lambda service: CLASSES,
            lambda: [("maps", "norte")],
            frozenset,
        )
        self.parts = {
            host: slots.Slots(
                host,
                lambda host=host: self.world.incarnations[host],
                clock,
                self.world.tenures[host],
                self.world.peers[host],
                (share_world.LostError,),
                sources,
            )
            for host in share_world.HOSTS
        }
        self.world.on_refresh.append(lambda host: self.parts[host].refresh())

    def request(self, host, work_class, seconds):
        self.world.wait_while_paused(host)
        lease = self.parts[host].acquire("maps", "norte", work_class)
        self.results[work_class, type(lease).__name__] += 1
        if isinstance(lease, slot_lease.Refused):
            return
        with lease:
            name = lease.upstream.name
            self.assertNotIn(name, self.platform.dead)
            self.busy[name] += 1
            self.check(name)
            eventlet.sleep(seconds)
            self.world.wait_while_paused(host)
            self.busy[name] -= 1

    def check(self, name):
        slots_there = self.platform.entries[name].slots
        limit = int(self.platform.total() * 0.9)
        self.excess = max(
            self.excess,
            self.busy[name] - slots_there,
            sum(self.busy.values()) - limit,
        )

    def load(self, host, chance, pace):
        """Quiet work, with surges that find slots in reserve."""
        while True:
            for _ in range(40):
                eventlet.sleep(chance.expovariate(pace))
                work_class = chance.choice(["live", "archive"])
                seconds = chance.choice([0.02, 0.02, 0.02, 2.0])
                eventlet.spawn_n(self.request, host, work_class, seconds)
            eventlet.sleep(0.1)
            for _ in range(10):
                eventlet.spawn_n(self.request, host, "live", 0.5)

    def kill_upstreams(self, chance):
        names = sorted(self.platform.entries)
        while True:
            eventlet.sleep(chance.uniform(1.0, 4.0))
            name = chance.choice(names)
            self.platform.dead ^= {name}

    def run_fleet(self, seed, order=None, seconds=25.0):
        self.excess = 0
        chance = random.Random(seed)
        platform = Platform(*(entry(f"u{n}", 5) for n in range(4)))
        order = seed if order is None else order
        with virtual_time.virtual_time(order) as clock:
            self.start(clock, chance, platform)
            for number, host in enumerate(share_world.HOSTS):
                eventlet.spawn_n(self.load, host, chance, 20 / (1 + number))
            eventlet.spawn_n(self.kill_upstreams, chance)
            eventlet.spawn_n(self.world.disturb, seconds)
            eventlet.sleep(seconds)
        return self.excess

    def test_no_upstream_and_no_region_is_overloaded(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                self.assertLessEqual(self.run_fleet(seed), 0)
                self.assertGreater(self.results["live", "Lease"], 50)

    def test_a_host_paused_past_the_wait_for_reports_overloads_nothing(self):
        self.excess = 0
        chance = random.Random(2)
        platform = Platform(*(entry(f"u{n}", 5) for n in range(4)))
        with virtual_time.virtual_time() as clock:
            self.start(clock, chance, platform)
            eventlet.sleep(5.0)
            for _ in range(10):
                eventlet.spawn_n(self.request, "h1", "live", 20.0)
            eventlet.sleep(1.0)
            self.assertGreater(sum(self.busy.values()), 5)
            for host in share_world.HOSTS[1:]:
                eventlet.spawn_n(self.load, host, chance, 10.0)
            self.world.move_home("h9")
            eventlet.sleep(timing.GRANT_SECONDS - 0.1)
            self.world.pause(
                "h1", timing.SILENCE_SECONDS + timing.GRANT_SECONDS + 0.8
            )
            eventlet.sleep(8.0)
        self.assertLessEqual(self.excess, 0)

    def test_a_home_that_does_not_wait_for_reports_is_noticed(self):
        with mock.patch.object(slot_home, "REPORT_WAIT_SECONDS", 0.0):
            self.assertGreater(max(self.run_fleet(seed) for seed in (1, 4)), 0)

    def test_a_home_that_counts_nothing_is_noticed(self):
        with mock.patch.object(slot_home.SlotHome, "counted", lambda home: {}):
            self.assertGreater(self.run_fleet(0), 0)

    def test_a_busy_pool_serves_the_most_important_first(self):
        chance = random.Random(1)
        platform = Platform(entry("u1", 10), entry("u2", 10))
        with virtual_time.virtual_time() as clock:
            self.excess = 0
            self.start(clock, chance, platform, losses=0.0)
            eventlet.sleep(4.0)
            for host in share_world.HOSTS:
                for work_class in ("archive", "live"):
                    for _ in range(10):
                        eventlet.spawn_n(self.request, host, work_class, 1.5)
            eventlet.sleep(3.0)
        live = self.results["live", "Lease"]
        self.assertGreater(live, self.results["archive", "Lease"])

    def test_a_slot_that_ran_out_during_a_pause_is_not_used(self):
        with virtual_time.virtual_time() as clock:
            self.excess = 0
            self.start(
                clock, random.Random(1), Platform(entry("u1")), losses=0.0
            )
            eventlet.sleep(4.0)
            part = self.parts["h5"]
            lease = part.acquire("maps", "norte", "live")
            lease.release()
            holder = part.holder("maps", "norte")
            self.assertIsNotNone(holder.pick(1, frozenset()))
            virtual_time.VirtualHub.manual.advance(timing.GRANT_SECONDS)
            self.assertIsNone(holder.pick(1, frozenset()))
