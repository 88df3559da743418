"""What integration tests deploy: hosts, upstreams and declarations."""

import itertools
from typing import Any
from typing import NamedTuple

Regions = dict[str, tuple[str, ...]]


class UpstreamSpec(NamedTuple):
    """An upstream to start; `arguments` go to the stand-in."""

    name: str
    service: str
    region: str
    zone: str
    slots: int = 9
    connections: int = 330
    arguments: tuple[Any, ...] = ()


class HostSpec(NamedTuple):
    """A host to start."""

    name: str
    region: str
    zone: str


def place(regions: Regions, count: int) -> list[HostSpec]:
    """Spreads names over regions, then over their zones, in turn."""
    places = []
    names = list(regions)
    for number in range(count):
        region = names[number % len(names)]
        turn = number // len(names)
        zone = regions[region][turn % len(regions[region])]
        places.append(HostSpec(f"{region}-{turn + 1}", region, zone))
    return places


def spread(
    regions: Regions, service: str, count: int, slots: int = 9, *arguments: Any
) -> list[UpstreamSpec]:
    """Returns upstreams of a service spread over regions and zones."""
    return [
        UpstreamSpec(
            f"{spot.name}-{service}",
            service,
            spot.region,
            spot.zone,
            slots,
            arguments=arguments,
        )
        for spot in place(regions, count)
    ]


def work_class(importance: int, latency_ms: float) -> dict[str, Any]:
    """Returns the document of a class of work."""
    return {
        "importance": importance,
        "latency_ms": latency_ms,
        "headroom": 0.1,
        "crash_limit": 2,
    }


def declare(
    regions: Regions,
    services: tuple[str, ...],
    accounts: dict[str, tuple[float, int]],
    link_ms: float = 20.0,
    cap: tuple[float, int] = (50.0, 20),
) -> dict[str, Any]:
    """Returns declarations, to be changed by the test where it needs.

    Each service has the routes `/SERVICE` (live, idempotent),
    `/SERVICE/orders` (signing, not idempotent), `/SERVICE/archive` and
    `/SERVICE/open` (open to all).

    Args:
        regions: Zones of each region.
        services: Names of the services.
        accounts: Rate and burst of each client account.
        link_ms: One-way latency of each link, milliseconds.
        cap: Rate and burst of the cap on each shift.
    """
    routes = []
    for service in services:
        for suffix, name, idempotent in (
            ("", "live", True),
            ("/orders", "signing", False),
            ("/archive", "archive", True),
            ("/open", "live", True),
        ):
            route = {
                "path": f"/{service}{suffix}",
                "methods": ["GET", "HEAD", "POST"],
                "service": service,
                "class": name,
                "idempotent": idempotent,
                "open": suffix == "/open",
            }
            routes.append(route)
    return {
        "regions": {name: {"zones": list(regions[name])} for name in regions},
        "links": [
            {"between": list(ends), "latency_ms": link_ms, "gbit_per_second": 4}
            for ends in itertools.combinations(regions, 2)
        ],
        "shift_caps": [
            {
                "from": origin,
                "to": target,
                "requests_per_second": cap[0],
                "burst": cap[1],
            }
            for origin, target in itertools.permutations(regions, 2)
        ],
        "classes": {
            "live": work_class(1, 500),
            "signing": work_class(2, 1000),
            "archive": work_class(5, 10_000),
        },
        "services": {name: {"work_ms": 10} for name in services},
        "routes": routes,
        "accounts": {
            name: {"rate": rate, "burst": burst}
            for name, (rate, burst) in accounts.items()
        },
    }
