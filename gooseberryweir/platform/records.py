"""Decodes the objects of the platform's store into the project's types.

An object that can't be decoded is logged and skipped, since other programs
write to the store too; the remaining objects are still used.
"""

from collections.abc import Iterable
import logging
from typing import Annotated
from typing import Literal
from typing import TypeVar

import msgspec

from gooseberryweir import logs
from gooseberryweir.platform import pages
from gooseberryweir.platform import units
from gooseberryweir.version import traffic

LOGGER = logging.getLogger(__name__)

# Kinds of objects in the store. The platform defines all of them but `HOSTS`,
# which only this project uses.
CONFIGURATION = "config"
UPSTREAMS = "servers"
EVACUATIONS = "evacuations"
HOSTS = "gooseberryweir-hosts"
# Name of the only object of kind `CONFIGURATION`.
CONFIGURATION_NAME = "main"

# Greatest number of slots of one upstream.
MAX_SLOTS = 1_000_000
# Limits of numbers of an object: those that other programs store exactly.
_MAX_INT = 2**63 - 1
_MAX_NUMBER = 1e15
_Int = Annotated[int, msgspec.Meta(ge=-_MAX_INT, le=_MAX_INT)]
_Revision = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT)]
_Number = Annotated[float, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]
_DECODE_ERRORS = (ValueError, OverflowError, RecursionError)
_T = TypeVar("_T")


class _Metadata(msgspec.Struct, rename="camel"):
    """Metadata of an object of the store."""

    name: str
    # Revision of the store at which the object last changed.
    revision: _Revision
    deletion_pending: bool = False


class _Object(msgspec.Struct):
    """An object of the store, whose content is not yet decoded."""

    metadata: _Metadata
    spec: msgspec.Raw


