"""Tests that no more slots are in use than an upstream or a region has.

An upstream has one slot for each request that it processes concurrently.
"""

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
from test import share_simulation
from test import virtual_time

CLASSES = {
    "live": slot_limits.WorkClass(1, 0.1),
    "archive": slot_limits.WorkClass(2, 0.3),
}
POOL = "slots/maps/norte"


def upstream_entry(name, count=8, leaving=False):
    return tables.UpstreamEntry(
        name, "maps", "norte", "z", "127.0.0.1:1", count, 330, leaving
    )


class FakeUpstreams:
    """Upstreams known to all hosts of a test; tests change them.

    Attributes:
        entries: Upstreams by name.
        drains: Drained upstreams and regions, such as `upstream/u1`.
        dead: Names of upstreams that are unhealthy.
        reports: Load reports by upstream name.
    """

    def __init__(self, *entries):
        self.entries = {entry.name: entry for entry in entries}
        self.drains = frozenset()
        self.dead = set()
        self.reports = {}

    def sources(self):
        return slot_capacity.UpstreamSources(
            lambda service: list(self.entries.values()),
            lambda: self.drains,
            lambda name: name not in self.dead,
            self.reports.get,
        )

    def total(self):
        return sum(entry.slots for entry in self.entries.values())


class HomeTest(unittest.TestCase):
    """Slots that the home of a pool, the host that grants them, gives to hosts.

    The pool has two upstreams with 8 slots each.
    """

    def setUp(self):
        self.clock = clocks.ManualClock()
        self.upstreams = FakeUpstreams(
            upstream_entry("u1"), upstream_entry("u2")
        )
        capacities = slot_capacity.Capacities(
            self.clock.interface(), self.upstreams.sources()
        )
        self.members = (("h1", 1), ("h2", 1))
        pool = slot_home.Pool(
            "maps", "norte", capacities, lambda: CLASSES, lambda: self.members
        )
        self.home = slot_home.SlotHome(pool, self.clock.now)
        self.clock.advance(slot_home.REPORT_WAIT_SECONDS)
        self.sequence = 0

    def request(self, host, requested, held=None, in_use=None, **fields):
        self.sequence += 1
        message = messages.DrawSlots(
            POOL,
            host,
            1,
            1,
            requested,
            held or {},
            in_use or {},
            (),
            self.sequence,
        )._replace(**fields)
        return self.home.handle(message, self.clock.now)

    def test_each_class_leaves_as_many_slots_free_as_its_headroom(self):
        self.assertEqual(
            sum(self.request("h1", {"archive": 99}).slots.values()), 11
        )
        self.assertEqual(
            sum(self.request("h2", {"live": 99}).slots.values()), 3
        )

    def test_grants_go_to_the_least_loaded_upstreams(self):
        self.assertEqual(
            self.request("h1", {"live": 4}).slots, {"u1": 2, "u2": 2}
        )

    def test_a_repeated_request_gets_the_same_grant(self):
        first = self.request("h1", {"live": 3}, sequence=5)
        self.assertIs(self.request("h1", {"live": 3}, sequence=5), first)
        self.assertEqual(sum(self.home.allocated().values()), 3)

    def test_slots_of_a_silent_host_count_until_it_is_dead(self):
        self.request("h2", {"live": 14})
        self.clock.advance(60.0)
        self.assertEqual(self.request("h1", {"live": 1}).slots, {})
        self.members = (("h1", 1),)
        self.assertEqual(sum(self.request("h1", {"live": 1}).slots.values()), 1)

    def test_a_new_home_waits_for_reports_of_slots_in_use(self):
        self.home.started_at = self.clock.now
        self.assertEqual(self.request("h1", {"live": 1}).slots, {})
        self.request("h2", {}, {"u1": 8, "u2": 6}, {"u1": 8, "u2": 6})
        self.assertEqual(self.request("h1", {"live": 1}).slots, {})
        self.assertEqual(sum(self.home.allocated().values()), 14)

    def test_a_drained_upstream_keeps_only_slots_in_use(self):
        self.request("h1", {"live": 6})
        self.upstreams.drains = frozenset(["upstream/u1"])
        grant = self.request("h1", {}, {"u1": 3, "u2": 3}, {"u1": 1})
        self.assertEqual(grant.slots, {"u1": 1, "u2": 3})

    def test_a_new_upstream_gains_its_slots_gradually(self):
        self.request("h1", {})
        self.upstreams.entries["u3"] = upstream_entry("u3")
        usable = self.home.usable_slots(self.clock.now)
        self.assertEqual(usable, {"u1": 8, "u2": 8, "u3": 2})
        self.clock.advance(slot_capacity.COLD_RAMP_SECONDS)
        self.assertEqual(self.home.usable_slots(self.clock.now)["u3"], 8)

    def test_load_reports_only_lower_the_usable_slots(self):
        self.upstreams.reports["u1"] = slot_capacity.LoadReport(0, 99, 0.0)
        self.assertEqual(self.home.usable_slots(self.clock.now)["u1"], 8)
        self.upstreams.reports["u1"] = slot_capacity.LoadReport(99, 8, 0.0)
        self.assertEqual(self.home.usable_slots(self.clock.now)["u1"], 4)
        self.upstreams.reports["u1"] = slot_capacity.LoadReport(99, 8, 3.0)
        self.assertEqual(self.home.usable_slots(self.clock.now)["u1"], 8)

    def test_a_host_with_all_slots_returns_some_to_a_waiting_host(self):
        held = self.request("h1", {"live": 99}).slots
        self.request("h2", {"live": 2})
        kept = self.request("h1", {"live": 99}, held, held).slots
        self.assertEqual(sum(kept.values()), 12)


