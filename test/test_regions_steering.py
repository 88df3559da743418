"""Work between regions. Pattern: water filling, rate-limited shifts."""

import random
import unittest

from gooseberryweir import clock as clocks
from gooseberryweir.request.steering import regions

# Slots of the users' studio service in its three regions.
SLOTS = {"centro": 48.0, "norte": 16.0, "golfo": 32.0}


def loads(**demand):
    return {
        name: regions.RegionLoad(demand.get(name, 0.0), slots)
        for name, slots in SLOTS.items()
    }


class WaterFillingTest(unittest.TestCase):
    """How much stays and where the rest goes."""

    def test_light_work_stays(self):
        light = loads(centro=8, norte=8, golfo=8)
        for region in SLOTS:
            self.assertEqual(regions.staying_part(region, light), 1.0)

    def test_a_poor_region_sends_what_its_slots_cannot_take(self):
        heavy = loads(centro=28, norte=28, golfo=28)
        stay = regions.staying_part("norte", heavy)
        self.assertAlmostEqual(stay, 16 * (84 / 96) / 28)
        self.assertEqual(regions.staying_part("centro", heavy), 1.0)

    def test_the_rest_goes_where_there_is_room(self):
        heavy = loads(centro=28, norte=28, golfo=28)
        stay = regions.staying_part("norte", heavy)
        weights = regions.region_weights("norte", heavy, stay)
        parts = {name: weights[name] * SLOTS[name] for name in SLOTS}
        total = sum(parts.values())
        self.assertAlmostEqual(parts["norte"] / total, stay, places=3)
        self.assertGreater(parts["centro"], 20 * parts["golfo"])

    def test_a_region_without_upstreams_sends_all(self):
        lost = {**loads(norte=10), "norte": regions.RegionLoad(10, 0.0)}
        weights = regions.region_weights(
            "norte", lost, regions.staying_part("norte", lost)
        )
        self.assertGreater(weights["centro"], 0)


class StepsTest(unittest.TestCase):
    """Shifts between two windows of 2 s."""

    bound = 0.15

    def test_the_part_that_stays_moves_in_small_steps(self):
        clock = clocks.ManualClock()
        parts = regions.StayingParts(clock.interface().monotonic)
        self.assertEqual(parts.part("s", 1.0), 1.0)
        last = 1.0
        for _ in range(200):
            clock.advance(0.1)
            part = parts.part("s", 0.2)
            self.assertLessEqual(last - part, self.bound * 0.1 / 2)
            last = part
        self.assertLess(last, 0.5)

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
