"""Tests that answers of upstreams end where RFC 9112, 6.3 says.

Method, status, framing and the cuts of the bytes are drawn; what is expected
follows from the RFC alone.
"""

import contextlib
from typing import NamedTuple
import unittest

import eventlet
import hypothesis
from hypothesis import strategies

from gooseberryweir import clock as clocks
from gooseberryweir.connection import upstream_pool
from gooseberryweir.platform import headers as wire
from test import _front
from test import _raw
from test import test_upstream_pool

TIMEOUT_SECONDS = 5.0
# Pause between segments, in which the pool reads the one sent before.
SEGMENT_PAUSE_SECONDS = 0.001
BODIES = (
    b"",
    b"ok",
    b"\r\n\r\n",
    b"0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 1\r\n\r\nx",
    b"b" * 70_000,
)
SURPLUS = (b"", b"", b"x", test_upstream_pool.OTHER_ANSWER)


class Drawn(NamedTuple):
    """An answer of an upstream.

    Attributes:
        method: Method of the request.
        interim: Statuses of interim answers before it.
        status: Its status.
        framing: `length`, `chunks`, or `close`: it ends with the connection.
        body: Body that an answer to GET with status 200 would have.
        version: Version of HTTP.
        connection: Value of its Connection header, or empty.
    """

    method: str
    interim: list[int]
    status: int
    framing: str
    body: bytes
    version: str
    connection: str

    @property
    def has_body(self):
        """True unless the method or the status excludes a body."""
        return self.method != "HEAD" and self.status not in (204, 304)

    @property
    def expected_body(self):
        return self.body if self.has_body else b""

    @property
    def ends_with_connection(self):
        return self.has_body and self.framing == "close"

    @property
    def may_persist(self):
        """True if the connection may be used again (RFC 9112, 9.3)."""
        if self.ends_with_connection or self.connection == "close":
            return False
        return self.version == "1.1" or self.connection == "keep-alive"

    def encode(self, request_id):
        """Returns the bytes of the head and those of the body."""
        interim = "".join(
            f"HTTP/1.1 {each} Interim\r\nX: 1\r\n\r\n" for each in self.interim
        )
        lines = [f"HTTP/{self.version} {self.status} Status"]
        lines.append(f"Request-Id: {request_id}")
        if self.connection:
            lines.append(f"Connection: {self.connection}")
        if self.framing == "length":
            lines.append(f"content-LENGTH: {len(self.body)}")
        if self.framing == "chunks":
            lines.append("Transfer-Encoding: chunked")
        head = (interim + "\r\n".join([*lines, "", ""])).encode()
        if not self.has_body:
            return head, b""
        if self.framing == "chunks":
            return head, _raw.chunked(self.body, 30_000)
        return head, self.body


def drawn(statuses, methods):
    """Returns a strategy for answers.

    A sender of HTTP/1.0 knows no chunks.
    """
    return strategies.builds(
        Drawn,
        strategies.sampled_from(methods),
        strategies.lists(strategies.sampled_from((100, 102, 103)), max_size=2),
        strategies.sampled_from(statuses),
        strategies.sampled_from(("length", "chunks", "close")),
        strategies.sampled_from(BODIES),
        strategies.sampled_from(("1.1", "1.1", "1.0")),
        strategies.sampled_from(("", "", "close", "keep-alive")),
    ).filter(lambda each: each.version == "1.1" or each.framing != "chunks")


def cut(data, positions):
    """Returns the data in pieces that end at some positions."""
    bounds = sorted(
        {0, len(data), *(each % (len(data) + 1) for each in positions)}
    )
    return [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]


