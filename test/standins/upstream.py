"""Stand-in of an upstream: a process with slots, a load report and faults.

`/healthz` and `/load` report state; requests for any other path run in a slot
(the number of slots limits how many run at the same time).
`GET /_control/runs` returns a report of all runs; `POST /_control` sets
switches, named in `Switches`.
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
CHUNK_BYTES = 65_536
MAX_RECORDED_VALUES = 1000


class Switches:
    """Faults; the default values inject none.

    Attributes:
        frozen: True to repeat the load report of the time when the switch was
            set.
        reported_busy: Number of busy slots that the load report states; None
            for the actual number.
        leaving: True to report in `/load` that the upstream takes no new
            requests, and to answer `/healthz` with 503.
        healthz: False to answer `/healthz` with 503.
        slow: Factor by which the work time is multiplied.
        hang: True to read requests and never answer.
        die_after_receive: True to exit after reading the next request, before
            running it.
        die_mid_answer: True to exit after sending half of the next answer.
        crash_paths: Paths of requests that end the process.
    """

    def __init__(self) -> None:
        self.frozen: Any = False
        self.reported_busy: int | None = None
        self.leaving = False
        self.healthz = True
        self.slow = 1.0
        self.hang = False
        self.die_after_receive = False
        self.die_mid_answer = False
        self.crash_paths: list[str] = []


class Upstream:
    """The WSGI application of the upstream.

    Attributes:
        arguments: Command-line arguments.
        switches: The faults.
        rng: Source of random work times; None for fixed times.
        cold_requests_left: Number of further requests that take additional
            time, as at a cold upstream (one whose cache is not filled yet).
        busy: Number of requests running.
        frozen_load: Load report to repeat while `frozen` is set.
        connections: Number of open connections.
        max_connections: Highest number of open connections so far.
        max_busy: Highest number of requests running so far.
        shed: Number of requests refused because no slot was free.
        cancelled: Number of requests whose client disconnected.
        timed_out: Number of requests that exceeded their timeout.
        completed: Number of requests run to the end.
        runs: Number of runs by idempotency key.
        accounts: Number of runs by client account.
        starts: Monotonic time in seconds, account, path and idempotency key
            of each run.
        headers_seen: Values received of each header, at most
            MAX_RECORDED_VALUES of each.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments
        self.switches = Switches()
        self.rng = None
        if arguments.seed is not None:
            self.rng = random.Random(arguments.seed)
        self.cold_requests_left = arguments.cold_requests
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
            values = self.headers_seen[name.lower()]
            if len(values) < MAX_RECORDED_VALUES:
                values.add(value)
        body = environ["wsgi.input"].read()
        while self.switches.hang:
            if serving.wait_disconnect(environ, POLL_SECONDS):
                return serving.drop_connection(environ)
        if path == "/healthz":
            healthy = self.switches.healthz and not self.switches.leaving
            status = "200 OK" if healthy else "503 Service Unavailable"
            return serving.json_answer(start_response, status, {"ok": healthy})
        if path == "/load":
            return serving.json_answer(start_response, "200 OK", self.load())
        if self.switches.die_after_receive:
            end_process(f"die_after_receive path={path}")
        return self.run_in_slot(environ, start_response, body)

    def load(self) -> dict[str, Any]:
        """Returns the load report."""
        if self.switches.frozen and self.frozen_load:
            return self.frozen_load
        busy = self.busy
        if self.switches.reported_busy is not None:
            busy = self.switches.reported_busy
        return {
            "slots": self.arguments.slots,
            "busy": busy,
            "leaving": self.switches.leaving,
            "cold": self.cold_requests_left > 0,
        }

    def run_in_slot(
        self, environ: serving.Environ, start_response: Any, body: bytes
    ) -> Any:
        """Runs a request in a slot; answers 503 if no slot is free."""
        if self.busy >= self.arguments.slots:
            self.shed += 1
            self.log_event("shed", "", environ["PATH_INFO"], "", ())
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
        """Waits for the work time and answers.

        Answers 504 after the timeout of the request if that is shorter.
        """
        path = environ["PATH_INFO"]
        query = serving.query(environ)
        idempotency_key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        account = environ.get("HTTP_GOOSEBERRYWEIR_ACCOUNT", "")
        self.starts.append((time.monotonic(), account, path, idempotency_key))
        self.log_event(
            "start", account, path, idempotency_key, environ["headers_raw"]
        )
        self.accounts[account] += 1
        if idempotency_key:
            self.runs[idempotency_key] += 1
        if "crash" in query or path in self.switches.crash_paths:
            end_process(
                f"crash path={path} id={idempotency_key} account={account}"
            )
        work_seconds = self.next_work_seconds(query)
        timeout = float(environ.get("HTTP_REQUEST_TIMEOUT") or "inf")
        if serving.wait_disconnect(environ, min(work_seconds, timeout)):
            self.cancelled += 1
            return serving.drop_connection(environ)
        if work_seconds > timeout:
            self.timed_out += 1
            start_response("504 Gateway Timeout", [("Content-Length", "0")])
            return []
        self.completed += 1
        return self.answer(environ, start_response, query, body)

    def log_event(
        self,
        event: str,
        account: str,
        path: str,
        idempotency_key: str,
        headers: Iterable[tuple[str, str]],
    ) -> None:
        """With `--journal`, prints one event as JSON; it outlives a crash."""
        if not self.arguments.journal:
            return
        document = {
            "event": event,
            "at": time.monotonic(),
            "account": account,
            "path": path,
            "id": idempotency_key,
            "busy": self.busy,
            "headers": dict(headers),
        }
        print(json.dumps(document), flush=True)

    def next_work_seconds(self, query: dict[str, str]) -> float:
        """Returns the work time of the next request, seconds."""
        if "sleep_ms" in query:
            return float(query["sleep_ms"]) / 1000
        milliseconds = self.arguments.service_ms
        if self.rng and milliseconds:
            milliseconds = self.rng.expovariate(1 / milliseconds)
        if self.cold_requests_left > 0:
            self.cold_requests_left -= 1
            milliseconds += self.arguments.cold_ms
        return milliseconds * self.switches.slow / 1000

    def answer(
        self,
        environ: serving.Environ,
        start_response: Any,
        query: dict[str, str],
        body: bytes,
    ) -> Any:
        """Answers with a JSON echo, or with as many bytes as requested."""
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
        exiting = self.switches.die_mid_answer or "exit" in query
        extra_headers = serving.requested_headers(environ)
        if not (short or exiting or "bytes" in query):
            echo_body = serving.json_answer(
                start_response, "200 OK", echo, extra_headers
            )
            return [] if echo["method"] == "HEAD" else echo_body
        size = int(query.get("bytes", CHUNK_BYTES))
        headers = [("Content-Type", "application/octet-stream"), *extra_headers]
        if "chunked" not in query or echo["method"] == "HEAD":
            headers.append(("Content-Length", str(size)))
        start_response("200 OK", headers)
        if echo["method"] == "HEAD":
            return []
        sent_bytes = size // 2 if short or exiting else size
        content = serving.payload(
            environ.get("HTTP_IDEMPOTENCY_KEY", ""), size
        )[:sent_bytes]
        return stream(environ, content, short, exiting)

    def report(self) -> dict[str, Any]:
        """Returns the report of all runs and received headers."""
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
        """Sets switches and answers with all of them."""
        for name, value in serving.json_body(environ).items():
            if name == "frozen":
                self.switches.frozen = False
                self.frozen_load = self.load()
            serving.set_switch(self.switches, name, value)
        document = vars(self.switches)
        return serving.json_answer(start_response, "200 OK", document)


