"""The platform's object API in memory, with faults on demand.

The protocol is that of docs/design/platform.md. `GET /_control` returns
counts; `POST /_control` sets switches, named in `Switches`, or runs one of the
actions `put` (an unconditional write of an object) and `compact` (forgets the
history of changes). Control answers in an outage too.
"""

import argparse
import collections
from collections.abc import Iterator
import json
import pathlib
import time
from typing import Any

import eventlet

from test.standins import serving
from test.standins import store

PREFIX = "/apis/gooseberryweir.example/v1/"
KINDS = ("steeringobjects", "endpointslices")
MAX_OBJECT_BYTES = 1_000_000
POLL_SECONDS = 0.02
SHUFFLE_SECONDS = 0.2
WATCH_HEADERS = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
)
WRITES = {"POST": "create", "PUT": "replace", "DELETE": "delete"}


class Switches:
    """Faults, each off by default.

    Attributes:
        outage: "refuse" (or true) closes connections without an answer,
            "hang" never answers until it ends.
        delay_ms: Added to each call, milliseconds.
        lose_answers: Number of next writes that apply but are not answered.
        list_lag_ms: Time after which endpointslices changes take effect.
        watch_late_ms: Delay of each watch event, milliseconds.
        watch_twice: Sends each watch event two times.
        watch_shuffled: Sends the events of each 200 ms in reverse order.
        stale_reads: Reads answer from the state of the time of switching on.
    """

    def __init__(self) -> None:
        self.outage: Any = ""
        self.delay_ms = 0.0
        self.lose_answers = 0
        self.list_lag_ms = 0.0
        self.watch_late_ms = 0.0
        self.watch_twice = False
        self.watch_shuffled = False
        self.stale_reads = False


class RejectedError(Exception):
    """An error answer: an HTTP status line."""


