"""Token buckets: no window holds more than its burst and what accrued."""

import random
import unittest
from unittest import mock

import eventlet

from gooseberryweir.connection import messages
from gooseberryweir.process.shares import bucket_holder
from gooseberryweir.process.shares import bucket_home
from gooseberryweir.process.shares import bucket_waiters
from gooseberryweir.process.shares import buckets
from gooseberryweir.process.shares import timing
from test import share_world
from test import virtual_time

BUCKET = "account/valle"
LIMITS = bucket_home.Limits(20.0, 10)
WIDE = bucket_home.Limits(200.0, 64)


def excess(spends, limits):
    """Returns by how much the worst window passes the limits."""
    level, before, worst = float(limits.burst), None, 0.0
    for at in spends:
        if before is not None:
            accrued = (at - before) * limits.rate
            level = min(limits.burst, level + accrued)
        level -= 1
        before = at
        worst = max(worst, -level)
    return worst


def draw(sequence, want, spent=None, host="h2", incarnation=1):
    return messages.Draw(
        BUCKET, host, incarnation, 1, want, spent or {}, sequence
    )


class HomeTest(unittest.TestCase):
    """The home of a bucket by itself."""

    def setUp(self):
        self.home = bucket_home.BucketHome(LIMITS, 0.0)

    def test_starts_empty_and_counts_what_is_outstanding(self):
        self.assertEqual(self.home.handle(draw(1, 5), 0.0).granted, 0)
        self.assertEqual(self.home.handle(draw(2, 10), 1.0).granted, 10)
        refused = self.home.handle(draw(1, 5, host="h3"), 1.5)
        self.assertEqual(refused.granted, 0)
        self.assertGreater(refused.retry_after, 0.0)

    def test_a_repeated_draw_gets_the_same_grant(self):
        first = self.home.handle(draw(1, 4), 1.0)
        self.assertEqual(self.home.handle(draw(1, 4), 1.1), first)
        self.assertEqual(self.home.outstanding(), 4)

    def test_an_older_draw_that_comes_late_gets_nothing(self):
        self.home.handle(draw(2, 4), 1.0)
        self.assertEqual(self.home.handle(draw(1, 4), 1.1).granted, 0)

    def test_tokens_reported_spent_make_room(self):
        self.home.handle(draw(1, 10), 1.0)
        self.home.handle(draw(2, 0, {1: 6}), 1.1)
        self.assertEqual(self.home.outstanding(), 4)

    def test_a_late_report_does_not_touch_a_newer_grant(self):
        self.home.handle(draw(1, 5), 1.0)
        self.home.handle(draw(2, 5), 1.0)
        self.home.update(1.0 + timing.GRANT_SECONDS + 0.1)
        granted = self.home.handle(draw(3, 5), 4.0).granted
        self.home.handle(draw(4, 0, {1: 5, 2: 5}), 4.1)
        self.assertEqual(self.home.outstanding(), granted)

    def test_an_earlier_incarnation_counts_until_it_runs_out(self):
        self.home.handle(draw(1, 10), 1.0)
        later = draw(1, 10, incarnation=2)
        self.assertEqual(self.home.handle(later, 1.5).granted, 0)
        stale = self.home.handle(draw(2, 10), 5.0)
        self.assertEqual(stale.granted, 0)

    def test_a_huge_want_leaves_a_part_to_others(self):
        self.home.configure(bucket_home.Limits(80.0, 10), 0.0)
        for host in ("h2", "h3"):
            self.home.handle(draw(1, 2, host=host), 0.0)
        granted = self.home.handle(draw(1, 1000, host="h4"), 0.06).granted
        self.assertEqual(granted, 1)
        self.assertEqual(
            self.home.handle(draw(2, 2, host="h2"), 0.06).granted, 2
        )

    def test_a_lower_burst_takes_from_the_level(self):
        self.home.handle(draw(1, 6), 1.0)
        self.home.configure(bucket_home.Limits(20.0, 5), 1.0)
        self.assertEqual(self.home.handle(draw(2, 5), 1.5).granted, 0)


