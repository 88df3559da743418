"""Tests of the upstream pool, which exchanges requests for answers.

The pool keeps connections to upstreams and reuses them.
"""

import contextlib
import itertools
import socket
import struct
import time
import unittest

import eventlet
from eventlet import event

from gooseberryweir import clock as clocks
from gooseberryweir.connection import upstream_pool
from gooseberryweir.platform import headers as wire
from test import virtual_time

REQUEST = b"GET /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok"
OTHER_ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 5\r\n\r\nother"
)
REFUSAL_OF_OTHER = (
    b"HTTP/1.1 503 Full\r\nRequest-Id: b\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
ANSWER_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nsome"
CHUNKED_ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nok\r\n0\r\n\r\n"
)
CLOSING_ANSWER = ANSWER.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n")
# Bytes after a complete answer, which belong to no request.
ADDITIONAL_BYTES = (
    b"zzz",
    b"\0" * 100,
    b"ok",
    OTHER_ANSWER[:30],
    OTHER_ANSWER[:-1],
    OTHER_ANSWER + b"zzz",
    b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
)
EARLY_ANSWER = (
    b"HTTP/1.1 413 Too Large\r\nRequest-Id: a\r\nContent-Length: 3\r\n\r\nbig"
)
# Sizes of a request that the kernels hold only in part, and of one that the
# sender's holds as a whole.
LARGE_BYTES = 16 * 1024 * 1024
MIDDLE_BYTES = 99_000
SMALL_BUFFER_BYTES = 4096
# SO_LINGER with a time of 0: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ScriptedUpstream:
    """Stand-in of an upstream, whose answers are scripted; a context manager.

    Attributes:
        script: Called with the connection for each request; returns False to
            close the connection.
        connections: Number of connections accepted so far.
        received: Bytes received so far, without those that the script reads.
    """

    def __init__(self, script):
        self.script = script
        self.connections = 0
        self.received = 0
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.task = eventlet.spawn(self.accept)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.task.kill()
        self.listener.close()

    @property
    def address(self):
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            self.connections += 1
            eventlet.spawn(self.serve, connection)

    def serve(self, connection):
        with contextlib.closing(connection):
            while data := connection.recv(65536):
                self.received += len(data)
                if not self.script(connection):
                    return


def answer_with(data):
    def script(connection):
        connection.sendall(data)
        return True

    return script


