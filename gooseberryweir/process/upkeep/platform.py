"""Client of the platform's object API.

The platform offers versions, conditional updates and watches; the calls are
described in docs/design/platform.md. Nothing is retried here: a caller sees
every failure as a `PlatformError` and knows from it whether a write may have
taken effect. Writes that have to be settled are in `settled`.
"""

from collections.abc import Iterator
import contextlib
import json
from typing import Any
from typing import NamedTuple
from urllib import parse

import urllib3

from gooseberryweir import clock as clocks

STEERING_OBJECTS = "steeringobjects"
ENDPOINT_SLICES = "endpointslices"
CONNECT_SECONDS = 1.0
CALL_SECONDS = 3.0
WATCH_GRACE_SECONDS = 5.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_LINE_BYTES = 8 * 1024 * 1024
_CHUNK_BYTES = 64 * 1024
_API_PATH = "/apis/gooseberryweir.example/v1"
_NAMES_ONLY = "application/json;as=PartialObjectMetadataList;g=meta.k8s.io;v=v1"


class PlatformObject(NamedTuple):
    """One object of the platform.

    Attributes:
        name: Its name within its kind.
        version: Version of the store at its last change.
        spec: Its content; None if only names and versions were asked for.
    """

    name: str
    version: int
    spec: dict[str, Any] | None


class Listing(NamedTuple):
    """All objects of a kind.

    Attributes:
        version: Version of the store that the list shows.
        objects: The objects.
    """

    version: int
    objects: tuple[PlatformObject, ...]


class WatchEvent(NamedTuple):
    """One change, as a watch delivers it.

    Attributes:
        deleted: True if the object is gone.
        changed: The object; for a deletion, with the deletion's version.
    """

    deleted: bool
    changed: PlatformObject


