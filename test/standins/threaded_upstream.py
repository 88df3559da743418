"""Stand-in of an upstream, in threads of the test's process.

It uses the headers of the platform (`gooseberryweir.platform.headers`). The
last segment of the path selects the behaviour: `slow` takes a second, `break`
closes the connection after the request was read, `shed` answers that the
request did not run, `wait` answers once `release` is set, and `crash` closes
the connection and continues as a new instance at the same address.
`body-MS-BYTES` answers with a body of that size after that time, unless the
connection ends before. With `nolength-` the end of the body is that of the
connection, with `early-` the answer comes before the request's body is read,
with `short-` the connection ends in the middle of the body, and with `torn-` it
is reset in the middle of a body without a length.
`endless-head`, `endless-line` and `endless-body` send an answer without end.
`early` answers with status 413 and reads the body 1.5 s later, `unread` reads
no body and answers nothing until `release` is set, `raw` answers with the bytes
of `raw_answer`.
"""

import contextlib
import http.server
import os
import select
import socket
import threading
import time
from typing import NamedTuple

from test import _raw
from test import _soak_records

SLOW_SECONDS = 1.0
EARLY_SECONDS = 1.5
PIECE_PAUSE_SECONDS = 0.001
CHUNK_BYTES = 64 * 1024
POLL_SECONDS = 0.02


class Run(NamedTuple):
    """One request that started to run.

    Attributes:
        request_id: Value of the Request-Id header, or empty.
        path: Path of the request.
        headers: Headers by lower-case name.
        at: Monotonic time of the start, seconds.
    """

    request_id: str
    path: str
    headers: dict[str, str]
    at: float


class RunEnd(NamedTuple):
    """The end of a run.

    Attributes:
        run: The run.
        at: Monotonic time of the end, seconds.
        outcome: One of the outcomes of `_soak_records`.
    """

    run: Run
    at: float
    outcome: str


class ThreadedUpstream(http.server.ThreadingHTTPServer):
    """An upstream that serves from its creation until the context ends.

    Attributes:
        name: Name of the current instance.
        service: Name of the service.
        zone: Availability zone.
        state: Value of `state` in the upstream's entry.
        runs: Requests that started to run.
        ends: Ends of the runs that have ended.
        connections: Sockets of the open connections.
        ending: Held while a connection is ended, or kept from that.
        refused: Number of requests answered without running them.
        crashes: Number of crashes so far.
        on_crash: Called with the name of the ended instance after a crash.
        stops_on_crash: True if nothing listens at its address after a crash.
        cancelled: Set once a host closed the connection of a waiting request.
        release: Set to let waiting requests finish.
        answer_headers: Headers that are added to each answer, as pairs of name
            and value.
        pause_seconds: While above 0, each request is turned away and the answer
            names this time in Retry-After.
        raw_answer: Pieces of the answer to `raw`, each sent by itself.
        raw_closes: True if the connection is closed after them.
        lag_seconds: Additional time of answers that come after a time.
        turned_away: Id and monotonic time of each request turned away so.
    """

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, name, service, zone):
        super().__init__(("127.0.0.1", 0), _Handler)
        self.name = name
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.runs = []
        self.ends = []
        self.connections = set()
        self.ending = threading.Lock()
        self.refused = 0
        self.crashes = 0
        self.on_crash = lambda ended_name: None
        self.stops_on_crash = False
        self.cancelled = threading.Event()
        self.release = threading.Event()
        self.answer_headers = ()
        self.pause_seconds = 0.0
        self.raw_answer = ()
        self.raw_closes = False
        self.turned_away = []
        self.lag_seconds = 0.0
        self.endless_bytes = 0
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignores connections closed by hosts, which may do so at any time."""

    def __exit__(self, *_):
        self.shutdown()
        self.server_close()

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def end_connections(self):
        """Ends all connections, as a process that is killed."""
        for connection in list(self.connections):
            with self.ending, contextlib.suppress(OSError):
                # It may be about to be reset by now.
                if connection in self.connections:
                    connection.shutdown(socket.SHUT_RDWR)

    def crash(self):
        """Continues as a new instance and calls `on_crash`."""
        ended_name = self.name
        self.crashes += 1
        self.name = f"{ended_name.partition('.')[0]}.{self.crashes}"
        if self.stops_on_crash:
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)
            self.socket.close()
            self.end_connections()
        self.on_crash(ended_name)

    def entry(self, **changes):
        """Returns the entry that the upstream writes to the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.server_address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemaining": "0ms",
            "sequence": 1,
            "born": 1790000000000,
            **changes,
        }


