"""Measures the work of a home by the number of requesting hosts.

Usage: python -m bench.homes. The home of a rate limit or of a pool of slots is
the host that grants its tokens or slots to the hosts that request them. Runs in
one process, without peers. Prints the mean processor time and the bytes of one
request with its grant, and the processor time to find the homes of 200 pools,
which a host does five times a second.
"""

import time

from bench import scale
from bench import usage
from gooseberryweir import clock as clocks
from gooseberryweir.connection import messages
from gooseberryweir.process.shares import bucket_home
from gooseberryweir.process.shares import slot_capacity
from gooseberryweir.process.shares import slot_home
from gooseberryweir.process.shares import slot_limits
from gooseberryweir.version import tables as versions

REQUESTER_COUNTS = (9, 90, 900)
MEMBER_COUNTS = (9, 36, 144)
REQUESTS_PER_REQUESTER = 3
UPSTREAM_COUNT = 50
SLOTS_PER_UPSTREAM = 9


def capacities(clock: clocks.Clock) -> slot_capacity.Capacities:
    """Returns capacities for healthy upstreams that sent no load report."""
    entries = [
        versions.UpstreamEntry(
            f"upstream-{number}",
            "maps",
            "north",
            "a",
            "",
            SLOTS_PER_UPSTREAM,
            330,
            False,
        )
        for number in range(UPSTREAM_COUNT)
    ]
    sources = slot_capacity.UpstreamSources(
        lambda _: entries,
        frozenset,
        lambda _: True,
        lambda _: None,
    )
    result = slot_capacity.Capacities(clock, sources)
    result.update_ramps("maps")
    return result


def measure_token_requests(requesters: int) -> tuple[float, int]:
    """Returns milliseconds and bytes of a request for tokens and its grant."""
    home = bucket_home.BucketHome(bucket_home.Limits(1e5, 100_000), 0.0)
    size = 0
    now = 1.0
    started_at = time.process_time()
    for sequence in range(1, REQUESTS_PER_REQUESTER + 1):
        for number in range(requesters):
            now += 0.001
            request = messages.Draw(
                "account/valle", f"north-{number}", 1, 7, 3, {}, sequence
            )
            grant = home.handle(request, now)
            size = len(messages.encode(request, 9)) + len(
                messages.encode(grant, 9)
            )
    cpu_seconds = time.process_time() - started_at
    return 1000 * cpu_seconds / REQUESTS_PER_REQUESTER / requesters, size


def measure_slot_requests(requesters: int) -> tuple[float, int]:
    """Returns milliseconds and bytes of a request for slots and its grant."""
    classes = {"live": slot_limits.WorkClass(1, 0.1)}
    clock = clocks.ManualClock()
    pool = slot_home.Pool(
        "maps",
        "north",
        capacities(clock.interface()),
        lambda: classes,
        lambda: tuple((f"north-{number}", 1) for number in range(requesters)),
    )
    home = slot_home.SlotHome(pool, clock.now)
    size = 0
    held: dict[str, dict[str, int]] = {}
    started_at = time.process_time()
    for sequence in range(1, REQUESTS_PER_REQUESTER + 1):
        for number in range(requesters):
            clock.advance(0.0005)
            name = f"north-{number}"
            own_slots = held.get(name, {})
            request = messages.DrawSlots(
                "slots/maps/north",
                name,
                1,
                7,
                {"live": 1},
                own_slots,
                {},
                (),
                sequence,
            )
            grant = home.handle(request, clock.now)
            held[name] = grant.slots
            size = len(messages.encode(request, 9)) + len(
                messages.encode(grant, 9)
            )
    cpu_seconds = time.process_time() - started_at
    return 1000 * cpu_seconds / REQUESTS_PER_REQUESTER / requesters, size


def measure_find_homes_ms(members: int) -> tuple[float, float]:
    """Finds the homes of 200 pools twice; the second time they are cached.

    Returns:
        Processor time of the first and of the second time, milliseconds.
    """
    host = scale.Host(members, max(1, members // 3), 1)
    pools = [f"slots/maps/region-{number}" for number in range(200)]

    def find_all_homes_ms() -> float:
        started_at = time.process_time()
        for pool in pools:
            host.membership.home_of(pool)
        return 1000 * (time.process_time() - started_at)

    return find_all_homes_ms(), find_all_homes_ms()


def main() -> None:
    """Prints all rows, and linear fits by the number of requesting hosts."""
    for name, measure in (
        ("tokens", measure_token_requests),
        ("slots", measure_slot_requests),
    ):
        rows = [measure(requesters) for requesters in REQUESTER_COUNTS]
        for requesters, (ms, size) in zip(REQUESTER_COUNTS, rows, strict=True):
            print(f"draw={name} drawers={requesters} ms={ms:.3f} bytes={size}")
        slope, base = usage.fit(
            [float(size) for size in REQUESTER_COUNTS], [row[0] for row in rows]
        )
        print(f"fit {name} ms = {base:.4f} + {slope:.5f} * drawers")
    for members in MEMBER_COUNTS:
        first, again = measure_find_homes_ms(members)
        print(f"homes=200 members={members} ms={first:.3f} again={again:.3f}")


if __name__ == "__main__":
    main()