def stream(
    environ: serving.Environ, content: bytes, short: bool, exiting: bool
) -> Any:
    """Yields the content in chunks, then may end early.

    Args:
        environ: WSGI environment of the request.
        content: The bytes to send.
        short: True to close the connection after the content.
        exiting: True to end the process after the content.
    """
    for start in range(0, len(content), CHUNK_BYTES):
        yield content[start : start + CHUNK_BYTES]
    if exiting:
        end_process("die_mid_answer")
    if short:
        serving.drop_connection(environ)


def end_process(reason: str) -> None:
    """Ends the process immediately, as a crash does."""
    serving.print_error(reason)
    os._exit(1)


def limited_protocol(upstream: Upstream) -> Any:
    """Returns a connection handler class that enforces the connection limit."""

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
    """Parses the arguments and serves requests."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", default="upstream")
    parser.add_argument("--service", default="service")
    parser.add_argument("--slots", type=int, default=9)
    parser.add_argument("--connections", type=int, default=330)
    parser.add_argument("--service-ms", type=float, default=10.0)
    parser.add_argument(
        "--seed",
        type=int,
        help="seed of exponential work times; fixed times if left out",
    )
    parser.add_argument("--cold-ms", type=float, default=0.0)
    parser.add_argument("--cold-requests", type=int, default=0)
    parser.add_argument(
        "--journal",
        action="store_true",
        help="print a line for each start and shed request",
    )
    parser.add_argument("--port", type=int, default=0)
    upstream = Upstream(parser.parse_args())
    listener = serving.listen(upstream.arguments.port)
    serving.print_ready(port=listener.getsockname()[1])
    serving.serve(listener, upstream, limited_protocol(upstream))


if __name__ == "__main__":
    eventlet.monkey_patch()
    main()
