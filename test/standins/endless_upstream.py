"""Stand-in of a fast upstream that sends answers without end.

Usage: python -m test.standins.endless_upstream. It serves on a free port of
loopback, in a process of its own, since one that shares the process of the
callers is too slow to show what its bytes do to a host.

The last segment of the path selects the answer, one of `ANSWERS` that goes on
until the host closes the connection; any other path gets a complete answer.
`GET /_control` returns the bytes and answers sent without end, and the number
of requests by their id.
"""

import collections
import contextlib
import json
import socket
import socketserver
import sys
import threading

from test.standins import serving

BLOCK_BYTES = 256 * 1024
STATUS = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# Begin of an answer behind its status line and request id, and the piece that
# is sent again and again.
ANSWERS = {
    "body": (b"\r\n", b"b" * 1024),
    "length": (b"Content-Length: 99999999999\r\n\r\n", b"b" * 1024),
    "chunks": (CHUNKED, b"400\r\n" + b"b" * 1024 + b"\r\n"),
    "chunks-1": (CHUNKED, b"1\r\nb\r\n"),
    "chunks-2": (CHUNKED, b"2\r\nbb\r\n"),
    "extensions": (CHUNKED, b"1;" + b"e" * 1000 + b"\r\nb\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"T: t\r\n"),
    "head": (b"", b"X: y\r\n"),
    "line": (b"X: ", b"x" * 1024),
}
# Answers whose pieces come before the status line of the final answer.
INTERIM = {
    "interim": b"HTTP/1.1 102 Processing\r\n\r\n",
    "interim-headers": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    "empty-lines": b"\r\n",
    "garbage": b"\x16\x03\x01\x00",
}
KINDS = (*ANSWERS, *INTERIM)


class Handler(socketserver.StreamRequestHandler):
    """Answers the requests of one connection."""

    disable_nagle_algorithm = True

    def handle(self):
        with contextlib.suppress(OSError):
            while head := self.read_head():
                path, headers = head
                self.rfile.read(int(headers.get("content-length") or 0))
                self.answer(path, headers)

    def read_head(self):
        """Returns the path and headers of a request; None at the end."""
        line = self.rfile.readline()
        if not line:
            return None
        headers = {}
        while (field := self.rfile.readline().strip()) != b"":
            name, _, value = field.decode("latin1").partition(":")
            headers[name.lower()] = value.strip()
        return line.split()[1].decode("latin1"), headers

    def answer(self, path, headers):
        """Sends a complete answer, or one without end."""
        request_id = headers.get("request-id", "")
        start = STATUS + b"Request-Id: " + request_id.encode() + b"\r\n"
        kind = path.rpartition("/")[2]
        with self.server.lock:
            self.server.requests[request_id] += 1
        if path == "/_control":
            body = self.state()
        elif kind in ANSWERS:
            begin, piece = ANSWERS[kind]
            self.send_without_end(start + begin, piece)
        elif kind in INTERIM:
            self.send_without_end(b"", INTERIM[kind])
        else:
            body = b"done"
        self.wfile.write(
            start + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        )

    def state(self):
        """Returns what `/_control` answers."""
        with self.server.lock:
            return json.dumps(
                {**self.server.counts, "requests": self.server.requests}
            ).encode()

    def send_without_end(self, begin, piece):
        """Sends a piece again and again until the connection ends.

        Raises:
            OSError: The connection has ended.
        """
        block = piece * (BLOCK_BYTES // len(piece) + 1)
        self.wfile.write(begin)
        try:
            while True:
                self.wfile.write(block)
                with self.server.lock:
                    self.server.counts["bytes"] += len(block)
        finally:
            with self.server.lock:
                self.server.counts["answers"] += 1


class Upstream(socketserver.ThreadingTCPServer):
    """The stand-in.

    Attributes:
        counts: Bytes and answers sent without end.
        requests: Number of requests by their id.
        lock: Held while these change.
    """

    daemon_threads = True
    request_queue_size = 1024
    allow_reuse_address = True

    def __init__(self):
        super().__init__((serving.LOOPBACK, 0), Handler)
        self.counts = {"bytes": 0, "answers": 0}
        self.requests = collections.Counter()
        self.lock = threading.Lock()

    def handle_error(self, request, client_address):
        """Ignores connections that the host has ended."""
        if not isinstance(sys.exception(), OSError):
            super().handle_error(request, client_address)

    def get_request(self):
        connection, address = super().get_request()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BLOCK_BYTES)
        return connection, address


def main():
    """Serves until the process ends."""
    with Upstream() as upstream:
        serving.print_ready(port=upstream.server_address[1])
        upstream.serve_forever()


if __name__ == "__main__":
    main()
