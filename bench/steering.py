"""Memory and look-up time of the steering table against its blocks.

Usage: python -m bench.steering. Addresses are spread over all octets; the
memory is the growth of the resident set with one shard for each octet, the
objects of the platform included.
"""

import gc
import ipaddress
import os
import random
import time

from bench import usage
from gooseberryweir.version import objects
from gooseberryweir.version import steering_table
from gooseberryweir.version import tables as versions

SIZES = (1_300, 13_000, 130_000)
SITES = 2_400
REGIONS = 48
OCTETS = 220
LOOK_UPS = 100_000
SEED = 7


def shards(blocks: int) -> dict[int, list[steering_table.Block]]:
    """Returns blocks of /24 prefixes by octet, at random places."""
    rng = random.Random(SEED)
    made: dict[int, list[steering_table.Block]] = {}
    for number in sorted(
        rng.sample(range(1 << 16, (OCTETS + 1) << 16), blocks)
    ):
        first = number << 8
        block = steering_table.Block(first, first + 255, rng.randrange(SITES))
        made.setdefault(number >> 16, []).append(block)
    return made


def measure(blocks: int) -> None:
    """Builds tables of one size and prints its row."""
    made = shards(blocks)
    store = objects.ObjectStore()
    tables = versions.Tables(store)
    gc.collect()
    before = usage.resident_mb(os.getpid())
    began = time.perf_counter()
    sites = {
        str(site): [f"site-{site}", f"region-{site % REGIONS}"]
        for site in range(SITES)
    }
    store.apply(objects.SITES, 1, {"sites": sites})
    largest = 0
    for octet, listed in made.items():
        spec = steering_table.pack(steering_table.SteeringTable(listed))
        largest = max(largest, len(str(spec)))
        store.apply(f"{objects.BLOCKS_PREFIX}{octet}", 1, spec)
    built = time.perf_counter() - began
    gc.collect()
    grown = usage.resident_mb(os.getpid()) - before
    rng = random.Random(SEED)
    addresses = [
        str(ipaddress.IPv4Address(rng.randrange(1 << 24, 1 << 32)))
        for _ in range(LOOK_UPS)
    ]
    began = time.perf_counter()
    for address in addresses:
        steering_table.site_of(tables.blocks, tables.sites, address)
    each = (time.perf_counter() - began) / LOOK_UPS
    packed = sum(
        part.buffer_info()[1] * part.itemsize
        for shard in tables.blocks.values()
        for part in (shard.firsts, shard.lasts, shard.sites)
    )
    print(
        f"blocks={blocks} shards={len(made)} arrays_mb={packed / 1e6:.2f}"
        f" resident_mb={grown:.2f} largest_object_bytes={largest}"
        f" build_s={built:.2f} look_up_us={each * 1e6:.2f}",
        flush=True,
    )


def main() -> None:
    """Measures each size in a process of its own, so that none adds up."""
    for blocks in SIZES:
        child = os.fork()
        if not child:
            measure(blocks)
            os._exit(0)
        os.waitpid(child, 0)


if __name__ == "__main__":
    main()
