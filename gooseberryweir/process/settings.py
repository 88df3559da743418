"""Settings of `serve`, from defaults, a file, the environment and flags."""

from collections.abc import Mapping
from importlib import resources
import re
from typing import Annotated
from typing import Any
from typing import Literal
from typing import NamedTuple

import pydantic

from gooseberryweir import codes
from gooseberryweir.version import validation

DEFAULTS_FILE = "settings_default.yaml"
ENVIRONMENT_PREFIX = "GOOSEBERRYWEIR_"
# Names, after the prefix, of variables that are no settings of a host: the
# command line reads them itself.
COMMAND_VARIABLES = frozenset({"SETTINGS", "OPERATOR_TOKEN"})
# Upper limits of the settings with these names.
MAX_OPEN_REQUESTS = 100_000
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_HEADER_BYTES = 1024 * 1024
MAX_LOOK_UP_SECONDS = 3600.0
MAX_DRAIN_SECONDS = 86400.0
_SECRET_SETTINGS = frozenset({"operator_token_digest"})
_DIGEST_PATTERN = re.compile(r"(?:[0-9a-f]{64})?")


def _check_name(text: str) -> str:
    if not text:
        raise ValueError("is required")
    return validation.check_name(text)


def _check_platform_url(text: str) -> str:
    if not text:
        raise ValueError("is required")
    scheme, _, address = text.partition("://")
    if scheme != "http":
        raise ValueError("should be http://IP:PORT")
    validation.check_connect_address(address)
    return text


def _check_statsd_address(text: str) -> str:
    return validation.check_connect_address(text) if text else text


def _check_digest(text: str) -> str:
    if not _DIGEST_PATTERN.fullmatch(text):
        raise ValueError("should be 64 lower-case hexadecimal digits, or empty")
    return text


_Number = pydantic.BeforeValidator(validation.check_number)
_Name = Annotated[str, pydantic.AfterValidator(_check_name)]


class Settings(NamedTuple):
    """The settings of one process.

    Attributes:
        host: Name of this host.
        region: Region of this host.
        zone: Availability zone of this host.
        caller: Address to listen on for callers, `IP:PORT`.
        peer: Address to listen on for peers, `IP:PORT`.
        operator: Address to listen on for operators, `IP:PORT`.
        platform: URL of the platform's object API.
        peers: Addresses of the peers that are contacted while this host has no
            neighbours, `IP:PORT`.
        statsd: Address of the statsd server; no metrics are sent if empty.
        operator_token_digest: SHA-256 of the operator token in hexadecimal; if
            empty, all requests of operators are refused.
        log_level: debug, info, warning or error.
        max_open_requests: Largest number of open requests of callers.
        max_body_bytes: Largest request body in bytes.
        max_header_bytes: Largest request head in bytes.
        look_up_seconds: Time for which a caller may use the answer to a look-up
            of hosts, in seconds.
        drain_seconds: Longest wait for open requests at shutdown, in seconds.
    """

    host: _Name
    region: _Name
    zone: _Name
    caller: validation.ListenAddress
    peer: validation.ListenAddress
    operator: validation.ListenAddress
    platform: Annotated[str, pydantic.AfterValidator(_check_platform_url)]
    peers: tuple[validation.ConnectAddress, ...]
    statsd: Annotated[str, pydantic.AfterValidator(_check_statsd_address)]
    operator_token_digest: Annotated[
        str, pydantic.AfterValidator(_check_digest)
    ]
    log_level: Literal["debug", "info", "warning", "error"]
    max_open_requests: Annotated[
        int, pydantic.Field(ge=1, le=MAX_OPEN_REQUESTS), _Number
    ]
    max_body_bytes: Annotated[
        int, pydantic.Field(ge=0, le=MAX_BODY_BYTES), _Number
    ]
    max_header_bytes: Annotated[
        int, pydantic.Field(ge=1024, le=MAX_HEADER_BYTES), _Number
    ]
    look_up_seconds: Annotated[
        float, pydantic.Field(gt=0, le=MAX_LOOK_UP_SECONDS), _Number
    ]
    drain_seconds: Annotated[
        float, pydantic.Field(ge=0, le=MAX_DRAIN_SECONDS), _Number
    ]


