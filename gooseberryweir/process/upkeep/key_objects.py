"""Writes to key objects, which have the digests of a client account's keys."""

from typing import Any

from gooseberryweir import clock as clocks
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.upkeep import idempotent_writes
from gooseberryweir.version import objects


def withdraw_digests(
    api: platform_store.Store,
    account: str,
    digests: set[str],
    clock: clocks.Clock,
) -> None:
    """Marks keys of a client account as withdrawn in the platform.

    Raises:
        codes.UserError: The write failed or its outcome is unknown.
    """

    def update_spec(spec: dict[str, Any]) -> dict[str, Any] | None:
        states = dict(spec.get("digests", {}))
        if all(states.get(digest) == "withdrawn" for digest in digests):
            return None
        states.update(dict.fromkeys(digests, "withdrawn"))
        return {**spec, "digests": states}

    idempotent_writes.update_object(
        api, objects.STEERING_OBJECTS, f"keys.{account}", update_spec, clock
    )
