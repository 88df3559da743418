"""Checks the references between the sections of a declaration.

Each name that a section refers to must be declared, and entries must neither
repeat nor contradict each other. The checks read the document before its types
are validated, so that faults of both kinds are reported at once. Values of the
wrong type are skipped here; validation of types reports them.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

from gooseberryweir.version import validation


def faults_in(document: Any) -> tuple[validation.Fault, ...]:
    """Returns all unknown names, duplicates and contradictions."""
    if not isinstance(document, Mapping):
        return ()
    return (
        *_route_faults(document),
        *_link_faults(document),
        *_shift_cap_faults(document),
        *_zone_faults(document),
    )


def _names(document: Mapping[str, Any], section: str) -> frozenset[str]:
    found = document.get(section)
    names = found if isinstance(found, Mapping) else ()
    return frozenset(name for name in names if isinstance(name, str))


def _items(
    document: Mapping[str, Any], section: str
) -> Iterator[tuple[str, Mapping[str, Any]]]:
    found = document.get(section)
    for index, item in enumerate(found if isinstance(found, list) else ()):
        if isinstance(item, Mapping):
            yield f"{section}[{index}]", item


def _strings(value: Any) -> list[str]:
    found = value if isinstance(value, list) else [value]
    return [item for item in found if isinstance(item, str)]


def _unknown(
    path: str, value: Any, known: frozenset[str], what: str
) -> Iterator[validation.Fault]:
    for name in _strings(value):
        if name not in known:
            allowed = f"{what} {validation.nearest(name, known)}"
            yield validation.Fault(path, validation.shorten(name), allowed)


def _route_faults(document: Mapping[str, Any]) -> Iterator[validation.Fault]:
    services = _names(document, "services")
    classes = _names(document, "classes")
    accounts = _names(document, "accounts")
    paths: dict[str, str] = {}
    for place, route in _items(document, "routes"):
        yield from _unknown(
            f"{place}.service", route.get("service"), services, "service"
        )
        yield from _unknown(
            f"{place}.class", route.get("class"), classes, "class"
        )
        yield from _unknown(
            f"{place}.accounts", route.get("accounts"), accounts, "account"
        )
        if route.get("open") is True and route.get("accounts"):
            yield validation.Fault(
                f"{place}.accounts", "", "should be empty on an open route"
            )
        if route.get("open") is True and route.get("idempotent") is False:
            yield validation.Fault(
                f"{place}.open",
                "True",
                "should be false if idempotent is: only callers with a key"
                " get tickets",
            )
        path = route.get("path")
        if isinstance(path, str) and paths.setdefault(path, place) != place:
            yield validation.Fault(
                f"{place}.path",
                validation.shorten(path),
                f"is already the path of {paths[path]}",
            )


def _link_faults(document: Mapping[str, Any]) -> Iterator[validation.Fault]:
    regions = _names(document, "regions")
    pairs: dict[frozenset[str], str] = {}
    for place, link in _items(document, "links"):
        between = _strings(link.get("between"))
        yield from _unknown(f"{place}.between", between, regions, "region")
        pair = frozenset(between)
        if len(between) == 2 and len(pair) == 1:
            yield validation.Fault(
                f"{place}.between", str(between), "should be two regions"
            )
        if len(pair) == 2 and pairs.setdefault(pair, place) != place:
            yield validation.Fault(
                f"{place}.between", str(between), f"repeats {pairs[pair]}"
            )


def _linked(document: Mapping[str, Any]) -> frozenset[frozenset[str]]:
    return frozenset(
        frozenset(_strings(link.get("between")))
        for _, link in _items(document, "links")
    )


def _shift_cap_faults(
    document: Mapping[str, Any],
) -> Iterator[validation.Fault]:
    regions = _names(document, "regions")
    linked = _linked(document)
    pairs: dict[tuple[str, str], str] = {}
    for place, cap in _items(document, "shift_caps"):
        origin, target = cap.get("from"), cap.get("to")
        yield from _unknown(f"{place}.from", origin, regions, "region")
        yield from _unknown(f"{place}.to", target, regions, "region")
        if not isinstance(origin, str) or not isinstance(target, str):
            continue
        value = f"{origin} to {target}"
        if origin == target:
            yield validation.Fault(place, value, "should be two regions")
        elif pairs.setdefault((origin, target), place) != place:
            repeated = pairs[origin, target]
            yield validation.Fault(place, value, f"repeats {repeated}")
        elif {origin, target} <= regions and {origin, target} not in linked:
            yield validation.Fault(place, value, "should have a link")


def _zone_faults(document: Mapping[str, Any]) -> Iterator[validation.Fault]:
    found = document.get("regions")
    for name, region in found.items() if isinstance(found, Mapping) else ():
        zones = region.get("zones") if isinstance(region, Mapping) else ()
        names = _strings(zones)
        if len(set(names)) != len(names):
            yield validation.Fault(
                f"regions.{name}.zones", str(names), "should not repeat a zone"
            )
