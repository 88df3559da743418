"""Client address blocks and the site that serves each, for look-ups.

A table is three packed arrays sorted by address; a look-up is a bisection.
The blocks come in shards, platform objects `steeringobjects/blocks.N`, where N
is the first octet of all addresses in the shard. So shards never overlap, a
change travels as one small object, and the order of arrival doesn't matter. A
shard holds rows of 10 bytes in base64: first and last IPv4 address and the
number of its site, big-endian. `steeringobjects/sites` names the sites once.
"""

from array import array
import base64
import bisect
from collections.abc import Iterable
from collections.abc import Mapping
import ipaddress
import struct
from typing import NamedTuple

ROW = struct.Struct(">IIH")
MAX_SITE = (1 << 16) - 1
SHARD_SHIFT = 24
MAX_OCTET = 255
# Rows whose base64 fits an object of one megabyte.
MAX_SHARD_ROWS = 50_000


class Block(NamedTuple):
    """A range of client addresses.

    Attributes:
        first: Its first IPv4 address as a number.
        last: Its last address.
        site: Number of the site.
    """

    first: int
    last: int
    site: int


class Site(NamedTuple):
    """Where clients are served.

    Attributes:
        name: Name of the site.
        region: Its region.
    """

    name: str
    region: str


class SteeringTable:
    """Blocks that do not overlap, in order of address.

    Attributes:
        firsts: First address of each block.
        lasts: Last address of each block.
        sites: Number of the site of each block.
    """

    def __init__(self, blocks: Iterable[Block] = ()) -> None:
        """Packs blocks that come in order of address.

        Raises:
            ValueError: Blocks overlap or are out of order.
        """
        self.firsts = array("I")
        self.lasts = array("I")
        self.sites = array("H")
        for block in blocks:
            self._append(block)

    def _append(self, block: Block) -> None:
        """Adds a block after all others."""
        before = self.lasts[-1] if self.lasts else -1
        if not before < block.first <= block.last:
            raise ValueError("blocks overlap or are out of order")
        self.firsts.append(block.first)
        self.lasts.append(block.last)
        self.sites.append(block.site)

    def __len__(self) -> int:
        return len(self.firsts)

    def find(self, address: int) -> int | None:
        """Returns the number of the site of an IPv4 address, if any."""
        position = bisect.bisect_right(self.firsts, address) - 1
        if position < 0 or address > self.lasts[position]:
            return None
        return self.sites[position]

    def blocks(self) -> Iterable[Block]:
        """Returns all blocks, in order of address."""
        return map(Block, self.firsts, self.lasts, self.sites)


def from_prefix(prefix: str, site: int) -> Block:
    """Returns the block of an IPv4 prefix such as `192.0.2.0/24`."""
    network = ipaddress.IPv4Network(prefix)
    last = int(network.broadcast_address)
    return Block(int(network.network_address), last, site)


def site_of(
    shards: Mapping[int, SteeringTable],
    sites: Mapping[int, Site],
    address: str,
) -> Site | None:
    """Returns the site of a client's IPv4 address; None if none is known.

    Args:
        shards: The shards by the first octet of their addresses.
        sites: The sites by number; one that is missing counts as unknown.
        address: Dotted quad; anything else has no site.
    """
    try:
        number = int(ipaddress.IPv4Address(address))
    except ValueError:
        return None
    shard = shards.get(number >> SHARD_SHIFT)
    site = None if shard is None else shard.find(number)
    return None if site is None else sites.get(site)


def pack(shard: SteeringTable) -> dict[str, str]:
    """Returns the content of the platform object that holds a shard."""
    rows = b"".join(ROW.pack(*block) for block in shard.blocks())
    return {"rows": base64.b64encode(rows).decode()}


def unpack(octet: int, rows: str) -> SteeringTable:
    """Reads a shard from the rows of its platform object.

    Args:
        octet: First octet of all addresses of the shard.
        rows: The packed blocks in base64.

    Raises:
        ValueError: The rows are malformed.
    """
    data = base64.b64decode(rows, validate=True)
    if len(data) % ROW.size:
        raise ValueError("rows end in the middle of one")
    if len(data) > MAX_SHARD_ROWS * ROW.size:
        raise ValueError(f"more than {MAX_SHARD_ROWS} rows")
    table = SteeringTable(map(Block._make, ROW.iter_unpack(data)))
    ends = {*table.firsts[:1], *table.lasts[-1:]}
    if any(number >> SHARD_SHIFT != octet for number in ends):
        raise ValueError(f"a block lies outside of {octet}.0.0.0/8")
    return table


def read_octet(text: str) -> int:
    """Returns the first octet that names a shard.

    Raises:
        ValueError: It is not a number from 0 to 255 in its shortest form.
    """
    if not text.isascii() or not text.isdigit() or text != str(int(text)):
        raise ValueError("a shard is named by the first octet of its blocks")
    if int(text) > MAX_OCTET:
        raise ValueError(f"a shard's name is at most {MAX_OCTET}")
    return int(text)