class _Upstream(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    # Time until the upstream is no longer cold (its cache is not filled yet).
    cold_remaining: str
    # Start time of the upstream, in Unix milliseconds.
    born: _Int = 0


class _Split(msgspec.Struct):
    """A service that gets a part of a route's requests."""

    service: str
    weight: _Number


class _Route(msgspec.Struct, rename="camel"):
    host: str
    path_prefix: str
    kind: Literal["idempotent", "non_idempotent"]
    timeout: str
    # Latency objective, counted from the caller's first attempt.
    target_latency: str = "1s"
    priority: _Int = 0
    service: str = ""
    traffic_split: list[_Split] = []
    max_attempts: _Int = 1
    # True if requests need no API key.
    public: bool = False
    # True if an upstream that recently handled requests for the same object is
    # faster.
    session_affinity: bool = False
    allowed_regions: list[str] = []


class _Service(msgspec.Struct, rename="camel"):
    max_connections: _Int = 0
    # Requests per second that a cold upstream can handle; 0 means no limit.
    cold_per_s: _Number = 0.0


class _Tenant(msgspec.Struct, rename="camel"):
    api_keys: list[str] = []
    priority: _Int | None = None
    rate_per_s: _Number = 0.0
    burst: _Number = 0.0
    allowed_regions: list[str] = []


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: _Int = 16384
    max_body_bytes: _Int = 1 << 20
    header_timeout: str = "3s"
    idle_timeout: str = "15s"


class _Configuration(msgspec.Struct, rename="camel"):
    version: str
    routes: dict[str, _Route]
    services: dict[str, _Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # None if no request needs an API key.
    tenants: dict[str, _Tenant] | None = None


def _decode(raw: bytes | msgspec.Raw, expected_type: type[_T]) -> _T:
    return msgspec.json.decode(raw, type=expected_type)


def _decode_objects(items: Iterable[msgspec.Raw], kind: str) -> list[_Object]:
    """Decodes objects of a kind; logs and skips those that are malformed."""
    decoded = []
    for item in items:
        try:
            decoded.append(_decode(item, _Object))
        except _DECODE_ERRORS as error:
            _log_skipped(kind, pages.object_name(item) or "unknown", error)
    return decoded


def _log_skipped(kind: str, name: str, error: Exception) -> None:
    logs.event(
        LOGGER,
        "object-skipped",
        logging.WARNING,
        kind=kind,
        object=name,
        reason=error,
    )


def find_configuration(
    items: Iterable[msgspec.Raw],
) -> tuple[int, bytes] | None:
    """Returns the revision and the JSON of the configuration, or None.

    Args:
        items: JSON of the objects of kind `CONFIGURATION`.

    Raises:
        ValueError: There is a configuration, but it can't be read.
    """
    for item in items:
        if pages.object_name(item) == CONFIGURATION_NAME:
            try:
                decoded = _decode(item, _Object)
            except _DECODE_ERRORS as error:
                raise ValueError(
                    f"the configuration is unreadable: {error}"
                ) from error
            return decoded.metadata.revision, bytes(decoded.spec)
    return None


def decode_configuration(content: bytes) -> traffic.Configuration:
    """Decodes the JSON of a configuration.

    Raises:
        ValueError: The configuration is not valid.
    """
    try:
        wire = _decode(content, _Configuration)
    except (OverflowError, RecursionError) as error:
        raise ValueError(str(error)) from error
    routes: dict[str, list[traffic.Route]] = {}
    for name, each in wire.routes.items():
        routes.setdefault(each.host, []).append(_route(name, each))
    tenants = wire.tenants or {}
    return traffic.Configuration(
        version=units.parse_version(wire.version),
        routes={
            host: tuple(sorted(host_routes, key=lambda r: -len(r.path_prefix)))
            for host, host_routes in routes.items()
        },
        services={
            name: traffic.Service(
                name,
                each.cold_per_s,
                each.max_connections,
            )
            for name, each in wire.services.items()
        },
        accounts={
            name: traffic.Account(
                name,
                each.priority,
                each.rate_per_s,
                each.burst,
                frozenset(each.allowed_regions),
            )
            for name, each in tenants.items()
        },
        account_by_key={
            key: name for name, each in tenants.items() for key in each.api_keys
        },
        requires_keys=wire.tenants is not None,
        limits=traffic.CallerLimits(
            wire.limits.max_header_bytes,
            wire.limits.max_body_bytes,
            units.parse_duration(wire.limits.header_timeout),
            units.parse_duration(wire.limits.idle_timeout),
        ),
    )


def _route(name: str, wire: _Route) -> traffic.Route:
    """Converts a route from the platform's format."""
    targets = tuple(
        traffic.RouteTarget(each.service, each.weight)
        for each in wire.traffic_split
    )
    return traffic.Route(
        name=name,
        host=wire.host,
        path_prefix=wire.path_prefix,
        targets=targets or (traffic.RouteTarget(wire.service, 1.0),),
        idempotent=wire.kind == "idempotent",
        timeout=units.parse_duration(wire.timeout),
        objective=units.parse_duration(wire.target_latency),
        max_attempts=max(1, wire.max_attempts),
        importance=wire.priority,
        public=wire.public,
        affinity=wire.session_affinity,
        regions=frozenset(wire.allowed_regions),
    )


def decode_upstreams(
    items: Iterable[msgspec.Raw],
) -> tuple[traffic.Upstream, ...]:
    """Decodes a list of upstreams, sorted by name."""
    upstreams = []
    for each in _decode_objects(items, UPSTREAMS):
        try:
            wire = _decode(each.spec, _Upstream)
            remaining_cold_seconds = units.parse_duration(wire.cold_remaining)
            units.check_address(wire.address)
        except _DECODE_ERRORS as error:
            _log_skipped(UPSTREAMS, each.metadata.name, error)
            continue
        upstreams.append(
            traffic.Upstream(
                name=each.metadata.name,
                service=wire.service,
                address=wire.address,
                zone=wire.zone,
                slots=wire.slots,
                draining=(
                    wire.state == "draining" or each.metadata.deletion_pending
                ),
                cold_seconds=remaining_cold_seconds,
                started_at_ms=wire.born,
                revision=each.metadata.revision,
            )
        )
    return tuple(sorted(upstreams))


def decode_evacuations(items: Iterable[msgspec.Raw]) -> tuple[str, ...]:
    """Returns the names of the evacuated availability zones, sorted.

    Only the name of an object counts, whatever else it holds.
    """
    names = set()
    for item in items:
        name = pages.object_name(item)
        if name is None:
            _log_skipped(EVACUATIONS, "unknown", ValueError("no name"))
        else:
            names.add(name)
    return tuple(sorted(names))


def decode_hosts(
    items: Iterable[msgspec.Raw],
) -> tuple[traffic.HostEntry, ...]:
    """Decodes a list of registered hosts, sorted by name."""
    hosts = []
    for each in _decode_objects(items, HOSTS):
        try:
            entry = _decode(each.spec, traffic.HostEntry)
            units.check_address(entry.front)
            units.check_address(entry.peer)
            hosts.append(entry)
        except _DECODE_ERRORS as error:
            _log_skipped(HOSTS, each.metadata.name, error)
    return tuple(sorted(hosts))


def encode_host(entry: traffic.HostEntry) -> list[str]:
    """Returns the spec of the object that registers a host."""
    return list(entry)