class ExpectedDelayTest(unittest.TestCase):
    """A host requests slots after the home of the pool replied with a delay."""

    def test_an_important_class_requests_slots_while_another_waits(self):
        def call(host, message, timeout):
            if "live" in message.requested:
                return messages.SlotGrant({"u1": 1}, 2.0, 0.0, True, 1, False)
            return messages.SlotGrant({}, 2.0, 5.0, True, 1, True)

        home = slot_holder.HomeClient(
            find_host=lambda: "h2",
            call=call,
            upstreams=lambda: {"u1": upstream_entry("u1", 5)},
            dead_upstreams=frozenset,
            importance={"live": 1, "archive": 3}.__getitem__,
            view_digest=lambda: 1,
        )
        with virtual_time.virtual_time() as clock:
            holder = slot_holder.SlotHolder(
                "slots/maps/norte", "h1", lambda: 1, clock, home
            )
            none = frozenset()
            deadline = clock.monotonic() + 10.0
            eventlet.spawn_n(holder.acquire, "archive", none, deadline)
            eventlet.sleep(0.1)
            lease = holder.acquire("live", none, clock.monotonic() + 0.5)
        self.assertIsInstance(lease, slot_lease.Lease)


class FleetTest(unittest.TestCase):
    """Slots in use of nine hosts that share a pool, under faults.

    Messages are lost, hosts pause, upstreams die and the home moves.
    """

    def start(self, clock, rng, upstreams, loss_rate=0.03):
        self.simulation = share_simulation.Simulation(
            clock, rng, loss_rate, 0.1, 0.02
        )
        self.in_use = collections.Counter()
        self.results = collections.Counter()
        self.upstreams = upstreams
        sources = slots.PoolSources(
            upstreams.sources(),
            lambda service: CLASSES,
            lambda: [("maps", "norte")],
            frozenset,
        )
        self.slots_by_host = {
            host: slots.Slots(
                host,
                lambda host=host: self.simulation.incarnations[host],
                clock,
                self.simulation.home_leases[host],
                self.simulation.peerings[host],
                (share_simulation.MessageLostError,),
                sources,
            )
            for host in share_simulation.HOSTS
        }
        self.simulation.on_refresh.append(
            lambda host: self.slots_by_host[host].refresh()
        )

    def request(self, host, work_class, seconds):
        self.simulation.wait_while_paused(host)
        lease = self.slots_by_host[host].acquire("maps", "norte", work_class)
        self.results[work_class, type(lease).__name__] += 1
        if isinstance(lease, slot_lease.Refused):
            return
        with lease:
            name = lease.upstream.name
            self.assertNotIn(name, self.upstreams.dead)
            self.in_use[name] += 1
            self.record_excess(name)
            eventlet.sleep(seconds)
            self.simulation.wait_while_paused(host)
            self.in_use[name] -= 1

    def record_excess(self, name):
        upstream_slots = self.upstreams.entries[name].slots
        limit = int(self.upstreams.total() * 0.9)
        self.excess = max(
            self.excess,
            self.in_use[name] - upstream_slots,
            sum(self.in_use.values()) - limit,
        )

    def send_load(self, host, rng, request_rate):
        """Repeats: sends at a low rate, then a burst to use spare slots."""
        while True:
            for _ in range(40):
                eventlet.sleep(rng.expovariate(request_rate))
                work_class = rng.choice(["live", "archive"])
                seconds = rng.choice([0.02, 0.02, 0.02, 2.0])
                eventlet.spawn_n(self.request, host, work_class, seconds)
            eventlet.sleep(0.1)
            for _ in range(10):
                eventlet.spawn_n(self.request, host, "live", 0.5)

    def toggle_upstreams(self, rng):
        names = sorted(self.upstreams.entries)
        while True:
            eventlet.sleep(rng.uniform(1.0, 4.0))
            name = rng.choice(names)
            self.upstreams.dead ^= {name}

    def run_fleet(self, seed, task_order=None, seconds=25.0):
        self.excess = 0
        rng = random.Random(seed)
        upstreams = FakeUpstreams(
            *(upstream_entry(f"u{n}", 5) for n in range(4))
        )
        task_order = seed if task_order is None else task_order
        with virtual_time.virtual_time(task_order) as clock:
            self.start(clock, rng, upstreams)
            for number, host in enumerate(share_simulation.HOSTS):
                eventlet.spawn_n(self.send_load, host, rng, 20 / (1 + number))
            eventlet.spawn_n(self.toggle_upstreams, rng)
            eventlet.spawn_n(self.simulation.inject_faults, seconds)
            eventlet.sleep(seconds)
        return self.excess

    def test_no_upstream_and_no_region_is_overloaded(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                self.assertLessEqual(self.run_fleet(seed), 0)
                self.assertGreater(self.results["live", "Lease"], 50)

    def test_a_host_paused_while_the_home_moves_overloads_nothing(self):
        self.excess = 0
        rng = random.Random(2)
        upstreams = FakeUpstreams(
            *(upstream_entry(f"u{n}", 5) for n in range(4))
        )
        with virtual_time.virtual_time() as clock:
            self.start(clock, rng, upstreams)
            eventlet.sleep(5.0)
            for _ in range(10):
                eventlet.spawn_n(self.request, "h1", "live", 20.0)
            eventlet.sleep(1.0)
            self.assertGreater(sum(self.in_use.values()), 5)
            for host in share_simulation.HOSTS[1:]:
                eventlet.spawn_n(self.send_load, host, rng, 10.0)
            self.simulation.move_home("h9")
            eventlet.sleep(timing.GRANT_SECONDS - 0.1)
            self.simulation.pause(
                "h1", timing.SILENCE_SECONDS + timing.GRANT_SECONDS + 0.8
            )
            eventlet.sleep(8.0)
        self.assertLessEqual(self.excess, 0)

    def test_the_check_detects_a_home_that_skips_the_wait_for_reports(self):
        with mock.patch.object(slot_home, "REPORT_WAIT_SECONDS", 0.0):
            self.assertGreater(max(self.run_fleet(seed) for seed in (1, 4)), 0)

    def test_the_check_detects_a_home_that_ignores_allocated_slots(self):
        with mock.patch.object(
            slot_home.SlotHome, "allocated", lambda home: {}
        ):
            self.assertGreater(self.run_fleet(0), 0)

    def test_a_busy_pool_serves_the_most_important_class_first(self):
        rng = random.Random(1)
        upstreams = FakeUpstreams(
            upstream_entry("u1", 10), upstream_entry("u2", 10)
        )
        with virtual_time.virtual_time() as clock:
            self.excess = 0
            self.start(clock, rng, upstreams, loss_rate=0.0)
            eventlet.sleep(4.0)
            for host in share_simulation.HOSTS:
                for work_class in ("archive", "live"):
                    for _ in range(10):
                        eventlet.spawn_n(self.request, host, work_class, 1.5)
            eventlet.sleep(3.0)
        live = self.results["live", "Lease"]
        self.assertGreater(live, self.results["archive", "Lease"])

    def test_a_slot_that_expired_during_a_pause_is_not_used(self):
        with virtual_time.virtual_time() as clock:
            self.excess = 0
            self.start(
                clock,
                random.Random(1),
                FakeUpstreams(upstream_entry("u1")),
                loss_rate=0.0,
            )
            eventlet.sleep(4.0)
            host_slots = self.slots_by_host["h5"]
            lease = host_slots.acquire("maps", "norte", "live")
            lease.release()
            holder = host_slots.get_slot_holder("maps", "norte")
            self.assertIsNotNone(holder.choose_upstream(1, frozenset()))
            virtual_time.VirtualHub.manual_clock.advance(timing.GRANT_SECONDS)
            self.assertIsNone(holder.choose_upstream(1, frozenset()))
