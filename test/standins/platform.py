"""Stand-in of the platform's store: objects in memory, and switchable faults.

The protocol is that of docs/design/platform.md. `GET /_control` returns
counts; `POST /_control` sets switches, named in `Switches`, or runs one of the
actions `put` (an unconditional write of an object; a deletion if `spec` is
null), `put_raw` (writes an object whose JSON is `text`, also one that no JSON
encoder writes), `compact` (deletes the history of changes) and
`return_from_copy` (loses the changes of so many seconds and begins a new era).
`/_control` also answers during an outage. The header `Store-Era` is in all
answers. With `--port-count N` the process listens at N ports, which serve the
same objects; each has its own switches.
"""

import argparse
import collections
import json
import pathlib
import time
from typing import Any

import eventlet

from test.standins import serving
from test.standins import store

API_PREFIX = "/-/objects/"
MAX_OBJECT_BYTES = 1_000_000
POLL_SECONDS = 0.02
SHUFFLE_WINDOW_SECONDS = 0.2
WRITES = {"POST": "create", "PUT": "replace", "DELETE": "delete"}


class Switches:
    """Faults, each off by default.

    Attributes:
        outage: "refuse" (or true) closes connections without an answer,
            "hang" leaves requests unanswered until the outage ends, "busy"
            answers 503 and "many" 429.
        delay_ms: Delay added to each call, milliseconds.
        lose_answers: Number of following writes that are applied but not
            answered.
        list_lag_ms: Delay until changes of endpointslices take effect,
            milliseconds.
        watch_late_ms: Delay of each watch event, milliseconds.
        watch_twice: True to send each watch event twice.
        watch_shuffled: True to send the events of each 200 ms in reverse order.
        stale_reads: True to answer reads from the state at the time when the
            switch was set.
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


# Status line of the answer to each call, by value of the switch `outage`.
REJECTION_STATUS_LINES = {
    "busy": "503 Service Unavailable",
    "many": "429 Too Many",
}


def _answer_objects(start_response: Any, document: Any) -> list[bytes]:
    """Answers a read with a document that may contain raw objects."""
    body = store.encode(document)
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response("200 OK", headers)
    return [body]


class RejectedError(Exception):
    """Raised to answer a call with an error; the text is the status line."""


class Platform:
    """The WSGI application of one port.

    Attributes:
        store: Objects, shared by all ports.
        switches: Faults of this port.
        calls: Number of calls by User-Agent, then by kind of object and verb.
        unanswered: Number of calls dropped because of an outage.
        open_watches: Number of watches that wait for changes.
        stale_version: Version of the store in the answers to stale reads.
        stale_objects: Objects in the answers to stale reads.
    """

    def __init__(self, objects: store.Store) -> None:
        self.store = objects
        self.switches = Switches()
        self.calls: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self.unanswered = 0
        self.open_watches = 0
        self.stale_version = 0
        self.stale_objects: dict[tuple[str, str], Any] = {}

    def __call__(self, environ: serving.Environ, start_response: Any) -> Any:
        """Answers one request."""

        def start(status: str, headers: list[tuple[str, str]]) -> Any:
            era = ("Store-Era", str(self.store.era))
            return start_response(status, [*headers, era])

        return self.answer(environ, start)

    def answer(self, environ: serving.Environ, start_response: Any) -> Any:
        """Answers one request without the headers of all answers."""
        path = environ["PATH_INFO"]
        if path == "/_control":
            return self.control(environ, start_response)
        try:
            kind, _, name = path.removeprefix(API_PREFIX).partition("/")
            if not path.startswith(API_PREFIX) or not kind:
                raise RejectedError("404 Not Found")
            return self.call(environ, start_response, kind, name)
        except RejectedError as error:
            code = int(str(error).split()[0])
            document = {"code": code, "error": str(error)}
            return serving.json_answer(start_response, str(error), document)

    def call(
        self,
        environ: serving.Environ,
        start_response: Any,
        kind: str,
        name: str,
    ) -> Any:
        """Counts and delays a call of the object API; answers or drops it."""
        method = environ["REQUEST_METHOD"]
        query = serving.query(environ)
        if method == "GET" and not name:
            verb = "watch" if "watch" in query else "list"
        else:
            verb = WRITES.get(method, "get")
        user_agent = environ.get("HTTP_USER_AGENT", "")
        self.calls[user_agent][f"{kind} {verb}"] += 1
        body = environ["wsgi.input"].read()
        eventlet.sleep(self.switches.delay_ms / 1000)
        if self.check_outage(environ):
            self.unanswered += 1
            return serving.drop_connection(environ)
        if verb == "watch":
            changes = self.watch(environ, kind, query)
            if changes is None:
                return serving.drop_connection(environ)
            return _answer_objects(start_response, changes)
        if verb in WRITES.values():
            status, document = self.write(kind, name, verb, body)
            if self.switches.lose_answers > 0:
                self.switches.lose_answers -= 1
                return serving.drop_connection(environ)
            return serving.json_answer(start_response, status, document)
        return _answer_objects(start_response, self.read(kind, name))

    def check_outage(self, environ: serving.Environ) -> bool:
        """Returns True if an outage drops this call; waits while it is "hang".

        Raises:
            RejectedError: The outage answers with an error.
        """
        if self.switches.outage in REJECTION_STATUS_LINES:
            raise RejectedError(REJECTION_STATUS_LINES[self.switches.outage])
        dropped = bool(self.switches.outage)
        while self.switches.outage == "hang":
            if serving.wait_disconnect(environ, POLL_SECONDS):
                break
        return dropped

    def read(self, kind: str, name: str) -> Any:
        """Returns one object, or the list of all objects of a kind.

        Raises:
            RejectedError: There is no object of that name.
        """
        version, objects = self.store.version, self.store.objects
        if self.switches.stale_reads:
            version, objects = self.stale_version, self.stale_objects
        if name:
            if (kind, name) not in objects:
                raise RejectedError("404 Not Found")
            return objects[kind, name]
        items = [each for key, each in objects.items() if key[0] == kind]
        return {"items": items, "hasMore": False, "currentRev": version}

    def write(
        self, kind: str, name: str, verb: str, body: bytes
    ) -> tuple[str, Any]:
        """Applies a conditional write.

        Args:
            kind: Kind of the object.
            name: Name in the path; empty to take it from the body.
            verb: "create", "replace" or "delete".
            body: The object as JSON.

        Returns:
            The HTTP status line and the object.

        Raises:
            RejectedError: The body is invalid, or the condition does not hold.
        """
        if verb == "delete":
            if (kind, name) not in self.store.objects:
                raise RejectedError("404 Not Found")
            return "200 OK", self.commit(kind, name, None)
        if len(body) > MAX_OBJECT_BYTES:
            raise RejectedError("413 Payload Too Large")
        try:
            document = json.loads(body)
            metadata, spec = document["metadata"], document["spec"]
            name = name or metadata["name"]
        except (ValueError, KeyError, TypeError) as error:
            raise RejectedError("400 Bad Request") from error
        if metadata.get("name") != name or not isinstance(spec, (dict, list)):
            raise RejectedError("400 Bad Request")
        current = self.store.objects.get((kind, name))
        if verb == "create":
            if current:
                raise RejectedError("409 Conflict")
            return "201 Created", self.commit(kind, name, spec)
        if not current:
            raise RejectedError("404 Not Found")
        expected = metadata.get("revision")
        if expected not in (None, current["metadata"]["revision"]):
            raise RejectedError("409 Conflict")
        return "200 OK", self.commit(kind, name, spec)

    def commit(self, kind: str, name: str, spec: Any) -> Any:
        """Commits a write; one of `endpointslices` only after `list_lag_ms`."""
        lag = self.switches.list_lag_ms / 1000
        if kind == "endpointslices" and lag:
            eventlet.spawn_after(lag, self.store.commit, kind, name, spec)
            return {"metadata": {"name": name}, "spec": spec}
        return self.store.commit(kind, name, spec)

    def watch(
        self, environ: serving.Environ, kind: str, query: dict[str, str]
    ) -> Any:
        """Waits for changes and returns them.

        Returns:
            The changes; None if the client disconnects or an outage begins.

        Raises:
            RejectedError: The history from the requested version is deleted.
        """
        version = int(query.get("watch") or 0)
        deadline = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        era = self.store.era
        if not self.store.oldest <= version <= self.store.version:
            raise RejectedError("410 Gone")
        self.open_watches += 1
        try:
            while True:
                pause = POLL_SECONDS
                if self.switches.watch_shuffled:
                    pause = SHUFFLE_WINDOW_SECONDS
                if serving.wait_disconnect(environ, pause):
                    return None
                if self.check_outage(environ):
                    return None
                if era != self.store.era:
                    raise RejectedError("410 Gone")
                batch = self.changes_after(version)
                version = max([version, *(each.version for each in batch)])
                changes = self.reorder(batch, kind)
                if changes or time.monotonic() >= deadline:
                    events = [change.event for change in changes]
                    return {"events": events, "currentRev": version}
        finally:
            self.open_watches -= 1

    def changes_after(self, version: int) -> list[store.Change]:
        """Returns the changes after a version, except those still delayed."""
        latest_commit_at = time.monotonic() - self.switches.watch_late_ms / 1000
        first = len(self.store.history)
        while first and self.store.history[first - 1].version > version:
            first -= 1
        return [
            change
            for change in self.store.history[first:]
            if change.at <= latest_commit_at
        ]

    def reorder(
        self, batch: list[store.Change], kind: str
    ) -> list[store.Change]:
        """Returns a kind's changes, reversed or repeated if switches say so."""
        batch = [change for change in batch if change.kind == kind]
        if self.switches.watch_shuffled:
            batch.reverse()
        if self.switches.watch_twice:
            batch = batch + batch
        return batch

    def control(self, environ: serving.Environ, start_response: Any) -> Any:
        """Answers `/_control`: sets switches, runs actions, returns counts."""
        if environ["REQUEST_METHOD"] == "POST":
            for name, value in serving.json_body(environ).items():
                if name == "put":
                    self.commit(value["kind"], value["name"], value["spec"])
                elif name == "put_raw":
                    self.store.commit_raw(
                        value["kind"], value["name"], value["text"]
                    )
                elif name == "compact":
                    self.store.compact()
                elif name == "return_from_copy":
                    self.store.return_from_copy(float(value))
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
    """Parses the arguments, loads the objects and serves all ports."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--seed-file", help="JSON list of kind, name, spec")
    parser.add_argument("--port-count", type=int, default=1)
    arguments = parser.parse_args()
    objects = store.Store()
    applications = [Platform(objects) for _ in range(arguments.port_count)]
    if arguments.seed_file:
        text = pathlib.Path(arguments.seed_file).read_text(encoding="utf-8")
        for entry in json.loads(text):
            applications[0].commit(entry["kind"], entry["name"], entry["spec"])
    first = serving.listen(arguments.port)
    listeners = [first, *(serving.listen(0) for _ in applications[1:])]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener, application in zip(
        listeners[1:], applications[1:], strict=True
    ):
        eventlet.spawn(serving.serve, listener, application)
    serving.print_ready(
        port=ports[0], **{f"port{n}": port for n, port in enumerate(ports)}
    )
    serving.serve(first, applications[0])


if __name__ == "__main__":
    eventlet.monkey_patch()
    main()
