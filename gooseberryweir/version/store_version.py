"""Versions of the platform's store, which order what was read from it."""

from typing import NamedTuple

# Era of a store that does not tell its era.
NO_ERA = 0
# Era of a store that has never returned from an older copy.
FIRST_ERA = 1


class StoreVersion(NamedTuple):
    """State of the store at one time; later states compare as greater.

    The store may return from an older copy. It then gives out revisions again,
    in a new era.

    Attributes:
        era: Era of the store; `NO_ERA` if it does not tell it.
        revision: Revision of the store or of one of its objects.
    """

    era: int
    revision: int

    def __str__(self) -> str:
        return f"{self.era}:{self.revision}"


# Older than any state of the store.
NONE = StoreVersion(NO_ERA, 0)
