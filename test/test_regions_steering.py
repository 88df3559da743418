"""Tests of the distribution of requests over regions, and of its changes.

Patterns: water filling, rate-limited shifts.
"""

import random
import unittest

from gooseberryweir import clock as clocks
from gooseberryweir.request.steering import regions

# Slots (requests that upstreams can process at a time) of the studio service in
# the three regions of the users of this system.
SLOTS = {"centro": 48.0, "norte": 16.0, "golfo": 32.0}
ZONE_COUNTS = {"centro": 2, "norte": 2, "golfo": 2}


def fractions_from(region, slots, accounts=()):
    """Returns the fraction of a region's objects that each region gets."""
    restricted = regions.restricted_fractions(accounts, slots)
    weights = regions.region_weights(
        region, regions.region_loads(slots, ZONE_COUNTS, restricted)
    )
    shares = {name: weights[name] * slots[name] for name in slots}
    total = sum(shares.values())
    return {name: share / total for name, share in shares.items()}


class WaterFillingTest(unittest.TestCase):
    """Fractions of requests that run in their own or in another region.

    Regions have enough, few or no slots, and some client accounts are
    restricted to regions.
    """

    def test_a_region_with_enough_slots_keeps_its_requests(self):
        for region in ("centro", "golfo"):
            self.assertGreater(fractions_from(region, SLOTS)[region], 0.99)

    def test_a_region_short_of_slots_sends_the_excess_elsewhere(self):
        fractions = fractions_from("norte", SLOTS)
        self.assertAlmostEqual(fractions["norte"], 0.5, places=3)
        self.assertGreater(fractions["centro"], 0.45)

    def test_no_region_gets_more_than_its_slots(self):
        received = dict.fromkeys(SLOTS, 0.0)
        for region in SLOTS:
            for name, fraction in fractions_from(region, SLOTS).items():
                received[name] += fraction / 3
        for name, fraction in received.items():
            self.assertLess(fraction, 1.02 * SLOTS[name] / sum(SLOTS.values()))

    def test_unrestricted_requests_yield_slots_to_restricted_ones(self):
        # A third of the rates is restricted to the region with few slots.
        accounts = [(100.0, frozenset({"norte"})), (200.0, frozenset())]
        fractions = fractions_from("norte", SLOTS, accounts)
        self.assertLess(fractions["norte"], 0.1)
        # The other regions keep their requests and have slots for those that
        # leave the region with few slots.
        for region in ("centro", "golfo"):
            self.assertGreater(
                fractions_from(region, SLOTS, accounts)[region], 0.9
            )
            self.assertLess(
                fractions_from(region, SLOTS, accounts)["norte"], 0.02
            )

    def test_requests_restricted_to_two_regions_are_split_by_slots(self):
        accounts = [(90.0, frozenset({"centro", "norte"})), (90.0, frozenset())]
        restricted = regions.restricted_fractions(accounts, SLOTS)
        self.assertAlmostEqual(restricted["centro"], 0.375)
        self.assertAlmostEqual(restricted["norte"], 0.125)

    def test_accounts_without_a_rate_reserve_no_slots(self):
        accounts = [(0.0, frozenset({"norte"})), (0.0, frozenset())]
        self.assertEqual(regions.restricted_fractions(accounts, SLOTS), {})

    def test_a_region_without_upstreams_sends_all_requests_elsewhere(self):
        fractions = fractions_from("norte", {**SLOTS, "norte": 0.0})
        self.assertEqual(fractions["norte"], 0.0)
        self.assertGreater(fractions["golfo"], 0)


class RegionShiftTest(unittest.TestCase):
    """Change of a region's fraction of requests between successive 2 s windows.

    The region preferred for most requests changes suddenly.
    """

    max_shift = 0.15

    def largest_shift(self, region_probabilities, seed):
        """Returns the largest shift to the region `away` between two windows.

        The shift is the change of the fraction of requests that are sent to the
        region, from one window to the next.

        Args:
            region_probabilities: Returns the probability with which each region
                is preferred for a request, by region, at an instant in seconds.
            seed: Seed of the random choices of regions.
        """
        clock = clocks.ManualClock()
        limiter = regions.RegionShiftLimiter(clock.interface().monotonic)
        rng = random.Random(seed)
        requests = []
        while clock.now < 1020:
            clock.advance(0.002)
            preferred = rng.choices(
                *zip(*region_probabilities(clock.now).items(), strict=True)
            )
            allowed_regions = limiter.allowed_regions({"home", "away"})
            region = (
                preferred[0]
                if preferred[0] in allowed_regions
                else min(allowed_regions)
            )
            limiter.record(region)
            requests.append((clock.now, region))
        maximum = 0.0
        for start in range(1001, 1016):
            fractions = []
            for window_start in (start, start + 2):
                in_window = [
                    request_region
                    for time, request_region in requests
                    if window_start <= time < window_start + 2
                ]
                fractions.append(in_window.count("away") / len(in_window))
            maximum = max(maximum, abs(fractions[1] - fractions[0]))
        return maximum

    def test_a_sudden_change_of_preference_shifts_at_most_the_limit(self):
        def region_probabilities(now):
            away = 0.9 if now > 1008 else 0.05
            return {"home": 1 - away, "away": away}

        for seed in range(5):
            self.assertLessEqual(
                self.largest_shift(region_probabilities, seed), self.max_shift
            )


if __name__ == "__main__":
    unittest.main()
