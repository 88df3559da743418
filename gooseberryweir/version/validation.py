"""Reads YAML documents and describes the errors that validation finds in them.

It also checks names and addresses, which documents of several kinds contain.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import difflib
import ipaddress
import re
import reprlib
from typing import Annotated
from typing import Any
from typing import NamedTuple

import pydantic
import yaml

MAX_FILE_BYTES = 1024 * 1024
MAX_PORT = 65535
# Longest value shown in a message.
_MAX_SHOWN_CHARACTERS = 60
# Keys that are shown without quotes in the path of an invalid value.
_UNQUOTED_KEY = re.compile(r"[\w.-]{1,60}")
_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
_REPR = reprlib.Repr()
_REPR.maxlevel = 3
_REPR.maxstring = _MAX_SHOWN_CHARACTERS
# Fields that a declaration must not contain, since the system itself chooses
# the upstreams and their shares.
_SYSTEM_CHOSEN_FIELDS = frozenset(
    {
        "weight",
        "weights",
        "address",
        "addresses",
        "upstream",
        "upstreams",
        "endpoint",
        "endpoints",
        "share",
        "shares",
    }
)
_SYSTEM_CHOSEN_MESSAGE = (
    "not for a declaration: the system chooses the upstreams and their shares"
    " by itself; remove it"
)
_MERGE_TAG = "tag:yaml.org,2002:merge"
# Messages that replace those of pydantic, by pydantic's type of the error.
_MESSAGES_BY_ERROR_TYPE = {
    "bool_type": "should be true or false",
    "dict_type": "should be a mapping of names to values",
    "float_type": "should be a number",
    "int_type": "should be a whole number",
    "invalid_key": "should have a name that is text",
    "string_type": "should be text",
    "too_short": "should not be empty",
    "tuple_type": "should be a list",
}
# Pydantic's error types for absent fields and for fields that don't exist.
_MISSING_FIELD_ERRORS = frozenset({"missing", "missing_argument"})
_UNKNOWN_FIELD_ERRORS = frozenset(
    {"unexpected_keyword_argument", "extra_forbidden"}
)


class FieldError(NamedTuple):
    """Description of an invalid or missing value in a document.

    Attributes:
        path: Path of the value in the document, such as `routes[2].service`.
        value: The invalid value, shortened; empty if there is none.
        allowed: Description of the allowed values.
    """

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        fields = [self.path, self.value, self.allowed]
        return ": ".join(field for field in fields if field)


class Address(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int


class ReadError(Exception):
    """Raised if a file can't be read as one YAML document."""


def shorten(value: Any) -> str:
    """Formats a value for a message, truncated to a fixed length."""
    try:
        text = _REPR.repr(value)
    except ValueError:  # An integer with more digits than Python can print.
        return "a very large integer"
    if len(text) <= _MAX_SHOWN_CHARACTERS:
        return text
    return text[:_MAX_SHOWN_CHARACTERS] + "…"


def format_path(location: Sequence[str | int]) -> str:
    """Formats a path in a document, such as `routes[2].service`.

    Args:
        location: Keys and list indexes from the top of the document.
    """
    text = ""
    for step in location:
        if isinstance(step, int):
            text += f"[{step}]"
        else:
            name = step if _UNQUOTED_KEY.fullmatch(step) else shorten(step)
            text += f".{name}" if text else name
    return text


def describe_unknown_name(name: object, known: Iterable[str]) -> str:
    """Returns a message about an unknown name.

    The message suggests the known name that is most similar; if none is
    similar, it lists all known names.
    """
    names = sorted(known)
    similar = difflib.get_close_matches(str(name), names, n=1)
    if similar:
        return f"unknown; did you mean {similar[0]!r}?"
    return f"unknown; known are: {', '.join(names) or 'none'}"


def parse_address(text: str) -> Address:
    """Parses `IP:PORT`, or `[IP]:PORT` for IPv6; host names are not accepted.

    Raises:
        ValueError: The text is not an IP address with a port.
    """
    ip, colon, port = text.rpartition(":")
    digits = port.isascii() and port.isdigit() and len(port) <= 5
    if not colon or not digits or int(port) > MAX_PORT:
        raise ValueError(f"should be IP:PORT with a port up to {MAX_PORT}")
    bracketed = ip.startswith("[") and ip.endswith("]")
    plain_ip = ip[1:-1] if bracketed else ip
    ip_type = ipaddress.IPv6Address if bracketed else ipaddress.IPv4Address
    try:
        ip_type(plain_ip)
    except ValueError as error:
        raise ValueError(
            "should be IP:PORT; names are not looked up"
        ) from error
    if "%" in plain_ip:
        raise ValueError("should be IP:PORT without a scope")
    return Address(plain_ip, int(port))


def check_name(text: str) -> str:
    """Returns the text if it is a valid name, such as of a host or a region.

    Raises:
        ValueError: The text is not a valid name.
    """
    if not _NAME.fullmatch(text):
        raise ValueError(
            "should be up to 63 characters of a-z, 0-9, dot and hyphen, and"
            " begin with a letter or digit"
        )
    return text


