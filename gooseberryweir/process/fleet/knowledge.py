"""What a host knows of the platform, in parts that only go forward.

Each part (configuration, upstreams, evacuations, hosts) has the revision of
the store at which it was read. A part replaces an older one whole and never a
newer one, whichever way it came: from the store or from another host.
"""

from collections.abc import Callable
import logging
from typing import Any
from typing import NamedTuple

import msgspec

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir.version import traffic

LOGGER = logging.getLogger(__name__)

CONFIGURATION = "configuration"
UPSTREAMS = "upstreams"
EVACUATIONS = "evacuations"
HOSTS = "hosts"
KINDS = (CONFIGURATION, UPSTREAMS, EVACUATIONS, HOSTS)
# Time without a confirmation from which the store may have been away for so
# long that entries of upstreams ran out: the shortest life of an entry is three
# heartbeats, of a second and more.
AWAY_SECONDS = 2.5
# Time after its return in which upstreams that live are listed again; the users
# say about two seconds.
RETURN_SECONDS = 2.2


class Part(NamedTuple):
    """One part of what the platform says.

    Attributes:
        revision: Revision of the store at which it was read.
        content: Its encoded content.
    """

    revision: int
    content: bytes


def encode(value: Any) -> bytes:
    """Encodes the content of a part, other than the configuration."""
    return msgspec.msgpack.encode(value)


def _decode_upstreams(content: bytes) -> tuple[traffic.Upstream, ...]:
    return msgspec.msgpack.decode(content, type=tuple[traffic.Upstream, ...])


class Knowledge:
    """What this host knows of the platform.

    Attributes:
        parts: The parts as they arrived, by kind.
        configuration: The newest configuration, or None.
        upstreams: Upstreams by name.
        held: Those of them that are not listed since the store was away.
        evacuated: Availability zones that get nothing.
        hosts: Registered hosts by name.
        confirmed_at: Reading of the clock at which the configuration was
            certainly the newest one.
    """

    def __init__(
        self,
        decode_configuration: Callable[[bytes], traffic.Configuration],
        clock: clocks.Clock,
    ) -> None:
        self.decode_configuration = decode_configuration
        self.clock = clock
        self.parts: dict[str, Part] = {}
        self.configuration: traffic.Configuration | None = None
        self.upstreams: dict[str, traffic.Upstream] = {}
        self.held: frozenset[str] = frozenset()
        self.returned_at = float("-inf")
        self.evacuated: frozenset[str] = frozenset()
        self.hosts: dict[str, traffic.HostEntry] = {}
        self.confirmed_at = float("-inf")
        self.cold_until: dict[str, float] = {}
        self.listeners: list[Callable[[str], None]] = []

    def revision(self, kind: str) -> int:
        """Returns the revision of a part, 0 if it is not known."""
        part = self.parts.get(kind)
        return 0 if part is None else part.revision

    def complete(self) -> bool:
        """Whether all parts are known, so that this host may serve."""
        return len(self.parts) == len(KINDS)

    def age(self) -> float:
        """Returns the seconds since the configuration was confirmed."""
        return self.clock.monotonic() - self.confirmed_at

    def confirm(self, revision: int, instant: float) -> None:
        """Notes that the newest configuration at an instant was a revision.

        Args:
            revision: Revision of the configuration.
            instant: Reading of this host's clock before the question was sent.
        """
        if revision > self.revision(CONFIGURATION):
            return
        now = self.clock.monotonic()
        if now - instant < AWAY_SECONDS < self.age():
            self.returned_at = now
        self.confirmed_at = max(self.confirmed_at, instant)
        if self.held and not self._returning(now):
            self._drop_held()

    def _returning(self, now: float) -> bool:
        """Whether upstreams that live may not be listed again yet."""
        return (
            self.age() > AWAY_SECONDS or now - self.returned_at < RETURN_SECONDS
        )

    def _drop_held(self) -> None:
        """Takes upstreams that did not come back after the store as gone."""
        logs.event(
            LOGGER,
            "upstreams-gone",
            upstreams=",".join(sorted(self.held)),
            seconds=self.clock.monotonic() - self.returned_at,
        )
        self.upstreams = {
            name: each
            for name, each in self.upstreams.items()
            if name not in self.held
        }
        self.held = frozenset()
        for listener in self.listeners:
            listener(UPSTREAMS)

    def accept(
        self, kind: str, revision: int, content: bytes, source: str
    ) -> bool:
        """Takes a part if it is newer; returns whether it was.

        Args:
            kind: Which part.
            revision: Revision of the store at which it was read.
            content: Its encoded content.
            source: Where it came from, for the log.
        """
        old = self.parts.get(kind)
        if old is not None and revision <= old.revision:
            return False
        changed = old is None or old.content != content
        if changed and not self._apply(kind, content, revision, source):
            return False
        self.parts[kind] = Part(revision, content)
        if changed:
            logs.event(
                LOGGER,
                "knowledge-changed",
                part=kind,
                revision=revision,
                source=source,
                bytes=len(content),
            )
            for listener in self.listeners:
                listener(kind)
        return True

    def _apply(
        self, kind: str, content: bytes, revision: int, source: str
    ) -> bool:
        try:
            if kind == CONFIGURATION:
                self.configuration = self.decode_configuration(content)
            elif kind == UPSTREAMS:
                self._set_upstreams(_decode_upstreams(content))
            elif kind == EVACUATIONS:
                self.evacuated = frozenset(
                    msgspec.msgpack.decode(content, type=tuple[str, ...])
                )
            elif kind == HOSTS:
                found = msgspec.msgpack.decode(
                    content, type=tuple[traffic.HostEntry, ...]
                )
                self.hosts = {each.name: each for each in found}
        except (ValueError, msgspec.MsgspecError) as error:
            logs.event(
                LOGGER,
                "knowledge-rejected",
                logging.ERROR,
                part=kind,
                revision=revision,
                source=source,
                reason=error,
            )
            return False
        return True

    def _set_upstreams(self, found: tuple[traffic.Upstream, ...]) -> None:
        now = self.clock.monotonic()
        cold: dict[str, float] = {}
        for each in found:
            old = self.upstreams.get(each.name)
            if each.cold_seconds <= 0:
                continue
            if old is not None and old.revision == each.revision:
                cold[each.name] = self.cold_until.get(each.name, 0.0)
            else:
                # The entry may be old already; counting from now is too long.
                cold[each.name] = now + each.cold_seconds
        listed = {each.name: each for each in found}
        missing = {}
        if self._returning(now):
            missing = {
                name: each
                for name, each in self.upstreams.items()
                if name not in listed and not each.draining
            }
        if set(missing) - self.held:
            logs.event(
                LOGGER,
                "upstreams-held",
                upstreams=",".join(sorted(missing)),
                confirmed_age=self.age(),
            )
        self.held = frozenset(missing)
        for name in missing:
            cold[name] = self.cold_until.get(name, 0.0)
        self.cold_until = cold
        self.upstreams = {**missing, **listed}
