"""The `drain` command: stops new requests to a region or an upstream.

With `--undo` it ends the drain.
"""

from typing import Any

from gooseberryweir import codes
from gooseberryweir.commands import operator_client
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.upkeep import idempotent_writes
from gooseberryweir.version import objects

_DRAINS_NAME = "drains"
_SERVICE_PREFIX = "service."


def drain(context: operator_client.CommandContext, target: str) -> None:
    """Drains a region or an upstream and waits until all hosts apply it.

    Args:
        context: Clients and options of the command.
        target: `region/NAME` or `upstream/NAME`.

    Raises:
        codes.UserError: BAD_PATH for an unknown target; CONFLICT, FORBIDDEN or
            PLATFORM_UNREACHABLE if the write fails; NOT_IN_FORCE if a host
            does not apply the drain in time.
    """
    _check_target_format(target)
    if target not in _existing_targets(context):
        raise codes.UserError(codes.Code.BAD_PATH, f"there is no {target}")
    _set_drained(context, target, drained=True)


def undrain(context: operator_client.CommandContext, target: str) -> None:
    """Ends the drain of a region or an upstream; see `drain`."""
    _check_target_format(target)
    _set_drained(context, target, drained=False)


def _set_drained(
    context: operator_client.CommandContext, target: str, *, drained: bool
) -> None:
    """Writes the drain state of a target and waits until all hosts apply it."""

    def update_spec(spec: dict[str, Any]) -> dict[str, Any] | None:
        drains = dict(spec.get("drains", {}))
        if drains.get(target, False) == drained:
            return None
        if drained:
            drains[target] = True
        else:
            del drains[target]
        return {**spec, "drains": drains}

    updated = idempotent_writes.update_object(
        context.api,
        objects.STEERING_OBJECTS,
        _DRAINS_NAME,
        update_spec,
        context.clock,
    )
    state = "drained" if drained else "not drained"
    context.print_line(f"{target} is {state}")
    if updated is not None:
        operator_client.wait_until_active(
            context, objects.DRAINS, updated.version
        )


def _check_target_format(target: str) -> None:
    kind, _, name = target.partition("/")
    if kind not in ("region", "upstream") or not name:
        raise codes.UserError(
            codes.Code.BAD_PATH,
            f"{target!r} should be region/NAME or upstream/NAME",
        )


def _existing_targets(context: operator_client.CommandContext) -> set[str]:
    """Returns the declared regions and listed upstreams.

    These are `region/NAME` and `upstream/NAME`, as in the command.
    """
    config = idempotent_writes.read_object(
        context.api, objects.STEERING_OBJECTS, "config"
    )
    declarations = idempotent_writes.spec_of(config).get("declarations", {})
    targets = {f"region/{name}" for name in declarations.get("regions", ())}
    try:
        stored_objects = context.api.list(objects.ENDPOINT_SLICES).objects()
    except platform_store.StoreError as error:
        raise idempotent_writes.to_user_error(error) from error
    for stored in stored_objects:
        if stored.name.startswith(_SERVICE_PREFIX):
            endpoints = idempotent_writes.spec_of(stored).get("endpoints", ())
            targets.update(f"upstream/{entry['name']}" for entry in endpoints)
    return targets
