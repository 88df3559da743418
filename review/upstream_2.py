"""Upstream for the cases 6 to 10: one process that serves HTTP/1.1 requests.

Usage: upstream_2.py NAME ZONE STORE RUNS_FILE [OPTION ...]

Registers itself in the store's stand-in at STORE, and again after a crash, as
another incarnation under the same id. A line of RUNS_FILE is a request that it
began to run. The last segment of the path says what a request does: `crash`
ends the incarnation after the head of the answer and a part of the body were
sent, `work-MS` takes that time; any other is answered at once.

`unframed` answers without a length once the body is read, `torn` before it is,
and resets the connection in the middle of the answer.

Options: `--down SECONDS`, the time until a crashed upstream is back;
`--silent`, a crash sends no byte of an answer; `--small-window`, connections
have a small receive buffer. After SIGUSR1 the upstream runs all requests, but
fails a part of them with status 503 for some seconds.
"""

import argparse
import contextlib
import http.client
import http.server
import json
import os
import random
import signal
import socket
import struct
import threading
import time

# Dose of `srv_grey` with `errors` in the site files: x and for_s.
GREY_SHARE = 0.4
GREY_SECONDS = 5.1
# Whole body of an answer without a length.
LONG_BODY = b"0123456789" * 300
TEAR_SECONDS = 0.05
RECEIVE_BUFFER_BYTES = 32 * 1024
BODY = b"answer of the upstream"


class State:
    """State of the process.

    Attributes:
        arguments: Arguments of the command line.
        born: Start of the current incarnation, Unix milliseconds.
        sequence: Counts the writes of the entry.
        connections: Open connections.
        server: The server that listens, or None while it is down.
        address: Address that it listens on.
        grey_until: Monotonic time until which a part of the requests fails.
        random: Selects these requests.
        lock: Guards the server and the file of the runs.
    """

    def __init__(self, arguments):
        self.arguments = arguments
        self.born = 0
        self.sequence = 0
        self.connections = set()
        self.server = None
        self.address = ("127.0.0.1", 0)
        self.grey_until = 0.0
        self.random = random.Random(arguments.name)
        self.lock = threading.Lock()

    def record(self, **fields):
        """Writes a line to the file of the runs."""
        line = json.dumps({"at": time.monotonic(), **fields})
        with self.lock, open(self.arguments.runs, "a") as file:
            file.write(line + "\n")

    def start(self):
        """Starts an incarnation: listens and registers."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = Server(self)
        self.address = self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.register()

    def turn_grey(self, *_):
        """Handles SIGUSR1."""
        self.grey_until = time.monotonic() + GREY_SECONDS

    def fails(self):
        """Returns True if the request that has just run is to fail."""
        return (
            time.monotonic() < self.grey_until
            and self.random.random() < GREY_SHARE
        )

    def register(self):
        """Writes the entry to the store."""
        self.sequence += 1
        ip, port = self.address
        spec = {
            "service": "work",
            "address": f"{ip}:{port}",
            "zone": self.arguments.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemaining": "0ms",
            "sequence": self.sequence,
            "born": self.born,
        }
        document = {
            "put": {
                "kind": "servers",
                "name": self.arguments.name,
                "spec": spec,
            }
        }
        store, _, store_port = self.arguments.store.rpartition(":")
        connection = http.client.HTTPConnection(
            store, int(store_port), timeout=5
        )
        connection.request("POST", "/_control", json.dumps(document))
        connection.getresponse().read()
        connection.close()

    def crash(self):
        """Ends the incarnation, and starts the next one after some time."""
        with self.lock:
            server, self.server = self.server, None
        if server is None:
            return
        # A socket that is being polled would listen on after its close.
        server.socket.shutdown(socket.SHUT_RDWR)
        server.socket.close()
        for each in list(self.connections):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
        self.connections.clear()
        server.stop()
        threading.Timer(self.arguments.down, self.start).start()


class Server(http.server.ThreadingHTTPServer):
    """Listens for one incarnation."""

    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def __init__(self, state):
        self.state = state
        super().__init__(state.address, Handler, bind_and_activate=False)
        if state.arguments.small_window:
            # Connections inherit this size.
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        self.server_bind()
        self.server_activate()

    def stop(self):
        """Ends the loop of the server."""
        threading.Thread(target=self.shutdown, daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignores connections that the other side has closed."""