class UpstreamPoolTest(unittest.TestCase):
    """Outcome of an exchange, and reuse of its connection.

    The upstream sends complete, truncated, late, additional or no answers.
    """

    def exchange(
        self, upstream, pool, timeout=2.0, max_connections=64, request_id="a"
    ):
        return pool.exchange(
            upstream_pool.Endpoint(
                "u1", upstream.address, max_connections=max_connections
            ),
            REQUEST,
            timeout,
            lambda headers: wire.response_request_id(headers) == request_id,
            wire.keep_alive_seconds,
        )

    def start(self, script):
        upstream = self.enterContext(ScriptedUpstream(script))
        pool = self.enterContext(
            upstream_pool.UpstreamPool(clocks.system_clock())
        )
        return upstream, pool

    def test_a_connection_is_reused_after_a_complete_answer(self):
        upstream, pool = self.start(answer_with(ANSWER))
        for _ in range(3):
            reply = self.exchange(upstream, pool)
            self.assertEqual(reply.message.body, b"ok")
        self.assertEqual(upstream.connections, 1)

    def test_an_answer_without_length_ends_with_its_connection(self):
        def script(connection):
            connection.sendall(ANSWER_WITHOUT_LENGTH)
            return False

        upstream, pool = self.start(script)
        reply = self.exchange(upstream, pool)
        self.assertEqual(reply.message.body, b"some")

    def test_an_answer_without_length_is_incomplete_after_a_reset(self):
        def script(connection):
            connection.sendall(ANSWER_WITHOUT_LENGTH)
            eventlet.sleep(0.05)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            return False

        upstream, pool = self.start(script)
        with self.assertRaises(upstream_pool.BrokenAnswerError):
            self.exchange(upstream, pool)

    def test_a_truncated_answer_is_an_error(self):
        def script(connection):
            connection.sendall(ANSWER[:-1])
            return False

        upstream, pool = self.start(script)
        with self.assertRaises(upstream_pool.BrokenAnswerError):
            self.exchange(upstream, pool)

    def test_a_late_answer_to_another_request_is_dropped(self):
        upstream, pool = self.start(answer_with(OTHER_ANSWER + ANSWER))
        self.assertEqual(self.exchange(upstream, pool).message.body, b"ok")

    def test_bytes_after_an_answer_prevent_reuse(self):
        upstream, pool = self.start(answer_with(ANSWER + OTHER_ANSWER))
        for _ in range(2):
            self.assertEqual(self.exchange(upstream, pool).message.body, b"ok")
        self.assertEqual(upstream.connections, 2)

    # Guards against a whole answer that is lost, since additional bytes that
    # are no answer follow it in the same segment.
    def test_a_whole_answer_is_used_whatever_follows_it(self):
        for before, after in itertools.product(
            (b"", OTHER_ANSWER), ADDITIONAL_BYTES
        ):
            for answer in (ANSWER, CHUNKED_ANSWER, CLOSING_ANSWER):
                with self.subTest(before=before, answer=answer, after=after):
                    upstream, pool = self.start(
                        answer_with(before + answer + after)
                    )
                    for _ in range(2):
                        message = self.exchange(upstream, pool).message
                        self.assertEqual(message.body, b"ok")
                    self.assertEqual(upstream.connections, 2)

    def test_additional_bytes_do_not_complete_an_answer(self):
        for after in ADDITIONAL_BYTES:
            for data in (OTHER_ANSWER + after, ANSWER[:-3] + after):
                with self.subTest(data):

                    def script(connection, data=data):
                        connection.sendall(data)
                        return False

                    upstream, pool = self.start(script)
                    with self.assertRaises(upstream_pool.BrokenAnswerError):
                        self.exchange(upstream, pool)

    def test_bytes_received_while_idle_prevent_reuse(self):
        def script(connection):
            connection.sendall(ANSWER)
            eventlet.sleep(0.02)
            connection.sendall(OTHER_ANSWER)
            return True

        upstream, pool = self.start(script)
        self.exchange(upstream, pool)
        eventlet.sleep(0.1)
        self.assertEqual(self.exchange(upstream, pool).message.body, b"ok")
        self.assertEqual(upstream.connections, 2)

    # Shows that an answer whose head was cut off is never taken for a whole one
    # without a body, nor one whose body was cut off.
    def test_an_answer_cut_off_at_any_byte_is_an_error(self):
        for size in range(len(ANSWER)):

            def script(connection, size=size):
                connection.sendall(ANSWER[:size])
                return False

            upstream, pool = self.start(script)
            with (
                self.subTest(size),
                self.assertRaises(upstream_pool.BrokenAnswerError),
            ):
                self.exchange(upstream, pool)

    # The same after an interim answer and after one to another request.
    def test_an_answer_cut_off_behind_another_one_is_an_error(self):
        for before in (b"HTTP/1.1 102 Processing\r\n\r\n", OTHER_ANSWER):
            for size in range(len(ANSWER)):

                def script(connection, data=before + ANSWER[:size]):
                    connection.sendall(data)
                    return False

                upstream, pool = self.start(script)
                with (
                    self.subTest(size, before=before),
                    self.assertRaises(upstream_pool.BrokenAnswerError),
                ):
                    self.exchange(upstream, pool)

    # Shows that an earlier refusal that is written once more does not count as
    # the answer to the next request, which the upstream runs.
    def test_an_earlier_refusal_written_again_is_no_answer(self):
        for pause_seconds in (0.0, 0.05):
            seen = []

            def script(connection, seen=seen, pause_seconds=pause_seconds):
                seen.append(connection)
                if len(seen) == 1:
                    connection.sendall(REFUSAL_OF_OTHER)
                    return True
                connection.sendall(REFUSAL_OF_OTHER)
                eventlet.sleep(pause_seconds)
                connection.sendall(ANSWER)
                return True

            upstream, pool = self.start(script)
            first = self.exchange(upstream, pool, request_id="b")
            self.assertEqual(first.message.status, 503)
            reply = self.exchange(upstream, pool)
            self.assertEqual(
                (reply.message.status, upstream.connections), (200, 1)
            )
            self.assertIs(seen[0], seen[1])
            # A connection with such an answer is not used again.
            self.exchange(upstream, pool)
            self.assertEqual(upstream.connections, 2)

    # The same if the request gets no other answer: its outcome is unknown.
    def test_an_earlier_refusal_before_the_end_is_no_answer(self):
        seen = []

        def script(connection):
            seen.append(connection)
            connection.sendall(REFUSAL_OF_OTHER)
            return len(seen) == 1

        upstream, pool = self.start(script)
        self.exchange(upstream, pool, request_id="b")
        with self.assertRaises(upstream_pool.BrokenAnswerError) as caught:
            self.exchange(upstream, pool)
        self.assertNotIsInstance(caught.exception, upstream_pool.NoAnswerError)

    def test_no_answer_within_the_timeout_is_a_deadline_error(self):
        upstream, pool = self.start(lambda _: True)
        with self.assertRaises(upstream_pool.DeadlineError):
            self.exchange(upstream, pool, 0.1)

    def test_a_refused_connection_is_a_connect_error(self):
        upstream, pool = self.start(answer_with(ANSWER))
        upstream.task.kill()
        upstream.listener.close()
        closed = socket.socket()
        closed.bind(("127.0.0.1", 0))
        port = closed.getsockname()[1]
        closed.close()
        with self.assertRaises(upstream_pool.ConnectError):
            pool.exchange(
                upstream_pool.Endpoint("u1", f"127.0.0.1:{port}"),
                REQUEST,
                1.0,
                lambda _: True,
                lambda _: None,
            )

    def test_no_answer_is_distinguished_from_a_truncated_answer(self):
        upstream, pool = self.start(lambda _: False)
        with self.assertRaises(upstream_pool.NoAnswerError):
            self.exchange(upstream, pool)

        def send_truncated_answer(connection):
            connection.sendall(ANSWER[:-1])
            return False

        upstream, pool = self.start(send_truncated_answer)
        with self.assertRaises(upstream_pool.BrokenAnswerError) as caught:
            self.exchange(upstream, pool)
        self.assertNotIsInstance(caught.exception, upstream_pool.NoAnswerError)

    def test_idle_connections_are_limited(self):
        def script(connection):
            eventlet.sleep(0.05)
            connection.sendall(ANSWER)
            return True

        upstream, pool = self.start(script)
        tasks = [
            eventlet.spawn(self.exchange, upstream, pool, 2.0, 3)
            for _ in range(8)
        ]
        for task in tasks:
            task.wait()
        self.assertEqual(len(pool.idle["u1"]), 3)

    def test_a_connection_idle_too_long_for_one_request_stays_in_the_pool(self):
        upstream, pool = self.start(answer_with(ANSWER))
        self.exchange(upstream, pool)
        eventlet.sleep(0.02)
        endpoint = upstream_pool.Endpoint("u1", upstream.address, 0.01)
        pool.exchange(endpoint, REQUEST, 1.0, lambda _: True, lambda _: None)
        self.assertEqual(upstream.connections, 2)
        self.assertEqual(len(pool.idle["u1"]), 2)


