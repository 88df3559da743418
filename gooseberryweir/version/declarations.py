"""Types and validation of the operators' declarations, and route matching.

A declaration is the YAML document in which operators configure the system. It
declares regions, routes, classes of work and client accounts with their limits
and latency objectives, but never names an upstream or a weight: the system
chooses those.
"""

import re
from typing import Annotated
from typing import Any
from typing import NamedTuple

import pydantic
from returns import result

from gooseberryweir import codes
from gooseberryweir.version import references
from gooseberryweir.version import validation

# Methods that a route may allow.
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
# Path of the host look-up; no route may be under it.
RESERVED_PATH = "/v1/hosts"
# Highest rate of a client account or shift cap, requests per second.
MAX_REQUESTS_PER_SECOND = 1e6
# Largest burst of a client account or shift cap, requests.
MAX_BURST_REQUESTS = 1_000_000
MAX_LATENCY_MS = 3_600_000
MAX_GBIT_PER_SECOND = 1e5
MAX_CRASH_LIMIT = 100
MAX_HEADROOM = 0.9
# Greatest value of `importance`, where 1 is the most important.
LOWEST_IMPORTANCE = 9
# One-way latency assumed between regions without a link, milliseconds.
UNLINKED_LATENCY_MS = 100.0
_SEGMENT_CHARACTER = r"[A-Za-z0-9._~!$&'()*+,;=:@-]"
_PATH = re.compile(f"/(?:{_SEGMENT_CHARACTER}+/)*{_SEGMENT_CHARACTER}*")


def _check_path(path: str) -> str:
    if not _PATH.fullmatch(path) or {".", ".."} & set(path.split("/")):
        raise ValueError(
            "should be an absolute path such as /maps, with neither query,"
            " percent sign, empty segment nor dot segment"
        )
    if covers(RESERVED_PATH, path):
        raise ValueError(f"should not be under {RESERVED_PATH}")
    return path


def _check_method(method: str) -> str:
    if method not in METHODS:
        raise ValueError(f"should be one of {', '.join(METHODS)}")
    return method


Name = Annotated[str, pydantic.AfterValidator(validation.check_name)]
Rate = Annotated[
    float,
    pydantic.Field(
        gt=0, le=MAX_REQUESTS_PER_SECOND, strict=True, allow_inf_nan=False
    ),
]
Burst = Annotated[int, pydantic.Field(ge=1, le=MAX_BURST_REQUESTS, strict=True)]
Milliseconds = Annotated[
    float,
    pydantic.Field(gt=0, le=MAX_LATENCY_MS, strict=True, allow_inf_nan=False),
]
Flag = Annotated[bool, pydantic.Field(strict=True)]
Method = Annotated[str, pydantic.AfterValidator(_check_method)]
RoutePath = Annotated[str, pydantic.AfterValidator(_check_path)]


class Region(NamedTuple):
    """A region and its availability zones.

    Attributes:
        zones: Names of the availability zones.
    """

    zones: Annotated[tuple[Name, ...], pydantic.Field(min_length=1)]


class Link(NamedTuple):
    """The network link between two regions, equal in both directions.

    Attributes:
        between: Names of the two regions.
        latency_ms: One-way latency in milliseconds.
        gbit_per_second: Bandwidth in each direction, 10^9 bits per second.
    """

    between: tuple[Name, Name]
    latency_ms: Milliseconds
    gbit_per_second: Annotated[
        float,
        pydantic.Field(
            gt=0, le=MAX_GBIT_PER_SECOND, strict=True, allow_inf_nan=False
        ),
    ]


class ShiftCap(NamedTuple):
    """Rate limit on requests that one region shifts to another.

    Attributes:
        origin: Region that shifts requests of its callers; `from` in YAML.
        target: Region that serves these requests; `to` in YAML.
        requests_per_second: Greatest rate, over all hosts together.
        burst: Requests that may be shifted at once, over all hosts together.
    """

    origin: Annotated[Name, pydantic.Field(alias="from")]
    target: Annotated[Name, pydantic.Field(alias="to")]
    requests_per_second: Rate
    burst: Burst


class WorkClass(NamedTuple):
    """A class of work: the priority and the targets of its requests.

    Attributes:
        importance: 1 is the most important, 9 the least.
        latency_ms: Latency objective in milliseconds.
        headroom: Fraction of a region's slots that the class leaves free, 0 to
            0.9. A slot is room for one request on an upstream.
        crash_limit: Number of upstreams that one request may crash before it
            is refused.
    """

    importance: Annotated[
        int, pydantic.Field(ge=1, le=LOWEST_IMPORTANCE, strict=True)
    ]
    latency_ms: Milliseconds
    headroom: Annotated[
        float,
        pydantic.Field(ge=0, le=MAX_HEADROOM, strict=True, allow_inf_nan=False),
    ]
    crash_limit: Annotated[
        int, pydantic.Field(ge=1, le=MAX_CRASH_LIMIT, strict=True)
    ]


class Service(NamedTuple):
    """A service that runs requests on upstreams, which the platform lists.

    Attributes:
        work_ms: Usual processing time of one request on an idle upstream, in
            milliseconds; used until measurements are available.
    """

    work_ms: Milliseconds


