"""Connections to upstreams: whole answers, foreign answers, reuse."""

import contextlib
import socket
import struct
import unittest

import eventlet

from gooseberryweir import clock as clocks
from gooseberryweir.connection import upstream_pool
from gooseberryweir.platform import headers as wire

REQUEST = b"GET /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\n\r\n"
WHOLE = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok"
OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 5\r\n\r\nother"
UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nsome"
# Linger on with no time: closing resets the connection.
RESET = struct.pack("ii", 1, 0)


class Upstream:
    """Answers each connection by a script; a context manager.

    Attributes:
        connections: Connections accepted so far.
    """

    def __init__(self, script):
        self.script = script
        self.connections = 0
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
            while connection.recv(65536):
                if not self.script(connection):
                    return


def answering(data):
    def script(connection):
        connection.sendall(data)
        return True

    return script


class UpstreamPoolTest(unittest.TestCase):
    """One upstream that answers by a script."""

    def exchange(self, upstream, pool, seconds=2.0, max_connections=64):
        return pool.exchange(
            upstream_pool.Target(
                "u1", upstream.address, max_connections=max_connections
            ),
            REQUEST,
            seconds,
            lambda found: wire.answered_id(found) == "a",
            wire.idle_seconds,
        )

    def open(self, script):
        upstream = self.enterContext(Upstream(script))
        pool = self.enterContext(
            upstream_pool.UpstreamPool(clocks.system_clock())
        )
        return upstream, pool

    def test_a_connection_is_used_again_after_a_whole_answer(self):
        upstream, pool = self.open(answering(WHOLE))
        for _ in range(3):
            reply = self.exchange(upstream, pool)
            self.assertEqual(reply.message.body, b"ok")
        self.assertEqual(upstream.connections, 1)

    def test_an_answer_without_length_ends_with_its_connection(self):
        def script(connection):
            connection.sendall(UNFRAMED)
            return False

        upstream, pool = self.open(script)
        reply = self.exchange(upstream, pool)
        self.assertEqual(reply.message.body, b"some")

    def test_an_answer_without_length_that_is_reset_is_not_whole(self):
        def script(connection):
            connection.sendall(UNFRAMED)
            eventlet.sleep(0.05)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            return False

        upstream, pool = self.open(script)
        with self.assertRaises(upstream_pool.BrokenAnswerError):
            self.exchange(upstream, pool)

    def test_a_cut_answer_is_not_whole(self):
        def script(connection):
            connection.sendall(WHOLE[:-1])
            return False

        upstream, pool = self.open(script)
        with self.assertRaises(upstream_pool.BrokenAnswerError):
            self.exchange(upstream, pool)

    def test_a_late_answer_to_another_request_is_skipped(self):
        upstream, pool = self.open(answering(OTHER + WHOLE))
        self.assertEqual(self.exchange(upstream, pool).message.body, b"ok")

    def test_bytes_after_an_answer_end_the_connection(self):
        upstream, pool = self.open(answering(WHOLE + OTHER))
        for _ in range(2):
            self.assertEqual(self.exchange(upstream, pool).message.body, b"ok")
        self.assertEqual(upstream.connections, 2)

    def test_bytes_that_come_while_idle_end_the_connection(self):
        def script(connection):
            connection.sendall(WHOLE)
            eventlet.sleep(0.02)
            connection.sendall(OTHER)
            return True

        upstream, pool = self.open(script)
        self.exchange(upstream, pool)
        eventlet.sleep(0.1)
        self.assertEqual(self.exchange(upstream, pool).message.body, b"ok")
        self.assertEqual(upstream.connections, 2)

    def test_silence_past_the_deadline_is_told_as_such(self):
        upstream, pool = self.open(lambda _: True)
        with self.assertRaises(upstream_pool.DeadlineError):
            self.exchange(upstream, pool, 0.1)

    def test_no_connection_means_nothing_was_sent(self):
        upstream, pool = self.open(answering(WHOLE))
        upstream.task.kill()
        upstream.listener.close()
        closed = socket.socket()
        closed.bind(("127.0.0.1", 0))
        port = closed.getsockname()[1]
        closed.close()
        with self.assertRaises(upstream_pool.ConnectError):
            pool.exchange(
                upstream_pool.Target("u1", f"127.0.0.1:{port}"),
                REQUEST,
                1.0,
                lambda _: True,
                lambda _: None,
            )

    def test_an_end_before_any_byte_is_told_from_a_cut_answer(self):
        upstream, pool = self.open(lambda _: False)
        with self.assertRaises(upstream_pool.NoAnswerError):
            self.exchange(upstream, pool)

        def cut(connection):
            connection.sendall(WHOLE[:-1])
            return False

        upstream, pool = self.open(cut)
        with self.assertRaises(upstream_pool.BrokenAnswerError) as caught:
            self.exchange(upstream, pool)
        self.assertNotIsInstance(caught.exception, upstream_pool.NoAnswerError)

    def test_idle_connections_stay_within_the_part_of_this_host(self):
        def script(connection):
            eventlet.sleep(0.05)
            connection.sendall(WHOLE)
            return True

        upstream, pool = self.open(script)
        tasks = [
            eventlet.spawn(self.exchange, upstream, pool, 2.0, 3)
            for _ in range(8)
        ]
        for task in tasks:
            task.wait()
        self.assertEqual(len(pool.idle["u1"]), 3)

    def test_a_request_that_needs_a_fresh_connection_leaves_the_others(self):
        upstream, pool = self.open(answering(WHOLE))
        self.exchange(upstream, pool)
        eventlet.sleep(0.02)
        target = upstream_pool.Target("u1", upstream.address, 0.01)
        pool.exchange(target, REQUEST, 1.0, lambda _: True, lambda _: None)
        self.assertEqual(upstream.connections, 2)
        self.assertEqual(len(pool.idle["u1"]), 2)


if __name__ == "__main__":
    unittest.main()
