"""Declarations: what operators state about regions, classes and accounts.

A declaration gives targets; it never names an upstream or a weight.
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

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
RESERVED_PATH = "/v1/hosts"
MAX_RATE = 1e6
MAX_BURST = 1_000_000
MAX_LATENCY_MS = 3_600_000
MAX_GBIT_PER_SECOND = 1e5
MAX_CRASH_LIMIT = 100
MAX_HEADROOM = 0.9
LOWEST_IMPORTANCE = 9
# One-way latency assumed between regions that no link joins, milliseconds.
UNLINKED_LATENCY_MS = 100.0
_SEGMENT = r"[A-Za-z0-9._~!$&'()*+,;=:@-]"
_PATH = re.compile(f"/(?:{_SEGMENT}+/)*{_SEGMENT}*")


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
    pydantic.Field(gt=0, le=MAX_RATE, strict=True, allow_inf_nan=False),
]
Burst = Annotated[int, pydantic.Field(ge=1, le=MAX_BURST, strict=True)]
Milliseconds = Annotated[
    float,
    pydantic.Field(gt=0, le=MAX_LATENCY_MS, strict=True, allow_inf_nan=False),
]
Flag = Annotated[bool, pydantic.Field(strict=True)]
Method = Annotated[str, pydantic.AfterValidator(_check_method)]
RoutePath = Annotated[str, pydantic.AfterValidator(_check_path)]


class Region(NamedTuple):
    """A region.

    Attributes:
        zones: Names of its zones.
    """

    zones: Annotated[tuple[Name, ...], pydantic.Field(min_length=1)]


class Link(NamedTuple):
    """The link between two regions, the same each way.

    Attributes:
        between: Names of the two regions.
        latency_ms: One-way latency in milliseconds.
        gbit_per_second: Bandwidth each way in 10^9 bits a second.
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
    """The cap on requests shifted from one region to another.

    Attributes:
        origin: Region whose callers are served elsewhere; `from` in YAML.
        target: Region that serves them; `to` in YAML.
        requests_per_second: Rate of the cap, for all hosts together.
        burst: Requests that may be shifted at once.
    """

    origin: Annotated[Name, pydantic.Field(alias="from")]
    target: Annotated[Name, pydantic.Field(alias="to")]
    requests_per_second: Rate
    burst: Burst


class WorkClass(NamedTuple):
    """A class of work and its targets.

    Attributes:
        importance: 1 is the highest, 9 the lowest.
        latency_ms: Target latency in milliseconds.
        headroom: Share of the slots of a region kept free, 0 to 0.9.
        crash_limit: Upstreams that one request may end before it is refused.
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
    """A service; the platform lists its upstreams.

    Attributes:
        work_ms: Usual time of one request on an idle upstream, in
            milliseconds; the estimate until there are measurements.
    """

    work_ms: Milliseconds


class Route(NamedTuple):
    """The requests under one path.

    Attributes:
        path: Prefix of whole path segments.
        methods: HTTP methods allowed.
        service: Service that runs the requests.
        work_class: Class of work; `class` in YAML.
        idempotent: Whether a request may be sent again.
        open: Whether requests need no key.
        accounts: Client accounts that may use it; empty for all.
    """

    path: RoutePath
    methods: Annotated[tuple[Method, ...], pydantic.Field(min_length=1)]
    service: Name
    work_class: Annotated[Name, pydantic.Field(alias="class")]
    idempotent: Flag
    open: Flag = False
    accounts: tuple[Name, ...] = ()


class Account(NamedTuple):
    """A client account.

    Attributes:
        rate: Requests a second, for all hosts together.
        burst: Requests at once, for all hosts together.
    """

    rate: Rate
    burst: Burst


class Declarations(NamedTuple):
    """One whole declaration.

    Attributes:
        regions: Regions by name.
        links: Links between regions; regions without one shift no requests.
        shift_caps: Caps on shifts; without a cap nothing is shifted.
        classes: Classes of work by name.
        services: Services by name.
        routes: Routes.
        accounts: Client accounts by name.
    """

    regions: Annotated[
        dict[Name, Annotated[Region, validation.Mapped]],
        pydantic.Field(min_length=1),
    ]
    classes: dict[Name, Annotated[WorkClass, validation.Mapped]]
    services: dict[Name, Annotated[Service, validation.Mapped]]
    routes: tuple[Annotated[Route, validation.Mapped], ...]
    accounts: dict[Name, Annotated[Account, validation.Mapped]]
    links: tuple[Annotated[Link, validation.Mapped], ...] = ()
    shift_caps: tuple[Annotated[ShiftCap, validation.Mapped], ...] = ()


_YAML_KEYS = {"origin": "from", "target": "to", "work_class": "class"}
_KNOWN_FIELDS = {
    section: tuple(_YAML_KEYS.get(field, field) for field in kind._fields)
    for section, kind in (
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
    Annotated[Declarations, validation.Mapped]
)


def parse(
    document: Any,
) -> result.Result[Declarations, tuple[validation.Fault, ...]]:
    """Validates a document; a failure holds every fault in it."""
    faults: tuple[validation.Fault, ...] = ()
    parsed = None
    try:
        parsed = _ADAPTER.validate_python(document)
    except pydantic.ValidationError as error:
        faults = validation.faults_of(error, _KNOWN_FIELDS)
    faults += references.faults_in(document)
    if parsed is None or faults:
        return result.Failure(faults)
    return result.Success(parsed)


def load_file(path: str) -> Declarations:
    """Reads and validates a declaration file.

    Raises:
        codes.UserError: `INVALID_DECLARATION`, with a line for each fault.
    """
    try:
        parsed = parse(validation.read_document(path))
    except validation.ReadError as error:
        raise codes.UserError(
            codes.Code.INVALID_DECLARATION, f"{path}: {error}"
        ) from error
    if isinstance(parsed, result.Success):
        return parsed.unwrap()
    lines = [f"{path}: {fault}" for fault in parsed.failure()]
    raise codes.UserError(codes.Code.INVALID_DECLARATION, "\n".join(lines))


def to_document(declarations: Declarations) -> dict[str, Any]:
    """Returns the plain document that parses to these declarations."""
    document = _plain(declarations)
    assert isinstance(document, dict)
    return document


def _plain(value: Any) -> Any:
    if hasattr(value, "_asdict"):
        return {
            _YAML_KEYS.get(field, field): _plain(item)
            for field, item in value._asdict().items()
        }
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    return value


def covers(prefix: str, path: str) -> bool:
    """Whether a path is under a prefix of whole segments."""
    if not path.startswith(prefix):
        return False
    return (
        len(path) == len(prefix)
        or prefix.endswith("/")
        or path[len(prefix)] == "/"
    )


def match_route(declarations: Declarations, path: str) -> Route | None:
    """Returns the route with the longest prefix of a path, or None.

    Args:
        declarations: The declarations in force.
        path: The request's path, without its query.
    """
    return max(
        (route for route in declarations.routes if covers(route.path, path)),
        key=lambda route: len(route.path),
        default=None,
    )
