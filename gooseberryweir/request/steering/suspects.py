"""Requests that end each upstream that runs them.

A request whose connection ended without a byte of an answer is suspected; its
repeats are recognised by their fingerprint, whichever host they come to. Hosts
tell each other in their beats which starts of upstreams each suspect may have
ended. Once there are `CRASH_LIMIT` of them, and no repeat was answered since,
the request is refused; one host of the fleet lets it try again from time to
time, since a common request can be unlucky several times (a circuit breaker
for one request). An answer to any repeat clears it on all hosts.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import logging
from typing import NamedTuple

from gooseberryweir import logs
from gooseberryweir import rendezvous

LOGGER = logging.getLogger(__name__)

# Starts of upstreams that a request may end before it is refused: the users'
# rules count from the third.
CRASH_LIMIT = 3
# Time until the first further try, which doubles up to the maximum. An
# upstream of the users is back some seconds after a crash; three tries in the
# first minute are what their rules allow.
MIN_TRIAL_INTERVAL_SECONDS = 5.0
MAX_TRIAL_INTERVAL_SECONDS = 60.0
# Time after which a suspect that did not come again is forgotten.
SUSPECT_TTL_SECONDS = 120.0
# Suspects that a host remembers, and those of them that fit into a beat.
MAX_SUSPECTS = 256
MAX_HEARTBEAT_SUSPECTS = 16
# Time for which an answer to a suspect is told: several beats.
CLEARED_REPORT_SECONDS = 3.0

CrashesByFingerprint = Mapping[str, Iterable[str]]


class _Trial(NamedTuple):
    due_at: float
    interval_seconds: float


class SuspectTracker:
    """What this host saw of requests that end upstreams."""

    def __init__(
        self,
        host: str,
        hosts: Callable[[], Iterable[str]],
        peer_crashes: Callable[[], Iterable[CrashesByFingerprint]],
        now: Callable[[], float],
    ) -> None:
        """Starts without any suspect.

        Args:
            host: Name of this host.
            hosts: Returns the names of the hosts that live.
            peer_crashes: Returns what the other hosts told last.
            now: Reads the clock.
        """
        self.host = host
        self.hosts = hosts
        self.peer_crashes = peer_crashes
        self.now = now
        self.own_crashes: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )
        self.trials: dict[str, _Trial] = {}
        self.cleared_at: dict[str, float] = {}

    def recent_crashes(self) -> dict[str, tuple[str, ...]]:
        """Returns the latest suspects, for the other hosts."""
        self._expire()
        latest = list(self.own_crashes.items())[-MAX_HEARTBEAT_SUSPECTS:]
        return {
            fingerprint: tuple(incarnations)
            for fingerprint, incarnations in latest
        }

    def recently_cleared(self) -> tuple[str, ...]:
        """Returns the suspects answered lately, for the other hosts."""
        cutoff = self.now() - CLEARED_REPORT_SECONDS
        self.cleared_at = {
            fingerprint: time
            for fingerprint, time in self.cleared_at.items()
            if time >= cutoff
        }
        return tuple(self.cleared_at)

    def record_crash(self, fingerprint: str, incarnation: str) -> None:
        """Notes that an upstream's connection ended under a request.

        Args:
            fingerprint: Fingerprint of the request.
            incarnation: Names the start of the upstream.
        """
        incarnations = self.own_crashes.setdefault(fingerprint, {})
        incarnations[incarnation] = self.now()
        self.own_crashes.move_to_end(fingerprint)
        if len(self.own_crashes) > MAX_SUSPECTS:
            self._drop(next(iter(self.own_crashes)))

    def record_success(self, fingerprint: str) -> None:
        """Clears a request that an upstream has answered."""
        if self._crashed_incarnations(fingerprint):
            self.cleared_at[fingerprint] = self.now()
            self._drop(fingerprint)

    def clear(self, fingerprints: Iterable[str]) -> None:
        """Drops suspects that another host saw answered."""
        for fingerprint in fingerprints:
            self._drop(fingerprint)

    def any_suspects(self) -> bool:
        """Whether there is any suspect."""
        return bool(self.own_crashes) or any(self.peer_crashes())

    def retry_delay(self, fingerprint: str) -> float:
        """Returns 0 if a request may run, else the seconds until a try.

        A call that returns 0 for a request over the limit uses up the try.
        """
        incarnations = self._crashed_incarnations(fingerprint)
        if len(incarnations) < CRASH_LIMIT:
            self.trials.pop(fingerprint, None)
            return 0.0
        now = self.now()
        trial = self.trials.get(fingerprint)
        if trial is None:
            trial = _Trial(
                now + MIN_TRIAL_INTERVAL_SECONDS, MIN_TRIAL_INTERVAL_SECONDS
            )
            self.trials[fingerprint] = trial
            logs.event(
                LOGGER,
                "request-suspected",
                logging.WARNING,
                fingerprint=fingerprint,
                upstreams=",".join(sorted(incarnations)),
                next_try=MIN_TRIAL_INTERVAL_SECONDS,
            )
        trial_host = rendezvous.first(fingerprint, {*self.hosts(), self.host})
        if trial_host != self.host or now < trial.due_at:
            return max(MIN_TRIAL_INTERVAL_SECONDS / 2, trial.due_at - now)
        interval_seconds = min(
            MAX_TRIAL_INTERVAL_SECONDS, 2 * trial.interval_seconds
        )
        self.trials[fingerprint] = _Trial(
            now + interval_seconds, interval_seconds
        )
        return 0.0

    def _crashed_incarnations(self, fingerprint: str) -> set[str]:
        """Returns the starts of upstreams that a request may have ended."""
        incarnations = set(self.own_crashes.get(fingerprint, ()))
        for crashes in self.peer_crashes():
            incarnations.update(crashes.get(fingerprint, ()))
        return incarnations

    def _expire(self) -> None:
        cutoff = self.now() - SUSPECT_TTL_SECONDS
        for fingerprint in [
            fingerprint
            for fingerprint, incarnations in self.own_crashes.items()
            if max(incarnations.values()) < cutoff
        ]:
            self._drop(fingerprint)

    def _drop(self, fingerprint: str) -> None:
        self.own_crashes.pop(fingerprint, None)
        self.trials.pop(fingerprint, None)
