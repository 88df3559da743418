"""Types of the configuration, upstreams and hosts for the `front` command.

The `serve` command uses the types in `declarations` and `tables` instead. All
values are immutable. Each belongs to one version of an object, and a newer
version replaces it as a whole. `gooseberryweir.platform.records` decodes these
types from the objects in the platform's store.
"""

from collections.abc import Mapping
from typing import NamedTuple


class RouteTarget(NamedTuple):
    """A service that a route sends requests to.

    Attributes:
        service: Name of the service.
        weight: Share of the route's requests, relative to the weights of the
            route's other targets.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """A route: the rules for requests with one Host header and path prefix.

    Attributes:
        name: Name of the route.
        host: Value of the Host header.
        path_prefix: Prefix of the path; starts and ends with a slash.
        targets: Services among which requests are split by weight.
        idempotent: True if a request may run more than once.
        timeout: Longest time in seconds until a request is answered.
        objective: Latency objective in seconds.
        max_attempts: Greatest number of upstreams that one request may be sent
            to.
        importance: Importance rank; 0 is the most important.
        public: True if requests need no key.
        affinity: True if upstreams are faster for objects that they handled
            lately.
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
    """A group of interchangeable upstreams.

    Attributes:
        name: Name of the service.
        cold_rate: Requests per second that a cold upstream, whose cache is not
            filled yet, tolerates; 0 for no limit.
        max_connections: Connections that one upstream accepts, over all hosts
            together.
    """

    name: str
    cold_rate: float
    max_connections: int


class Account(NamedTuple):
    """A client account.

    Attributes:
        name: Name of the client account.
        importance: Importance rank used instead of the route's; None to use the
            route's.
        rate: Requests per second, over all hosts together; 0 for no limit.
        burst: Requests that may be sent at once beyond the rate.
        regions: Regions in which the account's requests may run; empty for all.
    """

    name: str
    importance: int | None
    rate: float
    burst: float
    regions: frozenset[str]


class CallerLimits(NamedTuple):
    """Limits on callers' requests and connections.

    Attributes:
        max_header_bytes: Largest request head in bytes.
        max_body_bytes: Largest request body in bytes.
        header_timeout_seconds: Longest time to receive a request head.
        idle_timeout_seconds: Longest time that an idle connection is kept open.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


class Configuration(NamedTuple):
    """One version of the operators' configuration.

    Attributes:
        version: Version number.
        routes: Routes by value of the Host header, sorted by length of the
            prefix, longest first.
        services: Services by name.
        accounts: Client accounts by name.
        account_by_key: Name of the client account that each key belongs to.
        requires_keys: True if requests need a key unless their route is public.
        limits: Limits on callers' requests and connections.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    accounts: Mapping[str, Account]
    account_by_key: Mapping[str, str]
    requires_keys: bool
    limits: CallerLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, or None.

        Args:
            host: Value of the Host header.
            path: Path of the request, without the query.
        """
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class Upstream(NamedTuple):
    """One incarnation of an upstream, that is one run of its process.

    The values are from its entry in the platform's store.

    Attributes:
        name: Name of this incarnation.
        service: Name of the service that it belongs to.
        address: Address for requests, `IP:PORT`.
        zone: Availability zone that it is in.
        slots: Number of requests that it processes concurrently.
        draining: True while it takes no new requests.
        cold_seconds: Seconds until it is no longer cold, as of the time when
            the entry was written.
        started_at_ms: Time of its start, in milliseconds since the Unix epoch.
        revision: Revision of the entry in the store.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold_seconds: float
    started_at_ms: int
    revision: int

    @property
    def incarnation(self) -> str:
        """Identifies this run, also if the next one has the same name."""
        return f"{self.name}/{self.started_at_ms}"


class HostEntry(NamedTuple):
    """A host, as it registered itself in the platform's store.

    Attributes:
        name: Name of the host.
        incarnation: Identifier of one run of the host's process.
        front: Address for callers, `IP:PORT`.
        peer: Address for other hosts, `IP:PORT`.
        zone: Availability zone that the host is in.
        region: Region that the host is in.
    """

    name: str
    incarnation: str
    front: str
    peer: str
    zone: str
    region: str
