"""Writes whose outcome is known although their answer may be lost.

Each write carries a random id in `spec.id`, and the ids of the writes before
it in `spec.earlier`. After a lost answer the object is read again: if the id
is there, at the top or among the earlier ones, the write took effect. If the
object is as it was, the same write is sent again; it is conditional on the
version read before, so it takes effect at most once.
"""

from collections.abc import Callable
from typing import Any
import uuid

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir.platform import store as platform_store

SETTLE_SECONDS = 12.0
PAUSE_SECONDS = 0.25
EARLIER_IDS = 16
MERGE_ATTEMPTS = 8


def replace_settled(
    api: platform_store.Store,
    kind: str,
    current: platform_store.StoredObject,
    spec: dict[str, Any],
    clock: clocks.Clock,
) -> platform_store.StoredObject:
    """Replaces an object that was read before, and settles the outcome.

    Args:
        api: The platform.
        kind: Kind of the object.
        current: The object as it was read; the write is conditional on it.
        spec: The new content, without id.
        clock: Source of time.

    Returns:
        The object as written.

    Raises:
        codes.UserError: CONFLICT names the version of another writer;
            PLATFORM_UNREACHABLE says whether the write may have happened.
    """
    before = content(current)
    ids = [*before.get("earlier", ()), before.get("id", "")]
    named = {
        **spec,
        "id": str(uuid.uuid4()),
        "earlier": [each for each in ids if each][-EARLIER_IDS:],
    }

    def write() -> platform_store.StoredObject:
        return api.replace(kind, current.name, current.version, named)

    return _settle(
        api, kind, current.name, named, current.version, write, clock
    )


def create_settled(
    api: platform_store.Store,
    kind: str,
    name: str,
    spec: dict[str, Any],
    clock: clocks.Clock,
) -> platform_store.StoredObject:
    """Creates an object that was absent; see `replace_settled`."""
    named = {**spec, "id": str(uuid.uuid4()), "earlier": []}

    def write() -> platform_store.StoredObject:
        return api.create(kind, name, named)

    return _settle(api, kind, name, named, 0, write, clock)


def merge_settled(
    api: platform_store.Store,
    kind: str,
    name: str,
    change: Callable[[dict[str, Any]], dict[str, Any] | None],
    clock: clocks.Clock,
) -> platform_store.StoredObject | None:
    """Applies a change that commutes with those of other writers.

    Args:
        api: The platform.
        kind: Kind of the object.
        name: Name of the object.
        change: Returns the new content for the content read (empty if the
            object is absent), or None if nothing has to change. After a
            conflict it is called again with the newer content.
        clock: Source of time.

    Returns:
        The object after the change; None if absent and left so.
    """
    for attempt in range(MERGE_ATTEMPTS):
        current = read(api, kind, name)
        spec = change(dict(content(current)))
        if spec is None:
            return current
        try:
            if current is None:
                return create_settled(api, kind, name, spec, clock)
            return replace_settled(api, kind, current, spec, clock)
        except codes.UserError as error:
            last = attempt == MERGE_ATTEMPTS - 1
            if error.code != codes.Code.CONFLICT or last:
                raise
        clock.sleep(PAUSE_SECONDS)
    return None


def read(
    api: platform_store.Store, kind: str, name: str
) -> platform_store.StoredObject | None:
    """Reads one object; a failure becomes a `codes.UserError`."""
    try:
        return api.get(kind, name)
    except platform_store.StoreError as error:
        raise user_error(error) from error


def content(found: platform_store.StoredObject | None) -> dict[str, Any]:
    """Returns an object's content; empty if absent or not a mapping."""
    spec = found.spec if found else None
    return spec if isinstance(spec, dict) else {}


def user_error(error: platform_store.StoreError) -> codes.UserError:
    """Returns what an operator is told about a failed call."""
    if error.status in (401, 403):
        code = codes.Code.FORBIDDEN
    elif 400 <= error.status < 500 and error.status != 429:
        code = codes.Code.INVALID_DECLARATION
    else:
        code = codes.Code.PLATFORM_UNREACHABLE
    return codes.UserError(code, str(error))


def _settle(
    api: platform_store.Store,
    kind: str,
    name: str,
    named: dict[str, Any],
    version: int,
    write: Callable[[], platform_store.StoredObject],
    clock: clocks.Clock,
) -> platform_store.StoredObject:
    """Writes until the write or another one is seen to have taken effect."""
    deadline = clock.monotonic() + SETTLE_SECONDS
    refused = False
    while True:
        if not refused:
            try:
                return write()
            except platform_store.StoreError as error:
                refused = error.status == 409
                if not (refused or _retriable(error)):
                    raise user_error(error) from error
        seen = _read_quietly(api, kind, name)
        if seen is not None and took_effect(seen, named["id"]):
            return seen._replace(spec=named)
        if seen is not None and seen.version > version:
            raise _conflict(kind, name, seen.version)
        if clock.monotonic() >= deadline:
            raise _unsettled(kind, name, version, refused)
        clock.sleep(PAUSE_SECONDS)


def took_effect(seen: platform_store.StoredObject, write_id: str) -> bool:
    """Tells whether an object shows that a write took effect."""
    spec = content(seen)
    return spec.get("id") == write_id or write_id in spec.get("earlier", ())


def _retriable(error: platform_store.StoreError) -> bool:
    return error.outcome_unknown or error.status == 429


def _read_quietly(
    api: platform_store.Store, kind: str, name: str
) -> platform_store.StoredObject | None:
    try:
        return api.get(kind, name)
    except platform_store.StoreError:
        return None


def _conflict(kind: str, name: str, version: int) -> codes.UserError:
    return codes.UserError(
        codes.Code.CONFLICT,
        f"another operator changed {kind}/{name} first: it is at"
        f" version {version} now",
    )


def _unsettled(
    kind: str, name: str, version: int, refused: bool
) -> codes.UserError:
    if refused:
        return codes.UserError(
            codes.Code.CONFLICT,
            f"another operator changed {kind}/{name} first: it is at a"
            f" version after {version}, which could not be read",
        )
    return codes.UserError(
        codes.Code.PLATFORM_UNREACHABLE,
        f"the platform does not answer; whether {kind}/{name} was written"
        " is not known",
    )