class PoolTest(unittest.TestCase):
    """Exchanges of the pool with a scripted upstream."""

    def exchange(self, upstream, pool, method, request_id):
        request = f"{method} /a/ HTTP/1.1\r\nHost: h\r\n\r\n".encode()
        return pool.exchange(
            upstream_pool.Endpoint("u1", upstream.address),
            request,
            TIMEOUT_SECONDS,
            lambda headers: wire.response_request_id(headers) == request_id,
            wire.keep_alive_seconds,
        )

    def run_exchange(self, answer, segments, then_close):
        """Returns the outcome of an exchange, and whether its connection stays.

        The outcome is the status and the body, or None for a broken answer. A
        second exchange shows that no byte of the first is taken for its answer.
        """
        scripts = [True]
        all_sent = []

        def script(connection):
            if not scripts:
                connection.sendall(
                    test_upstream_pool.ANSWER.replace(b": a", b": second")
                )
                return True
            scripts.clear()
            # The pool may close a connection with surplus bytes.
            with contextlib.suppress(OSError):
                for each in segments:
                    connection.sendall(each)
                    eventlet.sleep(SEGMENT_PAUSE_SECONDS)
            all_sent.append(True)
            return not then_close

        with (
            test_upstream_pool.ScriptedUpstream(script) as upstream,
            upstream_pool.UpstreamPool(clocks.system_clock()) as pool,
        ):
            try:
                reply = self.exchange(upstream, pool, answer.method, "a")
                outcome = reply.message.status, reply.message.body
            except upstream_pool.BrokenAnswerError:
                outcome = None
            with eventlet.Timeout(TIMEOUT_SECONDS):
                while not all_sent and outcome is not None:
                    eventlet.sleep(SEGMENT_PAUSE_SECONDS)
            second = self.exchange(upstream, pool, "GET", "second")
            self.assertEqual(second.message.body, b"ok")
            return outcome, upstream.connections == 1

    # Guards against answers that end elsewhere than both sides think: those to
    # HEAD never ended (issue 40).
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        drawn(
            (200, 201, 204, 205, 206, 302, 304, 404, 413, 500, 599),
            ("GET", "HEAD", "HEAD", "POST", "PUT", "DELETE", "OPTIONS"),
        ),
        strategies.sampled_from(SURPLUS),
        strategies.lists(strategies.integers(0, 100_000), max_size=4),
    )
    def test_whole_answers_end_where_the_rfc_says(
        self, answer, surplus, positions
    ):
        data = b"".join(answer.encode("a"))
        if answer.ends_with_connection:
            surplus = b""
        outcome, kept = self.run_exchange(
            answer,
            cut(data + surplus, positions),
            answer.ends_with_connection or answer.connection == "close",
        )
        self.assertEqual(outcome, (answer.status, answer.expected_body))
        may_persist = answer.may_persist and not surplus
        if kept:
            self.assertTrue(may_persist)
        elif may_persist:
            # Without a length, the pool may take the careful way.
            self.assertFalse(answer.has_body)
            self.assertNotEqual(answer.framing, "length")

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        drawn((200, 204, 304, 413, 500), ("GET", "HEAD", "POST")),
        strategies.integers(0, 100_000),
        strategies.lists(strategies.integers(0, 100_000), max_size=3),
    )
    def test_truncated_answers_are_broken(self, answer, end, positions):
        head, body = answer.encode("a")
        if answer.ends_with_connection:
            # What follows the head can't be told from a shorter body.
            body = b""
        data = head + body
        end %= len(data)
        outcome, kept = self.run_exchange(
            answer, cut(data[:end], positions), True
        )
        self.assertEqual((outcome, kept), (None, False))

    def test_many_interim_answers_do_not_end_an_exchange(self):
        for method in ("GET", "HEAD"):
            answer = Drawn(
                method, [102] * 5000, 200, "length", b"ok", "1.1", ""
            )
            head, body = answer.encode("a")
            self.assertGreater(len(head), 2 * upstream_pool.READ_BYTES)
            with self.subTest(method):
                outcome, kept = self.run_exchange(answer, [head, body], False)
                self.assertEqual(outcome, (200, answer.expected_body))
                self.assertTrue(kept)

    # Nothing tells whether such an answer has a body.
    def test_late_answer_with_a_length_before_one_to_head_breaks_it(self):
        answer = Drawn("HEAD", [], 200, "length", b"ok", "1.1", "")
        late = test_upstream_pool.OTHER_ANSWER
        outcome, kept = self.run_exchange(
            answer, [late, answer.encode("a")[0]], False
        )
        self.assertEqual((outcome, kept), (None, False))

    # Framings that two servers may read differently, and protocol changes.
    def test_ambiguous_answers_and_upgrades_are_refused(self):
        for lines in (
            "Content-Length: 2\r\nContent-Length: 5",
            "Content-Length: 2\r\nContent-Length: 2",
            "Content-Length: 2, 5",
            "Content-Length: -2",
            "Content-Length: +2",
            "Content-Length: 2\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: chunked\r\nContent-Length: 2",
        ):
            for method in ("GET", "HEAD"):
                with self.subTest(lines, method=method):
                    self.check_refused(
                        method, f"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n{lines}"
                    )
        self.check_refused(
            "GET",
            "HTTP/1.1 101 Switching\r\nRequest-Id: a\r\n"
            "Connection: upgrade\r\nUpgrade: x",
        )

    def check_refused(self, method, head):
        """Checks that an answer with a body `ok` is broken."""
        answer = Drawn(method, [], 200, "length", b"", "1.1", "")
        data = f"{head}\r\n\r\nok".encode()
        outcome, kept = self.run_exchange(answer, [data], False)
        self.assertEqual((outcome, kept), (None, False))


class HostTest(unittest.TestCase):
    """Exchanges of callers over a host, and over one that passes them on."""

    # The same as for the pool, up to callers.
    def test_whole_answers_reach_callers(self):
        with contextlib.ExitStack() as stack:
            system = _front.System(stack, upstreams=1, proxied=True)
            forwarding, direct = system.hosts[:2]
            system.cut_off(forwarding)
            connections = [
                stack.enter_context(_raw.Connection(each.address))
                for each in (forwarding, direct)
            ]

            @hypothesis.settings(
                derandomize=True, deadline=None, max_examples=60
            )
            @hypothesis.given(
                drawn(
                    (200, 201, 204, 206, 302, 304, 404, 413, 500),
                    ("GET", "HEAD", "POST"),
                ),
                strategies.lists(strategies.integers(0, 100_000), max_size=3),
            )
            def check(answer, positions):
                for connection in connections:
                    self.check(
                        system.upstreams[0], connection, answer, positions
                    )

            check()

    def check(self, upstream, connection, answer, positions):
        """Checks one answer, over a connection that is used for all."""
        upstream.raw_answer = cut(b"".join(answer.encode("id-1")), positions)
        upstream.raw_closes = (
            answer.ends_with_connection or answer.connection == "close"
        )
        connection.send(
            _front.request_bytes("/write/raw", method=answer.method)
        )
        received = connection.read_answer(answer.method)
        self.assertEqual(
            (received.status, received.body),
            (answer.status, answer.expected_body),
            received.headers,
        )
        if answer.method == "HEAD" and answer.status not in (204, 304):
            self.assertEqual(
                received.headers.get("content-length"),
                str(len(answer.body)) if answer.framing == "length" else None,
            )


if __name__ == "__main__":
    unittest.main()
