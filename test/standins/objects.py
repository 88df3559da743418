"""The platform's store as the users publish it, in threads of the test.

One revision counter; lists, watches with 410, conditional writes. Each host
has a door of its own, so that the store can refuse some hosts and serve others.
"""

import collections
import contextlib
import http.server
import json
import threading
import time
import urllib.parse

HISTORY_LENGTH = 1000


class Door(http.server.ThreadingHTTPServer):
    """One listening port of the store.

    Attributes:
        fault: "" or "silent", "busy" (503), "many" (429), "lost" (writes are
            done and not answered), "late" (the same, done after a second).
        stale_by: Changes by which `allowStale` reads are behind.
    """

    daemon_threads = True
    fault = ""
    stale_by = 0

    def handle_error(self, request, client_address):
        """Ignores connections that hosts close; that is their right."""

    @property
    def address(self):
        """The address as settings hold it."""
        return f"127.0.0.1:{self.server_address[1]}"


class Store:
    """The objects behind all doors; a context manager."""

    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 100
        self.objects = collections.defaultdict(dict)
        self.history = collections.deque(maxlen=HISTORY_LENGTH)
        self.calls = 0
        self.doors = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for door in self.doors:
            door.shutdown()
            door.server_close()

    def open_door(self):
        """Returns a new door."""
        store = self

        class Handler(_Handler):
            objects = store

        door = Door(("127.0.0.1", 0), Handler)
        threading.Thread(target=door.serve_forever, daemon=True).start()
        self.doors.append(door)
        return door

    def compact(self):
        """Forgets the history."""
        with self.lock:
            self.history.clear()

    def put(self, kind, name, spec, expected=None):
        """Writes an object as the operator or an upstream; returns it."""
        with self.lock:
            old = self.objects[kind].get(name)
            if expected is not None:
                current = old["metadata"]["revision"] if old else None
                if current != expected:
                    return None
            if old is not None and old["spec"] == spec:
                return old
            self.revision += 1
            found = {
                "metadata": {
                    "name": name,
                    "revision": self.revision,
                    "created": 1,
                    "finalizers": [],
                    "deletionPending": False,
                },
                "spec": spec,
                "status": None,
            }
            self.objects[kind][name] = found
            self.note(kind, found, False)
            return found

    def delete(self, kind, name):
        """Removes an object."""
        with self.lock:
            found = self.objects[kind].pop(name, None)
            if found is not None:
                self.revision += 1
                self.note(kind, found, True)

    def note(self, kind, found, deleted):
        """Keeps an event for watches; called with the lock held."""
        self.history.append((self.revision, kind, found, deleted))
        self.lock.notify_all()

    def events(self, kind, after, seconds):
        """Returns events after a revision, or None if they are gone."""
        ends_at = time.monotonic() + seconds
        with self.lock:
            while True:
                oldest = self.history[0][0] if self.history else self.revision
                if after < min(oldest - 1, self.revision):
                    return None
                found = [
                    {"object": each, "deleted": deleted}
                    for revision, its_kind, each, deleted in self.history
                    if revision > after and its_kind == kind
                ]
                left = ends_at - time.monotonic()
                if found or left <= 0:
                    return found
                self.lock.wait(left)


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    objects: Store

    def log_message(self, *_):
        pass

    def answer(self, status, document):
        body = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def handle_call(self, call):
        self.objects.calls += 1
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length)) if length else None
        fault = self.server.fault
        if fault == "silent":
            time.sleep(30)
            self.close_connection = True
        elif fault in ("busy", "many"):
            self.answer(503 if fault == "busy" else 429, {"error": fault})
        elif fault in ("lost", "late") and self.command != "GET":
            time.sleep(1.0 if fault == "late" else 0.0)
            call(body)
            self.close_connection = True
        else:
            self.answer(*call(body))

    def target(self):
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.removeprefix("/-/objects/").split("/")
        return parts[0], parts[1:], query

    def do_GET(self):
        self.handle_call(self.read)

    def do_POST(self):
        self.handle_call(self.create)

    def do_PUT(self):
        self.handle_call(self.replace)

    def read(self, _):
        kind, names, query = self.target()
        store = self.objects
        if "watch" in query:
            seconds = int(query.get("waitMs", "0")) / 1000
            events = store.events(kind, int(query["watch"]), seconds)
            if events is None:
                return 410, {"error": "gone"}
            return 200, {"events": events, "currentRev": store.revision}
        with store.lock:
            objects = store.objects[kind]
            if names:
                found = objects.get(names[0])
                return (200, found) if found else (404, {})
            names = sorted(n for n in objects if n > query.get("after", ""))
            revision = store.revision
            if "allowStale" in query:
                revision -= self.server.stale_by
            items = [
                objects[n]
                for n in names
                if objects[n]["metadata"]["revision"] <= revision
            ]
            return 200, {
                "items": items,
                "hasMore": False,
                "currentRev": revision,
            }

    def create(self, body):
        kind, _, _ = self.target()
        name = body["metadata"]["name"]
        if name in self.objects.objects[kind]:
            return 409, self.objects.objects[kind][name]
        return 201, self.objects.put(kind, name, body["spec"])

    def replace(self, body):
        kind, names, query = self.target()
        expected = body["metadata"].get("revision") or query.get("revision")
        found = self.objects.put(
            kind, names[0], body["spec"], expected and int(expected)
        )
        if found is None:
            return 409, self.objects.objects[kind].get(names[0])
        return 200, found


@contextlib.contextmanager
def open_store():
    """Opens an empty store."""
    with Store() as store:
        yield store