class Handler(http.server.BaseHTTPRequestHandler):
    """Serves one connection."""

    protocol_version = "HTTP/1.1"

    def setup(self):
        """Registers the connection."""
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.state.connections.add(self.connection)

    def finish(self):
        """Removes the connection."""
        self.server.state.connections.discard(self.connection)
        super().finish()

    def log_message(self, *_):
        """Logs nothing."""

    def do_GET(self):
        """Runs a request and answers it."""
        state = self.server.state
        action = self.path.rpartition("/")[2]
        if action in ("torn", "unframed"):
            self.answer_without_length(state, action == "torn")
            return
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        expected = self.headers.get("Expect-Instance")
        request_id = self.headers.get("Request-Id", "")
        if expected not in (None, state.arguments.name):
            self.answer(421, b"", [("Not-Executed", "1")])
            return
        if not request_id:
            self.answer(400, b"", [("Not-Executed", "1")])
            return
        state.record(
            id=request_id,
            path=self.path,
            tenant=self.headers.get("Tenant-Id", ""),
            upstream=state.arguments.name,
            born=state.born,
        )
        action = self.path.rpartition("/")[2]
        if action == "crash":
            if not state.arguments.silent:
                self.answer(200, BODY, [], cut=True)
                time.sleep(0.02)
            self.close_connection = True
            state.crash()
            return
        if action.startswith("work-"):
            time.sleep(int(action.partition("-")[2]) / 1000)
        if state.fails():
            stamp = [("Server-Stamp", state.arguments.name)]
            self.answer(503, b"failed", stamp)
            return
        self.answer(200, BODY, [("Server-Stamp", state.arguments.name)])

    do_POST = do_GET  # noqa: N815

    def answer_without_length(self, state, torn):
        """Runs an upload; its answer ends with the connection.

        Args:
            state: State of the process.
            torn: True to answer before the body is read, and to reset the
                connection in the middle of the answer.
        """
        request_id = self.headers.get("Request-Id", "")
        state.record(
            id=request_id, path=self.path, upstream=state.arguments.name
        )
        if not torn:
            self.rfile.read(int(self.headers.get("Content-Length") or 0))
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request_id}",
            f"Server-Stamp: {state.arguments.name}",
            "Connection: close",
        ]
        head = "\r\n".join([*lines, "", ""]).encode()
        size = len(LONG_BODY) // 2 if torn else len(LONG_BODY)
        self.wfile.write(head + LONG_BODY[:size])
        self.wfile.flush()
        self.close_connection = True
        if torn:
            time.sleep(TEAR_SECONDS)
            # The kernel does the same at a close with unread bytes.
            self.connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            os.close(self.connection.detach())

    def answer(self, status, body, headers, cut=False):
        """Sends an answer; with `cut` only a part of its body."""
        lines = [
            f"HTTP/1.1 {status} Status",
            f"Request-Id: {self.headers.get('Request-Id', '')}",
            f"Instance-Id: {self.server.state.arguments.name}",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        head = "\r\n".join([*lines, "", ""]).encode()
        self.wfile.write(head + (body[:5] if cut else body))
        self.wfile.flush()


def main():
    """Starts the upstream and waits for signals."""
    parser = argparse.ArgumentParser()
    parser.add_argument("name")
    parser.add_argument("zone")
    parser.add_argument("store")
    parser.add_argument("runs")
    parser.add_argument("--down", type=float, default=3.0)
    parser.add_argument("--silent", action="store_true")
    parser.add_argument("--small-window", action="store_true")
    state = State(parser.parse_args())
    signal.signal(signal.SIGUSR1, state.turn_grey)
    state.start()
    print("ready", os.getpid(), flush=True)
    while True:
        signal.pause()


if __name__ == "__main__":
    main()
