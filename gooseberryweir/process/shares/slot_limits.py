"""Up to how many slots of a region each class of work is granted."""

from typing import NamedTuple

IMPORTANCE_STEP = 0.05
RESERVE_CLASS = ""
ALL_CLASSES = 1 << 30


class WorkClass(NamedTuple):
    """What the home of a pool knows of a class of work.

    Attributes:
        importance: 1 is the highest.
        headroom: Share of the slots, 0 to 1, that it leaves free.
    """

    importance: int
    headroom: float


def region_limits(total: int, classes: dict[str, WorkClass]) -> dict[str, int]:
    """Returns the most slots held in the region up to which each is granted.

    A class leaves its headroom free. Each step down in importance is held
    back by a further twentieth of the slots, at least one, so that work of
    more importance always finds slots that less important work cannot take.
    The reserves of hosts are granted like the least important class.

    Args:
        total: Slots of the usable upstreams of the region.
        classes: The classes of work that use the pool.
    """
    step = max(1, int(total * IMPORTANCE_STEP))
    limits: dict[str, int] = {}
    above = total + step
    for importance in sorted({row.importance for row in classes.values()}):
        rows = {
            name: min(int(total * (1.0 - row.headroom)), above - step)
            for name, row in classes.items()
            if row.importance == importance
        }
        above = min(rows.values())
        limits.update(rows)
    if limits:
        limits[RESERVE_CLASS] = min(limits.values())
    return {name: max(0, limit) for name, limit in limits.items()}


def lowest_importance(
    held: int, limits: dict[str, int], classes: dict[str, WorkClass]
) -> int:
    """Returns the lowest importance (largest number) that may use a slot.

    Args:
        held: Slots held in the region.
        limits: The most held for each class.
        classes: The classes of work that use the pool.
    """
    closed = min(
        (
            row.importance
            for name, row in classes.items()
            if held > limits[name]
        ),
        default=ALL_CLASSES + 1,
    )
    return closed - 1
