"""Objects of the platform's stand-in, in memory, and their changes."""

import time
from typing import Any
from typing import NamedTuple


class Change(NamedTuple):
    """One committed change.

    Attributes:
        version: Version of the store after the change.
        at: Monotonic time of the commit, seconds.
        kind: Kind of the object.
        event: Watch event of the change, as JSON.
    """

    version: int
    at: float
    kind: str
    event: dict[str, Any]


class Store:
    """Objects and the history of their changes.

    Attributes:
        version: Number of commits so far.
        objects: Objects by kind and name.
        history: Changes since the last compaction, oldest first.
        oldest: Version from which watches can start; a watch from an earlier
            version gets 410.
    """

    def __init__(self) -> None:
        self.version = 0
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[Change] = []
        self.oldest = 0

    def commit(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Writes an object, or deletes it if the spec is None.

        Returns:
            The object; if it is deleted, with its last spec.
        """
        self.version += 1
        previous = self.objects.pop((kind, name), None)
        deleted = spec is None
        stored = {
            "metadata": {
                "name": name,
                "revision": self.version,
                "created": 1,
                "finalizers": [],
                "deletionPending": False,
            },
            "spec": previous["spec"] if deleted and previous else spec,
            "status": None,
        }
        if not deleted:
            self.objects[kind, name] = stored
        event = {"object": stored, "deleted": deleted}
        self.history.append(Change(self.version, time.monotonic(), kind, event))
        return stored

    def compact(self) -> None:
        """Deletes the history, so that watches from older versions get 410."""
        self.history.clear()
        self.oldest = self.version
