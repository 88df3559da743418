"""Tracks requests that crash the upstreams that run them.

A request becomes a suspect if an upstream closes the connection before any byte
of the answer. Its retries have the same fingerprint (a digest of the content)
at every host. With their heartbeats hosts exchange the incarnations (process
starts) of upstreams that each suspect may have crashed. After `CRASH_LIMIT` of
these without an answer to any retry, the request is refused. Since a frequent
request may just have been in flight during several crashes, one host of the
fleet sends it to an upstream as a trial from time to time (a circuit breaker
for one request). An answer to any retry clears the suspect on all hosts.
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

# Number of crashed incarnations of upstreams at which a request is refused: the
# platform's requirements count crashes from the third on.
CRASH_LIMIT = 3
# Time until the first trial; the time until the next one doubles up to the
# maximum. A crashed upstream of the platform restarts within some seconds; the
# platform's requirements allow three trials in the first minute.
MIN_TRIAL_INTERVAL_SECONDS = 5.0
MAX_TRIAL_INTERVAL_SECONDS = 60.0
# Time without a further crash after which a suspect is removed.
SUSPECT_TTL_SECONDS = 120.0
# Largest numbers of suspects that a host stores and that a heartbeat contains.
MAX_SUSPECTS = 256
MAX_HEARTBEAT_SUSPECTS = 16
# Time for which heartbeats contain a cleared suspect, so that several do.
CLEARED_REPORT_SECONDS = 3.0

CrashesByFingerprint = Mapping[str, Iterable[str]]


class _Trial(NamedTuple):
    """The next trial of a refused request.

    Attributes:
        due_at: Monotonic time of the trial, in seconds.
        interval_seconds: Time between the previous trial and this one.
    """

    due_at: float
    interval_seconds: float


class SuspectTracker:
    """Tracks the requests that crashed upstreams, at this host and its peers.

    Attributes:
        own_crashes: Crashes observed by this host: the monotonic time of each,
            in seconds, by fingerprint and incarnation of the upstream.
        trials: The next trial of each refused request, by fingerprint.
        cleared_at: Monotonic time at which each suspect was answered, in
            seconds, by fingerprint.
    """

    def __init__(
        self,
        host: str,
        trial_hosts: Callable[[str], Iterable[str]],
        peer_crashes: Callable[[], Iterable[CrashesByFingerprint]],
        now: Callable[[], float],
    ) -> None:
        """Creates a tracker without any suspect.

        Args:
            host: Name of this host.
            trial_hosts: Returns the names of the hosts of which one sends a
                suspect as a trial, by its fingerprint.
            peer_crashes: Returns the crashes that other hosts report.
            now: Returns the monotonic time in seconds.
        """
        self.host = host
        self.trial_hosts = trial_hosts
        self.peer_crashes = peer_crashes
        self.now = now
        self.own_crashes: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )
        self.trials: dict[str, _Trial] = {}
        self.cleared_at: dict[str, float] = {}

    def recent_crashes(self) -> dict[str, tuple[str, ...]]:
        """Returns the crashes to send in heartbeats, by fingerprint.

        These are the crashed incarnations of the latest suspects.
        """
        self._expire()
        latest = list(self.own_crashes.items())[-MAX_HEARTBEAT_SUSPECTS:]
        return {
            fingerprint: tuple(incarnations)
            for fingerprint, incarnations in latest
        }

    def recently_cleared(self) -> tuple[str, ...]:
        """Returns the suspects answered recently, to send in heartbeats."""
        cutoff = self.now() - CLEARED_REPORT_SECONDS
        self.cleared_at = {
            fingerprint: time
            for fingerprint, time in self.cleared_at.items()
            if time >= cutoff
        }
        return tuple(self.cleared_at)

    def record_crash(self, fingerprint: str, incarnation: str) -> None:
        """Records that an upstream closed its connection during a request.

        Args:
            fingerprint: Fingerprint of the request.
            incarnation: Identifier of the upstream's incarnation.
        """
        incarnations = self.own_crashes.setdefault(fingerprint, {})
        incarnations[incarnation] = self.now()
        self.own_crashes.move_to_end(fingerprint)
        if len(self.own_crashes) > MAX_SUSPECTS:
            self._drop(next(iter(self.own_crashes)))

    def withdraw_crashes(self, since: float) -> None:
        """Removes the crashes that this host recorded from a time on.

        Args:
            since: Monotonic time in seconds.
        """
        for fingerprint, incarnations in list(self.own_crashes.items()):
            earlier = {
                incarnation: crashed_at
                for incarnation, crashed_at in incarnations.items()
                if crashed_at < since
            }
            if earlier:
                self.own_crashes[fingerprint] = earlier
            else:
                self._drop(fingerprint)

    def record_success(self, fingerprint: str) -> None:
        """Clears a request that an upstream answered, if it is a suspect."""
        if self._crashed_incarnations(fingerprint):
            self.cleared_at[fingerprint] = self.now()
            self._drop(fingerprint)

    def clear(self, fingerprints: Iterable[str]) -> None:
        """Removes suspects that a peer has cleared.

        Args:
            fingerprints: Fingerprints of the suspects.
        """
        for fingerprint in fingerprints:
            self._drop(fingerprint)

    def any_suspects(self) -> bool:
        """Returns True if this host or a peer has a suspect."""
        return bool(self.own_crashes) or any(self.peer_crashes())

    def retry_delay(self, fingerprint: str) -> float:
        """Returns 0 if a request may run, else the seconds until a retry.

        Once a request has reached `CRASH_LIMIT`, a call that returns 0 permits
        the trial that is due, and schedules the next one.
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
        trial_host = rendezvous.first(
            fingerprint, self.trial_hosts(fingerprint)
        )
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
        """Returns the incarnations that a request may have crashed."""
        incarnations = set(self.own_crashes.get(fingerprint, ()))
        for crashes in self.peer_crashes():
            incarnations.update(crashes.get(fingerprint, ()))
        return incarnations

    def _expire(self) -> None:
        """Removes suspects without a recent crash."""
        cutoff = self.now() - SUSPECT_TTL_SECONDS
        for fingerprint in [
            fingerprint
            for fingerprint, incarnations in self.own_crashes.items()
            if max(incarnations.values()) < cutoff
        ]:
            self._drop(fingerprint)

    def _drop(self, fingerprint: str) -> None:
        """Removes a suspect of this host."""
        self.own_crashes.pop(fingerprint, None)
        self.trials.pop(fingerprint, None)
