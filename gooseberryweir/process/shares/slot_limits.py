"""Up to how many slots of a region each class of work is granted."""

from typing import NamedTuple

IMPORTANCE_STEP_FRACTION = 0.05
RESERVE_CLASS = ""
ANY_IMPORTANCE = 1 << 30


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
    step_slots = max(1, int(total * IMPORTANCE_STEP_FRACTION))
    limits: dict[str, int] = {}
    lowest_limit = total + step_slots
    for importance in sorted(
        {work_class.importance for work_class in classes.values()}
    ):
        same_importance = {
            name: min(
                int(total * (1.0 - work_class.headroom)),
                lowest_limit - step_slots,
            )
            for name, work_class in classes.items()
            if work_class.importance == importance
        }
        lowest_limit = min(same_importance.values())
        limits.update(same_importance)
    if limits:
        limits[RESERVE_CLASS] = min(limits.values())
    return {name: max(0, limit) for name, limit in limits.items()}


def lowest_importance(
    allocated: int, limits: dict[str, int], classes: dict[str, WorkClass]
) -> int:
    """Returns the lowest importance (largest number) that may use a slot.

    Args:
        allocated: Slots allocated in the region.
        limits: The most held for each class.
        classes: The classes of work that use the pool.
    """
    refused_importance = min(
        (
            work_class.importance
            for name, work_class in classes.items()
            if allocated > limits[name]
        ),
        default=ANY_IMPORTANCE + 1,
    )
    return refused_importance - 1
