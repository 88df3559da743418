"""Tests of requests that crash upstreams, with hosts as real processes."""

import contextlib
import functools
import time
import unittest

from gooseberryweir import codes
from gooseberryweir.process.fleet import store_cache
from test import _front

UPSTREAMS = 8
SUSPECT = str(int(codes.Code.SUSPECT_REQUEST))
# Crashes at which a request is refused. Until it is found that the upstream of
# the last one has ended, a retry and the two other hosts may cause more.
CRASH_LIMIT = 3
MAX_CRASHES = CRASH_LIMIT + 3
MAX_REQUESTS = 30
# A request so often, and so long after the last crash is it found.
PAUSE_SECONDS = 0.4
REQUESTS = 12


class CrashAmidAnswerTest(unittest.TestCase):
    """Upstreams that crash, or break off, in the middle of an answer."""

    def setUp(self):
        stack = self.enterContext(contextlib.ExitStack())
        self.system = _front.System(stack, upstreams=UPSTREAMS)

    def call(self, number, path):
        """Returns the answer of one of the hosts, by the number of the call."""
        host = self.system.hosts[number % len(self.system.hosts)]
        return _front.call(host.address, path, method="POST", body=b"x")

    def restart(self, upstream, old_name):
        """Replaces the entry of an upstream that crashed."""
        self.system.store.delete("servers", old_name)
        self.system.store.put("servers", upstream.name, upstream.entry())

    def count_crashes(self):
        return sum(each.crashes for each in self.system.upstreams)

    def check_refused(self, path):
        """Checks that a request is refused after it has crashed upstreams."""
        for number in range(MAX_REQUESTS):
            answer = self.call(number, path)
            if answer.headers.get("gooseberryweir-code") == SUSPECT:
                break
            time.sleep(PAUSE_SECONDS)
        self.assertEqual(answer.headers.get("gooseberryweir-code"), SUSPECT)
        self.assertEqual(answer.status, 503)
        self.assertGreaterEqual(self.count_crashes(), CRASH_LIMIT)
        self.assertLessEqual(self.count_crashes(), MAX_CRASHES)

    # Guards against BUDGET of review 9: a request that crashed upstreams after
    # the first bytes of their answers was sent on and on.
    def test_request_is_refused_if_upstreams_end_amid_answers(self):
        for upstream in self.system.upstreams:
            upstream.stops_on_crash = True
        self.check_refused("/read/crash-framed")

    # The same if the end of the connection looks like that of the answer.
    def test_request_is_refused_if_answers_without_length_end_so(self):
        for upstream in self.system.upstreams:
            upstream.stops_on_crash = True
        self.check_refused("/write/crash-unframed")

    # The same if the upstreams are back before anybody connects to them.
    def test_request_is_refused_if_upstreams_are_started_again_at_once(self):
        for upstream in self.system.upstreams:
            upstream.on_crash = functools.partial(self.restart, upstream)
        # Hosts that have just started keep upstreams that the store lacks.
        time.sleep(store_cache.REREGISTRATION_SECONDS)
        self.check_refused("/write/crash-framed")

    # Guards against requests that are refused since faulty upstreams, which run
    # on, break off their answers.
    def test_torn_answers_alone_are_no_crashes(self):
        for number in range(REQUESTS):
            for action in ("short-0-100", "torn-0-100", "nolength-0-100"):
                answer = self.call(number, f"/read/{action}")
                whole = action.startswith("nolength")
                self.assertEqual(answer.status, 200 if whole else 502)
            time.sleep(PAUSE_SECONDS / 2)
        for host in self.system.hosts:
            self.assertEqual(host.log_lines("event=upstream-crashed"), [])


if __name__ == "__main__":
    unittest.main()
