"""Tests how real hosts forward bodies, disconnects, timeouts and answers."""

import hashlib
import random
import time
import unittest

from gooseberryweir import codes
from test import _common
from test import _deployments
from test import _raw
from test.standins import serving

BODY_SIZES = (0, 1, 20_000_000)
MAX_BODY_BYTES = 32 * 1024 * 1024
SEED = 11
# Larger than a body that a host buffers, so that the body is streamed.
STREAMED_BODY_BYTES = 200_000
BODY_DELAY_SECONDS = 0.3
TIMEOUT_HEADER = "Request-Timeout"
# Longer than all waits of the tests, so that only the caller's disconnect ends
# the request.
LONG_REQUEST_TARGET = "/contracts?sleep_ms=300000"
LONG_REQUEST_TIMEOUT_LINE = "Request-Timeout: 300"


class HostTest(unittest.TestCase):
    """Base of test classes that each share one deployment among their tests."""

    upstreams = 3
    settings = {"max_body_bytes": MAX_BODY_BYTES, "statsd": "127.0.0.1:9"}

    @classmethod
    def setUpClass(cls):
        cls.running = cls.enterClassContext(
            _deployments.deployment(3, cls.upstreams, 9, settings=cls.settings)
        )
        _deployments.wait_serving(cls.running)
        cls.host = next(iter(cls.running.host_specs))
        cls.key = cls.running.keys["ada"]

    def connect(self):
        address = self.running.addresses[f"caller:{self.host}"]
        return self.enterContext(_raw.Connection(address))

    def total(self, name):
        """Returns the sum of a number that all upstreams report."""
        reports = self.running.reports().values()
        return sum(report[name] for report in reports)


class BodiesTest(HostTest):
    """Bodies up to the size limit are forwarded unchanged, chunked or not.

    Metrics are lost meanwhile: no process listens at the statsd address.
    """

    def check_upload(self, content, lines, sent):
        connection = self.connect()
        head = _raw.head("PUT", "/contracts", *lines, key=self.key)
        connection.send(head, sent)
        echo = connection.read_answer().json()
        digest = hashlib.sha256(content).hexdigest()
        self.assertEqual(echo["body_length"], len(content))
        self.assertEqual(echo["body_sha256"], digest)

    def test_upload_with_content_length(self):
        for size in BODY_SIZES:
            with self.subTest(size=size):
                content = random.Random(SEED).randbytes(size)
                self.check_upload(content, [f"Content-Length: {size}"], content)

    def test_upload_chunked(self):
        for size in BODY_SIZES:
            with self.subTest(size=size):
                content = random.Random(SEED).randbytes(size)
                self.check_upload(
                    content,
                    ["Transfer-Encoding: chunked"],
                    _raw.chunked(content, 70_001),
                )

    def test_upload_with_a_ticket(self):
        batch = _deployments.look_up(self.running, self.host, "ada")["tickets"]
        for number, size in enumerate(BODY_SIZES):
            with self.subTest(size=size):
                content = random.Random(SEED).randbytes(size)
                answer = self.running.call(
                    self.host,
                    "POST",
                    "/contracts/orders",
                    "ada",
                    body=content,
                    headers={"Idempotency-Key": f"{batch['prefix']}{number}"},
                )
                digest = hashlib.sha256(content).hexdigest()
                self.assertEqual(answer.json()["body_sha256"], digest)

    def test_download(self):
        for size in BODY_SIZES:
            for query in ("", "&chunked"):
                with self.subTest(size=size, query=query):
                    connection = self.connect()
                    target = f"/contracts?bytes={size}{query}"
                    connection.send(_raw.head("GET", target, key=self.key))
                    answer = connection.read_answer()
                    self.assertEqual(answer.body, serving.payload("", size))
                    with_length = "content-length" in answer.headers
                    self.assertEqual(with_length, not query)

    def test_body_over_the_limit_is_refused(self):
        connection = self.connect()
        size = MAX_BODY_BYTES + 1
        length = f"Content-Length: {size}"
        connection.send(
            _raw.head("PUT", "/contracts", length, key=self.key), bytes(size)
        )
        answer = connection.read_answer()
        self.assertEqual(answer.status, 413)
        self.assertEqual(answer.json()["ran"], "no")
        connection.send(
            _raw.head(
                "PUT", "/contracts", "Transfer-Encoding: chunked", key=self.key
            ),
            _raw.chunked(bytes(size), 65_536),
        )
        answer = connection.read_answer()
        self.assertEqual(answer.status, 413)
        self.assertEqual(answer.json()["ran"], "unknown")