class PlatformError(Exception):
    """The platform refused a call or did not answer it.

    Attributes:
        status: HTTP status, or 0 if no whole answer came.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status

    @property
    def outcome_unknown(self) -> bool:
        """Whether a write that ended so may yet have taken effect."""
        return self.status == 0 or self.status >= 500


class Platform:
    """The platform's object API; a context manager owning its connections.

    Attributes:
        url: Address of the platform, `http://IP:PORT`.
    """

    def __init__(
        self,
        url: str,
        host: str = "operator",
        clock: clocks.Clock | None = None,
    ) -> None:
        self.url = url.rstrip("/")
        self.clock = clock or clocks.system_clock()
        self.pool = urllib3.PoolManager(
            maxsize=8, headers={"User-Agent": f"gooseberryweir/{host}"}
        )

    def __enter__(self) -> "Platform":
        return self

    def __exit__(self, *unused_error: object) -> None:
        self.pool.clear()

    def list(self, kind: str) -> Listing:
        """Returns all objects of a kind with their content."""
        return _listing(self._call("GET", self._address(kind)))

    def list_versions(self, kind: str) -> Listing:
        """Returns names and versions of all objects of a kind."""
        return _listing(
            self._call("GET", self._address(kind), accept=_NAMES_ONLY)
        )

    def get(self, kind: str, name: str) -> PlatformObject | None:
        """Returns one object, or None if it is not there."""
        try:
            return _object(self._call("GET", self._address(kind, name)))
        except PlatformError as error:
            if error.status == 404:
                return None
            raise

    def create(
        self, kind: str, name: str, spec: dict[str, Any]
    ) -> PlatformObject:
        """Creates an object; status 409 if it is there."""
        document = {"metadata": {"name": name}, "spec": spec}
        return _object(self._call("POST", self._address(kind), document))

    def replace(
        self, kind: str, name: str, version: int, spec: dict[str, Any]
    ) -> PlatformObject:
        """Replaces an object; status 409 if its version is another."""
        metadata = {"name": name, "resourceVersion": str(version)}
        document = {"metadata": metadata, "spec": spec}
        return _object(self._call("PUT", self._address(kind, name), document))

    def watch(
        self, kind: str, version: int, seconds: float
    ) -> Iterator[WatchEvent]:
        """Yields the changes after a version as they come.

        Events can be late, doubled or out of order. The generator ends when
        the platform ends the watch; closing it closes the connection.

        Args:
            kind: Kind of the objects.
            version: Version after which changes are wanted.
            seconds: Time after which the platform shall end the watch.

        Raises:
            PlatformError: The watch broke; status 410 if the version is too
                old and a full list is needed.
        """
        query = (
            f"?watch=1&resourceVersion={version}&timeoutSeconds={seconds:.0f}"
        )
        timeout = seconds + WATCH_GRACE_SECONDS
        with self._open(
            "GET", self._address(kind) + query, timeout=timeout
        ) as response:
            if response.status != 200:
                raise PlatformError(response.status, "the watch was refused")
            deadline = self.clock.monotonic() + timeout
            for line in self._lines(response, deadline):
                yield _event(line)

    def _address(self, kind: str, name: str = "") -> str:
        name = parse.quote(name, safe="")
        return "/".join(filter(None, (self.url + _API_PATH, kind, name)))

    def _call(
        self, method: str, address: str, document: Any = None, accept: str = ""
    ) -> Any:
        """Makes one call and returns its decoded answer."""
        deadline = self.clock.monotonic() + CALL_SECONDS
        with self._open(method, address, document, accept) as response:
            body = b"".join(self._chunks(response, deadline))
            response.drain_conn()
        if response.status >= 300:
            raise PlatformError(
                response.status, f"the platform answered {response.status}"
            )
        return _decoded(body)

    @contextlib.contextmanager
    def _open(
        self,
        method: str,
        address: str,
        document: Any = None,
        accept: str = "",
        timeout: float = CALL_SECONDS,
    ) -> Iterator[urllib3.BaseHTTPResponse]:
        """Sends one request and owns its response."""
        headers = dict(self.pool.headers)
        headers["Accept"] = accept or "application/json"
        body = None
        if document is not None:
            headers["Content-Type"] = "application/json"
            body = json.dumps(document)
        try:
            response = self.pool.request(
                method,
                address,
                body=body,
                headers=headers,
                retries=False,
                redirect=False,
                preload_content=False,
                timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=timeout),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _no_answer(error) from error
        whole = False
        try:
            yield response
            whole = True
        finally:
            if not whole:
                response.close()
            response.release_conn()

    def _chunks(
        self, response: urllib3.BaseHTTPResponse, deadline: float
    ) -> Iterator[bytes]:
        """Yields the body as it comes, until its end or the deadline."""
        size = 0
        while True:
            try:
                chunk = response.read1(_CHUNK_BYTES)
            except (urllib3.exceptions.HTTPError, OSError) as error:
                raise _no_answer(error) from error
            if not chunk:
                return
            size += len(chunk)
            if self.clock.monotonic() > deadline or size > MAX_ANSWER_BYTES:
                raise PlatformError(0, "the platform's answer did not end")
            yield chunk

    def _lines(
        self, response: urllib3.BaseHTTPResponse, deadline: float
    ) -> Iterator[bytes]:
        """Yields the whole lines of a stream."""
        rest = b""
        for chunk in self._chunks(response, deadline):
            *lines, rest = (rest + chunk).split(b"\n")
            yield from filter(bytes.strip, lines)
            if len(rest) > MAX_LINE_BYTES:
                raise PlatformError(0, "a line of the watch is too long")


def _no_answer(error: Exception) -> PlatformError:
    return PlatformError(0, f"the platform does not answer: {error}")


def _decoded(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError as error:
        raise PlatformError(0, "the platform's answer is not JSON") from error


def _object(document: Any) -> PlatformObject:
    try:
        metadata = document["metadata"]
        version = int(metadata["resourceVersion"])
        return PlatformObject(metadata["name"], version, document.get("spec"))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise PlatformError(0, "the platform's object is malformed") from error


def _listing(document: Any) -> Listing:
    try:
        version = int(document["metadata"]["resourceVersion"])
        return Listing(version, tuple(map(_object, document["items"])))
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformError(0, "the platform's list is malformed") from error


def _event(line: bytes) -> WatchEvent:
    document = _decoded(line)
    try:
        kind = document["type"]
        if kind == "ERROR":
            raise PlatformError(
                int(document["object"]["code"]), "the watch ended in an error"
            )
        return WatchEvent(kind == "DELETED", _object(document["object"]))
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformError(0, "the platform's event is malformed") from error
