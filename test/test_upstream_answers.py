"""Tests of where answers of upstreams end, with hosts as real processes."""

import contextlib
import socket
import unittest

from test import _front
from test import _raw

BODY_BYTES = 5000
UPLOAD_BYTES = 99_000
SMALL_BUFFER_BYTES = 4096


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
        system.cut_off(cut)
        for methods in (["HEAD"], ["GET", "HEAD", "GET"]):
            with self.subTest(methods):
                self.check(self.exchange(cut, *methods), methods)
        forwarded = cut.log_lines("event=request-forwarded")
        self.assertTrue(any("result=200" in each for each in forwarded))


class UnreadRequestTest(unittest.TestCase):
    """Upstreams that do not read the whole body of a request."""

    def start(self, upstreams):
        """Returns a system whose upstreams have small buffers, and a host."""
        stack = self.enterContext(contextlib.ExitStack())
        system = _front.System(stack, upstreams=upstreams)
        for upstream in system.upstreams:
            upstream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
            stack.callback(upstream.release.set)
        return system, system.hosts[0]

    def upload(self, host, path):
        return _front.call(
            host.address, path, method="POST", body=b"b" * UPLOAD_BYTES
        )

    # Guards against a request behind the unread body of another one
    # (issue 40): 504 after the route's time, and no upstream ever ran it.
    def test_request_after_an_early_answer_is_served(self):
        system, host = self.start(upstreams=1)
        for _ in range(3):
            self.assertEqual(self.upload(host, "/write/early").status, 413)
            self.assertEqual(_front.call(host.address, "/read/x").status, 200)
        self.assertEqual(len(system.runs()), 3)

    # Guards against a host that refuses all requests, since its upstream does
    # not read an upload (issue 40): the upload counted as a wait for a slot.
    def test_requests_are_served_after_an_unread_upload(self):
        _, host = self.start(upstreams=1)
        for path in ("/write/unread", "/read/unread"):
            self.assertEqual(self.upload(host, path).status, 504)
            statuses = [
                _front.call(host.address, "/read/x").status for _ in range(14)
            ]
            self.assertEqual(set(statuses), {200}, statuses)


class FailedRunTest(unittest.TestCase):
    """Upstreams that run a request and fail it with a status of a refusal."""

    def call(self, system, host, path, status, *headers):
        """Returns the answer to a request that upstreams answer so."""
        for upstream in system.upstreams:
            upstream.raw_answer = [
                f"HTTP/1.1 {status} Failed\r\nRequest-Id: a\r\n".encode(),
                *(f"{each}\r\n".encode() for each in headers),
                b"Content-Length: 6\r\n\r\nfailed",
            ]
        return _front.call(
            host.address, path, method="POST", body=b"x", request_id="a"
        )

    def check(self, system, host):
        """Checks the answers of a host, whatever way the requests take."""
        stamp = "Server-Stamp: s"
        for status in (408, 429, 503):
            with self.subTest(host=host.name, status=status):
                answer = self.call(system, host, "/write/raw", status, stamp)
                self.assertEqual(answer.status, 502)
                self.assertNotIn("server-stamp", answer.headers)
                self.assertNotIn("retry-after", answer.headers)
                # Callers repeat this one after any failure.
                answer = self.call(system, host, "/read/raw", status, stamp)
                self.assertEqual(answer.status, status)
                self.assertEqual(answer.headers["server-stamp"], "s")
                self.assertEqual(answer.body, b"failed")
        for status in (500, 404):
            answer = self.call(system, host, "/write/raw", status, stamp)
            self.assertEqual(answer.status, status)
        for status in (421, 429, 503):
            answer = self.call(
                system, host, "/write/raw", status, "Not-Executed: 1"
            )
            self.assertEqual(answer.status, 503)
            self.assertIn("retry-after", answer.headers)

    # Guards against REFUSED of review 6: a request that ran and failed was
    # answered with a status that promises that it did not run.
    def test_request_that_ran_is_not_answered_as_refused(self):
        stack = self.enterContext(contextlib.ExitStack())
        system = _front.System(stack, hosts=3, proxied=True)
        self.check(system, system.hosts[1])
        system.cut_off(system.hosts[0])
        self.check(system, system.hosts[0])


if __name__ == "__main__":
    unittest.main()
