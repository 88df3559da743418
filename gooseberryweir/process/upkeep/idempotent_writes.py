"""Idempotent writes to platform objects, safe to retry after a lost answer.

Each write stores a random id in `spec.id`, and the ids of the latest writes
before it in `spec.earlier`. After a lost answer the object is read again: if
the id is in either field, the write took effect. If the object is unchanged,
the same write is sent again; it is conditional on the version that was read
before, so it takes effect at most once.
"""

from collections.abc import Callable
from typing import Any
import uuid

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir.platform import store as platform_store

# Time after which an unconfirmed write is reported as such.
WRITE_TIMEOUT_SECONDS = 12.0
RETRY_PAUSE_SECONDS = 0.25
MAX_EARLIER_WRITE_IDS = 16
MAX_UPDATE_ATTEMPTS = 8


def replace_object(
    api: platform_store.Store,
    kind: str,
    current: platform_store.StoredObject,
    spec: dict[str, Any],
    clock: clocks.Clock,
) -> platform_store.StoredObject:
    """Replaces an object that was read before.

    Args:
        api: Client of the platform's object API.
        kind: Kind of the object.
        current: The object as it was read; the write is conditional on its
            version.
        spec: The new spec, without `id` and `earlier`.
        clock: Source of time.

    Returns:
        The object as written.

    Raises:
        codes.UserError: CONFLICT if another writer was first, with its
            version; PLATFORM_UNREACHABLE if it remains unknown whether the
            write took effect; or another code if the platform refused it.
    """
    current_spec = spec_of(current)
    write_ids = [*current_spec.get("earlier", ()), current_spec.get("id", "")]
    spec_with_id = {
        **spec,
        "id": str(uuid.uuid4()),
        "earlier": [write_id for write_id in write_ids if write_id][
            -MAX_EARLIER_WRITE_IDS:
        ],
    }

    def write() -> platform_store.StoredObject:
        return api.replace(kind, current.name, current.version, spec_with_id)

    return _write_until_confirmed(
        api, kind, current.name, spec_with_id, current.version, write, clock
    )


def create_object(
    api: platform_store.Store,
    kind: str,
    name: str,
    spec: dict[str, Any],
    clock: clocks.Clock,
) -> platform_store.StoredObject:
    """Creates an object; arguments and errors are as for `replace_object`."""
    spec_with_id = {**spec, "id": str(uuid.uuid4()), "earlier": []}

    def write() -> platform_store.StoredObject:
        return api.create(kind, name, spec_with_id)

    return _write_until_confirmed(
        api, kind, name, spec_with_id, 0, write, clock
    )


def update_object(
    api: platform_store.Store,
    kind: str,
    name: str,
    update_spec: Callable[[dict[str, Any]], dict[str, Any] | None],
    clock: clocks.Clock,
) -> platform_store.StoredObject | None:
    """Reads, changes and writes an object; retries after a conflict.

    The change has to commute with the changes of other writers.

    Args:
        api: Client of the platform's object API.
        kind: Kind of the object.
        name: Name of the object.
        update_spec: Returns the new spec for the current one, which is empty
            if the object does not exist, or None if nothing has to change.
            After a conflict it is called again with the newer spec.
        clock: Source of time.

    Returns:
        The object after the change, or None if it does not exist and did not
        have to be created.

    Raises:
        codes.UserError: As for `replace_object`; CONFLICT only after
            MAX_UPDATE_ATTEMPTS attempts.
    """
    for attempt in range(MAX_UPDATE_ATTEMPTS):
        current = read_object(api, kind, name)
        spec = update_spec(dict(spec_of(current)))
        if spec is None:
            return current
        try:
            if current is None:
                return create_object(api, kind, name, spec, clock)
            return replace_object(api, kind, current, spec, clock)
        except codes.UserError as error:
            is_last_attempt = attempt == MAX_UPDATE_ATTEMPTS - 1
            if error.code != codes.Code.CONFLICT or is_last_attempt:
                raise
        clock.sleep(RETRY_PAUSE_SECONDS)
    return None


def read_object(
    api: platform_store.Store, kind: str, name: str
) -> platform_store.StoredObject | None:
    """Returns an object, or None if it does not exist.

    Raises:
        codes.UserError: The platform could not be read.
    """
    try:
        return api.get(kind, name)
    except platform_store.StoreError as error:
        raise to_user_error(error) from error


def spec_of(stored: platform_store.StoredObject | None) -> dict[str, Any]:
    """Returns the spec of an object; empty if missing or not a mapping."""
    spec = stored.spec if stored else None
    return spec if isinstance(spec, dict) else {}


def to_user_error(error: platform_store.StoreError) -> codes.UserError:
    """Converts an error of the platform client to one for operators."""
    if error.status in (401, 403):
        code = codes.Code.FORBIDDEN
    elif 400 <= error.status < 500 and error.status != 429:
        code = codes.Code.INVALID_DECLARATION
    else:
        code = codes.Code.PLATFORM_UNREACHABLE
    return codes.UserError(code, str(error))


def _write_until_confirmed(
    api: platform_store.Store,
    kind: str,
    name: str,
    spec_with_id: dict[str, Any],
    version: int,
    write: Callable[[], platform_store.StoredObject],
    clock: clocks.Clock,
) -> platform_store.StoredObject:
    """Sends a write, again if needed, until it is known to have taken effect.

    Raises:
        codes.UserError: Another writer's write took effect first, the platform
            refused the write, or it was not confirmed in time.
    """
    deadline = clock.monotonic() + WRITE_TIMEOUT_SECONDS
    conflicted = False
    while True:
        if not conflicted:
            try:
                return write()
            except platform_store.StoreError as error:
                conflicted = error.status == 409
                if not (conflicted or _is_retryable(error)):
                    raise to_user_error(error) from error
        stored = _try_read(api, kind, name)
        if stored is not None and took_effect(stored, spec_with_id["id"]):
            return stored._replace(spec=spec_with_id)
        if stored is not None and stored.version > version:
            raise _conflict_error(kind, name, stored.version)
        if clock.monotonic() >= deadline:
            raise _unconfirmed_error(kind, name, version, conflicted)
        clock.sleep(RETRY_PAUSE_SECONDS)


def took_effect(stored: platform_store.StoredObject, write_id: str) -> bool:
    """Returns True if an object contains the id of a write."""
    spec = spec_of(stored)
    return spec.get("id") == write_id or write_id in spec.get("earlier", ())


def _is_retryable(error: platform_store.StoreError) -> bool:
    return error.outcome_unknown or error.status == 429


def _try_read(
    api: platform_store.Store, kind: str, name: str
) -> platform_store.StoredObject | None:
    try:
        return api.get(kind, name)
    except platform_store.StoreError:
        return None


def _conflict_error(kind: str, name: str, version: int) -> codes.UserError:
    return codes.UserError(
        codes.Code.CONFLICT,
        f"another operator changed {kind}/{name} first: it is at"
        f" version {version} now",
    )


def _unconfirmed_error(
    kind: str, name: str, version: int, conflicted: bool
) -> codes.UserError:
    if conflicted:
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