class EarlyAnswerTest(unittest.TestCase):
    """Answers that come before the upstream has read the whole request.

    Attributes:
        request: Sent to the upstream; the kernels hold no more than part of it.
        upstream: The upstream, or None before its start.
        ended: True once the upstream has seen the end of a connection.
    """

    def setUp(self):
        self.request = b"POST /a/ HTTP/1.1\r\n\r\n" + b"b" * LARGE_BYTES
        self.upstream = None
        self.ended = False

    def start(self, script):
        """Returns an upstream with small buffers, and a pool."""
        upstream = self.upstream = self.enterContext(ScriptedUpstream(script))
        upstream.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
        pool = self.enterContext(
            upstream_pool.UpstreamPool(clocks.system_clock())
        )
        return upstream, pool

    def exchange(self, upstream, pool, timeout=2.0):
        return pool.exchange(
            upstream_pool.Endpoint("u1", upstream.address),
            self.request,
            timeout,
            lambda headers: wire.response_request_id(headers) == "a",
            wire.keep_alive_seconds,
        )

    def read_on(self, connection):
        """Reads to the end of a request; False if the connection ends."""
        while self.upstream.received % len(self.request):
            try:
                data = connection.recv(65536)
            except ConnectionResetError:
                data = b""
            if not data:
                self.ended = True
                return False
            self.upstream.received += len(data)
        return True

    def wait_for_end(self):
        """Waits until the upstream has seen the end of a connection."""
        with eventlet.Timeout(2.0):
            while not self.ended:
                eventlet.sleep(0.01)

    # Guards against an answer that waits for a body which nobody reads
    # (issue 40): the host sent all of it before it read the answer.
    def test_answer_is_read_while_the_request_is_being_sent(self):
        def script(connection):
            connection.sendall(EARLY_ANSWER)
            answered.wait()
            return False

        answered = event.Event()
        upstream, pool = self.start(script)
        self.assertEqual(self.exchange(upstream, pool).message.status, 413)
        answered.send()

    # Guards against MIXED of review 7: a part of an answer without a length was
    # taken for the whole one, as its reset was found in sending the request.
    def test_answer_reset_while_the_request_is_being_sent_is_broken(self):
        for pause in (0.0, 0.05, 0.2):
            for linger in (RESET_ON_CLOSE, None):
                with self.subTest(pause=pause, linger=linger):

                    def script(connection, pause=pause, linger=linger):
                        connection.sendall(ANSWER_WITHOUT_LENGTH)
                        eventlet.sleep(pause)
                        if linger:
                            connection.setsockopt(
                                socket.SOL_SOCKET, socket.SO_LINGER, linger
                            )
                        # Unread bytes make the close a reset in any case.
                        return False

                    upstream, pool = self.start(script)
                    with self.assertRaises(upstream_pool.BrokenAnswerError):
                        self.exchange(upstream, pool)

    # An upstream that ends its answer in order, and resets the connection for
    # what still comes, has given a whole one.
    def test_answer_that_ends_before_the_request_is_sent_is_whole(self):
        def script(connection):
            connection.sendall(ANSWER_WITHOUT_LENGTH)
            connection.shutdown(socket.SHUT_WR)
            eventlet.sleep(0.2)
            return False

        for _ in range(10):
            upstream, pool = self.start(script)
            reply = self.exchange(upstream, pool)
            self.assertEqual(reply.message.body, b"some")

    # The same for an answer in pieces, and then the sending ends.
    def test_whole_answer_ends_the_sending(self):
        def script(connection):
            for each in (EARLY_ANSWER[:20], EARLY_ANSWER[20:]):
                connection.sendall(each)
                eventlet.sleep(0.05)
            return self.read_on(connection)

        upstream, pool = self.start(script)
        self.assertEqual(self.exchange(upstream, pool).message.status, 413)
        self.wait_for_end()
        self.assertLess(upstream.received, len(self.request))

    # Guards against a request behind the unread body of another one
    # (issue 40): 504, and no upstream ever ran it.
    def test_connection_with_an_unread_request_is_not_used_again(self):
        self.request = self.request[:MIDDLE_BYTES]

        def script(connection):
            connection.sendall(EARLY_ANSWER)
            eventlet.sleep(0.2)
            return self.read_on(connection)

        upstream, pool = self.start(script)
        for _ in range(3):
            reply = self.exchange(upstream, pool)
            self.assertEqual(reply.message.status, 413)
            self.assertTrue(reply.new_connection)
        self.assertEqual(upstream.connections, 3)

    def test_interim_answers_do_not_end_the_sending(self):
        def script(connection):
            connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
            eventlet.sleep(0.05)
            connection.sendall(b"HTTP/1.1 102 Processing\r\n\r\n")
            if self.read_on(connection):
                connection.sendall(ANSWER)
            return True

        upstream, pool = self.start(script)
        for _ in range(2):
            reply = self.exchange(upstream, pool)
            self.assertEqual(reply.message.body, b"ok")
        self.assertEqual(upstream.connections, 1)

    def test_killed_task_closes_the_connection_in_the_midst_of_sending(self):
        begun = event.Event()

        def script(connection):
            begun.send()
            eventlet.sleep(0.1)
            return self.read_on(connection)

        upstream, pool = self.start(script)
        task = eventlet.spawn(self.exchange, upstream, pool)
        begun.wait()
        eventlet.sleep(0.05)
        task.kill()
        self.wait_for_end()
        self.assertLess(upstream.received, len(self.request))
        self.assertEqual(pool.in_use["u1"], 0)

    # The hub reports input and room for output at once; the second report must
    # not wake the task from what it waits for next.
    def test_input_and_room_at_once_wake_a_task_once(self):
        ends = socket.socketpair()
        for each in ends:
            self.enterContext(each)
            each.setblocking(False)
        ends[1].send(b"x")
        upstream_pool._wait_for_any(ends[0])
        started_at = time.monotonic()
        event.Event().wait(0.1)
        self.assertGreaterEqual(time.monotonic() - started_at, 0.09)


class SlowConnectTest(unittest.TestCase):
    """An exchange whose connection takes long to open, in virtual time."""

    def test_the_time_to_connect_counts_towards_the_timeout(self):
        """Guards against answers after the timeout of their route (inc1).

        The timeout began only once the connection was open, so the final
        answer came up to 0.4 s late.
        """
        with virtual_time.virtual_time() as clock:
            pool = upstream_pool.UpstreamPool(clock)

            class SilentConnection:
                """A connection over which no answer comes."""

                @property
                def fd(self):
                    return self

                def recv(self, size):
                    clock.sleep(60.0)

                def fileno(self):
                    raise OSError("no socket of the kernel")

                def close(self):
                    pass

            def connect(address, timeout):
                clock.sleep(0.3)
                return SilentConnection()

            pool._connect = connect
            started_at = clock.monotonic()
            with self.assertRaises(upstream_pool.DeadlineError):
                pool.exchange(
                    upstream_pool.Endpoint("i-1", "10.0.0.1:80"),
                    b"",
                    1.0,
                    lambda headers: True,
                    lambda headers: None,
                )
            self.assertAlmostEqual(clock.monotonic() - started_at, 1.0, 3)


if __name__ == "__main__":
    unittest.main()
