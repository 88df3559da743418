"""Which facts are no longer needed, so that they don't grow without end.

Every host decides alike: by the platform's objects that it holds, or by the
hour. Hosts that differ for a while exchange facts more often, and each leaves
out what it has forgotten; no host serves on the word of a peer whose objects
differ from its own.
"""

from collections.abc import Callable

from gooseberryweir import clock as clocks
from gooseberryweir.process.shares import suspects
from gooseberryweir.process.upkeep import withdrawals
from gooseberryweir.version import tables as tables_module

HOUR_MS = 3_600_000
# Facts of crashes are forgotten at a full hour, once none of them counts.
CRASH_HOURS = 1 + -(-suspects.CRASH_RETENTION_MS // HOUR_MS)
_CRASH_FACTS = ("crash/", "cleared/")


def rule(
    tables: tables_module.Tables, clock: clocks.Clock
) -> Callable[[str, int], bool]:
    """Returns the function that tells whether a fact may be forgotten.

    Args:
        tables: What the platform's objects say.
        clock: Source of time.
    """

    def needless(key: str, value: int) -> bool:
        if key.startswith(withdrawals.FACT_PREFIX):
            entry = tables.keys.get(key.removeprefix(withdrawals.FACT_PREFIX))
            return entry is not None and entry.withdrawn
        if key.startswith(_CRASH_FACTS):
            hour = int(clock.wall() * 1000) // HOUR_MS
            return value < (hour - CRASH_HOURS) * HOUR_MS
        return False

    return needless