class HolderTest(unittest.TestCase):
    """The holder of a bucket whose home is scripted."""

    def run_holder(self, grant, test):
        with virtual_time.virtual_time() as clock:
            self.draws = []

            def call(host, message, timeout):
                self.draws.append(message)
                eventlet.sleep(0.05)
                return grant(message)

            home = bucket_holder.HomeClient(
                lambda: "h1", call, lambda tokens: None, lambda: WIDE, int
            )
            holder = bucket_holder.BucketHolder(
                BUCKET, "h2", lambda: 1, clock, home
            )
            return test(holder, clock)

    def test_a_paused_process_does_not_spend_late(self):
        def test(holder, clock):
            self.assertEqual(holder.take(), bucket_waiters.Taken())
            self.assertEqual(holder.available(clock.monotonic()), 4)
            late = virtual_time.VirtualHub.manual
            late.advance(timing.GRANT_SECONDS - 0.05)
            return holder.spend(1)

        granted = messages.Grant(5, timing.GRANT_SECONDS, 0.0, True, 0.0)
        self.assertIsNone(self.run_holder(lambda draw: granted, test))

    def test_the_end_counts_from_before_a_draw_was_first_sent(self):
        replies = [None, None, messages.Grant(5, 2.0, 0.0, True, 0.0)]

        def test(holder, clock):
            begin = clock.monotonic()
            self.assertEqual(holder.take(), bucket_waiters.Taken())
            self.assertEqual({draw.sequence for draw in self.draws}, {1})
            (grant,) = holder.held_grants.values()
            return grant.expires_at - begin

        ends = self.run_holder(lambda draw: replies.pop(0), test)
        self.assertAlmostEqual(ends, 2.0)

    def test_a_taker_that_never_waits_finds_a_token_next_time(self):
        granted = messages.Grant(1, 2.0, 0.0, True, 0.0)

        def test(holder, clock):
            refused = holder.take(deadline=clock.monotonic())
            self.assertIsInstance(refused, bucket_waiters.Refused)
            eventlet.sleep(0.2)
            return holder.take(deadline=clock.monotonic())

        result = self.run_holder(lambda draw: granted, test)
        self.assertEqual(result, bucket_waiters.Taken())

    def test_takers_share_one_draw_and_a_flood_is_refused_at_once(self):
        refused = messages.Grant(0, 2.0, 5.0, True, 0.0)

        def test(holder, clock):
            takers = [eventlet.spawn(holder.take) for _ in range(100)]
            results = [taker.wait() for taker in takers]
            self.assertEqual(len(self.draws), 1)
            waited = sum(result.over_rate for result in results)
            self.assertEqual(waited, bucket_holder.MAX_WAITERS)
            before = clock.monotonic()
            again = holder.take()
            self.assertEqual(clock.monotonic(), before)
            self.assertAlmostEqual(again.retry_after, 5.0)

        self.run_holder(lambda draw: refused, test)