class Route(NamedTuple):
    """A route: the rules for all requests under one path.

    Attributes:
        path: Path prefix; matches whole path segments only.
        methods: HTTP methods allowed.
        service: Name of the service that runs the requests.
        work_class: Name of the class of work; `class` in YAML.
        idempotent: True if a request may be sent more than once.
        open: True if requests need no key.
        accounts: Client accounts that may use the route; empty for all.
    """

    path: RoutePath
    methods: Annotated[tuple[Method, ...], pydantic.Field(min_length=1)]
    service: Name
    work_class: Annotated[Name, pydantic.Field(alias="class")]
    idempotent: Flag
    open: Flag = False
    accounts: tuple[Name, ...] = ()


class Account(NamedTuple):
    """Rate limit of a client account.

    Attributes:
        rate: Greatest rate in requests per second, over all hosts together.
        burst: Requests that may be sent at once, over all hosts together.
    """

    rate: Rate
    burst: Burst


class Declarations(NamedTuple):
    """The content of a whole declaration.

    Attributes:
        regions: Regions by name.
        classes: Classes of work by name.
        services: Services by name.
        routes: Routes in any order; the longest matching path applies.
        accounts: Client accounts by name.
        links: Links between regions; without a link, two regions shift no
            requests to each other.
        shift_caps: Limits on shifted requests; without a limit from one region
            to another, no requests are shifted that way.
    """

    regions: Annotated[
        dict[Name, Annotated[Region, validation.FromMapping]],
        pydantic.Field(min_length=1),
    ]
    classes: dict[Name, Annotated[WorkClass, validation.FromMapping]]
    services: dict[Name, Annotated[Service, validation.FromMapping]]
    routes: tuple[Annotated[Route, validation.FromMapping], ...]
    accounts: dict[Name, Annotated[Account, validation.FromMapping]]
    links: tuple[Annotated[Link, validation.FromMapping], ...] = ()
    shift_caps: tuple[Annotated[ShiftCap, validation.FromMapping], ...] = ()


# YAML keys that differ from the field's name; `from` and `class` are keywords
# of Python.
_YAML_KEYS = {"origin": "from", "target": "to", "work_class": "class"}
# YAML keys allowed in each section, for suggestions in error messages.
_KEYS_BY_SECTION = {
    section: tuple(
        _YAML_KEYS.get(field, field) for field in record_type._fields
    )
    for section, record_type in (
        ("", Declarations),
        ("regions", Region),
        ("links", Link),
        ("shift_caps", ShiftCap),
        ("classes", WorkClass),
        ("services", Service),
        ("routes", Route),
        ("accounts", Account),
    )
}
_ADAPTER: pydantic.TypeAdapter[Declarations] = pydantic.TypeAdapter(
    Annotated[Declarations, validation.FromMapping]
)


def parse(
    document: Any,
) -> result.Result[Declarations, tuple[validation.FieldError, ...]]:
    """Validates a declaration.

    Args:
        document: The declaration as plain values, such as parsed YAML.

    Returns:
        The declarations, or all errors found in the document.
    """
    field_errors: tuple[validation.FieldError, ...] = ()
    parsed = None
    try:
        parsed = _ADAPTER.validate_python(document)
    except pydantic.ValidationError as error:
        field_errors = validation.field_errors_from(error, _KEYS_BY_SECTION)
    field_errors += references.find_errors(document)
    if parsed is None or field_errors:
        return result.Failure(field_errors)
    return result.Success(parsed)


def load_file(path: str) -> Declarations:
    """Reads and validates a declaration file.

    Args:
        path: Path of the YAML file.

    Raises:
        codes.UserError: `INVALID_DECLARATION`, with a line for each error.
    """
    try:
        parsed = parse(validation.read_document(path))
    except validation.ReadError as error:
        raise codes.UserError(
            codes.Code.INVALID_DECLARATION, f"{path}: {error}"
        ) from error
    if isinstance(parsed, result.Success):
        return parsed.unwrap()
    lines = [f"{path}: {each}" for each in parsed.failure()]
    raise codes.UserError(codes.Code.INVALID_DECLARATION, "\n".join(lines))


def to_document(declarations: Declarations) -> dict[str, Any]:
    """Returns the declarations as plain values, which `parse` accepts."""
    document = _to_plain_value(declarations)
    assert isinstance(document, dict)
    return document


def _to_plain_value(value: Any) -> Any:
    if hasattr(value, "_asdict"):
        return {
            _YAML_KEYS.get(field, field): _to_plain_value(item)
            for field, item in value._asdict().items()
        }
    if isinstance(value, dict):
        return {key: _to_plain_value(item) for key, item in value.items()}
    if isinstance(value, tuple):
        return [_to_plain_value(item) for item in value]
    return value


def covers(prefix: str, path: str) -> bool:
    """Returns True if a path starts with all path segments of a prefix.

    For example, `/maps` covers `/maps` and `/maps/a`, but not `/mapsx`.
    """
    if not path.startswith(prefix):
        return False
    return (
        len(path) == len(prefix)
        or prefix.endswith("/")
        or path[len(prefix)] == "/"
    )


def match_route(declarations: Declarations, path: str) -> Route | None:
    """Returns the route with the longest prefix that covers a path, or None.

    Args:
        declarations: The active declarations.
        path: Path of the request, without the query.
    """
    return max(
        (route for route in declarations.routes if covers(route.path, path)),
        key=lambda route: len(route.path),
        default=None,
    )
