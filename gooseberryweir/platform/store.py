"""Calls to the platform's store; the only client of it.

Nothing is retried here. A call that gets no answer may still be carried out.
"""

from typing import Any
from typing import NamedTuple
from urllib import parse

import msgspec
import urllib3

from gooseberryweir import clock as clocks

# Longest wait for one call: four times what the store takes when it is slow.
CALL_SECONDS = 1.5
CONNECT_SECONDS = 0.5
# More pages than any list of the target size has.
MAX_PAGES = 50
_PATH = "/-/objects/"
_JSON = {"Content-Type": "application/json"}


class Listing(NamedTuple):
    """All objects of a kind.

    Attributes:
        items: The objects, not yet decoded.
        revision: Revision of the store that the list shows at least.
        asked_at: Reading of the clock when the first call was sent.
    """

    items: list[msgspec.Raw]
    revision: int
    asked_at: float


class _Page(msgspec.Struct, rename="camel"):
    items: list[msgspec.Raw]
    # The store's revision, not that of the items.
    current_rev: int
    has_more: bool = False


class _Named(msgspec.Struct):
    metadata: dict[str, Any]


class StoreError(Exception):
    """The store refused a call or did not answer it.

    Attributes:
        status: HTTP status, or 0 if no whole answer came.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class Store:
    """The platform's store; a context manager owning its connections."""

    def __init__(self, address: str, clock: clocks.Clock) -> None:
        host, _, port = address.rpartition(":")
        self.clock = clock
        self.calls = 0
        self.pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=4,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=CALL_SECONDS),
        )

    def __enter__(self) -> "Store":
        return self

    def __exit__(self, *_: object) -> None:
        self.pool.close()

    def list(self, kind: str) -> Listing:
        """Returns all objects of a kind, linearizable.

        Raises:
            StoreError: A call failed.
        """
        asked_at = self.clock.monotonic()
        items: list[msgspec.Raw] = []
        after = ""
        revision: int | None = None
        for _ in range(MAX_PAGES):
            query = f"?after={parse.quote(after)}" if after else ""
            page = self._page(kind + query)
            items += page.items
            # Later pages may show later changes; only the first counts.
            revision = page.current_rev if revision is None else revision
            if not page.has_more or not page.items:
                return Listing(items, revision, asked_at)
            last = msgspec.json.decode(page.items[-1], type=_Named)
            after = str(last.metadata.get("name", ""))
        raise StoreError(0, f"the list of {kind} has too many pages")

    def put(self, kind: str, name: str, document: dict[str, Any]) -> None:
        """Creates an object, or replaces it whatever its revision is.

        Raises:
            StoreError: A call failed; it may have been carried out.
        """
        try:
            self._call("POST", kind, document)
        except StoreError as error:
            if error.status != 409:
                raise
            self._call("PUT", f"{kind}/{parse.quote(name)}", document)

    def _page(self, target: str) -> _Page:
        body = self._call("GET", target)
        try:
            return msgspec.json.decode(body, type=_Page)
        except msgspec.MsgspecError as error:
            raise StoreError(0, f"the answer is no list: {error}") from error

    def _call(self, method: str, target: str, document: Any = None) -> bytes:
        self.calls += 1
        try:
            response = self.pool.request(
                method,
                _PATH + target,
                body=None
                if document is None
                else msgspec.json.encode(document),
                headers=_JSON if document is not None else {},
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise StoreError(0, type(error).__name__) from error
        if response.status >= 300:
            raise StoreError(
                response.status, f"the store answered {response.status}"
            )
        return response.data
