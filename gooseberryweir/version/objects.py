"""The platform's objects as one host holds them, each at its newest version."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import xxhash

# What operators declare, and the hosts and upstreams that there are.
STEERING_OBJECTS = "steeringobjects"
ENDPOINT_SLICES = "endpointslices"
CONFIG = f"{STEERING_OBJECTS}/config"
DRAINS = f"{STEERING_OBJECTS}/drains"
KEYS_PREFIX = f"{STEERING_OBJECTS}/keys."
SITES = f"{STEERING_OBJECTS}/sites"
BLOCKS_PREFIX = f"{STEERING_OBJECTS}/blocks."
HOSTS = f"{ENDPOINT_SLICES}/hosts"
SERVICE_PREFIX = f"{ENDPOINT_SLICES}/service."


def object_digest(name: str, version: int) -> int:
    """Returns the 64-bit hash of one object at one version."""
    return xxhash.xxh64_intdigest(f"{name}\0{version}".encode())


class ObjectStore:
    """Objects by full name; a version never goes back.

    A deleted object stays as a tombstone: its version, with None for content.

    Attributes:
        objects: Version and content of each object, by its full name.
        digest: XOR of the hashes of all objects, tombstones included; two
            stores of equal digest hold the same versions.
        listeners: Called with the full name after each change.
    """

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, Any]] = {}
        self.digest = 0
        self.listeners: list[Callable[[str], None]] = []

    def apply(self, name: str, version: int, content: Any | None) -> bool:
        """Takes an object unless the same or a newer version is held.

        Args:
            name: Full name: kind, slash, name.
            version: The platform's version of the object or its deletion.
            content: The object's spec, or None once it is deleted.

        Returns:
            True if it was newer and is now held.
        """
        held = self.objects.get(name)
        if held is not None and version <= held[0]:
            return False
        if held is not None:
            self.digest ^= object_digest(name, held[0])
        self.digest ^= object_digest(name, version)
        self.objects[name] = (version, content)
        for listener in tuple(self.listeners):
            listener(name)
        return True

    def get(self, name: str) -> Any | None:
        """Returns an object's content; None if absent or deleted."""
        held = self.objects.get(name)
        return None if held is None else held[1]

    def version(self, name: str) -> int:
        """Returns the version held of an object; 0 if absent."""
        held = self.objects.get(name)
        return 0 if held is None else held[0]

    def versions(self) -> dict[str, int]:
        """Returns the version of every object, tombstones included."""
        return {name: held[0] for name, held in self.objects.items()}

    def newer_than(
        self, versions: Mapping[str, int]
    ) -> tuple[tuple[str, int, Any], ...]:
        """Returns name, version and content of each object newer than those.

        Args:
            versions: Version that the asker holds of each object.
        """
        return tuple(
            (name, version, content)
            for name, (version, content) in sorted(
                self.objects.items(), key=lambda item: item[0]
            )
            if name not in versions or versions[name] < version
        )
