"""`drain` and `undrain`: moves work away from a region or an upstream."""

from typing import Any

from gooseberryweir import codes
from gooseberryweir.commands import fleet
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.upkeep import settled
from gooseberryweir.version import objects

_NAME = "drains"
_SERVICE_PREFIX = "service."


def drain(operator: fleet.Operator, target: str) -> None:
    """Drains `region/NAME` or `upstream/NAME` and waits until in force.

    Raises:
        codes.UserError: BAD_PATH for an unknown target, else as `apply`.
    """
    _check_form(target)
    if target not in _known_targets(operator):
        raise codes.UserError(codes.Code.BAD_PATH, f"there is no {target}")
    _set(operator, target, drained=True)


def undrain(operator: fleet.Operator, target: str) -> None:
    """Ends the drain of a region or an upstream; see `drain`."""
    _check_form(target)
    _set(operator, target, drained=False)


def _set(operator: fleet.Operator, target: str, *, drained: bool) -> None:
    def change(spec: dict[str, Any]) -> dict[str, Any] | None:
        drains = dict(spec.get("drains", {}))
        if drains.get(target, False) == drained:
            return None
        if drained:
            drains[target] = True
        else:
            del drains[target]
        return {**spec, "drains": drains}

    written = settled.merge_settled(
        operator.api, objects.STEERING_OBJECTS, _NAME, change, operator.clock
    )
    state = "drained" if drained else "not drained"
    operator.out(f"{target} is {state}")
    if written is not None:
        fleet.wait_in_force(operator, objects.DRAINS, written.version)


def _check_form(target: str) -> None:
    kind, _, name = target.partition("/")
    if kind not in ("region", "upstream") or not name:
        raise codes.UserError(
            codes.Code.BAD_PATH,
            f"{target!r} should be region/NAME or upstream/NAME",
        )


def _known_targets(operator: fleet.Operator) -> set[str]:
    """Returns the declared regions and the listed upstreams."""
    config = settled.read(operator.api, objects.STEERING_OBJECTS, "config")
    declared = settled.content(config).get("declarations", {})
    known = {f"region/{name}" for name in declared.get("regions", ())}
    try:
        listed = operator.api.list(objects.ENDPOINT_SLICES).objects()
    except platform_store.StoreError as error:
        raise settled.user_error(error) from error
    for each in listed:
        if each.name.startswith(_SERVICE_PREFIX):
            endpoints = settled.content(each).get("endpoints", ())
            known.update(f"upstream/{entry['name']}" for entry in endpoints)
    return known
