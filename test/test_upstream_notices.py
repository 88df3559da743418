"""Tests of what upstreams ask of a host in their answers, in virtual time.

The platform's rules: an upstream that turned a request away with a time gets at
most `ALLOWED_REQUESTS` requests of that host between `REACTION_SECONDS` after
it and the end of the time; one that said that it leaves gets none later than
the bound for draining upstreams.
"""

import unittest

from hypothesis import given
from hypothesis import strategies

from gooseberryweir import clock as clocks
from gooseberryweir.platform import headers as wire
from gooseberryweir.request.steering import upstream_notices
from test import test_selection
from test import test_steering_properties

ALLOWED_REQUESTS = 2
REACTION_SECONDS = 0.5
# Longest time from the choice of an upstream until the request reaches it.
ANSWER_SECONDS = 0.2
UPSTREAMS = [f"{name}/0" for name in ("n0", "n1", "n2", "s0")]
# Upstream, time that its answer names (None for an answer without one), and
# time until the next event.
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(UPSTREAMS),
        strategies.none() | strategies.floats(0.01, 5.0),
        strategies.floats(0.0, 0.5),
    ),
    max_size=60,
)


def pause_seconds(status, *values):
    """Returns the decoded pause of an answer with Retry-After headers."""
    return wire.decode_response(
        status, tuple(("Retry-After", each) for each in values)
    ).pause_seconds


class DecodingTest(unittest.TestCase):
    """Values of the headers, of which each has a stated meaning."""

    def test_time_is_read_from_an_answer_that_turns_a_request_away(self):
        self.assertEqual(pause_seconds(503, "2"), 2.0)
        self.assertEqual(pause_seconds(503, " 0.25 "), 0.25)
        self.assertEqual(pause_seconds(503, "1e9"), 1e9)
        self.assertEqual(pause_seconds(503, "1", "3.5", "x"), 3.5)

    def test_other_answers_and_unreadable_times_name_no_time(self):
        for value in ("", "-1", "0", "nan", "inf", "soon", "1,2"):
            self.assertEqual(pause_seconds(503, value), 0.0)
        date = "Fri, 04 Dec 2026 15:00:00 GMT"
        self.assertEqual(pause_seconds(503, date), 0.0)
        self.assertEqual(pause_seconds(503), 0.0)
        for status in (200, 421, 429, 500):
            self.assertEqual(pause_seconds(status, "2"), 0.0)

    def test_any_answer_may_say_that_its_upstream_leaves(self):
        def leaving(status, *values):
            headers = tuple(("server-leaving", each) for each in values)
            return wire.decode_response(status, headers).leaving

        for status in (200, 404, 421, 500, 503):
            self.assertTrue(leaving(status, "1"))
            self.assertFalse(leaving(status))
        self.assertTrue(leaving(200, "0", " 1 "))
        for value in ("", "0", "yes", "11"):
            self.assertFalse(leaving(200, value))

    def test_caller_gets_the_headers_of_the_upstream(self):
        headers = (("Server-Leaving", "1"), ("Retry-After", "2"))
        decoded = wire.decode_response(503, headers)
        self.assertEqual(decoded.forwarded, headers)


class UpstreamNoticesTest(unittest.TestCase):
    """What a host records, and for how long."""

    def setUp(self):
        self.clock = clocks.ManualClock()
        self.notices = upstream_notices.UpstreamNotices(
            self.clock.interface().monotonic
        )

    def test_shorter_time_does_not_end_an_earlier_pause(self):
        self.notices.record_pause("u/1", 3.0)
        self.clock.advance(1.0)
        self.notices.record_pause("u/1", 0.5)
        self.assertAlmostEqual(self.notices.pause_seconds("u/1"), 2.0)
        self.notices.record_pause("u/1", 4.0)
        self.assertAlmostEqual(self.notices.pause_seconds("u/1"), 4.0)

    def test_huge_time_is_bounded(self):
        self.notices.record_pause("u/1", 1e9)
        self.clock.advance(upstream_notices.MAX_PAUSE_SECONDS)
        self.assertTrue(self.notices.accepts("u/1"))

    def test_pause_does_not_bind_the_next_process_of_that_name(self):
        self.notices.record_pause("u/1", 3.0)
        self.assertFalse(self.notices.accepts("u/1"))
        self.assertTrue(self.notices.accepts("u/2"))

    def test_ended_pauses_are_forgotten_and_others_stay(self):
        self.notices.record_pause("u/1", 1.0)
        self.notices.record_pause("u/2", 3.0)
        self.clock.advance(2.0)
        self.notices.forget_ended_pauses()
        self.assertEqual(list(self.notices.paused_until), ["u/2"])

    def test_records_of_leaving_upstreams_are_bounded(self):
        for number in range(upstream_notices.MAX_LEAVING_UPSTREAMS + 3):
            self.notices.record_leaving(f"u/{number}", "answer")
        self.assertEqual(
            len(self.notices.leaving), upstream_notices.MAX_LEAVING_UPSTREAMS
        )
        self.assertTrue(self.notices.accepts("u/0"))
        self.assertFalse(self.notices.accepts("u/3"))

    @test_steering_properties.REPEATABLE
    @given(EVENTS)
    def test_no_request_is_chosen_for_an_upstream_inside_a_named_time(
        self, events
    ):
        host = test_selection.SelectingHost()
        named = []
        for upstream, seconds, delay in events:
            if seconds is not None:
                host.notices.record_pause(upstream, seconds)
                named.append((upstream, host.clock.now, seconds))
            host.clock.advance(delay)
            choice = host.choose("o1")
            arrival = host.clock.now + ANSWER_SECONDS
            paused = {
                each
                for each, start, length in named
                if start + REACTION_SECONDS < arrival < start + length
            }
            if choice is not None:
                self.assertNotIn(choice.upstream.incarnation, paused)


class FleetTest(unittest.TestCase):
    """82 hosts whose upstreams turn requests away, with a manual clock.

    Some hosts are suspended inside the named time.
    """

    HOSTS = 82
    PAUSE_SECONDS = 3.0
    STEP_SECONDS = 0.05
    # A host sends a request in this many steps.
    STEPS_PER_REQUEST = 4

    def test_no_upstream_gets_more_than_the_allowed_requests_of_a_host(self):
        clock = clocks.ManualClock()
        hosts = [test_selection.SelectingHost(clock) for _ in range(self.HOSTS)]
        arrivals = {}
        answers = []
        for step in range(200):
            clock.advance(self.STEP_SECONDS)
            for at, host, upstream in [a for a in answers if a[0] <= clock.now]:
                answers.remove((at, host, upstream))
                hosts[host].notices.record_pause(upstream, self.PAUSE_SECONDS)
            for index, host in enumerate(hosts):
                is_suspended = index % 5 == 0 and 20 <= step < 50
                is_due = (step + index) % self.STEPS_PER_REQUEST == 0
                choice = None
                if is_due and not is_suspended:
                    choice = host.choose(f"o{step % 7}")
                if choice is not None:
                    upstream = choice.upstream.incarnation
                    arrivals.setdefault((index, upstream), []).append(clock.now)
                    answers.append(
                        (clock.now + ANSWER_SECONDS, index, upstream)
                    )
        self.assertGreater(len(arrivals), self.HOSTS)
        for times in arrivals.values():
            for turned_away_at in times:
                late = [
                    each
                    for each in times
                    if turned_away_at + REACTION_SECONDS
                    < each
                    < turned_away_at + self.PAUSE_SECONDS
                ]
                self.assertLessEqual(len(late), ALLOWED_REQUESTS)


if __name__ == "__main__":
    unittest.main()
