"""Computes how many slots of a region each work class may use."""

from typing import NamedTuple

# Fraction of the slots by which each step down in importance lowers the limit.
IMPORTANCE_STEP_FRACTION = 0.05
# Name of the class under which hosts request slots for their reserve.
RESERVE_CLASS = ""
# Larger than the number of any importance, so it admits every class.
ANY_IMPORTANCE = 1 << 30


class WorkClass(NamedTuple):
    """Settings of a work class that the home of a pool uses.

    Attributes:
        importance: 1 is the highest.
        headroom: Fraction of the slots, 0 to 1, that the class leaves free.
    """

    importance: int
    headroom: float


def region_limits(total: int, classes: dict[str, WorkClass]) -> dict[str, int]:
    """Returns the limit of each work class, a number of allocated slots.

    A class is granted slots only while fewer slots than its limit are
    allocated in the region. The limit leaves the headroom of the class free.
    Each step down in importance reduces it by a further twentieth of the slots,
    at least by one, so that more important work always finds slots that less
    important work cannot take. The reserves of hosts have the limit of the
    least important class.

    Args:
        total: Number of slots on the usable upstreams of the region.
        classes: Work classes that use the pool.
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
    """Returns the lowest importance (largest number) of work that gets slots.

    Args:
        allocated: Number of slots allocated in the region.
        limits: Limit of each class; see `region_limits`.
        classes: Work classes that use the pool.
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
