"""`apply`: puts a declaration in force everywhere."""

from collections.abc import Iterator
import json
from typing import Any

from returns import result

from gooseberryweir import codes
from gooseberryweir.commands import fleet
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.upkeep import settled
from gooseberryweir.version import declarations as declaring
from gooseberryweir.version import objects

_NAME = "config"
_MAX_VALUE_CHARACTERS = 60


def apply_file(
    operator: fleet.Operator, path: str, expect_version: int | None = None
) -> int:
    """Validates a declaration, writes it and waits until it is in force.

    Args:
        operator: How the system is reached.
        path: The declaration file.
        expect_version: Version that must be the newest; 0 for none yet.
            Without it, the version read just before the write must be.

    Returns:
        The version in force.

    Raises:
        codes.UserError: INVALID_DECLARATION, CONFLICT, PLATFORM_UNREACHABLE
            or NOT_IN_FORCE.
    """
    document = declaring.to_document(declaring.load_file(path))
    current = settled.read(operator.api, objects.STEERING_OBJECTS, _NAME)
    version = current.version if current else 0
    if expect_version is not None and expect_version != version:
        raise codes.UserError(
            codes.Code.CONFLICT,
            f"expected version {expect_version}, but the declaration is at"
            f" version {version} now",
        )
    before = _normal(settled.content(current).get("declarations", {}))
    lines = list(changes(before, document))
    for line in lines:
        operator.out(line)
    if current and not lines:
        operator.out(f"nothing to change in version {version}")
    else:
        version = _write(operator, current, document)
        operator.out(f"accepted as version {version}")
    fleet.wait_in_force(operator, objects.CONFIG, version)
    return version


def changes(before: Any, after: Any, path: str = "") -> Iterator[str]:
    """Yields a line for each value added, changed or removed, by path."""
    if before == after:
        return
    old, new = _children(before), _children(after)
    if old is None or new is None:
        yield f"changed {path}: {_short(before)} -> {_short(after)}"
        return
    for key in dict.fromkeys([*old, *new]):
        place = f"{path}.{key}" if path else str(key)
        if key not in old:
            yield f"added {place}: {_short(new[key])}"
        elif key not in new:
            yield f"removed {place}: {_short(old[key])}"
        else:
            yield from changes(old[key], new[key], place)


def _write(
    operator: fleet.Operator,
    current: platform_store.StoredObject | None,
    document: dict[str, Any],
) -> int:
    spec = {"declarations": document}
    api, clock, kind = operator.api, operator.clock, objects.STEERING_OBJECTS
    if current is None:
        return settled.create_settled(api, kind, _NAME, spec, clock).version
    return settled.replace_settled(api, kind, current, spec, clock).version


def _normal(document: Any) -> Any:
    """Fills in the defaults that the document leaves out."""
    parsed = declaring.parse(document)
    if isinstance(parsed, result.Success):
        return declaring.to_document(parsed.unwrap())
    return document


def _children(value: Any) -> dict[Any, Any] | None:
    """Returns what a value holds by key; routes go by their path."""
    if isinstance(value, dict):
        return value
    if not isinstance(value, list):
        return None
    if all(isinstance(each, dict) and "path" in each for each in value):
        return {f"[{each['path']}]": each for each in value}
    return None


def _short(value: Any) -> str:
    text = json.dumps(value, sort_keys=True)
    if len(text) <= _MAX_VALUE_CHARACTERS:
        return text
    return text[:_MAX_VALUE_CHARACTERS] + "…"
