"""Tests of decisions under loads that were seen at users, without a network.

Each class names the pattern that it answers. All run in virtual time or with a
manual clock.
"""

import random
import unittest

from bench import placement
from gooseberryweir.request.steering import reachability
from test import test_forwarding
from test import virtual_time

# The project's goal for the worth of a day with such troubles.
MIN_CREDIT = 0.65


class OverloadedUpstreamsTest(unittest.TestCase):
    """Pattern: all upstreams are so busy that new connections time out.

    Probes get no answer in time, since they need a new connection, while
    requests in flight are answered, most of them over kept connections.
    """

    def setUp(self):
        self.clock = self.enterContext(virtual_time.virtual_time())
        self.upstreams = [test_forwarding.upstream(n) for n in range(9)]
        self.probes = 0

    def probe(self, _upstream, timeout):
        self.probes += 1
        self.clock.sleep(timeout)
        return False

    def play(self, answered, new_answered_every):
        """Returns whether a host takes this for a cut, within five seconds.

        Args:
            answered: True if requests over kept connections are answered.
            new_answered_every: A new connection out of this many is answered;
                None for none.
        """
        state = reachability.UpstreamReachability(
            reachability.Probing(lambda: self.upstreams, self.probe),
            self.clock,
            random.Random(1),
        )
        changes = []
        state.listeners.append(lambda: changes.append(state.reachable))
        for step in range(100):
            name = self.upstreams[step % 9].name
            state.record_sent(name)
            if new_answered_every and step % new_answered_every == 0:
                state.record_answer(name, True)
            else:
                state.record_no_answer(name, True)
            if answered:
                state.record_answer(self.upstreams[0].name, False)
            state.record_ended(name)
            self.clock.sleep(0.05)
        return bool(changes)

    def test_overloaded_upstreams_are_not_taken_for_a_cut(self):
        self.assertFalse(self.play(answered=True, new_answered_every=5))
        self.assertGreater(self.probes, 0)

    def test_cut_of_all_or_of_new_connections_is_still_found(self):
        self.assertTrue(self.play(answered=False, new_answered_every=None))
        self.assertTrue(self.play(answered=True, new_answered_every=None))


class LostRegionTest(unittest.TestCase):
    """Pattern: nearly half of the upstreams are lost at a heavy rate.

    The objects are cold where they move to, so requests take three times as
    long until those upstreams have handled them.
    """

    def credit(self, seed):
        """Returns the credit per request; a late answer has a fifth."""
        outcomes = placement.simulate(
            placement.POLICIES["affinity by region, early refusal"],
            seed,
            rate=900.0,
            seconds=10.0,
            site=placement.MENU,
            events=[(3.0, placement.lose("port"))],
        )
        served = outcomes["in objective"] + 0.2 * outcomes["late"]
        return served / outcomes["asked"]

    def test_queues_do_not_grow_while_objects_are_cold(self):
        # The upstreams that are left run 1,000 requests a second once warm.
        for seed in (1, 2):
            self.assertGreater(self.credit(seed), MIN_CREDIT)


if __name__ == "__main__":
    unittest.main()
