"""Tests which requests have crashed the upstreams that broke off answers."""

import types
import unittest

import eventlet

from gooseberryweir import clock as clocks
from gooseberryweir.connection import upstream_pool
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.request.steering import crash_checks
from gooseberryweir.request.steering import suspects
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.version import traffic

FINGERPRINT = "f"


def new_upstream(name):
    return traffic.Upstream(
        name, "read", "127.0.0.1:1", "north-a", 4, False, 0.0, 1, 1
    )


class Pool:
    """Connections to upstreams, of which some have ended."""

    def __init__(self):
        self.ended = set()

    def connect_ahead(self, endpoint):
        if endpoint.name in self.ended:
            error = upstream_pool.ConnectError("ConnectionRefusedError")
            error.refused = True
            raise error


class CrashChecksTest(unittest.TestCase):
    """Answers that end with their connections, and what became of the upstream.

    The store lists an upstream until it has ended or left.
    """

    def setUp(self):
        clock = clocks.ManualClock().interface()
        self.suspects = suspects.SuspectTracker(
            "h1", lambda _: ("h1",), lambda: [], clock.monotonic
        )
        self.pool = Pool()
        self.upstreams = [new_upstream(f"u{number}") for number in range(4)]
        self.store_cache = types.SimpleNamespace(listeners=[], upstreams={})
        self.checks = crash_checks.CrashChecks(
            crash_checks.CrashCheckDependencies(
                clock,
                self.pool,
                upstream_state.UpstreamStates(clock.monotonic),
                types.SimpleNamespace(
                    reachable=True, record_no_answer=lambda *_: None
                ),
                self.suspects,
                self.store_cache,
            )
        )
        self.list_upstreams(self.upstreams)

    def list_upstreams(self, upstreams):
        """Sets the upstreams that the store lists."""
        self.store_cache.upstreams = {each.name: each for each in upstreams}
        for listener in self.store_cache.listeners:
            listener(store_cache_module.UPSTREAMS)

    def end_answers(self, may_be_whole):
        """Ends an answer of each upstream; waits for the checks."""
        for each in self.upstreams:
            self.checks.begin(FINGERPRINT, each, may_be_whole)
        while self.checks.checked:
            eventlet.sleep(0)

    def is_refused(self):
        return self.suspects.retry_delay(FINGERPRINT) > 0

    # Guards against requests that are refused since the upstreams that have
    # answered them, in answers without a length, leave in order soon after.
    def test_upstreams_that_leave_after_whole_answers_have_not_crashed(self):
        self.end_answers(may_be_whole=True)
        self.list_upstreams([])
        self.assertFalse(self.is_refused())

    def test_torn_answers_alone_are_no_crashes(self):
        self.end_answers(may_be_whole=False)
        self.assertFalse(self.is_refused())

    def test_upstreams_that_are_replaced_after_torn_answers_have_crashed(self):
        self.end_answers(may_be_whole=False)
        self.list_upstreams([new_upstream("u9")])
        self.assertTrue(self.is_refused())

    def test_upstreams_that_refuse_connections_have_crashed(self):
        for may_be_whole in (False, True):
            with self.subTest(may_be_whole=may_be_whole):
                self.setUp()
                self.pool.ended = {each.name for each in self.upstreams}
                self.end_answers(may_be_whole)
                self.assertTrue(self.is_refused())


if __name__ == "__main__":
    unittest.main()
