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
FIRST_TRIAL_SECONDS = 5.0
MAX_TRIAL_SECONDS = 60.0
# Time after which a suspect that did not come again is forgotten.
FORGET_SECONDS = 120.0
# Suspects that a host remembers, and those of them that fit into a beat.
MAX_SUSPECTS = 256
MAX_TOLD = 16
# Time for which an answer to a suspect is told: several beats.
CLEARED_SECONDS = 3.0

Crashes = Mapping[str, Iterable[str]]


class _Trial(NamedTuple):
    at: float
    interval: float


class Suspects:
    """What this host saw of requests that end upstreams."""

    def __init__(
        self,
        host: str,
        hosts: Callable[[], Iterable[str]],
        others: Callable[[], Iterable[Crashes]],
        now: Callable[[], float],
    ) -> None:
        """Starts without any suspect.

        Args:
            host: Name of this host.
            hosts: Returns the names of the hosts that live.
            others: Returns what the other hosts told last.
            now: Reads the clock.
        """
        self.host = host
        self.hosts = hosts
        self.others = others
        self.now = now
        self.own: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )
        self.trials: dict[str, _Trial] = {}
        self.cleared: dict[str, float] = {}

    def told(self) -> dict[str, tuple[str, ...]]:
        """Returns the latest suspects, for the other hosts."""
        self._forget()
        latest = list(self.own.items())[-MAX_TOLD:]
        return {name: tuple(starts) for name, starts in latest}

    def answered(self) -> tuple[str, ...]:
        """Returns the suspects answered lately, for the other hosts."""
        oldest = self.now() - CLEARED_SECONDS
        self.cleared = {
            name: at for name, at in self.cleared.items() if at >= oldest
        }
        return tuple(self.cleared)

    def crashed(self, name: str, start: str) -> None:
        """Notes that an upstream's connection ended under a request.

        Args:
            name: Fingerprint of the request.
            start: Names the start of the upstream.
        """
        starts = self.own.setdefault(name, {})
        starts[start] = self.now()
        self.own.move_to_end(name)
        if len(self.own) > MAX_SUSPECTS:
            self._drop(next(iter(self.own)))

    def succeeded(self, name: str) -> None:
        """Clears a request that an upstream has answered."""
        if self._starts(name):
            self.cleared[name] = self.now()
            self._drop(name)

    def forgive(self, names: Iterable[str]) -> None:
        """Drops suspects that another host saw answered."""
        for name in names:
            self._drop(name)

    def exist(self) -> bool:
        """Whether there is any suspect."""
        return bool(self.own) or any(self.others())

    def wait(self, name: str) -> float:
        """Returns 0 if a request may run, else the seconds until a try.

        A call that returns 0 for a request over the limit uses up the try.
        """
        starts = self._starts(name)
        if len(starts) < CRASH_LIMIT:
            self.trials.pop(name, None)
            return 0.0
        now = self.now()
        trial = self.trials.get(name)
        if trial is None:
            trial = _Trial(now + FIRST_TRIAL_SECONDS, FIRST_TRIAL_SECONDS)
            self.trials[name] = trial
            logs.event(
                LOGGER,
                "request-suspected",
                logging.WARNING,
                fingerprint=name,
                upstreams=",".join(sorted(starts)),
                next_try=FIRST_TRIAL_SECONDS,
            )
        owner = rendezvous.first(name, {*self.hosts(), self.host})
        if owner != self.host or now < trial.at:
            return max(FIRST_TRIAL_SECONDS / 2, trial.at - now)
        longer = min(MAX_TRIAL_SECONDS, 2 * trial.interval)
        self.trials[name] = _Trial(now + longer, longer)
        return 0.0

    def _starts(self, name: str) -> set[str]:
        """Returns the starts of upstreams that a request may have ended."""
        found = set(self.own.get(name, ()))
        for told in self.others():
            found.update(told.get(name, ()))
        return found

    def _forget(self) -> None:
        oldest = self.now() - FORGET_SECONDS
        for name in [
            name
            for name, starts in self.own.items()
            if max(starts.values()) < oldest
        ]:
            self._drop(name)

    def _drop(self, name: str) -> None:
        self.own.pop(name, None)
        self.trials.pop(name, None)
