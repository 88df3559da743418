"""The platform's key objects: the digests of a client account's keys."""

from typing import Any

from gooseberryweir import clock as clocks
from gooseberryweir.process.upkeep import platform
from gooseberryweir.process.upkeep import settled


def withdraw_digests(
    api: platform.Platform,
    account: str,
    digests: set[str],
    clock: clocks.Clock,
) -> None:
    """Marks keys of a client account as withdrawn in the platform.

    Raises:
        codes.UserError: The outcome is another or not known.
    """

    def change(spec: dict[str, Any]) -> dict[str, Any] | None:
        held = dict(spec.get("digests", {}))
        if all(held.get(digest) == "withdrawn" for digest in digests):
            return None
        held.update(dict.fromkeys(digests, "withdrawn"))
        return {**spec, "digests": held}

    settled.merge_settled(
        api, platform.STEERING_OBJECTS, f"keys.{account}", change, clock
    )
