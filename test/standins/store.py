"""Objects of the platform's stand-in, in memory, and their changes."""

import collections
import json
import time
from typing import Any
from typing import NamedTuple

MAX_COPIES = 500


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


class RawObject:
    """An object of another writer, which is answered as it was written.

    Attributes:
        text: JSON of the whole object.
    """

    def __init__(self, text: str) -> None:
        self.text = text


def encode(document: Any) -> bytes:
    """Returns the JSON of a document that may contain raw objects."""
    texts: dict[str, str] = {}

    def reserve(value: RawObject) -> str:
        mark = f"raw object {len(texts)}"
        texts[json.dumps(mark)] = value.text
        return mark

    result = json.dumps(document, default=reserve)
    for mark, text in texts.items():
        result = result.replace(mark, text)
    return result.encode()


class Copy(NamedTuple):
    """A copy of the store.

    Attributes:
        at: Monotonic time of the copy, seconds.
        version: Version of the store.
        objects: Objects by kind and name.
    """

    at: float
    version: int
    objects: dict[tuple[str, str], Any]


class Store:
    """Objects and the history of their changes.

    Attributes:
        era: Number of returns from a copy, plus 1.
        copies: A copy after each of the last commits, oldest first.
        version: Number of commits so far; goes back at a return from a copy.
        objects: Objects by kind and name.
        history: Changes since the last compaction, oldest first.
        oldest: Version from which watches can start; a watch from an earlier
            version gets 410.
    """

    def __init__(self) -> None:
        self.era = 1
        self.copies: collections.deque[Copy] = collections.deque(
            [Copy(time.monotonic(), 0, {})], MAX_COPIES
        )
        self.version = 0
        self.objects: dict[tuple[str, str], Any] = {}
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
        if deleted and isinstance(previous, dict):
            spec = previous["spec"]
        stored = {
            "metadata": {
                "name": name,
                "revision": self.version,
                "created": 1,
                "finalizers": [],
                "deletionPending": False,
            },
            "spec": spec,
            "status": None,
        }
        self._record(kind, name, stored, deleted)
        return stored

    def commit_raw(self, kind: str, name: str, text: str) -> None:
        """Writes an object whose JSON is answered as it is.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            text: JSON of the whole object, in which `@revision@` stands for its
                revision.
        """
        self.version += 1
        text = text.replace("@revision@", str(self.version))
        self._record(kind, name, RawObject(text), deleted=False)

    def _record(self, kind: str, name: str, stored: Any, deleted: bool) -> None:
        """Stores an object, or only its deletion, and the change."""
        if not deleted:
            self.objects[kind, name] = stored
        event = {"object": stored, "deleted": deleted}
        now = time.monotonic()
        self.history.append(Change(self.version, now, kind, event))
        self.copies.append(Copy(now, self.version, dict(self.objects)))

    def return_from_copy(self, seconds: float) -> None:
        """Loses all changes of the last seconds, as a return from a copy does.

        Versions are given out again; watches from those that are lost, or from
        before the return, get 410.
        """
        copied_at = time.monotonic() - seconds
        while len(self.copies) > 1 and self.copies[-1].at > copied_at:
            self.copies.pop()
        self.version = self.copies[-1].version
        self.objects = dict(self.copies[-1].objects)
        self.history.clear()
        self.oldest = self.version
        self.era += 1

    def compact(self) -> None:
        """Deletes the history, so that watches from older versions get 410."""
        self.history.clear()
        self.oldest = self.version
