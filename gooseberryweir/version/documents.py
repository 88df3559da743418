"""Types that validate the content of the platform's objects.

The platform may add fields of its own; those are ignored.
"""

from typing import Annotated
from typing import Literal

import pydantic
from typing_extensions import TypedDict

from gooseberryweir.version import steering_table
from gooseberryweir.version import validation

DIGEST_PATTERN = r"^[0-9a-f]{64}$"

_NonEmptyText = Annotated[str, pydantic.Field(min_length=1)]
_Flag = Annotated[bool, pydantic.Field(strict=True)]
_Digest = Annotated[str, pydantic.Field(pattern=DIGEST_PATTERN)]
_DrainName = Annotated[str, pydantic.Field(pattern=r"^(region|upstream)/.+$")]
_Name = Annotated[str, pydantic.AfterValidator(validation.check_name)]
_SiteNumber = Annotated[
    int, pydantic.Field(ge=0, le=steering_table.MAX_SITE_NUMBER)
]


class HostDocument(TypedDict):
    """A host in the platform's list; for the fields see `tables.HostEntry`."""

    name: _NonEmptyText
    region: _NonEmptyText
    zone: _NonEmptyText
    caller: validation.ConnectAddress
    peer: validation.ConnectAddress
    operator: validation.ConnectAddress
    leaving: _Flag


class UpstreamDocument(TypedDict):
    """An upstream in the platform's list for one service.

    For the fields see `tables.UpstreamEntry`.
    """

    name: _NonEmptyText
    region: _NonEmptyText
    zone: _NonEmptyText
    address: validation.ConnectAddress
    slots: Annotated[int, pydantic.Field(ge=0, strict=True)]
    connections: Annotated[int, pydantic.Field(ge=1, strict=True)]
    leaving: _Flag


class HostsDocument(TypedDict):
    """The list of all hosts."""

    endpoints: list[HostDocument]


class UpstreamsDocument(TypedDict):
    """The list of upstreams of one service."""

    endpoints: list[UpstreamDocument]


class KeysDocument(TypedDict):
    """State of each key of a client account, by SHA-256 digest of the key.

    Requests with a withdrawn key are refused.
    """

    digests: dict[_Digest, Literal["issued", "withdrawn"]]


class DrainsDocument(TypedDict):
    """Drained regions and upstreams, which get no new requests.

    Keys are `region/NAME` or `upstream/NAME`; an entry with the value false is
    not drained.
    """

    drains: dict[_DrainName, _Flag]


class BlocksDocument(TypedDict):
    """One shard of client address blocks in base64; see `steering_table`."""

    rows: str


class SitesDocument(TypedDict):
    """Name and region of each site, by site number."""

    sites: dict[_SiteNumber, tuple[_Name, _Name]]
