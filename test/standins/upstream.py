"""An upstream: an HTTP service with slots, a load report and faults.

`/healthz` and `/load` report; every other path runs work. `GET
/_control/runs` returns what ran; `POST /_control` sets switches, named in
`Switches`.
"""

import argparse
import collections
from collections.abc import Iterable
import hashlib
import json
import os
import random
import time
from typing import Any

import eventlet
from eventlet import wsgi

from test.standins import serving

POLL_SECONDS = 0.05
PIECE_BYTES = 65_536
MAX_VALUES_SEEN = 1000


class Switches:
    """Faults, each off by default.

    Attributes:
        frozen: The load report stays as it is at the time of switching on.
        lying: Number of busy slots that the load report claims, or None.
        leaving: The load report says so and `/healthz` answers 503.
        healthz: False: `/healthz` answers 503.
        slow: Factor on the work time.
        hang: Accepts requests and never answers.
        die_after_receive: Exits after the next request is read, before work.
        die_mid_answer: Exits after half of the next answer.
        crash_paths: Paths whose work ends the process.
    """

    def __init__(self) -> None:
        self.frozen: Any = False
        self.lying: int | None = None
        self.leaving = False
        self.healthz = True
        self.slow = 1.0
        self.hang = False
        self.die_after_receive = False
        self.die_mid_answer = False
        self.crash_paths: list[str] = []


