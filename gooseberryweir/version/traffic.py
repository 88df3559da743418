"""What operators declare and which upstreams there are, as typed data.

Every value here is immutable and belongs to one version; a newer version
replaces it whole. The adapter in `gooseberryweir.platform` builds these types
from the platform's objects.
"""

from collections.abc import Mapping
from typing import NamedTuple


class RouteTarget(NamedTuple):
    """One service of a route.

    Attributes:
        service: Name of the service.
        weight: Its part of the route's requests, in any unit.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """One class of work.

    Attributes:
        name: Name of the route.
        host: Value of the Host header.
        path_prefix: Beginning of the path; starts and ends with a slash.
        targets: Services that share the requests.
        idempotent: Whether a request may run more than once.
        timeout: Longest time, in seconds, that a request is kept waiting.
        objective: Latency, in seconds, that the operator wants to keep.
        max_attempts: Upstreams to which one request may be sent.
        importance: Rank; 0 is the most important.
        public: Whether requests need no key.
        affinity: Whether an upstream that handled an object lately is faster.
        regions: Regions in which requests may run; empty for all.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[RouteTarget, ...]
    idempotent: bool
    timeout: float
    objective: float
    max_attempts: int
    importance: int
    public: bool
    affinity: bool
    regions: frozenset[str]


class Service(NamedTuple):
    """A group of upstreams that do the same work.

    Attributes:
        name: Name of the service.
        cold_rate: Requests per second that a cold upstream tolerates.
        max_connections: Connections that an upstream accepts from all hosts.
    """

    name: str
    cold_rate: float
    max_connections: int


class Account(NamedTuple):
    """A client account.

    Attributes:
        name: Name of the client account.
        importance: Rank, which goes before the route's; None for none.
        rate: Requests per second over all hosts; 0 for no limit.
        burst: Requests beyond the rate.
        regions: Regions in which its requests may run; empty for all.
    """

    name: str
    importance: int | None
    rate: float
    burst: float
    regions: frozenset[str]


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: Largest request head in bytes.
        body_bytes: Largest request body in bytes.
        header_seconds: Longest time for a request head.
        idle_seconds: Longest time that a connection stays open unused.
    """

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


class Configuration(NamedTuple):
    """One version of all that operators declare.

    Attributes:
        version: Number of the version.
        routes: Routes by host; the longest prefix first.
        services: Services by name.
        accounts: Client accounts by name.
        account_by_key: Name of the client account that holds each key.
        keyed: Whether requests need a key unless their route is public.
        limits: Limits of callers' connections.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    accounts: Mapping[str, Account]
    account_by_key: Mapping[str, str]
    keyed: bool
    limits: CallerLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class Upstream(NamedTuple):
    """One start of an upstream, as it registered itself.

    Attributes:
        name: Name of this start of the upstream.
        service: The service that it belongs to.
        address: `IP:PORT`.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        leaving: Whether it takes no new work.
        cold_seconds: How long it was still cold when the entry was written.
        born: Unix milliseconds of its start.
        revision: Revision of the entry.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    cold_seconds: float
    born: int
    revision: int


class HostEntry(NamedTuple):
    """One of our hosts, as it registered itself.

    Attributes:
        name: Name of the host.
        incarnation: Identifies one start of its process.
        front: Address for callers, `IP:PORT`.
        peer: Address for other hosts, `IP:PORT`.
        zone: Its availability zone.
        region: Its region.
    """

    name: str
    incarnation: str
    front: str
    peer: str
    zone: str
    region: str
