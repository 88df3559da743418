"""Facts: a map of integers that only grow, shared between all hosts.

Merging takes the larger value of each key, so it is commutative, associative
and idempotent: facts may arrive late, twice and in any order. Facts that no
host needs any more are dropped; see `forgetting`.
"""

from collections.abc import Callable
from collections.abc import Mapping

import xxhash

Listener = Callable[[dict[str, int]], None]


def hash_fact(key: str, value: int) -> int:
    """Returns the 64-bit hash of one fact."""
    return xxhash.xxh64_intdigest(f"{key}\0{value}".encode())


class Facts:
    """The facts that this host holds.

    Attributes:
        values: Value of each key.
        digest: XOR of the hash of each pair; equal maps have equal digests.
        listeners: Called with what was new after each change.
        needless: Tells whether a fact may be forgotten; a needless one is
            not taken in.
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
        """Merges one fact; returns whether it was new."""
        return bool(self.merge({key: value}))

    def merge(self, facts: Mapping[str, int]) -> dict[str, int]:
        """Merges facts and tells the listeners of those that were new.

        Args:
            facts: Facts of any origin, already held or not.

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
        """Drops the needless facts; returns how many there were."""
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
        """Merges facts and returns all facts for the one who sent them.

        Those of the sender's facts that are needless here are among them,
        since what they say is known here.
        """
        self.merge(received)
        known = {
            key: value
            for key, value in received.items()
            if self.is_obsolete(key, value)
        }
        return {**known, **self.values}

    def _set(self, key: str, value: int) -> None:
        """Sets one value and updates the digest."""
        old = self.values.get(key)
        if old is not None:
            self.digest ^= hash_fact(key, old)
        self.values[key] = value
        self.digest ^= hash_fact(key, value)


def _never_obsolete(key: str, value: int) -> bool:
    """Keeps every fact."""
    return False


def incarnation_key(host: str) -> str:
    """Returns the key of the newest incarnation of a host."""
    return f"incarnation/{host}"


def leaving_key(host: str) -> str:
    """Returns the key of the incarnation of a host that is shutting down."""
    return f"leaving/{host}"


def dead_key(host: str) -> str:
    """Returns the key of the incarnation of a host that was found dead."""
    return f"dead/{host}"
