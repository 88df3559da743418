"""Work between regions. Pattern: water filling, rate-limited shifts."""

import random
import unittest

from gooseberryweir import clock as clocks
from gooseberryweir.request.steering import regions

# Slots of the users' studio service in its three regions.
SLOTS = {"centro": 48.0, "norte": 16.0, "golfo": 32.0}


ZONES = {"centro": 2, "norte": 2, "golfo": 2}


def parts_from(region, slots, accounts=()):
    """Returns the part of a region's objects that each region gets."""
    bound = regions.bound_parts(accounts, slots)
    weights = regions.region_weights(
        region, regions.region_loads(slots, ZONES, bound)
    )
    shares = {name: weights[name] * slots[name] for name in slots}
    total = sum(shares.values())
    return {name: share / total for name, share in shares.items()}


class WaterFillingTest(unittest.TestCase):
    """How much stays and where the rest goes."""

    def test_a_region_with_room_keeps_its_work(self):
        for region in ("centro", "golfo"):
            self.assertGreater(parts_from(region, SLOTS)[region], 0.99)

    def test_a_poor_region_sends_what_its_slots_cannot_take(self):
        parts = parts_from("norte", SLOTS)
        self.assertAlmostEqual(parts["norte"], 0.5, places=3)
        self.assertGreater(parts["centro"], 0.45)

    def test_no_region_gets_more_than_its_slots(self):
        got = dict.fromkeys(SLOTS, 0.0)
        for region in SLOTS:
            for name, part in parts_from(region, SLOTS).items():
                got[name] += part / 3
        for name, part in got.items():
            self.assertLess(part, 1.02 * SLOTS[name] / sum(SLOTS.values()))

    def test_other_work_makes_room_for_what_is_bound_to_a_region(self):
        # A third of the rates may run in the poor region alone.
        accounts = [(100.0, frozenset({"norte"})), (200.0, frozenset())]
        parts = parts_from("norte", SLOTS, accounts)
        self.assertLess(parts["norte"], 0.1)
        # Regions with room keep their own work, and get the rest of the poor
        # one's; what is bound elsewhere leaves them room for it.
        for region in ("centro", "golfo"):
            self.assertGreater(parts_from(region, SLOTS, accounts)[region], 0.9)
            self.assertLess(parts_from(region, SLOTS, accounts)["norte"], 0.02)

    def test_work_bound_to_two_regions_is_split_by_their_slots(self):
        accounts = [(90.0, frozenset({"centro", "norte"})), (90.0, frozenset())]
        bound = regions.bound_parts(accounts, SLOTS)
        self.assertAlmostEqual(bound["centro"], 0.375)
        self.assertAlmostEqual(bound["norte"], 0.125)

    def test_accounts_without_a_rate_set_nothing_aside(self):
        accounts = [(0.0, frozenset({"norte"})), (0.0, frozenset())]
        self.assertEqual(regions.bound_parts(accounts, SLOTS), {})

    def test_a_region_without_upstreams_sends_all(self):
        parts = parts_from("norte", {**SLOTS, "norte": 0.0})
        self.assertEqual(parts["norte"], 0.0)
        self.assertGreater(parts["golfo"], 0)


class StepsTest(unittest.TestCase):
    """Shifts between two windows of 2 s."""

    bound = 0.15

    def shift(self, wishes, seed):
        """Returns the largest part that moved between two windows."""
        clock = clocks.ManualClock()
        bound = regions.ShiftBound(clock.interface().monotonic)
        chance = random.Random(seed)
        ran = []
        while clock.now < 1020:
            clock.advance(0.002)
            wish = chance.choices(*zip(*wishes(clock.now).items(), strict=True))
            allowed = bound.allowed({"home", "away"})
            region = wish[0] if wish[0] in allowed else min(allowed)
            bound.add(region)
            ran.append((clock.now, region))
        most = 0.0
        for start in range(1001, 1016):
            parts = []
            for begin in (start, start + 2):
                inside = [r for at, r in ran if begin <= at < begin + 2]
                parts.append(inside.count("away") / len(inside))
            most = max(most, abs(parts[1] - parts[0]))
        return most

    def test_a_burst_that_wants_to_leave_moves_within_the_bound(self):
        def wishes(now):
            away = 0.9 if now > 1008 else 0.05
            return {"home": 1 - away, "away": away}

        for seed in range(5):
            self.assertLessEqual(self.shift(wishes, seed), self.bound)


if __name__ == "__main__":
    unittest.main()
