"""Tests of where answers of upstreams end, with hosts as real processes."""

import contextlib
import unittest

from test import _common
from test import _front
from test import _raw

BODY_BYTES = 5000


class HeadTest(unittest.TestCase):
    """Answers to HEAD, whose head names the length of a body."""

    def setUp(self):
        self.stack = self.enterContext(contextlib.ExitStack())

    def exchange(self, host, *methods, version=b"HTTP/1.1"):
        """Returns the answers to pipelined requests for one body."""
        path = f"/read/body-0-{BODY_BYTES}"
        requests = [
            _front.request_bytes(path, method=method, request_id=str(number))
            for number, method in enumerate(methods)
        ]
        with _raw.Connection(host.address) as connection:
            connection.send(
                *(each.replace(b"HTTP/1.1", version) for each in requests)
            )
            return [connection.read_answer(each) for each in methods]

    def check(self, answers, methods):
        """Checks that each answer ends where its method says."""
        for answer, method in zip(answers, methods, strict=True):
            self.assertEqual(answer.status, 200, answer.headers)
            self.assertEqual(answer.headers["content-length"], str(BODY_BYTES))
            self.assertEqual(
                answer.body, b"" if method == "HEAD" else b"b" * BODY_BYTES
            )

    # Guards against answers to HEAD that never end (issue 40): the host waited
    # for the body that the length names and answered 504.
    def test_answer_to_head_ends_with_its_head(self):
        system = _front.System(self.stack)
        host = system.hosts[0]
        for methods in (["HEAD"], ["GET", "HEAD", "GET"], ["HEAD"] * 8):
            with self.subTest(methods):
                self.check(self.exchange(host, *methods), methods)
        answers = self.exchange(host, "HEAD", version=b"HTTP/1.0")
        self.check(answers, ["HEAD"])
        self.assertEqual(host.log_lines("event=upstream-ejected"), [])

    # The same for a host that passes requests on to another one.
    def test_answer_to_head_ends_over_a_forwarding_host(self):
        system = _front.System(self.stack, hosts=3, proxied=True)
        cut = system.hosts[0]
        system.set_faults([cut], cut=True)
        _common.wait_until(
            lambda: (
                _front.call(cut.address, "/read/x").status == 200
                and cut.log_lines("event=upstreams-unreachable")
            )
        )
        for methods in (["HEAD"], ["GET", "HEAD", "GET"]):
            with self.subTest(methods):
                self.check(self.exchange(cut, *methods), methods)
        forwarded = cut.log_lines("event=request-forwarded")
        self.assertTrue(any("result=200" in each for each in forwarded))


if __name__ == "__main__":
    unittest.main()
