"""Decides which facts are dropped, so that their number stays bounded.

A fact is a key with an integer value that all hosts replicate and merge. All
hosts use the same rule, which depends on the platform's objects and on the
current hour. While the objects of two hosts differ, their facts may differ too,
so they may exchange facts at each heartbeat; neither merges a fact that is
obsolete by its own objects. No host takes its freshness from a peer whose
objects differ from its own.
"""

from collections.abc import Callable

from gooseberryweir import clock as clocks
from gooseberryweir.process.shares import suspects
from gooseberryweir.process.upkeep import withdrawals
from gooseberryweir.version import tables as tables_module

HOUR_MS = 3_600_000
# Crash facts are dropped on the hour, once `suspects` no longer counts them.
CRASH_RETENTION_HOURS = 1 + -(-suspects.CRASH_RETENTION_MS // HOUR_MS)
_CRASH_FACT_PREFIXES = ("crash/", "cleared/")


def obsolete_predicate(
    tables: tables_module.Tables, clock: clocks.Clock
) -> Callable[[str, int], bool]:
    """Returns the function that decides if a fact is obsolete.

    The withdrawal of a key is obsolete once the platform's objects contain it.
    The crash of an upstream, and the completion of a request after such a
    crash, is obsolete after `CRASH_RETENTION_HOURS`. Other facts are kept.

    Args:
        tables: Tables of the platform's objects.
        clock: Source of time.
    """

    def is_obsolete(key: str, value: int) -> bool:
        if key.startswith(withdrawals.FACT_PREFIX):
            entry = tables.keys.get(key.removeprefix(withdrawals.FACT_PREFIX))
            return entry is not None and entry.withdrawn
        if key.startswith(_CRASH_FACT_PREFIXES):
            hour = int(clock.wall() * 1000) // HOUR_MS
            return value < (hour - CRASH_RETENTION_HOURS) * HOUR_MS
        return False

    return is_obsolete
