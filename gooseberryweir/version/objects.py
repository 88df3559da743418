"""In-memory store of the platform's objects, each at its newest version.

The version of an object is an integer that orders by the era of the platform's
store, which rises when the store returns from an older copy, and then by the
revision. In the first era it is the revision.
"""

from collections.abc import Callable
from collections.abc import Mapping
import logging
from typing import Any

import xxhash

from gooseberryweir import logs
from gooseberryweir.version import store_version

LOGGER = logging.getLogger(__name__)
# Kind of the objects with declarations, drains, keys, sites and address blocks.
STEERING_OBJECTS = "steeringobjects"
# Kind of the objects that list hosts and upstreams.
ENDPOINT_SLICES = "endpointslices"
# Full names of objects; a prefix is followed by a client account, a shard
# number or a service.
CONFIG = f"{STEERING_OBJECTS}/config"
DRAINS = f"{STEERING_OBJECTS}/drains"
KEYS_PREFIX = f"{STEERING_OBJECTS}/keys."
SITES = f"{STEERING_OBJECTS}/sites"
BLOCKS_PREFIX = f"{STEERING_OBJECTS}/blocks."
HOSTS = f"{ENDPOINT_SLICES}/hosts"
SERVICE_PREFIX = f"{ENDPOINT_SLICES}/service."
# Difference between the versions of the same revision in two eras; greater than
# all revisions.
_ERA_STEP = 2**48
# Versions are sent as signed 64-bit integers.
_MAX_ERA = 2**15


def encode_version(version: store_version.StoreVersion) -> int:
    """Returns the integer of a version; a store without an era is in its first.

    Raises:
        ValueError: The era or the revision is too large to be ordered.
    """
    era = max(version.era, store_version.FIRST_ERA)
    later_eras = era - store_version.FIRST_ERA
    if version.revision >= _ERA_STEP or era > _MAX_ERA:
        raise ValueError(f"the store's version {version} is too large")
    return later_eras * _ERA_STEP + version.revision


def decode_version(version: int) -> store_version.StoreVersion:
    """Returns the era and the revision of the integer of a version."""
    later_eras, revision = divmod(version, _ERA_STEP)
    return store_version.StoreVersion(
        store_version.FIRST_ERA + later_eras, revision
    )


def object_digest(name: str, version: int) -> int:
    """Returns the 64-bit hash of an object's full name and version."""
    return xxhash.xxh64_intdigest(f"{name}\0{version}".encode())


class ObjectStore:
    """Newest version of each object, by full name.

    An older version never replaces a newer one, and one of an earlier era
    changes nothing. A deleted object remains as a tombstone: its version, with
    None as content.

    Attributes:
        era: Newest era of any version.
        objects: Version and content of each object, by full name.
        digest: XOR of the `object_digest` of all objects, tombstones included;
            stores with equal digests hold the same versions.
        listeners: Functions called with an object's full name after it changed.
    """

    def __init__(self) -> None:
        self.era = store_version.FIRST_ERA
        self.objects: dict[str, tuple[int, Any]] = {}
        self.digest = 0
        self.listeners: list[Callable[[str], None]] = []

    def apply(self, name: str, version: int, content: Any | None) -> bool:
        """Stores an object unless a newer version or era is known.

        Args:
            name: Full name, `KIND/NAME`.
            version: The platform's version of the object or its deletion.
            content: The object's spec, or None if it was deleted.

        Returns:
            True if the object was newer and has been stored.
        """
        stored = self.objects.get(name)
        if stored is not None and version <= stored[0]:
            return False
        era = decode_version(version).era
        if era < self.era:
            return False
        if era > self.era:
            self._enter_era(era)
        if stored is not None:
            self.digest ^= object_digest(name, stored[0])
        self.digest ^= object_digest(name, version)
        self.objects[name] = (version, content)
        for listener in tuple(self.listeners):
            listener(name)
        return True

    def _enter_era(self, era: int) -> None:
        """Records a return of the platform's store from an older copy."""
        logs.event(
            LOGGER,
            "platform-returned",
            logging.WARNING,
            era=era,
            previous_era=self.era,
            objects=len(self.objects),
        )
        self.era = era

    def get(self, name: str) -> Any | None:
        """Returns the content of an object, or None if absent or deleted."""
        stored = self.objects.get(name)
        return None if stored is None else stored[1]

    def version(self, name: str) -> int:
        """Returns the stored version of an object, or 0 if absent."""
        stored = self.objects.get(name)
        return 0 if stored is None else stored[0]

    def versions(self) -> dict[str, int]:
        """Returns the version of each object, tombstones included."""
        return {name: stored[0] for name, stored in self.objects.items()}

    def newer_than(
        self, versions: Mapping[str, int]
    ) -> tuple[tuple[str, int, Any], ...]:
        """Returns the objects that are newer than those of another host.

        Args:
            versions: Version of each object that the other host has.

        Returns:
            Name, version and content of each newer object, sorted by name.
        """
        return tuple(
            (name, version, content)
            for name, (version, content) in sorted(
                self.objects.items(), key=lambda item: item[0]
            )
            if name not in versions or versions[name] < version
        )
