"""Tests of measured round trips: regions near and far apart."""

import random
import unittest

from gooseberryweir.request.steering import round_trips

REGIONS = {"n-a": "north", "n-b": "north", "s-a": "south"}


class RoundTripsTest(unittest.TestCase):
    """Estimates from the times in which connections were opened."""

    def setUp(self):
        self.round_trips = round_trips.RoundTrips("n-a", REGIONS)

    def test_before_the_first_connection_regions_count_as_further(self):
        estimates = [self.round_trips.estimate(zone) for zone in REGIONS]
        self.assertEqual(estimates, sorted(estimates))
        self.assertEqual(len(set(estimates)), 3)

    def test_estimate_follows_the_link_whatever_its_length(self):
        for seconds in (0.002, 0.04, 0.11, 0.3):
            self.setUp()
            rng = random.Random(1)
            for _ in range(50):
                self.round_trips.record("s-a", seconds + rng.random() * 0.005)
            self.assertAlmostEqual(
                self.round_trips.estimate("s-a"), seconds, delta=0.005
            )

    def test_busy_upstreams_hardly_change_it_and_a_longer_link_does(self):
        self.round_trips.record("s-a", 0.04)
        for _ in range(5):
            self.round_trips.record("s-a", 0.35)
            self.round_trips.record("s-a", 0.041)
        self.assertLess(self.round_trips.estimate("s-a"), 0.05)
        for _ in range(300):
            self.round_trips.record("s-a", 0.12)
        self.assertGreater(self.round_trips.estimate("s-a"), 0.11)


if __name__ == "__main__":
    unittest.main()