class ConnectionsTest(HostTest):
    """A host answers several requests on one connection, each in its turn."""

    def test_keep_alive_serves_several_requests(self):
        connection = self.connect()
        for number in range(5):
            connection.send(
                _raw.head("GET", f"/contracts?n={number}", key=self.key)
            )
            answer = connection.read_answer()
            self.assertEqual(answer.json()["query"], f"n={number}")

    def test_head_has_no_body_and_the_connection_stays_open(self):
        connection = self.connect()
        cases = (
            ("/contracts", 200),
            ("/contracts?bytes=5000", 200),
            ("/contracts?bytes=5000&chunked", 200),
            ("/contracts/none/%2f", 400),
            ("/nowhere", 404),
            ("/v1/hosts", 200),
        )
        for target, status in cases:
            with self.subTest(target=target):
                connection.send(_raw.head("HEAD", target, key=self.key))
                answer = connection.read_answer("HEAD")
                self.assertEqual((answer.status, answer.body), (status, b""))
                connection.send(_raw.head("GET", "/contracts", key=self.key))
                self.assertEqual(connection.read_answer().status, 200)

    def test_head_refused_before_the_application(self):
        connection = self.connect()
        connection.send(
            _raw.head("HEAD", "/contracts", "Content-Length: -1", key=self.key)
        )
        head, _, body = connection.read_to_end().partition(b"\r\n\r\n")
        self.assertIn(b" 400 ", head)
        self.assertEqual(body, b"")

    def test_pipelined_requests_are_answered_in_order(self):
        connection = self.connect()
        requests = [
            _raw.head("GET", "/contracts?n=0&sleep_ms=100", key=self.key),
            _raw.head(
                "PUT", "/contracts?n=1", "Content-Length: 5", key=self.key
            )
            + b"GET /",
            _raw.head(
                "PUT",
                "/contracts?n=2",
                "Transfer-Encoding: chunked",
                key=self.key,
            )
            + _raw.chunked(b"GET /x HTTP/1.1", 4),
            _raw.head("HEAD", "/nowhere"),
            _raw.head("GET", "/nowhere"),
            _raw.head("GET", "/contracts?n=3", key=self.key),
        ]
        connection.send(*requests)
        methods = ("GET", "PUT", "PUT", "HEAD", "GET", "GET")
        answers = [connection.read_answer(method) for method in methods]
        statuses = [answer.status for answer in answers]
        self.assertEqual(statuses, [200, 200, 200, 404, 404, 200])
        echoes = [answers[n].json()["query"] for n in (0, 1, 2, 5)]
        self.assertEqual(echoes, ["n=0&sleep_ms=100", "n=1", "n=2", "n=3"])

    def test_expect_continue(self):
        connection = self.connect()
        lines = ("Expect: 100-continue", "Content-Length: 3")
        connection.send(_raw.head("PUT", "/contracts", *lines, key=self.key))
        self.assertIn(b" 100 ", connection.reader.readline())
        connection.reader.readline()
        connection.send(b"abc")
        self.assertEqual(connection.read_answer().json()["body_length"], 3)


class DisconnectTest(HostTest):
    """A request is cancelled at its upstream when the caller disconnects."""

    def check_cancelled(self, *parts):
        before = self.total("cancelled")
        connection = self.connect()
        connection.send(*parts)
        _common.wait_until(
            lambda: self.total("busy") == 1, description="the request runs"
        )
        connection.socket.close()
        connection.reader.raw.close()
        _common.wait_until(
            lambda: self.total("cancelled") == before + 1,
            description="cancelled",
        )
        _common.wait_until(lambda: self.total("busy") == 0)

    def test_without_a_body(self):
        self.check_cancelled(
            _raw.head(
                "GET",
                LONG_REQUEST_TARGET,
                LONG_REQUEST_TIMEOUT_LINE,
                key=self.key,
            )
        )

    def test_with_a_buffered_and_a_streamed_body(self):
        for size in (10, STREAMED_BODY_BYTES):
            with self.subTest(size=size):
                length = f"Content-Length: {size}"
                lines = (LONG_REQUEST_TIMEOUT_LINE, length)
                head = _raw.head(
                    "PUT", LONG_REQUEST_TARGET, *lines, key=self.key
                )
                self.check_cancelled(head, bytes(size))

    def test_with_a_chunked_body(self):
        for size in (10, STREAMED_BODY_BYTES):
            with self.subTest(size=size):
                lines = (
                    LONG_REQUEST_TIMEOUT_LINE,
                    "Transfer-Encoding: chunked",
                )
                head = _raw.head(
                    "PUT", LONG_REQUEST_TARGET, *lines, key=self.key
                )
                self.check_cancelled(head, _raw.chunked(bytes(size), 50_000))

    def test_while_the_body_is_sent_and_the_host_still_serves(self):
        connection = self.connect()
        length = f"Content-Length: {STREAMED_BODY_BYTES}"
        connection.send(
            _raw.head("PUT", "/contracts", length, key=self.key), bytes(90_000)
        )
        connection.socket.close()
        connection.reader.raw.close()
        connection = self.connect()
        connection.send(_raw.head("GET", "/contracts", key=self.key))
        self.assertEqual(connection.read_answer().status, 200)


