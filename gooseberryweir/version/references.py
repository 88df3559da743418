"""Checks the references between the sections of a declaration.

Each name that a section refers to must be declared, and entries must neither
repeat nor contradict each other. The checks read the document before its types
are validated, so that errors of both kinds are reported at once. Values of the
wrong type are skipped here; validation of types reports them.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import TypeGuard

from gooseberryweir.version import validation


def find_errors(document: Any) -> tuple[validation.FieldError, ...]:
    """Returns all unknown names, duplicates and contradictions."""
    if not isinstance(document, Mapping):
        return ()
    return (
        *_route_errors(document),
        *_link_errors(document),
        *_shift_cap_errors(document),
        *_zone_errors(document),
    )


def _declared_names(
    document: Mapping[str, Any], section: str
) -> frozenset[str]:
    content = document.get(section)
    names = content if isinstance(content, Mapping) else ()
    return frozenset(name for name in names if isinstance(name, str))


def _is_array(value: Any) -> TypeGuard[Sequence[Any]]:
    """Returns True for a list, or a tuple as in a message of another host."""
    return isinstance(value, list | tuple)


def _items(
    document: Mapping[str, Any], section: str
) -> Iterator[tuple[str, Mapping[str, Any]]]:
    """Yields the path and content of each mapping in a list."""
    content = document.get(section)
    for index, item in enumerate(content if _is_array(content) else ()):
        if isinstance(item, Mapping):
            yield f"{section}[{index}]", item


def _strings(value: Any) -> list[str]:
    values = value if _is_array(value) else [value]
    return [item for item in values if isinstance(item, str)]


def _unknown_name_errors(
    path: str, value: Any, declared: frozenset[str], kind: str
) -> Iterator[validation.FieldError]:
    """Yields an error for each name in a value that is not declared."""
    for name in _strings(value):
        if name not in declared:
            allowed = (
                f"{kind} {validation.describe_unknown_name(name, declared)}"
            )
            yield validation.FieldError(path, validation.shorten(name), allowed)


def _route_errors(
    document: Mapping[str, Any],
) -> Iterator[validation.FieldError]:
    services = _declared_names(document, "services")
    classes = _declared_names(document, "classes")
    accounts = _declared_names(document, "accounts")
    locations_by_path: dict[str, str] = {}
    for location, route in _items(document, "routes"):
        yield from _unknown_name_errors(
            f"{location}.service", route.get("service"), services, "service"
        )
        yield from _unknown_name_errors(
            f"{location}.class", route.get("class"), classes, "class"
        )
        yield from _unknown_name_errors(
            f"{location}.accounts", route.get("accounts"), accounts, "account"
        )
        if route.get("open") is True and route.get("accounts"):
            yield validation.FieldError(
                f"{location}.accounts", "", "should be empty on an open route"
            )
        if route.get("open") is True and route.get("idempotent") is False:
            yield validation.FieldError(
                f"{location}.open",
                "True",
                "should be false if idempotent is false: such requests need a"
                " ticket, and only callers with a key get tickets",
            )
        path = route.get("path")
        if (
            isinstance(path, str)
            and locations_by_path.setdefault(path, location) != location
        ):
            yield validation.FieldError(
                f"{location}.path",
                validation.shorten(path),
                f"is already the path of {locations_by_path[path]}",
            )


def _link_errors(
    document: Mapping[str, Any],
) -> Iterator[validation.FieldError]:
    regions = _declared_names(document, "regions")
    locations_by_pair: dict[frozenset[str], str] = {}
    for location, link in _items(document, "links"):
        between = _strings(link.get("between"))
        yield from _unknown_name_errors(
            f"{location}.between", between, regions, "region"
        )
        pair = frozenset(between)
        if len(between) == 2 and len(pair) == 1:
            yield validation.FieldError(
                f"{location}.between", str(between), "should be two regions"
            )
        if (
            len(pair) == 2
            and locations_by_pair.setdefault(pair, location) != location
        ):
            yield validation.FieldError(
                f"{location}.between",
                str(between),
                f"repeats {locations_by_pair[pair]}",
            )


def _linked_pairs(document: Mapping[str, Any]) -> frozenset[frozenset[str]]:
    return frozenset(
        frozenset(_strings(link.get("between")))
        for _, link in _items(document, "links")
    )


def _shift_cap_errors(
    document: Mapping[str, Any],
) -> Iterator[validation.FieldError]:
    regions = _declared_names(document, "regions")
    linked = _linked_pairs(document)
    locations_by_pair: dict[tuple[str, str], str] = {}
    for location, cap in _items(document, "shift_caps"):
        origin, target = cap.get("from"), cap.get("to")
        yield from _unknown_name_errors(
            f"{location}.from", origin, regions, "region"
        )
        yield from _unknown_name_errors(
            f"{location}.to", target, regions, "region"
        )
        if not isinstance(origin, str) or not isinstance(target, str):
            continue
        value = f"{origin} to {target}"
        if origin == target:
            yield validation.FieldError(
                location, value, "should be two regions"
            )
        elif (
            locations_by_pair.setdefault((origin, target), location) != location
        ):
            earlier = locations_by_pair[origin, target]
            yield validation.FieldError(location, value, f"repeats {earlier}")
        elif {origin, target} <= regions and {origin, target} not in linked:
            yield validation.FieldError(location, value, "should have a link")


def _zone_errors(
    document: Mapping[str, Any],
) -> Iterator[validation.FieldError]:
    content = document.get("regions")
    for name, region in content.items() if isinstance(content, Mapping) else ():
        zones = region.get("zones") if isinstance(region, Mapping) else ()
        names = _strings(zones)
        if len(set(names)) != len(names):
            yield validation.FieldError(
                f"regions.{name}.zones", str(names), "should not repeat a zone"
            )
