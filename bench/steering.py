"""Measures memory and look-up time of steering tables of several sizes.

Usage: python -m bench.steering. A steering table maps blocks of client
addresses to sites. The blocks are spread over `FIRST_OCTET_COUNT` first octets,
with one shard for each. Memory is the growth of the resident set, including the
platform's objects.
"""

import gc
import ipaddress
import os
import random
import time

from bench import usage
from gooseberryweir.version import objects
from gooseberryweir.version import steering_table
from gooseberryweir.version import tables as tables_module

# Numbers of blocks in the tables that are measured.
BLOCK_COUNTS = (1_300, 13_000, 130_000)
SITE_COUNT = 2_400
REGION_COUNT = 48
FIRST_OCTET_COUNT = 220
LOOK_UP_COUNT = 100_000
SEED = 7


def random_shards(block_count: int) -> dict[int, list[steering_table.Block]]:
    """Returns blocks of random /24 prefixes, by first octet."""
    rng = random.Random(SEED)
    blocks_by_octet: dict[int, list[steering_table.Block]] = {}
    for number in sorted(
        rng.sample(range(1 << 16, (FIRST_OCTET_COUNT + 1) << 16), block_count)
    ):
        first_address = number << 8
        block = steering_table.Block(
            first_address, first_address + 255, rng.randrange(SITE_COUNT)
        )
        blocks_by_octet.setdefault(number >> 16, []).append(block)
    return blocks_by_octet


def measure(block_count: int) -> None:
    """Builds the tables for a number of blocks and prints the results."""
    blocks_by_octet = random_shards(block_count)
    store = objects.ObjectStore()
    tables = tables_module.Tables(store)
    gc.collect()
    resident_before_mb = usage.resident_mb(os.getpid())
    started_at = time.perf_counter()
    sites = {
        str(site): [f"site-{site}", f"region-{site % REGION_COUNT}"]
        for site in range(SITE_COUNT)
    }
    store.apply(objects.SITES, 1, {"sites": sites})
    largest_object_size = 0
    for octet, octet_blocks in blocks_by_octet.items():
        spec = steering_table.pack(steering_table.SteeringTable(octet_blocks))
        largest_object_size = max(largest_object_size, len(str(spec)))
        store.apply(f"{objects.BLOCKS_PREFIX}{octet}", 1, spec)
    build_seconds = time.perf_counter() - started_at
    gc.collect()
    resident_growth_mb = usage.resident_mb(os.getpid()) - resident_before_mb
    rng = random.Random(SEED)
    addresses = [
        str(ipaddress.IPv4Address(rng.randrange(1 << 24, 1 << 32)))
        for _ in range(LOOK_UP_COUNT)
    ]
    started_at = time.perf_counter()
    for address in addresses:
        steering_table.find_site(tables.block_shards, tables.sites, address)
    seconds_per_look_up = (time.perf_counter() - started_at) / LOOK_UP_COUNT
    array_bytes = sum(
        array.buffer_info()[1] * array.itemsize
        for shard in tables.block_shards.values()
        for array in (
            shard.first_addresses,
            shard.last_addresses,
            shard.site_numbers,
        )
    )
    print(
        f"blocks={block_count} shards={len(blocks_by_octet)}"
        f" arrays_mb={array_bytes / 1e6:.2f}"
        f" resident_mb={resident_growth_mb:.2f}"
        f" largest_object_bytes={largest_object_size}"
        f" build_s={build_seconds:.2f}"
        f" look_up_us={seconds_per_look_up * 1e6:.2f}",
        flush=True,
    )


def main() -> None:
    """Measures each size in a new process, so that memory does not add up."""
    for block_count in BLOCK_COUNTS:
        child = os.fork()
        if not child:
            measure(block_count)
            os._exit(0)
        os.waitpid(child, 0)


if __name__ == "__main__":
    main()
