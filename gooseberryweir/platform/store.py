"""HTTP client of the platform's store; all calls to the store go through it.

Calls are not retried here. Every failure is raised as a `StoreError`, whose
`outcome_unknown` is True if a write may have taken effect: the store may still
execute a call seconds after it timed out.
"""

import re
from typing import Annotated
from typing import Any
from typing import NamedTuple
from urllib import parse

import msgspec
import urllib3

from gooseberryweir import clock as clocks
from gooseberryweir.platform import pages
from gooseberryweir.version import store_version

# Timeout of one call: four times the latency of the store when it is slow.
CALL_TIMEOUT_SECONDS = 1.5
CONNECT_TIMEOUT_SECONDS = 0.5
# Added to the longest wait of a watch (a call that waits for changes) to get
# the timeout of its HTTP request.
WATCH_MARGIN_SECONDS = 5.0
# Longest watch that the store allows.
MAX_WATCH_SECONDS = 30.0
# Upper limit on the pages of a list; lists in a system of the intended size
# have fewer.
MAX_PAGES = 50
# Limit on the bytes of one answer.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
_OBJECTS_PATH = "/-/objects/"
# Number of returns of the store from an older copy, in all its answers.
_ERA_HEADER = "Store-Era"
_ERA = re.compile(r"[0-9]{1,15}")
_JSON_HEADERS = {"Content-Type": "application/json"}


class StoredObject(NamedTuple):
    """One object of the store.

    Attributes:
        name: Name, unique within the kind.
        version: Revision of the store at which the object last changed.
        spec: Content of the object.
    """

    name: str
    version: int
    spec: Any


class Listing(NamedTuple):
    """All objects of a kind, such as `servers`.

    Attributes:
        items: JSON of the objects, not yet decoded.
        revision: Revision of the store up to which the list has all changes.
        requested_at: Monotonic time, in seconds, at which the first call was
            sent.
        era: Era of the store.
    """

    items: list[msgspec.Raw]
    revision: int
    requested_at: float
    era: int = store_version.NO_ERA

    @property
    def version(self) -> store_version.StoreVersion:
        """Version of the store up to which the list has all changes."""
        return store_version.StoreVersion(self.era, self.revision)

    def objects(self) -> tuple[StoredObject, ...]:
        """Decodes the objects.

        Raises:
            StoreError: An object is malformed.
        """
        return tuple(_decode_object(item) for item in self.items)

    def readable_objects(
        self,
    ) -> tuple[tuple[StoredObject, ...], tuple[str | None, ...]]:
        """Decodes the objects that can be read.

        Returns:
            These objects, and the names of the other ones; None for each whose
            name can't be read either.
        """
        readable = []
        unreadable = []
        for item in self.items:
            try:
                readable.append(_decode_object(item))
            except MalformedError:
                # The caller logs what it skips.
                unreadable.append(pages.object_name(item))
        return tuple(readable), tuple(unreadable)


class Change(NamedTuple):
    """One change of an object that a watch returned.

    Attributes:
        deleted: True if the object was deleted.
        stored_object: The object; if it was deleted, its last state.
    """

    deleted: bool
    stored_object: StoredObject


class Changes(NamedTuple):
    """Changes that a watch returned.

    Attributes:
        changes: The changes; they can be late, duplicated or out of order.
        revision: Revision to pass to the next watch.
        era: Era of the store.
    """

    changes: tuple[Change, ...]
    revision: int
    era: int = store_version.NO_ERA


_Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _Metadata(msgspec.Struct):
    name: str
    # Revision of the store at which the object last changed.
    revision: _Revision


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: Any = None


class _Page(msgspec.Struct, rename="camel"):
    """Response of the store to one call of a list."""

    items: list[msgspec.Raw]
    # Revision of the whole store, not of the items.
    current_rev: _Revision
    has_more: bool = False


class _Event(msgspec.Struct):
    """One change in the response to a watch."""

    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct, rename="camel"):
    """Response of the store to a watch."""

    events: list[_Event]
    current_rev: _Revision


