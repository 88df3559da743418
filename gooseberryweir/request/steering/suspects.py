"""Tracks requests that crash the upstreams that run them.

A request becomes a suspect if an upstream closes the connection before any byte
of the answer, or amid the answer and has ended (see `crash_checks`). Its
retries have the same fingerprint (a digest of the content) at every host. With
their heartbeats hosts exchange the incarnations (process starts) of upstreams
that each suspect may have crashed. After `CRASH_LIMIT` of these without an
answer to any retry, the request is refused. Since a frequent request may just
have been in flight during several crashes, one host of the fleet sends it to an
upstream as a trial from time to time (a circuit breaker for one request),
`MAX_TRIALS` times at most. An answer to any retry clears the suspect on all
hosts. What a host knew before it restarted, the others report in its place.
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
# Time until the first trial; the time until the next one doubles. A crashed
# upstream of the platform restarts within some seconds.
MIN_TRIAL_INTERVAL_SECONDS = 5.0
# Number of trials of all hosts together, which the platform's requirements
# allow.
MAX_TRIALS = 3
# Retry-After of a suspect that gets no further trial.
REFUSED_RETRY_SECONDS = 60.0
# Time without a further crash or trial after which a suspect is removed.
SUSPECT_TTL_SECONDS = 600.0
# Prefix of the names by which trials are reported among the crashed
# incarnations, so that all hosts count them. Earlier builds count them as
# crashes.
TRIAL_PREFIX = "trial/"
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
        number: Number of trials before it.
    """

    due_at: float
    number: int


class SuspectTracker:
    """Tracks the requests that crashed upstreams, at this host and its peers.

    Attributes:
        own_crashes: Crashes observed by this host: the monotonic time of each,
            in seconds, by fingerprint and incarnation of the upstream; also
            its trials, and what restarted hosts had reported.
        trials: The next trial of each refused request, by fingerprint.
        own_trials: Name of the latest trial that this host made, likewise.
        cleared_at: Monotonic time at which each suspect was answered, in
            seconds, by fingerprint.
        cleared_crashes: Crashes before the latest answer to a suspect, by
            fingerprint. They are ignored, since the last heartbeat of a host
            that is down may still contain them.
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
        self.own_trials: dict[str, str] = {}
        self.cleared_at: dict[str, float] = {}
        self.cleared_crashes: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )

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
            self._clear(fingerprint)

    def clear(self, fingerprints: Iterable[str]) -> None:
        """Removes suspects that a peer has cleared.

        Args:
            fingerprints: Fingerprints of the suspects.
        """
        for fingerprint in fingerprints:
            self._clear(fingerprint)

    def adopt(self, crashes: CrashesByFingerprint) -> None:
        """Records the crashes that a host reported before it restarted."""
        for fingerprint, incarnations in crashes.items():
            cleared = self.cleared_crashes.get(fingerprint, set())
            known = self.own_crashes.get(fingerprint, {})
            for incarnation in set(incarnations) - cleared - set(known):
                self.record_crash(fingerprint, incarnation)

    def any_suspects(self) -> bool:
        """Returns True if this host or a peer has a suspect."""
        return bool(self.own_crashes) or any(self.peer_crashes())

    def retry_delay(self, fingerprint: str) -> float:
        """Returns 0 if a request may run, else the seconds until a retry.

        Once a request has reached `CRASH_LIMIT`, 0 means that a trial is due at
        this host.
        """
        known = self._crashed_incarnations(fingerprint)
        done = {each for each in known if each.startswith(TRIAL_PREFIX)}
        if len(known - done) < CRASH_LIMIT:
            self.trials.pop(fingerprint, None)
            return 0.0
        now = self.now()
        trial = self._next_trial(fingerprint, known - done, len(done))
        if len(done) >= MAX_TRIALS:
            return REFUSED_RETRY_SECONDS
        trial_host = rendezvous.first(
            fingerprint, self.trial_hosts(fingerprint)
        )
        if trial_host != self.host or now < trial.due_at:
            return max(MIN_TRIAL_INTERVAL_SECONDS / 2, trial.due_at - now)
        return 0.0

    def begin_attempt(self, fingerprint: str) -> float:
        """Returns `retry_delay`; the caller sends the request if it is 0.

        Records the trial if the request is one, so that all hosts count it.
        """
        delay = self.retry_delay(fingerprint)
        if delay == 0.0 and fingerprint in self.trials:
            name = f"{TRIAL_PREFIX}{self.host}/{int(self.now() * 1000)}"
            self.own_trials[fingerprint] = name
            self.record_crash(fingerprint, name)
        return delay

    def end_unexecuted(self, fingerprint: str) -> None:
        """Removes a trial of this host that no upstream ran."""
        name = self.own_trials.pop(fingerprint, None)
        own_crashes = self.own_crashes.get(fingerprint, {})
        if name is None or own_crashes.pop(name, None) is None:
            return
        if not own_crashes:
            del self.own_crashes[fingerprint]
        trial = self.trials.get(fingerprint)
        if trial is not None:
            due_at = self.now() + MIN_TRIAL_INTERVAL_SECONDS
            self.trials[fingerprint] = trial._replace(due_at=due_at)

    def _next_trial(
        self, fingerprint: str, incarnations: set[str], number: int
    ) -> _Trial:
        """Returns the next trial; schedules it after each one that was made.

        Args:
            fingerprint: Fingerprint of the request.
            incarnations: Incarnations that it may have crashed.
            number: Number of trials so far.
        """
        trial = self.trials.get(fingerprint)
        if trial is not None and trial.number >= number:
            return trial
        interval_seconds = MIN_TRIAL_INTERVAL_SECONDS * 2**number
        if trial is None:
            logs.event(
                LOGGER,
                "request-suspected",
                logging.WARNING,
                fingerprint=fingerprint,
                upstreams=",".join(sorted(incarnations)),
                next_try=interval_seconds,
            )
        trial = _Trial(self.now() + interval_seconds, number)
        self.trials[fingerprint] = trial
        return trial

    def _crashed_incarnations(self, fingerprint: str) -> set[str]:
        """Returns the incarnations that a request may have crashed.

        Among them are names that stand for its trials.
        """
        incarnations = set(self.own_crashes.get(fingerprint, ()))
        for crashes in self.peer_crashes():
            incarnations.update(crashes.get(fingerprint, ()))
        return incarnations - self.cleared_crashes.get(fingerprint, set())

    def _clear(self, fingerprint: str) -> None:
        """Removes a suspect that was answered; ignores its crashes so far."""
        crashes = self._crashed_incarnations(fingerprint)
        if crashes:
            self.cleared_crashes.setdefault(fingerprint, set()).update(crashes)
            self.cleared_crashes.move_to_end(fingerprint)
            if len(self.cleared_crashes) > MAX_SUSPECTS:
                self.cleared_crashes.popitem(last=False)
        self._drop(fingerprint)

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
        self.own_trials.pop(fingerprint, None)
        self.trials.pop(fingerprint, None)
