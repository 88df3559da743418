"""Facts: a map from keys to integers that only grow, shared by all hosts.

Merging takes the larger value of each key, so it is commutative, associative
and idempotent: facts may arrive late, twice and in any order. Obsolete facts
are dropped; see `fact_expiry`.
"""

from collections.abc import Callable
from collections.abc import Mapping

import xxhash

Listener = Callable[[dict[str, int]], None]


def hash_fact(key: str, value: int) -> int:
    """Returns the 64-bit hash of one key and its value."""
    return xxhash.xxh64_intdigest(f"{key}\0{value}".encode())


class Facts:
    """This host's copy of the facts.

    Attributes:
        values: Value of each key.
        digest: XOR of the hashes of all facts; equal maps have equal digests.
        listeners: Functions called with the new facts after each merge that
            has any.
        is_obsolete: Function that returns True if a fact, given as key and
            value, is no longer needed; such a fact is not merged.
    """

    def __init__(self) -> None:
        self.values: dict[str, int] = {}
        self.digest = 0
        self.listeners: list[Listener] = []
        self.is_obsolete: Callable[[str, int], bool] = _never_obsolete

    def get(self, key: str) -> int:
        """Returns the value of a key, or 0 if there is none."""
        return self.values.get(key, 0)

    def snapshot(self) -> dict[str, int]:
        """Returns a copy of all facts."""
        return dict(self.values)

    def add(self, key: str, value: int) -> bool:
        """Merges one fact; returns True if it was new."""
        return bool(self.merge({key: value}))

    def merge(self, facts: Mapping[str, int]) -> dict[str, int]:
        """Merges facts and calls the listeners with the new ones.

        A fact is new if its value is larger than the stored one.

        Args:
            facts: Facts to merge, new or not.

        Returns:
            The facts that were new.
        """
        new = {
            key: value
            for key, value in facts.items()
            if value > self.values.get(key, 0)
            and not self.is_obsolete(key, value)
        }
        for key, value in new.items():
            self._set(key, value)
        if new:
            for listener in self.listeners:
                listener(new)
        return new

    def drop_obsolete(self) -> int:
        """Drops the obsolete facts; returns their number."""
        dropped = [
            (key, value)
            for key, value in self.values.items()
            if self.is_obsolete(key, value)
        ]
        for key, value in dropped:
            del self.values[key]
            self.digest ^= hash_fact(key, value)
        return len(dropped)

    def reply(self, received: Mapping[str, int]) -> dict[str, int]:
        """Merges the facts of a peer and returns all facts to send back.

        A returned fact confirms to the peer that this host has it. So the
        result also has the received facts that are obsolete on this host: what
        they state is already in its platform objects or no longer counts.
        """
        self.merge(received)
        known = {
            key: value
            for key, value in received.items()
            if self.is_obsolete(key, value)
        }
        return {**known, **self.values}

    def _set(self, key: str, value: int) -> None:
        """Sets the value of a key and updates the digest."""
        old = self.values.get(key)
        if old is not None:
            self.digest ^= hash_fact(key, old)
        self.values[key] = value
        self.digest ^= hash_fact(key, value)


def _never_obsolete(key: str, value: int) -> bool:
    """Returns False for every fact."""
    return False


def incarnation_key(host: str) -> str:
    """Returns the key whose value is the newest incarnation of a host.

    The incarnation is the number of a host's process; it grows with each start.
    """
    return f"incarnation/{host}"


def leaving_key(host: str) -> str:
    """Returns the key whose value is the latest incarnation to shut down."""
    return f"leaving/{host}"


def dead_key(host: str) -> str:
    """Returns the key whose value is the latest incarnation declared dead."""
    return f"dead/{host}"