class DeadlineTest(HostTest):
    """The caller's timeout is enforced; upstreams get the remaining time."""

    def send(self, timeout, target):
        connection = self.connect()
        line = f"Request-Timeout: {timeout}"
        connection.send(_raw.head("GET", target, line, key=self.key))
        return connection.read_answer()

    def test_the_upstream_gets_the_remaining_timeout(self):
        batch = _deployments.look_up(self.running, self.host, "ada")["tickets"]
        ticket = f"Idempotency-Key: {batch['prefix']}0"
        for method, path, *lines in (
            ("PUT", "/contracts"),
            ("POST", "/contracts/orders", ticket),
        ):
            with self.subTest(path=path):
                connection = self.connect()
                lines += [
                    "Request-Timeout: 5",
                    "Content-Length: 1",
                    "Expect: 100-continue",
                ]
                connection.send(_raw.head(method, path, *lines, key=self.key))
                # The host has read the head once it asks for the body, so the
                # time until the body arrives counts against the timeout.
                self.assertIn(b" 100 ", connection.reader.readline())
                connection.reader.readline()
                time.sleep(BODY_DELAY_SECONDS)
                connection.send(b"x")
                echo = connection.read_answer().json()
                timeouts = [
                    v for n, v in echo["headers"] if n == TIMEOUT_HEADER
                ]
                self.assertEqual(len(timeouts), 1)
                remaining = 5.0 - BODY_DELAY_SECONDS
                self.assertLessEqual(float(timeouts[0]), remaining)
                self.assertGreater(float(timeouts[0]), 0.0)

    def test_a_request_is_refused_at_its_deadline(self):
        answer = self.send(0.3, "/contracts?sleep_ms=60000")
        self.assertEqual(answer.status, 504)
        self.assertNotEqual(answer.headers.get("gooseberryweir-ran"), "no")
        _common.wait_until(lambda: self.total("busy") == 0)

    def test_malformed_timeouts_are_refused(self):
        for text in ("0", "-1", "nan", "inf", "601", "5s", "1, 2"):
            with self.subTest(text=text):
                answer = self.send(text, "/contracts")
                self.assertEqual(answer.json()["code"], 217)
                self.assertEqual(answer.json()["ran"], "no")


class TruncatedAnswersTest(HostTest):
    """A caller can detect that an answer is truncated.

    The tests share upstreams, and test_upstream_ends_during_the_answer stops
    all of them, so it has to run last (tests run in alphabetical order).
    """

    def read(self, target):
        connection = self.connect()
        close = "Connection: close"
        connection.send(_raw.head("GET", target, close, key=self.key))
        return connection.read_to_end()

    def check_truncated(self, query, size):
        data = self.read(f"/contracts?bytes={size}{query}")
        head, _, body = data.partition(b"\r\n\r\n")
        self.assertIn(b" 200 ", head)
        self.assertGreater(len(body), 0)
        self.assertLess(len(body), size)
        self.assertFalse(body.endswith(b"0\r\n\r\n"))
        length = f"content-length: {size}".encode()
        self.assertEqual(length in head.lower(), "chunked" not in query)

    def test_short_answer_of_an_upstream_is_not_completed(self):
        for query in ("&short", "&short&chunked"):
            for size in (1000, 5_000_000):
                with self.subTest(query=query, size=size):
                    self.check_truncated(query, size)

    def test_upstream_ends_during_the_answer(self):
        for query in ("", "&chunked"):
            with self.subTest(query=query):
                for process in self.live_upstreams():
                    switches = {"die_mid_answer": True}
                    _common.fetch_json(process.url("/_control"), switches)
                before = len(self.live_upstreams())
                self.check_truncated(query, 5_000_000)
                _common.wait_until(
                    lambda n=before: len(self.live_upstreams()) < n
                )

    def live_upstreams(self):
        upstreams = self.running.upstreams.values()
        return [process for process in upstreams if process.alive()]


class UpstreamDeathTest(HostTest):
    """After an upstream died during a request, no refusal says "not run"."""

    upstreams = 1

    def test_the_refusal_of_a_retry_says_that_the_outcome_is_unknown(self):
        for process in self.running.upstreams.values():
            switches = {"die_after_receive": True}
            _common.fetch_json(process.url("/_control"), switches)
        connection = self.connect()
        connection.send(_raw.head("GET", "/contracts", key=self.key))
        refused = connection.read_answer().json()
        self.assertEqual(refused["ran"], "unknown")
        text = self.running.hosts[self.host].output()
        self.assertIn("event=request-retried", text)
        # The table has "not run" for the code of this refusal; only the first
        # attempt makes the outcome unknown.
        row = codes.TABLE[codes.Code(refused["code"])]
        self.assertIs(row.ran, codes.ExecutionState.NO)


if __name__ == "__main__":
    unittest.main()
