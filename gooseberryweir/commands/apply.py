"""The `apply` command: stores a declaration that all hosts then use."""

from collections.abc import Iterator
import json
from typing import Any

from returns import result

from gooseberryweir import codes
from gooseberryweir.commands import operator_client
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.upkeep import idempotent_writes
from gooseberryweir.version import declarations
from gooseberryweir.version import objects

_CONFIG_NAME = "config"
_MAX_VALUE_CHARACTERS = 60


def apply_file(
    context: operator_client.CommandContext,
    path: str,
    expect_version: int | None = None,
) -> int:
    """Validates a declaration, writes it and waits until all hosts use it.

    Args:
        context: Clients and options of the command.
        path: Path of the declaration file.
        expect_version: Version that the stored declaration must have; 0 if
            none may be stored; None for the version that is read just before
            the write.

    Returns:
        The active version.

    Raises:
        codes.UserError: INVALID_DECLARATION if the file is invalid or the
            platform refuses it; CONFLICT, FORBIDDEN or PLATFORM_UNREACHABLE if
            the write fails; NOT_IN_FORCE if a host does not use the version in
            time.
    """
    new_document = declarations.to_document(declarations.load_file(path))
    current = idempotent_writes.read_object(
        context.api, objects.STEERING_OBJECTS, _CONFIG_NAME
    )
    version = current.version if current else 0
    if expect_version is not None and expect_version != version:
        raise codes.UserError(
            codes.Code.CONFLICT,
            f"expected version {expect_version}, but the declaration is at"
            f" version {version} now",
        )
    current_document = _with_defaults(
        idempotent_writes.spec_of(current).get("declarations", {})
    )
    lines = list(diff_lines(current_document, new_document))
    for line in lines:
        context.print_line(line)
    if current and not lines:
        context.print_line(f"nothing to change in version {version}")
    else:
        version = _write(context, current, new_document)
        context.print_line(f"accepted as version {version}")
    operator_client.wait_until_active(context, objects.CONFIG, version)
    return version


def diff_lines(before: Any, after: Any, path: str = "") -> Iterator[str]:
    """Yields a line for each added, changed or removed value, with its path."""
    if before == after:
        return
    old, new = _children(before), _children(after)
    if old is None or new is None:
        yield f"changed {path}: {_abbreviate(before)} -> {_abbreviate(after)}"
        return
    for key in dict.fromkeys([*old, *new]):
        child_path = f"{path}.{key}" if path else str(key)
        if key not in old:
            yield f"added {child_path}: {_abbreviate(new[key])}"
        elif key not in new:
            yield f"removed {child_path}: {_abbreviate(old[key])}"
        else:
            yield from diff_lines(old[key], new[key], child_path)


def _write(
    context: operator_client.CommandContext,
    current: platform_store.StoredObject | None,
    new_document: dict[str, Any],
) -> int:
    spec = {"declarations": new_document}
    api, clock, kind = context.api, context.clock, objects.STEERING_OBJECTS
    if current is None:
        return idempotent_writes.create_object(
            api, kind, _CONFIG_NAME, spec, clock
        ).version
    return idempotent_writes.replace_object(
        api, kind, current, spec, clock
    ).version


def _with_defaults(document: Any) -> Any:
    """Returns a declaration in which missing fields have their defaults.

    An invalid declaration is returned unchanged.
    """
    parsed = declarations.parse(document)
    if isinstance(parsed, result.Success):
        return declarations.to_document(parsed.unwrap())
    return document


def _children(value: Any) -> dict[Any, Any] | None:
    """Returns the values of a mapping by key, or of a list of routes by path.

    Returns None for any other value, which is compared as a whole.
    """
    if isinstance(value, dict):
        return value
    if not isinstance(value, list):
        return None
    if all(isinstance(each, dict) and "path" in each for each in value):
        return {f"[{each['path']}]": each for each in value}
    return None


def _abbreviate(value: Any) -> str:
    text = json.dumps(value, sort_keys=True)
    if len(text) <= _MAX_VALUE_CHARACTERS:
        return text
    return text[:_MAX_VALUE_CHARACTERS] + "…"