class StoreError(Exception):
    """A call to the store failed or timed out.

    Attributes:
        status: HTTP status, or 0 if no complete response arrived.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status

    @property
    def outcome_unknown(self) -> bool:
        """True if a write that failed with this error may have taken effect."""
        return self.status == 0 or self.status >= 500


class MalformedError(StoreError):
    """The store answered, but the answer can't be read."""

    def __init__(self, message: str) -> None:
        super().__init__(0, f"the store's answer is malformed: {message}")


class _Answer(NamedTuple):
    """Answer of the store to one call."""

    body: bytes
    era: int


class Store:
    """Client of the store; a context manager that owns its connections.

    Attributes:
        clock: Source of time.
        calls: Number of calls made so far.
        headers: HTTP headers of each call.
        call_timeout_seconds: Timeout of one call, except a watch.
        pool: Pool of the connections to the store.
    """

    def __init__(
        self,
        address: str,
        clock: clocks.Clock,
        client_name: str = "",
        call_timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        """Initializes the client without connecting to the store.

        Args:
            address: `IP:PORT`, or `http://IP:PORT`.
            clock: Source of time.
            client_name: Sent in the User-Agent header; the store counts calls
                by it.
            call_timeout_seconds: Timeout of one call, except a watch.
        """
        host, _, port = address.removeprefix("http://").rpartition(":")
        self.clock = clock
        self.calls = 0
        self.headers = {"User-Agent": f"gooseberryweir/{client_name}"}
        self.call_timeout_seconds = call_timeout_seconds
        self.pool = urllib3.HTTPConnectionPool(
            host, int(port.rstrip("/")), maxsize=8, retries=False
        )

    def __enter__(self) -> "Store":
        return self

    def __exit__(self, *_: object) -> None:
        self.pool.close()

    def list(self, kind: str) -> Listing:
        """Returns all objects of a kind with a linearizable read.

        Raises:
            StoreError: A call failed.
        """
        requested_at = self.clock.monotonic()
        items: list[msgspec.Raw] = []
        after = ""
        revision: int | None = None
        era: int | None = None
        for _ in range(MAX_PAGES):
            query = f"?after={parse.quote(after)}" if after else ""
            answer = self._call("GET", kind + query)
            if era not in (None, answer.era):
                raise StoreError(
                    0, f"the store returned from a copy in a list of {kind}"
                )
            era = answer.era
            page = _decode_page(answer.body)
            items += page.items
            # Later pages may include later changes, so the revision of the
            # first page is the one that the whole list has reached.
            revision = page.current_rev if revision is None else revision
            if not page.has_more or not page.items:
                return Listing(items, revision, requested_at, era)
            after = _last_name(page.items)
        raise StoreError(0, f"the list of {kind} has too many pages")

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Returns one object, or None if it does not exist.

        Raises:
            StoreError: The call failed.
        """
        try:
            answer = self._call("GET", _object_path(kind, name))
            return _decode_object(answer.body)
        except StoreError as error:
            if error.status == 404:
                return None
            raise

    def watch(
        self, kind: str, revision: int, timeout_seconds: float
    ) -> Changes:
        """Waits for changes after a revision; returns once there are any.

        Args:
            kind: Kind of the objects.
            revision: Only changes after this revision are returned.
            timeout_seconds: Longest wait; the result is empty on a timeout.

        Raises:
            StoreError: The watch failed; status 410 if the revision is too old
                and a full list is needed.
        """
        wait = min(timeout_seconds, MAX_WATCH_SECONDS)
        query = f"?watch={revision}&waitMs={int(wait * 1000)}"
        answer = self._call(
            "GET", kind + query, timeout_seconds=wait + WATCH_MARGIN_SECONDS
        )
        batch = _decode(answer.body, _Events)
        return Changes(
            tuple(
                Change(each.deleted, _to_stored_object(each.object))
                for each in batch.events
            ),
            batch.current_rev,
            answer.era,
        )

    def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Creates an object; fails with status 409 if it exists."""
        document = _document(name, spec)
        return _decode_object(self._call("POST", kind, document).body)

    def replace(
        self, kind: str, name: str, version: int, spec: Any
    ) -> StoredObject:
        """Replaces an object; fails with status 409 if its version differs."""
        document = _document(name, spec, revision=version)
        return _decode_object(
            self._call("PUT", _object_path(kind, name), document).body
        )

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Creates an object, or replaces it regardless of its version.

        Raises:
            StoreError: A call failed; the write may have taken effect.
        """
        try:
            self.create(kind, name, spec)
        except StoreError as error:
            if error.status != 409:
                raise
            self._call("PUT", _object_path(kind, name), _document(name, spec))

    def _call(
        self,
        method: str,
        target: str,
        document: Any = None,
        timeout_seconds: float | None = None,
    ) -> _Answer:
        """Makes one call and returns the answer."""
        self.calls += 1
        try:
            response = self.pool.request(
                method,
                _OBJECTS_PATH + target,
                body=None
                if document is None
                else msgspec.json.encode(document),
                headers=self.headers
                if document is None
                else {**self.headers, **_JSON_HEADERS},
                timeout=urllib3.Timeout(
                    connect=min(
                        CONNECT_TIMEOUT_SECONDS, self.call_timeout_seconds
                    ),
                    read=timeout_seconds or self.call_timeout_seconds,
                ),
                preload_content=False,
            )
            body = _read_body(response)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise StoreError(
                0, f"the store does not answer: {type(error).__name__}"
            ) from error
        if response.status >= 300:
            raise StoreError(
                response.status, f"the store answered {response.status}"
            )
        return _Answer(body, _parse_era(response.headers.get(_ERA_HEADER)))


def _read_body(response: urllib3.BaseHTTPResponse) -> bytes:
    """Reads the body of an answer.

    Raises:
        StoreError: It is larger than `MAX_ANSWER_BYTES`.
    """
    try:
        body = response.read(MAX_ANSWER_BYTES + 1)
        if len(body) > MAX_ANSWER_BYTES:
            raise StoreError(
                0,
                f"the store's answer has more than {MAX_ANSWER_BYTES} bytes",
            )
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return body


def _document(name: str, spec: Any, **condition: int) -> dict[str, Any]:
    """Returns the JSON document of a call that writes an object.

    Args:
        name: Name of the object.
        spec: Content of the object.
        **condition: `revision`, if the store must refuse the write unless the
            object has this revision.
    """
    metadata = {"name": name, "finalizers": [], **condition}
    return {"metadata": metadata, "spec": spec}


def _parse_era(text: str | None) -> int:
    """Returns the era of an answer; `NO_ERA` if it does not tell it.

    Raises:
        StoreError: The era can't be read, so the answer can't be ordered.
    """
    if text is None:
        return store_version.NO_ERA
    if not _ERA.fullmatch(text):
        raise MalformedError(f"header {_ERA_HEADER}")
    return int(text)


def _object_path(kind: str, name: str) -> str:
    return f"{kind}/{parse.quote(name, safe='')}"


def _decode(body: bytes | msgspec.Raw, expected_type: type[Any]) -> Any:
    try:
        return msgspec.json.decode(body, type=expected_type)
    except (ValueError, RecursionError) as error:
        raise MalformedError(str(error)) from error


def _decode_page(body: bytes) -> _Page:
    """Decodes a page of a list; an unreadable object stays in it as it is."""
    try:
        page: _Page = _decode(body, _Page)
    except MalformedError:
        try:
            rest, items = pages.split(body)
        except ValueError as error:
            raise MalformedError(str(error)) from error
        page = _decode(rest, _Page)
        page.items = items
    return page


def _last_name(items: list[msgspec.Raw]) -> str:
    """Returns the name of the last object whose name can be read.

    Raises:
        MalformedError: There is none.
    """
    for item in reversed(items):
        name = pages.object_name(item)
        if name is not None:
            return name
    raise MalformedError("no object of a page has a name")


def _decode_object(body: bytes | msgspec.Raw) -> StoredObject:
    return _to_stored_object(_decode(body, _Object))


def _to_stored_object(decoded: _Object) -> StoredObject:
    return StoredObject(
        decoded.metadata.name, decoded.metadata.revision, decoded.spec
    )
