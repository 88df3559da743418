"""Finds the site, and so the region, of a client's IPv4 address.

A table maps blocks of client addresses to sites. It is kept as three packed
arrays sorted by address and searched by bisection. The platform stores it in
shards, objects `steeringobjects/blocks.N`, where N is the first octet of all
addresses in the shard. Shards therefore never overlap, a change is sent as one
small object, and shards may arrive in any order. A shard holds rows of 10 bytes
in base64: the first and last address of a block and the number of its site,
big-endian. The object `steeringobjects/sites` holds the name and region of each
site.
"""

from array import array
import base64
import bisect
from collections.abc import Iterable
from collections.abc import Mapping
import ipaddress
import struct
from typing import NamedTuple

# One row of a shard: first address, last address, site number.
ROW = struct.Struct(">IIH")
MAX_SITE = (1 << 16) - 1
# Bits by which an address is shifted right to give its first octet.
SHARD_SHIFT = 24
MAX_OCTET = 255
# Greatest number of rows whose base64 fits into an object of one megabyte.
MAX_SHARD_ROWS = 50_000


class Block(NamedTuple):
    """A contiguous range of client addresses.

    Attributes:
        first: First IPv4 address as an integer.
        last: Last IPv4 address, inclusive, as an integer.
        site: Number of the site that serves these clients.
    """

    first: int
    last: int
    site: int


class Site(NamedTuple):
    """A site that serves clients.

    Attributes:
        name: Name of the site.
        region: Region that the site is in.
    """

    name: str
    region: str


class SteeringTable:
    """Blocks of client addresses, sorted by address and without overlap.

    Attributes:
        firsts: First address of each block.
        lasts: Last address of each block, inclusive.
        sites: Site number of each block.
    """

    def __init__(self, blocks: Iterable[Block] = ()) -> None:
        """Packs blocks into arrays.

        Args:
            blocks: The blocks, sorted by address.

        Raises:
            ValueError: Blocks overlap or are not sorted.
        """
        self.firsts = array("I")
        self.lasts = array("I")
        self.sites = array("H")
        for block in blocks:
            self._append(block)

    def _append(self, block: Block) -> None:
        """Appends a block, whose addresses must follow the last block's."""
        before = self.lasts[-1] if self.lasts else -1
        if not before < block.first <= block.last:
            raise ValueError("blocks overlap or are not sorted by address")
        self.firsts.append(block.first)
        self.lasts.append(block.last)
        self.sites.append(block.site)

    def __len__(self) -> int:
        return len(self.firsts)

    def find(self, address: int) -> int | None:
        """Returns the site number of an address, or None outside all blocks.

        Args:
            address: IPv4 address as an integer.
        """
        position = bisect.bisect_right(self.firsts, address) - 1
        if position < 0 or address > self.lasts[position]:
            return None
        return self.sites[position]

    def blocks(self) -> Iterable[Block]:
        """Returns all blocks, sorted by address."""
        return map(Block, self.firsts, self.lasts, self.sites)


def from_prefix(prefix: str, site: int) -> Block:
    """Returns the block for an IPv4 prefix such as `192.0.2.0/24`."""
    network = ipaddress.IPv4Network(prefix)
    last = int(network.broadcast_address)
    return Block(int(network.network_address), last, site)


def site_of(
    shards: Mapping[int, SteeringTable],
    sites: Mapping[int, Site],
    address: str,
) -> Site | None:
    """Returns the site that serves a client, or None if unknown.

    Args:
        shards: Shards by the first octet of their addresses.
        sites: Sites by number; None is returned if the number is absent.
        address: The client's IPv4 address in dotted-quad notation; None is
            returned for any other text.
    """
    try:
        number = int(ipaddress.IPv4Address(address))
    except ValueError:
        return None
    shard = shards.get(number >> SHARD_SHIFT)
    site = None if shard is None else shard.find(number)
    return None if site is None else sites.get(site)


def pack(shard: SteeringTable) -> dict[str, str]:
    """Returns the content of the platform object for a shard."""
    rows = b"".join(ROW.pack(*block) for block in shard.blocks())
    return {"rows": base64.b64encode(rows).decode()}


def unpack(octet: int, rows: str) -> SteeringTable:
    """Decodes a shard from the rows of its platform object.

    Args:
        octet: First octet of all addresses in the shard.
        rows: Packed rows in base64.

    Raises:
        ValueError: The rows are malformed, or a block is outside the octet.
    """
    data = base64.b64decode(rows, validate=True)
    if len(data) % ROW.size:
        raise ValueError("the last row is incomplete")
    if len(data) > MAX_SHARD_ROWS * ROW.size:
        raise ValueError(f"more than {MAX_SHARD_ROWS} rows")
    table = SteeringTable(map(Block._make, ROW.iter_unpack(data)))
    ends = {*table.firsts[:1], *table.lasts[-1:]}
    if any(number >> SHARD_SHIFT != octet for number in ends):
        raise ValueError(f"a block is outside {octet}.0.0.0/8")
    return table


def read_octet(text: str) -> int:
    """Parses the name of a shard, the first octet of its addresses.

    Raises:
        ValueError: The text is not a decimal number from 0 to 255 without
            leading zeros.
    """
    if not text.isascii() or not text.isdigit() or text != str(int(text)):
        raise ValueError("a shard is named by the first octet of its blocks")
    if int(text) > MAX_OCTET:
        raise ValueError(f"a shard's name is at most {MAX_OCTET}")
    return int(text)
