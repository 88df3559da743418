"""Cost of a home of tokens or slots against the hosts that draw from it.

Usage: python -m bench.homes. In one process, without peers: mean processor
time and bytes of one draw with its grant, and what holding the duties of many
pools costs a host five times a second.
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

DRAWERS = (9, 90, 900)
MEMBERS = (9, 36, 144)
ROUNDS = 3
UPSTREAMS = 50
SLOTS = 9


def capacities(clock: clocks.Clock) -> slot_capacity.Capacities:
    """Returns knowledge of upstreams that carry no other load."""
    entries = [
        versions.UpstreamEntry(
            f"upstream-{number}", "maps", "north", "a", "", SLOTS, 330, False
        )
        for number in range(UPSTREAMS)
    ]
    sources = slot_capacity.UpstreamSources(
        lambda _: entries,
        frozenset,
        lambda _: True,
        lambda _: None,
    )
    found = slot_capacity.Capacities(clock, sources)
    found.update_ramps("maps")
    return found


def token_draws(drawers: int) -> tuple[float, int]:
    """Returns milliseconds and bytes of a draw of tokens."""
    home = bucket_home.BucketHome(bucket_home.Limits(1e5, 100_000), 0.0)
    size = 0
    now = 1.0
    began = time.process_time()
    for turn in range(1, ROUNDS + 1):
        for number in range(drawers):
            now += 0.001
            draw = messages.Draw(
                "account/valle", f"north-{number}", 1, 7, 3, {}, turn
            )
            grant = home.handle(draw, now)
            size = len(messages.encode(draw, 9)) + len(
                messages.encode(grant, 9)
            )
    spent = time.process_time() - began
    return 1000 * spent / ROUNDS / drawers, size


def slot_draws(drawers: int) -> tuple[float, int]:
    """Returns milliseconds and bytes of a draw of slots."""
    classes = {"live": slot_limits.WorkClass(1, 0.1)}
    clock = clocks.ManualClock()
    pool = slot_home.Pool(
        "maps",
        "north",
        capacities(clock.interface()),
        lambda: classes,
        lambda: tuple((f"north-{number}", 1) for number in range(drawers)),
    )
    home = slot_home.SlotHome(pool, clock.now)
    size = 0
    held: dict[str, dict[str, int]] = {}
    began = time.process_time()
    for turn in range(1, ROUNDS + 1):
        for number in range(drawers):
            clock.advance(0.0005)
            name = f"north-{number}"
            mine = held.get(name, {})
            draw = messages.DrawSlots(
                "slots/maps/north", name, 1, 7, {"live": 1}, mine, {}, (), turn
            )
            grant = home.handle(draw, clock.now)
            held[name] = grant.slots
            size = len(messages.encode(draw, 9)) + len(
                messages.encode(grant, 9)
            )
    spent = time.process_time() - began
    return 1000 * spent / ROUNDS / drawers, size


def find_ms(members: int) -> tuple[float, float]:
    """Returns the milliseconds of finding 200 homes, first and again."""
    host = scale.Host(members, max(1, members // 3), 1)
    pools = [f"slots/maps/region-{number}" for number in range(200)]

    def find() -> float:
        began = time.process_time()
        for pool in pools:
            host.membership.holder(pool)
        return 1000 * (time.process_time() - began)

    return find(), find()


def main() -> None:
    """Prints all rows, with the fits."""
    for name, cost in (("tokens", token_draws), ("slots", slot_draws)):
        rows = [cost(drawers) for drawers in DRAWERS]
        for drawers, (each, size) in zip(DRAWERS, rows, strict=True):
            print(f"draw={name} drawers={drawers} ms={each:.3f} bytes={size}")
        slope, base = usage.fit(
            [float(size) for size in DRAWERS], [row[0] for row in rows]
        )
        print(f"fit {name} ms = {base:.4f} + {slope:.5f} * drawers")
    for members in MEMBERS:
        first, again = find_ms(members)
        print(f"homes=200 members={members} ms={first:.3f} again={again:.3f}")


if __name__ == "__main__":
    main()
