"""Steering table: finds the site that serves a client from its address.

A table maps blocks of addresses to sites. It consists of three packed arrays
sorted by address; a look-up is a bisection. The platform stores the blocks in
shards, as objects `steeringobjects/blocks.N`, where N is the first octet of all
addresses in the shard. Shards therefore never overlap, a change is sent as one
small object, and the order in which shards arrive has no effect. A shard holds
rows of 10 bytes in base64: the first and last IPv4 address of a block and its
site number, big-endian. The object `steeringobjects/sites` holds the name and
region of each site.
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
ROW_FORMAT = struct.Struct(">IIH")
MAX_SITE_NUMBER = (1 << 16) - 1
# Bits by which an address is shifted right to give its first octet.
FIRST_OCTET_SHIFT_BITS = 24
MAX_OCTET = 255
# Largest number of rows in a shard; the base64 of so many fits into an object
# of one megabyte.
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
    """A site that serves clients; its region is taken as that of the clients.

    Attributes:
        name: Name of the site.
        region: Region that the site is in.
    """

    name: str
    region: str


class SteeringTable:
    """Blocks of client addresses, sorted by address and without overlap.

    Attributes:
        first_addresses: First address of each block.
        last_addresses: Last address of each block, inclusive.
        site_numbers: Site number of each block.
    """

    def __init__(self, blocks: Iterable[Block] = ()) -> None:
        """Packs blocks into arrays.

        Args:
            blocks: The blocks, sorted by address.

        Raises:
            ValueError: Blocks overlap or are not sorted.
        """
        self.first_addresses = array("I")
        self.last_addresses = array("I")
        self.site_numbers = array("H")
        for block in blocks:
            self._append(block)

    def _append(self, block: Block) -> None:
        """Appends a block, which must begin after the end of the last one."""
        previous_last = self.last_addresses[-1] if self.last_addresses else -1
        if not previous_last < block.first <= block.last:
            raise ValueError("blocks overlap or are not sorted by address")
        self.first_addresses.append(block.first)
        self.last_addresses.append(block.last)
        self.site_numbers.append(block.site)

    def __len__(self) -> int:
        return len(self.first_addresses)

    def find(self, address: int) -> int | None:
        """Returns the site number of an address, or None if no block has it.

        Args:
            address: IPv4 address as an integer.
        """
        position = bisect.bisect_right(self.first_addresses, address) - 1
        if position < 0 or address > self.last_addresses[position]:
            return None
        return self.site_numbers[position]

    def blocks(self) -> Iterable[Block]:
        """Returns all blocks, sorted by address."""
        return map(
            Block, self.first_addresses, self.last_addresses, self.site_numbers
        )


def block_from_prefix(prefix: str, site: int) -> Block:
    """Returns the block for an IPv4 prefix such as `192.0.2.0/24`."""
    network = ipaddress.IPv4Network(prefix)
    last = int(network.broadcast_address)
    return Block(int(network.network_address), last, site)


def find_site(
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
    shard = shards.get(number >> FIRST_OCTET_SHIFT_BITS)
    site_number = None if shard is None else shard.find(number)
    return None if site_number is None else sites.get(site_number)


def pack(shard: SteeringTable) -> dict[str, str]:
    """Returns the content of the platform object for a shard."""
    rows = b"".join(ROW_FORMAT.pack(*block) for block in shard.blocks())
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
    if len(data) % ROW_FORMAT.size:
        raise ValueError("the last row is incomplete")
    if len(data) > MAX_SHARD_ROWS * ROW_FORMAT.size:
        raise ValueError(f"more than {MAX_SHARD_ROWS} rows")
    table = SteeringTable(map(Block._make, ROW_FORMAT.iter_unpack(data)))
    outermost = {*table.first_addresses[:1], *table.last_addresses[-1:]}
    if any(address >> FIRST_OCTET_SHIFT_BITS != octet for address in outermost):
        raise ValueError(f"a block is outside {octet}.0.0.0/8")
    return table


def parse_shard_name(text: str) -> int:
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