class Platform:
    """The WSGI application."""

    def __init__(self) -> None:
        self.store = store.Store()
        self.switches = Switches()
        self.calls: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self.unanswered = 0
        self.open_watches = 0
        self.stale_version = 0
        self.stale_objects: dict[tuple[str, str], dict[str, Any]] = {}

    def __call__(self, environ: serving.Environ, start_response: Any) -> Any:
        """Answers one request."""
        path = environ["PATH_INFO"]
        if path == "/_control":
            return self.control(environ, start_response)
        try:
            kind, _, name = path.removeprefix(PREFIX).partition("/")
            if not path.startswith(PREFIX) or kind not in KINDS:
                raise RejectedError("404 Not Found")
            return self.call(environ, start_response, kind, name)
        except RejectedError as error:
            code = int(str(error).split()[0])
            document = {"kind": "Status", "code": code, "message": str(error)}
            return serving.json_answer(start_response, str(error), document)

    def call(
        self,
        environ: serving.Environ,
        start_response: Any,
        kind: str,
        name: str,
    ) -> Any:
        """Counts, delays or drops a call of the API, else answers it."""
        method = environ["REQUEST_METHOD"]
        query = serving.query(environ)
        partial = "PartialObjectMetadataList" in environ.get("HTTP_ACCEPT", "")
        if method == "GET" and not name:
            verb = "watch" if "watch" in query else "list"
            verb = "list_versions" if verb == "list" and partial else verb
        else:
            verb = WRITES.get(method, "get")
        caller = environ.get("HTTP_USER_AGENT", "")
        self.calls[caller][f"{kind} {verb}"] += 1
        body = environ["wsgi.input"].read()
        eventlet.sleep(self.switches.delay_ms / 1000)
        if self.outage_reached(environ):
            self.unanswered += 1
            return serving.drop(environ)
        if verb == "watch":
            return self.watch(environ, kind, query)
        if verb in WRITES.values():
            status, document = self.write(kind, name, verb, body)
            if self.switches.lose_answers > 0:
                self.switches.lose_answers -= 1
                return serving.drop(environ)
            return serving.json_answer(start_response, status, document)
        document = self.read(kind, name, partial)
        return serving.json_answer(start_response, "200 OK", document)

    def outage_reached(self, environ: serving.Environ) -> bool:
        """Returns whether to drop this call; waits while outage is `hang`."""
        reached = bool(self.switches.outage)
        while self.switches.outage == "hang":
            if serving.caller_left(environ, POLL_SECONDS):
                break
        return reached

    def read(self, kind: str, name: str, partial: bool) -> Any:
        """Reads one object or all of a kind."""
        version, objects = self.store.version, self.store.objects
        if self.switches.stale_reads:
            version, objects = self.stale_version, self.stale_objects
        if name:
            if (kind, name) not in objects:
                raise RejectedError("404 Not Found")
            return objects[kind, name]
        items = [thing for key, thing in objects.items() if key[0] == kind]
        if partial:
            items = [{"metadata": thing["metadata"]} for thing in items]
        metadata = {"resourceVersion": str(version)}
        return {"kind": "List", "metadata": metadata, "items": items}

    def write(
        self, kind: str, name: str, verb: str, body: bytes
    ) -> tuple[str, Any]:
        """Applies a conditional write; returns the status and the object."""
        if verb == "delete":
            if (kind, name) not in self.store.objects:
                raise RejectedError("404 Not Found")
            return "200 OK", self.commit(kind, name, None)
        if len(body) > MAX_OBJECT_BYTES:
            raise RejectedError("413 Payload Too Large")
        try:
            thing = json.loads(body)
            metadata, spec = thing["metadata"], thing["spec"]
            name = name or metadata["name"]
        except (ValueError, KeyError, TypeError) as error:
            raise RejectedError("400 Bad Request") from error
        if metadata.get("name") != name or not isinstance(spec, dict):
            raise RejectedError("400 Bad Request")
        current = self.store.objects.get((kind, name))
        if verb == "create":
            if current:
                raise RejectedError("409 Conflict")
            return "201 Created", self.commit(kind, name, spec)
        if not current:
            raise RejectedError("404 Not Found")
        newest = current["metadata"]["resourceVersion"]
        if metadata.get("resourceVersion") != newest:
            raise RejectedError("409 Conflict")
        return "200 OK", self.commit(kind, name, spec)

    def commit(self, kind: str, name: str, spec: Any) -> Any:
        """Commits a write now, or later where the list lags."""
        lag = self.switches.list_lag_ms / 1000
        if kind == "endpointslices" and lag:
            eventlet.spawn_after(lag, self.store.commit, kind, name, spec)
            return {"metadata": {"name": name}, "spec": spec}
        return self.store.commit(kind, name, spec)

    def watch(
        self, environ: serving.Environ, kind: str, query: dict[str, str]
    ) -> Any:
        """Streams changes; sends the headers before the first change.

        The WSGI server would keep the headers back until then, so the
        response is written straight to the connection.
        """
        sock = serving.connection(environ)
        self.open_watches += 1
        try:
            sock.sendall(WATCH_HEADERS)
            for event in self.watch_events(environ, kind, query):
                text = json.dumps(event).encode() + b"\n"
                sock.sendall(b"%x\r\n%b\r\n" % (len(text), text))
            if not self.switches.outage:
                sock.sendall(b"0\r\n\r\n")
        except OSError:
            pass
        finally:
            self.open_watches -= 1
        return serving.drop(environ)

    def watch_events(
        self, environ: serving.Environ, kind: str, query: dict[str, str]
    ) -> Iterator[dict[str, Any]]:
        """Yields the events of one watch until it ends."""
        version = int(query.get("resourceVersion") or 0)
        ends_at = time.monotonic() + float(query.get("timeoutSeconds", 300))
        if version < self.store.oldest:
            yield {"type": "ERROR", "object": {"code": 410}}
            return
        while time.monotonic() < ends_at:
            pause = POLL_SECONDS
            if self.switches.watch_shuffled:
                pause = SHUFFLE_SECONDS
            if serving.caller_left(environ, pause):
                return
            if self.outage_reached(environ):
                return
            batch = self.newer(version)
            version = max([version, *(change.version for change in batch)])
            for change in self.arranged(batch, kind):
                yield change.event

    def newer(self, version: int) -> list[store.Change]:
        """Returns the changes after a version that are due on watches."""
        due = time.monotonic() - self.switches.watch_late_ms / 1000
        first = len(self.store.history)
        while first and self.store.history[first - 1].version > version:
            first -= 1
        return [
            change for change in self.store.history[first:] if change.at <= due
        ]

    def arranged(
        self, batch: list[store.Change], kind: str
    ) -> list[store.Change]:
        """Returns a kind's changes as the watch faults make them come."""
        batch = [change for change in batch if change.kind == kind]
        if self.switches.watch_shuffled:
            batch.reverse()
        if self.switches.watch_twice:
            batch = batch + batch
        return batch

    def control(self, environ: serving.Environ, start_response: Any) -> Any:
        """Sets switches, runs actions, and returns the counts."""
        if environ["REQUEST_METHOD"] == "POST":
            for name, value in serving.json_body(environ).items():
                if name == "put":
                    self.commit(value["kind"], value["name"], value["spec"])
                elif name == "compact":
                    self.store.compact()
                else:
                    serving.set_switch(self.switches, name, value)
                if name == "stale_reads":
                    self.stale_version = self.store.version
                    self.stale_objects = dict(self.store.objects)
        total: collections.Counter[str] = collections.Counter()
        for counter in self.calls.values():
            total.update(counter)
        document = {
            "switches": vars(self.switches),
            "version": self.store.version,
            "calls": total,
            "callers": self.calls,
            "unanswered": self.unanswered,
            "open_watches": self.open_watches,
        }
        return serving.json_answer(start_response, "200 OK", document)


def main() -> None:
    """Parses the arguments and serves."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--seed-file", help="JSON list of kind, name, spec")
    arguments = parser.parse_args()
    platform = Platform()
    if arguments.seed_file:
        text = pathlib.Path(arguments.seed_file).read_text(encoding="utf-8")
        for thing in json.loads(text):
            platform.commit(thing["kind"], thing["name"], thing["spec"])
    listener = serving.listen(arguments.port)
    serving.ready(port=listener.getsockname()[1])
    serving.serve(listener, platform)


if __name__ == "__main__":
    eventlet.monkey_patch()
    main()
