"""Reads the settings file that the platform gives to each process."""

from collections.abc import Mapping
import tomllib
from typing import Annotated
from typing import Any
from typing import NamedTuple
import uuid

import msgspec

from gooseberryweir import codes
from gooseberryweir.platform import units
from gooseberryweir.process.fleet import host_settings

# Environment variable with the path of the settings file.
PATH_VARIABLE = "GOOSEBERRYWEIR_BOOT"

_Address = Annotated[str, msgspec.Meta(pattern=r"^\d+(\.\d+){3}:\d{1,5}$")]
_Name = Annotated[str, msgspec.Meta(min_length=1)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class _Listen(msgspec.Struct):
    """Listening addresses for callers, readiness checks and look-ups.

    These are the section `listen` of the file.
    """

    front: _Address
    ready: _Address
    directory: _Address


class _Store(msgspec.Struct, rename="camel"):
    """Address and rate limits of the store; section `platform` of the file."""

    address: _Address
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    """Limits of the host's resources; section `limits` of the file."""

    # Rate of the network link, in Mbit/s.
    link_mbps: float = 0.0


class _File(msgspec.Struct, rename="camel"):
    """Content of the settings file; other fields are ignored."""

    node_name: _Name
    ip: str
    zone: _Name
    region: _Name
    internal_port_range: tuple[_Port, _Port]
    listen: _Listen
    platform: _Store
    bounds: list[str]
    zones: dict[str, str]
    # True only during the first start of the whole system.
    bootstrap: bool = False
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Bounds(NamedTuple):
    """Entries of the field `bounds` that this project uses, not yet parsed.

    The defaults apply to entries that are missing or empty.
    """

    # Longest time from the withdrawal of a key until no request with it is run.
    revoke: str = "5s"
    # Time from SIGTERM to SIGKILL.
    grace: str = "6s"
    # Longest time to live of a look-up response.
    ttl_max: str = "5s"
    # Sliding window in which the retries of a service are counted.
    budgetWindow: str = "10s"  # noqa: N815, platform's name
    # Retries allowed per request of a service.
    retryBudgetRatio: str = "0.2"  # noqa: N815
    # Retries allowed per window in addition to that ratio, over all hosts.
    budgetMargin: str = "58"  # noqa: N815
    # Excess over a client account's rate that is allowed: a fraction of the
    # rate, and a number of requests in addition, over all hosts.
    quotaOverage: str = "0.1"  # noqa: N815
    quotaMargin: str = "20"  # noqa: N815
    # Allowed rate of requests to a cold upstream (its cache is not filled yet):
    # a multiple of the rate that it can handle, and requests per second in
    # addition, over all hosts.
    coldOverage: str = "1.5"  # noqa: N815
    coldMargin: str = "5"  # noqa: N815


def load_settings(environ: Mapping[str, str]) -> host_settings.HostSettings:
    """Reads the settings file whose path is in the environment.

    Raises:
        codes.UserError: `BAD_SETTINGS`, with the field and its expected value.
    """
    path = environ.get(PATH_VARIABLE, "")
    if not path:
        raise _settings_error(
            f"{PATH_VARIABLE} is not set; it must be the settings file's path"
        )
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise _settings_error(f"{path}: {error}") from error
    try:
        return decode(document)
    except (msgspec.ValidationError, ValueError) as error:
        raise _settings_error(f"{path}: {error}") from error


def decode(document: dict[str, Any]) -> host_settings.HostSettings:
    """Converts a parsed settings file into the settings of the host.

    Raises:
        msgspec.ValidationError: A field is missing or has the wrong type.
        ValueError: A bound is not valid.
    """
    file = msgspec.convert(document, _File)
    if file.zones.get(file.zone) != file.region:
        raise ValueError(
            f"zone: {file.zone!r} should be a zone of {file.region!r} in zones"
        )
    first_port, last_port = file.internal_port_range
    peer_address = f"{file.ip}:{first_port}"
    return host_settings.HostSettings(
        host=file.node_name,
        incarnation=uuid.uuid4().hex[:12],
        zone=file.zone,
        region=file.region,
        region_by_zone=file.zones,
        front_address=file.listen.front,
        ready_address=file.listen.ready,
        directory_address=file.listen.directory,
        peer_address=peer_address,
        metrics_address=f"{file.ip}:{host_settings.METRICS_PORT}",
        store_address=file.platform.address,
        first_start=file.bootstrap,
        bounds=_decode_bounds(file.bounds),
        link_mbps=file.limits.link_mbps,
        forward_address=host_settings.forward_address(peer_address)
        if last_port > first_port
        else "",
    )


def _decode_bounds(texts: list[str]) -> host_settings.Bounds:
    """Decodes the entries of the field `bounds`, each `NAME=VALUE`."""
    value_by_name = dict(text.partition("=")[::2] for text in texts)
    used_values = {
        name: value_by_name[name]
        for name in _Bounds._fields
        if value_by_name.get(name)
    }
    bounds = _Bounds(**used_values)
    try:
        return host_settings.Bounds(
            key_revocation=units.parse_duration(bounds.revoke),
            grace=units.parse_duration(bounds.grace),
            max_look_up_ttl=units.parse_duration(bounds.ttl_max),
            retry_window=units.parse_duration(bounds.budgetWindow),
            retry_ratio=float(bounds.retryBudgetRatio),
            retry_margin=float(bounds.budgetMargin),
            rate_overage=float(bounds.quotaOverage),
            rate_margin=float(bounds.quotaMargin),
            cold_factor=float(bounds.coldOverage),
            cold_margin=float(bounds.coldMargin),
        )
    except ValueError as error:
        raise ValueError(f"bounds: {error}") from error


def _settings_error(message: str) -> codes.UserError:
    return codes.UserError(codes.Code.BAD_SETTINGS, message)