def check_listen_address(text: str) -> str:
    """Returns the text if it is `IP:PORT`; port 0 means any free port.

    Raises:
        ValueError: The text is not an IP address with a port.
    """
    parse_address(text)
    return text


def check_connect_address(text: str) -> str:
    """Returns the text if it is `IP:PORT` with a port above 0.

    Raises:
        ValueError: The text is not an IP address with a port above 0.
    """
    if parse_address(text).port == 0:
        raise ValueError("should have a port above 0")
    return text


def check_mapping(value: Any) -> Any:
    """Returns the value if it is a mapping.

    Raises:
        ValueError: The value is not a mapping.
    """
    if not isinstance(value, Mapping):
        raise ValueError("should be a mapping of field names to values")
    return value


def check_number(value: Any) -> Any:
    """Returns the value unless it is a bool, which doesn't count as a number.

    Raises:
        ValueError: The value is a bool.
    """
    if isinstance(value, bool):
        raise ValueError("should be a number")
    return value


ListenAddress = Annotated[str, pydantic.AfterValidator(check_listen_address)]
ConnectAddress = Annotated[str, pydantic.AfterValidator(check_connect_address)]
FromMapping = pydantic.BeforeValidator(check_mapping)


class _Loader(yaml.SafeLoader):
    """Loads plain YAML; duplicate keys, merge keys and aliases are errors."""

    def compose_node(self, parent: Any, index: Any) -> Any:
        if self.check_event(yaml.AliasEvent):
            raise yaml.constructor.ConstructorError(
                None,
                None,
                "aliases are not allowed",
                self.peek_event().start_mark,
            )
        return super().compose_node(parent, index)

    def construct_mapping(self, node: Any, deep: bool = False) -> Any:
        seen_keys = set()
        for key_node, _ in node.value:
            key = (key_node.tag, str(key_node.value))
            if key in seen_keys or key_node.tag == _MERGE_TAG:
                problem = (
                    "is given twice" if key in seen_keys else "is not allowed"
                )
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key[1]!r} {problem}", key_node.start_mark
                )
            seen_keys.add(key)
        return super().construct_mapping(node, deep)


def read_document(path: str) -> Any:
    """Reads one YAML document from a file.

    Raises:
        ReadError: The file can't be read, is too large, is not UTF-8 or not
            valid YAML, or contains a duplicate key, a merge key or an alias.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ReadError(f"can't be read: {error.strerror}") from error
    if len(data) > MAX_FILE_BYTES:
        raise ReadError(f"is larger than {MAX_FILE_BYTES} bytes")
    return parse_yaml(data)


def parse_yaml(data: bytes) -> Any:
    """Parses one YAML document from UTF-8 bytes.

    Raises:
        ReadError: The bytes are not UTF-8 or not valid YAML, or contain a
            duplicate key, a merge key or an alias.
    """
    try:
        return yaml.load(data.decode("utf-8-sig"), _Loader)
    except UnicodeDecodeError as error:
        raise ReadError(f"is not UTF-8 at byte {error.start}") from error
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        position = f"line {mark.line + 1}: " if mark else ""
        raise ReadError(f"{position}{error.problem}") from error
    except (yaml.YAMLError, ValueError) as error:
        first_line = str(error).splitlines()[0]
        raise ReadError(f"is not valid YAML: {first_line}") from error
    except RecursionError as error:
        raise ReadError("is nested too deeply") from error


def field_errors_from(
    error: pydantic.ValidationError,
    known_fields: Mapping[str, Iterable[str]],
) -> tuple[FieldError, ...]:
    """Converts an exception of pydantic into one error per invalid value.

    Args:
        error: The exception.
        known_fields: Known field names by the top-level field that holds them;
            names of top-level fields are under the empty string.
    """
    return tuple(
        _field_error_from(details, known_fields) for details in error.errors()
    )


def _field_error_from(
    details: Any, known_fields: Mapping[str, Iterable[str]]
) -> FieldError:
    location = [step for step in details["loc"] if step != "[key]"]
    path = format_path(location)
    if details["type"] in _MISSING_FIELD_ERRORS:
        return FieldError(path, "", "is required")
    if details["type"] in _UNKNOWN_FIELD_ERRORS:
        name = str(location[-1])
        if name in _SYSTEM_CHOSEN_FIELDS:
            return FieldError(
                path, shorten(details["input"]), _SYSTEM_CHOSEN_MESSAGE
            )
        section = str(location[0]) if len(location) > 1 else ""
        return FieldError(
            path, "", describe_unknown_name(name, known_fields.get(section, ()))
        )
    message = details["msg"].removeprefix("Value error, ")
    allowed = _MESSAGES_BY_ERROR_TYPE.get(
        details["type"], message.replace("Input should", "should", 1)
    )
    return FieldError(path, shorten(details["input"]), allowed)