class _Handler(http.server.BaseHTTPRequestHandler):
    """Serves one connection of a ThreadedUpstream."""

    protocol_version = "HTTP/1.1"

    def setup(self):
        super().setup()
        self.server.connections.add(self.connection)

    def log_message(self, *_):
        pass

    def do_GET(self):
        server = self.server
        early = self.path.rpartition("/")[2].startswith("early-")
        if not early and not self.read_body():
            return
        if self.headers.get("Expect-Instance") != server.name:
            server.refused += 1
            self.answer(421, b"", {"Instance-Id": server.name})
            return
        if server.pause_seconds:
            request_id = self.headers.get("Request-Id", "")
            server.turned_away.append((request_id, time.monotonic()))
            retry_after = f"{server.pause_seconds:g}"
            self.answer(
                503, b"", {"Not-Executed": "1", "Retry-After": retry_after}
            )
            return
        action = self.path.rpartition("/")[2]
        if action == "shed":
            server.refused += 1
            self.answer(503, b"", {"Not-Executed": "1"})
            return
        run = Run(
            self.headers.get("Request-Id", ""),
            self.path,
            {name.lower(): value for name, value in self.headers.items()},
            time.monotonic(),
        )
        server.runs.append(run)
        outcome = _soak_records.CANCELLED
        try:
            outcome = self.perform(action)
        finally:
            server.ends.append(RunEnd(run, time.monotonic(), outcome))
        if early:
            self.read_body()

    do_HEAD = do_POST = do_GET  # noqa: N815

    def perform(self, action):
        """Performs an action and returns the outcome of the run."""
        server = self.server
        if action == "crash":
            server.crash()
        if action in ("break", "crash"):
            self.close_connection = True
            return _soak_records.BROKEN
        if action == "raw":
            self.send_raw()
            return _soak_records.BROKEN
        if action.startswith("endless-"):
            self.send_without_end(action)
            return _soak_records.BROKEN
        if action in ("crash-framed", "crash-unframed"):
            return self.crash_amid_answer(action == "crash-framed")
        if action.startswith(
            ("body-", "nolength-", "early-", "short-", "torn-")
        ):
            return self.answer_after(*action.split("-"))
        self.delay(action)
        self.answer(200, b"done", {"Server-Stamp": server.name})
        return _soak_records.ANSWERED

    def read_body(self):
        """Reads the body; returns False if the request was answered before."""
        action = self.path.rpartition("/")[2]
        if action == "early":
            self.answer(413, b"", {})
            time.sleep(EARLY_SECONDS)
        if action == "unread":
            self.server.release.wait()
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            while size := int(self.rfile.readline().strip() or b"0", 16):
                self.rfile.read(size + len(b"\r\n"))
            self.rfile.readline()
        else:
            self.rfile.read(int(self.headers.get("Content-Length") or 0))
        return action != "early"

    def send_raw(self):
        """Sends the pieces of `raw_answer`."""
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.close_connection = self.server.raw_closes
        for each in self.server.raw_answer:
            self.wfile.write(each)
            time.sleep(PIECE_PAUSE_SECONDS)

    def delay(self, action):
        """Waits for as long as the action says."""
        if action == "slow":
            time.sleep(SLOW_SECONDS)
        if action == "wait":
            self.wait_for_release()

    def answer_after(self, kind, milliseconds, size):
        """Answers after a time; returns the outcome of the run."""
        name = self.server.name
        seconds = int(milliseconds) / 1000 + self.server.lag_seconds
        if self.connection_ended(seconds):
            self.close_connection = True
            if name != self.server.name:
                return _soak_records.BROKEN
            return _soak_records.CANCELLED
        body = b"b" * int(size)
        if kind in ("body", "early"):
            self.answer(200, body, {"Server-Stamp": name})
            return _soak_records.ANSWERED
        self.close_connection = True
        headers = {"Server-Stamp": name, "Connection": "close"}
        if kind == "nolength":
            self.answer(200, body, {**headers, "Content-Length": None})
            return _soak_records.ANSWERED
        if kind == "torn":
            # A crash beside it would end the connection properly.
            with self.server.ending:
                self.server.connections.discard(self.connection)
            self.answer(200, body, {**headers, "Content-Length": None})
            self.reset()
            return _soak_records.BROKEN
        length = {"Content-Length": str(len(body) + 1)}
        self.answer(200, body, {**headers, **length})
        return _soak_records.BROKEN

    def crash_amid_answer(self, framed):
        """Crashes after a part of the answer; returns the outcome.

        Args:
            framed: True if the answer names the length of its body.
        """
        self.close_connection = True
        length = str(CHUNK_BYTES) if framed else None
        self.answer(200, b"b", {"Content-Length": length})
        time.sleep(POLL_SECONDS)
        self.server.crash()
        return _soak_records.BROKEN

    def reset(self):
        """Resets the connection once the host has what was sent."""
        time.sleep(POLL_SECONDS)
        self.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _raw.RESET_ON_CLOSE
        )
        # The server would end the connection properly before it closes it.
        os.close(self.connection.detach())

    def connection_ended(self, seconds):
        """Waits for a time; returns True if the connection ended in it."""
        poll = select.poll()
        poll.register(self.connection, select.POLLIN)
        deadline = time.monotonic() + seconds
        while (remaining := deadline - time.monotonic()) > 0:
            if not poll.poll(remaining * 1000):
                return False
            if not self.connection.recv(1, socket.MSG_PEEK):
                return True
            # Bytes that are not read yet; their arrival hides an end.
            time.sleep(min(remaining, POLL_SECONDS))
        return False

    def send_without_end(self, action):
        """Sends bytes until the host closes the connection."""
        self.close_connection = True
        request_id = self.headers.get("Request-Id", "")
        start = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
        piece = {
            "endless-head": b"".join(b"X-%d: y\r\n" % i for i in range(5000)),
            "endless-line": b"X" * CHUNK_BYTES,
            "endless-body": b"b" * CHUNK_BYTES,
        }[action]
        start += {"endless-line": "X-Long: ", "endless-body": "\r\n"}.get(
            action, ""
        )
        with contextlib.suppress(OSError):
            self.wfile.write(start.encode())
            while True:
                self.wfile.write(piece)
                self.server.endless_bytes += len(piece)

    def wait_for_release(self):
        """Waits until `release` is set or the host closes the connection."""
        self.connection.settimeout(0.05)
        while not self.server.release.is_set():
            try:
                if not self.connection.recv(1):
                    self.server.cancelled.set()
                    return
            except TimeoutError:
                continue

    def answer(self, status, body, headers):
        headers = {"Content-Length": str(len(body)), **headers}
        self.send_response(status)
        self.send_header("Request-Id", self.headers.get("Request-Id", ""))
        for name, value in headers.items():
            if value is not None:
                self.send_header(name, value)
        for name, value in self.server.answer_headers:
            self.send_header(name, value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)