class Upstream:
    """The WSGI application."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments
        self.switches = Switches()
        self.random = None
        if arguments.seed is not None:
            self.random = random.Random(arguments.seed)
        self.cold_left = arguments.cold_requests
        self.busy = 0
        self.frozen_load: dict[str, Any] = {}
        self.connections = 0
        self.max_connections = 0
        self.max_busy = 0
        self.shed = 0
        self.cancelled = 0
        self.timed_out = 0
        self.completed = 0
        self.runs: collections.Counter[str] = collections.Counter()
        self.accounts: collections.Counter[str] = collections.Counter()
        self.starts: list[tuple[float, str, str, str]] = []
        self.headers_seen: dict[str, set[str]] = collections.defaultdict(set)

    def __call__(self, environ: serving.Environ, start_response: Any) -> Any:
        """Answers one request."""
        path = environ["PATH_INFO"]
        if path == "/_control/runs":
            return serving.json_answer(start_response, "200 OK", self.report())
        if path == "/_control":
            return self.control(environ, start_response)
        for name, value in environ["headers_raw"]:
            seen = self.headers_seen[name.lower()]
            if len(seen) < MAX_VALUES_SEEN:
                seen.add(value)
        body = environ["wsgi.input"].read()
        while self.switches.hang:
            if serving.caller_left(environ, POLL_SECONDS):
                return serving.drop(environ)
        if path == "/healthz":
            well = self.switches.healthz and not self.switches.leaving
            status = "200 OK" if well else "503 Service Unavailable"
            return serving.json_answer(start_response, status, {"ok": well})
        if path == "/load":
            return serving.json_answer(start_response, "200 OK", self.load())
        if self.switches.die_after_receive:
            end_process(f"die_after_receive path={path}")
        return self.take_slot(environ, start_response, body)

    def load(self) -> dict[str, Any]:
        """Returns the load report."""
        if self.switches.frozen and self.frozen_load:
            return self.frozen_load
        busy = self.busy
        if self.switches.lying is not None:
            busy = self.switches.lying
        return {
            "slots": self.arguments.slots,
            "busy": busy,
            "leaving": self.switches.leaving,
            "cold": self.cold_left > 0,
        }

    def take_slot(
        self, environ: serving.Environ, start_response: Any, body: bytes
    ) -> Any:
        """Runs work in a slot, or sheds it."""
        if self.busy >= self.arguments.slots:
            self.shed += 1
            self.note("shed", "", environ["PATH_INFO"], "", ())
            headers = [("Gooseberryweir-Shed", "1"), ("Content-Length", "0")]
            start_response("503 Service Unavailable", headers)
            return []
        self.busy += 1
        self.max_busy = max(self.max_busy, self.busy)
        try:
            return self.run(environ, start_response, body)
        finally:
            self.busy -= 1

    def run(
        self, environ: serving.Environ, start_response: Any, body: bytes
    ) -> Any:
        """Does the work within its deadline and answers."""
        path = environ["PATH_INFO"]
        query = serving.query(environ)
        identifier = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        account = environ.get("HTTP_GOOSEBERRYWEIR_ACCOUNT", "")
        self.starts.append((time.monotonic(), account, path, identifier))
        self.note("start", account, path, identifier, environ["headers_raw"])
        self.accounts[account] += 1
        if identifier:
            self.runs[identifier] += 1
        if "crash" in query or path in self.switches.crash_paths:
            end_process(f"crash path={path} id={identifier} account={account}")
        work = self.work_seconds(query)
        limit = float(environ.get("HTTP_REQUEST_TIMEOUT") or "inf")
        if serving.caller_left(environ, min(work, limit)):
            self.cancelled += 1
            return serving.drop(environ)
        if work > limit:
            self.timed_out += 1
            start_response("504 Gateway Timeout", [("Content-Length", "0")])
            return []
        self.completed += 1
        return self.answer(environ, start_response, query, body)

    def note(
        self,
        event: str,
        account: str,
        path: str,
        identifier: str,
        headers: Iterable[tuple[str, str]],
    ) -> None:
        """Prints one event as JSON, so that it outlives this process."""
        if not self.arguments.journal:
            return
        line = {
            "event": event,
            "at": time.monotonic(),
            "account": account,
            "path": path,
            "id": identifier,
            "busy": self.busy,
            "headers": dict(headers),
        }
        print(json.dumps(line), flush=True)

    def work_seconds(self, query: dict[str, str]) -> float:
        """Returns how long the next work takes, in seconds."""
        if "sleep_ms" in query:
            return float(query["sleep_ms"]) / 1000
        milliseconds = self.arguments.service_ms
        if self.random and milliseconds:
            milliseconds = self.random.expovariate(1 / milliseconds)
        if self.cold_left > 0:
            self.cold_left -= 1
            milliseconds += self.arguments.cold_ms
        return milliseconds * self.switches.slow / 1000

    def answer(
        self,
        environ: serving.Environ,
        start_response: Any,
        query: dict[str, str],
        body: bytes,
    ) -> Any:
        """Answers with the echo, or with as many bytes as were asked for."""
        echo = {
            "name": self.arguments.name,
            "service": self.arguments.service,
            "method": environ["REQUEST_METHOD"],
            "path": environ["RAW_PATH_INFO"],
            "query": environ.get("QUERY_STRING", ""),
            "headers": list(environ["headers_raw"]),
            "body_length": len(body),
            "body_sha256": hashlib.sha256(body).hexdigest(),
        }
        short = "short" in query
        dying = self.switches.die_mid_answer
        extra = serving.asked_headers(environ)
        if not (short or dying or "bytes" in query):
            answer = serving.json_answer(start_response, "200 OK", echo, extra)
            return [] if echo["method"] == "HEAD" else answer
        size = int(query.get("bytes", PIECE_BYTES))
        headers = [("Content-Type", "application/octet-stream"), *extra]
        if "chunked" not in query or echo["method"] == "HEAD":
            headers.append(("Content-Length", str(size)))
        start_response("200 OK", headers)
        if echo["method"] == "HEAD":
            return []
        sent = size // 2 if short or dying else size
        content = serving.payload(
            environ.get("HTTP_IDEMPOTENCY_KEY", ""), size
        )[:sent]
        return stream(environ, content, short, dying)

    def report(self) -> dict[str, Any]:
        """Returns what ran and what was seen."""
        return {
            "name": self.arguments.name,
            "runs": self.runs,
            "accounts": self.accounts,
            "starts": self.starts,
            "busy": self.busy,
            "max_busy": self.max_busy,
            "max_connections": self.max_connections,
            "shed": self.shed,
            "cancelled": self.cancelled,
            "timed_out": self.timed_out,
            "completed": self.completed,
            "headers_seen": {
                name: sorted(self.headers_seen[name])
                for name in self.headers_seen
            },
        }

    def control(self, environ: serving.Environ, start_response: Any) -> Any:
        """Sets switches and returns them all."""
        for name, value in serving.json_body(environ).items():
            if name == "frozen":
                self.switches.frozen = False
                self.frozen_load = self.load()
            serving.set_switch(self.switches, name, value)
        document = vars(self.switches)
        return serving.json_answer(start_response, "200 OK", document)


def stream(
    environ: serving.Environ, content: bytes, short: bool, dying: bool
) -> Any:
    """Yields content in pieces; then breaks off if told to."""
    for start in range(0, len(content), PIECE_BYTES):
        yield content[start : start + PIECE_BYTES]
    if dying:
        end_process("die_mid_answer")
    if short:
        serving.drop(environ)


def end_process(reason: str) -> None:
    """Exits at once, as a crash would."""
    serving.complain(reason)
    os._exit(1)


def limited_protocol(upstream: Upstream) -> Any:
    """Returns a connection handler that keeps to the connection limit."""

    class Protocol(wsgi.HttpProtocol):
        """Counts connections and closes those over the limit."""

        def handle(self) -> None:
            """Handles one connection."""
            if upstream.connections >= upstream.arguments.connections:
                return
            upstream.connections += 1
            upstream.max_connections = max(
                upstream.max_connections, upstream.connections
            )
            try:
                super().handle()
            finally:
                upstream.connections -= 1

    return Protocol


def main() -> None:
    """Parses the arguments and serves."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", default="upstream")
    parser.add_argument("--service", default="service")
    parser.add_argument("--slots", type=int, default=9)
    parser.add_argument("--connections", type=int, default=330)
    parser.add_argument("--service-ms", type=float, default=10.0)
    parser.add_argument(
        "--seed", type=int, help="exponential times; fixed if left out"
    )
    parser.add_argument("--cold-ms", type=float, default=0.0)
    parser.add_argument("--cold-requests", type=int, default=0)
    parser.add_argument(
        "--journal", action="store_true", help="print a line for each start"
    )
    parser.add_argument("--port", type=int, default=0)
    upstream = Upstream(parser.parse_args())
    listener = serving.listen(upstream.arguments.port)
    serving.ready(port=listener.getsockname()[1])
    serving.serve(listener, upstream, limited_protocol(upstream))


if __name__ == "__main__":
    eventlet.monkey_patch()
    main()
