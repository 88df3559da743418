"""Facts: a map of integers that only grow, shared between all hosts.

Merging takes the larger value of each key, so it is commutative, associative
and idempotent: facts may arrive late, twice and in any order.
"""

from collections.abc import Callable
from collections.abc import Mapping

import xxhash

Listener = Callable[[dict[str, int]], None]


def hash_pair(key: str, value: int) -> int:
    """Returns the 64-bit hash of one fact."""
    return xxhash.xxh64_intdigest(f"{key}\0{value}".encode())


class Facts:
    """The facts that this host holds.

    Attributes:
        values: Value of each key.
        digest: XOR of the hash of each pair; equal maps have equal digests.
        listeners: Called with what was new after each change.
    """

    def __init__(self) -> None:
        self.values: dict[str, int] = {}
        self.digest = 0
        self.listeners: list[Listener] = []

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
        }
        for key, value in new.items():
            self._replace(key, value)
        if new:
            for listener in self.listeners:
                listener(new)
        return new

    def _replace(self, key: str, value: int) -> None:
        """Sets one value and updates the digest."""
        old = self.values.get(key)
        if old is not None:
            self.digest ^= hash_pair(key, old)
        self.values[key] = value
        self.digest ^= hash_pair(key, value)


def incarnation_key(host: str) -> str:
    """Returns the key of the newest incarnation of a host."""
    return f"incarnation/{host}"


def leaving_key(host: str) -> str:
    """Returns the key of the incarnation of a host that is shutting down."""
    return f"leaving/{host}"


def dead_key(host: str) -> str:
    """Returns the key of the incarnation of a host that was found dead."""
    return f"dead/{host}"