class FleetTest(unittest.TestCase):
    """Nine hosts with losses, repeats, pauses and moving homes."""

    def run_fleet(self, seed, clock, limits_at, seconds, limits):
        chance = random.Random(seed)
        world = share_world.World(clock, chance, 0.05, 0.1, 0.02)
        self.world = world
        spends = []
        for host in share_world.HOSTS:
            part = buckets.Buckets(
                host,
                lambda host=host: world.incarnations[host],
                clock,
                world.tenures[host],
                world.peers[host],
                (share_world.LostError,),
                lambda bucket, host=host: limits_at(host),
            )
            eventlet.spawn_n(self.spend, world, host, part, spends, limits)
        eventlet.spawn_n(world.disturb, seconds)
        eventlet.sleep(seconds)
        return sorted(spends)

    def spend(self, world, host, part, spends, limits):
        """Spends below the rate, then nothing, then all at once."""
        pace = limits.rate * 0.8 / len(share_world.HOSTS)
        while True:
            quiet_at = world.clock.monotonic() + 1.0
            while world.clock.monotonic() < quiet_at:
                eventlet.sleep(world.random.expovariate(pace))
                eventlet.spawn_n(self.spend_one, world, host, part, spends)
            eventlet.sleep(0.5)
            for _ in range(limits.burst):
                eventlet.spawn_n(self.spend_one, world, host, part, spends)

    def spend_one(self, world, host, part, spends):
        world.wait_while_paused(host)
        if isinstance(part.take(BUCKET), bucket_waiters.Taken):
            spends.append(world.clock.monotonic())

    def worst(self, limits, seed, seconds=12.0):
        with virtual_time.virtual_time(seed) as clock:
            spends = self.run_fleet(
                seed, clock, lambda host: limits, seconds, limits
            )
        ready = self.world.ready_seconds
        self.assertGreater(len(spends), ready * limits.rate / 12)
        return excess(spends, limits)

    def test_every_window_keeps_the_limits(self):
        for rate, burst in ((20.0, 1), (20.0, 5), WIDE):
            # The later seeds leave hardly any time with a home.
            for seed in (0, 1, 2, 3, 20, 149, 428):
                with self.subTest(burst=burst, seed=seed):
                    limits = bucket_home.Limits(rate, burst)
                    self.assertLess(self.worst(limits, seed), 1e-6)

    def test_a_home_that_forgets_its_grants_is_noticed(self):
        outstanding = mock.patch.object(
            bucket_home.BucketHome, "outstanding", lambda self: 0
        )
        with outstanding:
            worst = max(self.worst(WIDE, seed) for seed in range(2))
        self.assertGreater(worst, 1.0)

    def test_changed_limits_are_kept_soon(self):
        high, low = bucket_home.Limits(60.0, 60), bucket_home.Limits(10.0, 5)
        for seed in range(2):
            with (
                self.subTest(seed=seed),
                virtual_time.virtual_time(seed) as clock,
            ):
                begin = clock.monotonic()
                lags = random.Random(seed)
                learns_at = {
                    host: begin + 10.0 + lags.uniform(0.0, 0.5)
                    for host in share_world.HOSTS
                }
                spends = self.run_fleet(
                    seed,
                    clock,
                    lambda host, at=learns_at, clock=clock: (
                        high if clock.monotonic() < at[host] else low
                    ),
                    20.0,
                    high,
                )
                self.assertLess(excess(spends, high), 1e-6)
                settled = begin + 10.5 + timing.GRANT_SECONDS
                late = [at for at in spends if at > settled]
                self.assertLess(excess(late, low), 1e-6)


class WithinRateTest(unittest.TestCase):
    """An account that keeps its limits, its demand uneven over hosts."""

    def run_account(self, limits, share, seed):
        refused = []
        chance = random.Random(seed)
        with virtual_time.virtual_time(seed) as clock:
            world = share_world.World(clock, chance)
            parts = {
                host: buckets.Buckets(
                    host,
                    lambda: 1,
                    clock,
                    world.tenures[host],
                    world.peers[host],
                    (share_world.LostError,),
                    lambda bucket: limits,
                )
                for host in share_world.HOSTS
            }
            eventlet.sleep(limits.burst / limits.rate + 3.0)
            level = float(limits.burst)
            for _ in range(600):
                gap = chance.expovariate(limits.rate * share)
                level = min(limits.burst, level + gap * limits.rate)
                eventlet.sleep(gap)
                if level < 1:
                    continue
                level -= 1
                number = min(8, int(chance.expovariate(0.7)))
                part = parts[share_world.HOSTS[number]]
                eventlet.spawn_n(self.take_one, part, refused)
            eventlet.sleep(2.0)
        return refused

    def take_one(self, part, refused):
        result = part.take(BUCKET)
        refused.append(isinstance(result, bucket_waiters.Refused))

    def test_refusals_are_counted(self):
        for burst in (1, 2, 5, 20, 100):
            limits = bucket_home.Limits(20.0, burst)
            refused = self.run_account(limits, 0.8, burst)
            print(
                f"within rate: burst={burst} asked={len(refused)}"
                f" refused={sum(refused)}"
            )
            self.assertTrue(refused)
