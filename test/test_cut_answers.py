"""Tests of answers that an upstream cuts off, for the `serve` command."""

import contextlib
import gc
import socket
import threading
import time
import unittest
from unittest import mock

from eventlet.green import socket as green_socket
import urllib3

from gooseberryweir.connection import upstream_http
from test import _raw
from test import test_answer_heads

ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 2\r\n\r\nok"
)
REQUEST = upstream_http.UpstreamRequest(
    "GET", "/a", (("Host", "h"),), None, idempotent=True
)
TIMEOUT_SECONDS = 2.0
SHORT_TIMEOUT_SECONDS = 0.2
# Time within which the reader gets what was sent before a reset.
RESET_DELAY_SECONDS = 0.05


class CutAnswerTest(unittest.TestCase):
    """An upstream that closes the connection in the middle of an answer."""

    def answer_with(self, data, reset=False):
        """Returns the body of an answer of which an upstream sends `data`.

        Args:
            data: The bytes.
            reset: True if it then resets the connection.
        """
        listener = self.enterContext(
            contextlib.closing(socket.create_server(("127.0.0.1", 0)))
        )

        def serve():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(data)
                if reset:
                    time.sleep(RESET_DELAY_SECONDS)
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _raw.RESET_ON_CLOSE
                    )

        thread = threading.Thread(target=serve)
        thread.start()
        self.addCleanup(thread.join)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        with (
            upstream_http.UpstreamConnections() as connections,
            connections.send(address, 1, REQUEST, TIMEOUT_SECONDS) as answer,
        ):
            return answer.status, b"".join(upstream_http.read_body(answer))

    # Guards against a head that is cut off and taken for a whole answer without
    # a body.
    def test_an_answer_cut_off_at_any_byte_is_an_error(self):
        for size in range(len(ANSWER)):
            with (
                self.subTest(size),
                self.assertRaises(upstream_http.UpstreamDiedError),
            ):
                self.answer_with(ANSWER[:size])

    # Guards against a malformed header that is taken for the end of the head:
    # the caller got an answer with another body, or with the line passed on.
    def test_malformed_head_is_an_error(self):
        for data in test_answer_heads.MALFORMED:
            with (
                self.subTest(data),
                self.assertRaises(upstream_http.UpstreamDiedError),
            ):
                self.answer_with(data)
        for data in test_answer_heads.SOUND:
            with self.subTest(data):
                self.assertEqual(self.answer_with(data), (200, b"ok"))

    def test_negative_size_of_a_chunk_is_an_error(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        with self.assertRaises(upstream_http.UpstreamDiedError):
            self.answer_with(head + b"-2\r\nok\r\n0\r\n\r\n")

    # Guards against a part of an answer without a length that is taken for the
    # whole one after a reset, which green sockets report as an orderly end.
    def test_answer_without_length_is_incomplete_after_a_reset(self):
        data = b"HTTP/1.1 200 OK\r\n\r\nsome"
        green = mock.patch.object(
            urllib3.util.connection, "socket", green_socket
        )
        for patch in (contextlib.nullcontext(), green):
            with self.subTest(patch), patch:
                self.assertEqual(self.answer_with(data), (200, b"some"))
                with self.assertRaises(upstream_http.UpstreamDiedError):
                    self.answer_with(data, reset=True)

    # The same sockets still time out.
    def test_silent_upstream_is_a_timeout(self):
        listener = self.enterContext(
            contextlib.closing(socket.create_server(("127.0.0.1", 0)))
        )
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        with (
            mock.patch.object(urllib3.util.connection, "socket", green_socket),
            upstream_http.UpstreamConnections() as connections,
            self.assertRaises(upstream_http.UpstreamTimeoutError),
            connections.send(address, 1, REQUEST, SHORT_TIMEOUT_SECONDS),
        ):
            pass

    # Guards against kept connections that are closed with the socket that they
    # were opened with, so that the next request is answered with 500.
    def test_connection_is_kept_for_the_next_request(self):
        listener = self.enterContext(
            contextlib.closing(socket.create_server(("127.0.0.1", 0)))
        )

        def serve():
            connection, _ = listener.accept()
            with connection:
                while connection.recv(65536):
                    connection.sendall(ANSWER)

        thread = threading.Thread(target=serve)
        thread.start()
        self.addCleanup(thread.join)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        with (
            mock.patch.object(urllib3.util.connection, "socket", green_socket),
            upstream_http.UpstreamConnections() as connections,
        ):
            for _ in range(3):
                gc.collect()
                with connections.send(
                    address, 1, REQUEST, TIMEOUT_SECONDS
                ) as answer:
                    body = b"".join(upstream_http.read_body(answer))
                    self.assertEqual((answer.status, body), (200, b"ok"))

    def test_whole_answers_are_read(self):
        self.assertEqual(self.answer_with(ANSWER), (200, b"ok"))
        for head in (b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.1 200 OK\n\n"):
            self.assertEqual(self.answer_with(head + b"some"), (200, b"some"))
        self.assertEqual(
            self.answer_with(b"HTTP/1.1 204 No Content\r\n\r\n"), (204, b"")
        )


if __name__ == "__main__":
    unittest.main()
