"""Specifications of hosts and upstreams, and declarations, for tests."""

import itertools
from typing import Any
from typing import NamedTuple

Regions = dict[str, tuple[str, ...]]


class UpstreamSpec(NamedTuple):
    """An upstream to start.

    Attributes:
        name: Name of the upstream.
        service: Name of its service.
        region: Its region.
        zone: Its availability zone.
        slots: Number of requests that it runs at the same time.
        connections: Number of connections that it accepts at the same time.
        arguments: Further command-line arguments of the stand-in.
    """

    name: str
    service: str
    region: str
    zone: str
    slots: int = 9
    connections: int = 330
    arguments: tuple[Any, ...] = ()


class HostSpec(NamedTuple):
    """A host to start.

    Attributes:
        name: Name of the host.
        region: Its region.
        zone: Its availability zone.
    """

    name: str
    region: str
    zone: str


def place_hosts(regions: Regions, count: int) -> list[HostSpec]:
    """Spreads hosts evenly over regions, then over the zones of each."""
    hosts = []
    names = list(regions)
    for number in range(count):
        region = names[number % len(names)]
        index = number // len(names)
        zone = regions[region][index % len(regions[region])]
        hosts.append(HostSpec(f"{region}-{index + 1}", region, zone))
    return hosts


def place_upstreams(
    regions: Regions, service: str, count: int, slots: int = 9, *arguments: Any
) -> list[UpstreamSpec]:
    """Spreads upstreams of a service evenly over regions and zones.

    Args:
        regions: Zones of each region.
        service: Name of the service.
        count: Number of upstreams.
        slots: Slots of each upstream.
        arguments: Further command-line arguments of the stand-ins.
    """
    return [
        UpstreamSpec(
            f"{location.name}-{service}",
            service,
            location.region,
            location.zone,
            slots,
            arguments=arguments,
        )
        for location in place_hosts(regions, count)
    ]


def work_class(importance: int, latency_ms: float) -> dict[str, Any]:
    """Returns the declaration of a work class, to which routes are assigned.

    Args:
        importance: Importance of the class; 1 is the highest.
        latency_ms: Latency objective, milliseconds.
    """
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
    """Returns a declaration document, which tests may change.

    Each service has the routes `/SERVICE` (class live, idempotent),
    `/SERVICE/orders` (class signing, not idempotent), `/SERVICE/archive`
    (class archive, idempotent) and `/SERVICE/open` (class live, idempotent,
    no key needed).

    Args:
        regions: Zones of each region.
        services: Names of the services.
        accounts: Rate (requests per second) and burst of each client account.
        link_ms: One-way latency between any two regions, milliseconds.
        cap: Limit on the requests that hosts of one region send to upstreams
            of another: rate (requests per second) and burst.
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
            {"between": list(pair), "latency_ms": link_ms, "gbit_per_second": 4}
            for pair in itertools.combinations(regions, 2)
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