_ADAPTER = pydantic.TypeAdapter(Settings)


class _Layer(NamedTuple):
    """The settings of one source.

    Attributes:
        label: Name of the source: defaults, environment, flags or a path.
        values: Values by name of the setting.
    """

    label: str
    values: Mapping[str, Any]

    def location(self, name: str) -> str:
        """Returns the source and name of a setting, for error messages."""
        if self.label == "environment":
            return f"environment: {ENVIRONMENT_PREFIX}{name.upper()}"
        if self.label == "flags":
            return f"flags: --{name.replace('_', '-')}"
        return f"{self.label}: {name}"


def load_settings(
    path: str | None, environ: Mapping[str, str], flags: Mapping[str, Any]
) -> Settings:
    """Merges the settings of all sources and validates the result.

    The environment overrides the file, and flags override both.

    Args:
        path: Path of the settings file, or None.
        environ: Environment variables.
        flags: Command-line flags by name of the setting; None if not given.

    Raises:
        codes.UserError: BAD_SETTINGS, with a line for each error.
    """
    error_lines: list[str] = []
    layers = [_defaults_layer()]
    if path is not None:
        layers.append(_file_layer(path, error_lines))
    layers.append(_environment_layer(environ))
    set_flags = {
        name: value for name, value in flags.items() if value is not None
    }
    layers.append(_Layer("flags", set_flags))
    values: dict[str, Any] = {}
    locations: dict[str, str] = {}
    for layer in layers:
        for name, value in layer.values.items():
            if name not in Settings._fields:
                hint = validation.describe_unknown_name(name, Settings._fields)
                error_lines.append(f"{layer.location(str(name))}: {hint}")
                continue
            values[name] = value
            locations[name] = layer.location(name)
    settings = _validate(values, locations, error_lines)
    if settings is None or error_lines:
        raise codes.UserError(codes.Code.BAD_SETTINGS, "\n".join(error_lines))
    return settings


def _defaults_layer() -> _Layer:
    file = resources.files("gooseberryweir").joinpath(DEFAULTS_FILE)
    return _Layer("defaults", validation.parse_yaml(file.read_bytes()))


def _file_layer(path: str, error_lines: list[str]) -> _Layer:
    """Reads a settings file and appends its errors to `error_lines`."""
    try:
        document = validation.read_document(path)
    except validation.ReadError as error:
        error_lines.append(f"{path}: {error}")
        document = {}
    if not isinstance(document, Mapping):
        error_lines.append(f"{path}: should be a mapping of settings to values")
        document = {}
    return _Layer(path, document)


def _environment_layer(environ: Mapping[str, str]) -> _Layer:
    values: dict[str, Any] = {}
    for variable_name, text in environ.items():
        name = variable_name.removeprefix(ENVIRONMENT_PREFIX)
        if name == variable_name or name in COMMAND_VARIABLES:
            continue
        setting = name.lower()
        values[setting] = _split_list(text) if setting == "peers" else text
    return _Layer("environment", values)


def _split_list(text: str) -> list[str]:
    return [item.strip() for item in text.split(",") if item.strip()]


def _validate(
    values: Mapping[str, Any],
    locations: Mapping[str, str],
    error_lines: list[str],
) -> Settings | None:
    """Validates the merged settings and appends the errors to `error_lines`."""
    try:
        return _ADAPTER.validate_python(dict(values))
    except pydantic.ValidationError as error:
        for field_error in validation.field_errors_from(error, {}):
            name = re.split(r"[.\[]", field_error.path)[0]
            shown_value = "" if name in _SECRET_SETTINGS else field_error.value
            path = locations[name] + field_error.path.removeprefix(name)
            error_lines.append(
                str(
                    validation.FieldError(
                        path, shown_value, field_error.allowed
                    )
                )
            )
    return None
