"""What this host has seen of each upstream: load, speed, failures.

Load is what the upstream said last, corrected by what this host has sent and
got back since. Speed is the ratio of the time an answer took to what answers
of its class take on the whole. Failures eject an upstream for a while; it then
gets one request at a time until one succeeds (outlier ejection).
"""

from collections.abc import Callable
import logging
import math
from typing import NamedTuple

from gooseberryweir import logs

LOGGER = logging.getLogger(__name__)

# Ejection after failures; doubles up to the maximum. The least is the time in
# which a short stall ends, the most is below the time in which a backend of
# the users is back after a crash.
EJECT_SECONDS = 0.5
MAX_EJECT_SECONDS = 4.0
# Evidence from failures in a row after which an upstream is ejected.
EJECT_EVIDENCE = 2
# Silence after which an upstream that lets requests time out counts as down;
# one that answers others is only slow or full.
SILENT_SECONDS = 1.0
# Weight of the newest sample in an upstream's speed and failure averages.
SAMPLE_WEIGHT = 0.15
# Time constants with which what an upstream said of its load fades: requests
# that wait are soon run; requests that run are followed by others.
WAITING_SECONDS = 0.4
RUNNING_SECONDS = 2.0
# Objects that are remembered for an upstream; more than one keeps warm.
MAX_OBJECTS = 128
# Time after which an object that was not asked for may be cold again.
WARM_SECONDS = 20.0
# Time constant with which an old opinion of an upstream fades.
OPINION_SECONDS = 4.0
# A request that was shed can run elsewhere at once; it counts as a third of one
# that was lost.
SHED_PART = 1 / 3
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0


class Estimate(NamedTuple):
    """What an upstream is expected to do with one more request.

    Attributes:
        busy: Requests that it has, running and waiting.
        slots: Requests that it runs at once.
        slowness: Time its answers take over what others take.
        failing: Part of the requests that fail.
        missing: Part of the objects expected to be warm that are not.
    """

    busy: float
    slots: int
    slowness: float
    failing: float
    missing: float = 0.0


class UpstreamState:
    """What this host has seen of one upstream."""

    def __init__(self, name: str, slots: int, now: float) -> None:
        self.name = name
        self.slots = slots
        self.in_flight = 0
        self.reported = 0.0
        self.reported_at = now
        self.in_flight_then = 0
        # Requests of the other hosts, averaged over the reports.
        self.usual = 0.0
        self.sampled_at = now
        self.answered_at = now
        self.objects: dict[str, float] = {}
        self.slowness = 1.0
        self.failing = 0.0
        self.missing = 0.0
        self.evidence = 0
        self.ejected_until = 0.0
        self.ejections = 0

    def estimate(self, now: float) -> Estimate:
        """Returns what to expect of one more request."""
        since = now - self.reported_at
        others = max(0.0, self.reported - self.in_flight_then)
        running = min(others, float(self.slots))
        # What a report said fades, and what is usual comes back: the other
        # hosts go on sending. Without reports that fades too.
        usual = self.usual * math.exp(-since / OPINION_SECONDS)
        busy = self.in_flight + max(
            usual * (1 - math.exp(-since / WAITING_SECONDS)),
            running * math.exp(-since / RUNNING_SECONDS)
            + (others - running) * math.exp(-since / WAITING_SECONDS),
        )
        faded = math.exp(-(now - self.sampled_at) / OPINION_SECONDS)
        return Estimate(
            busy,
            self.slots,
            1 + (self.slowness - 1) * faded,
            self.failing * faded,
            self.missing * faded,
        )

    def _fade(self, now: float) -> None:
        """Lets the old opinion fade before a new sample."""
        faded = math.exp(-(now - self.sampled_at) / OPINION_SECONDS)
        self.slowness = 1 + (self.slowness - 1) * faded
        self.failing *= faded
        self.missing *= faded
        self.sampled_at = now

    def found(self, warm: bool) -> None:
        """Notes whether an object expected to be warm was so."""
        self.missing += SAMPLE_WEIGHT * ((not warm) - self.missing)

    def warm(self, name: str, now: float) -> bool:
        """Whether this host sent requests for an object here lately."""
        return now - self.objects.get(name, float("-inf")) < WARM_SECONDS

    def ran(self, name: str, now: float) -> None:
        """Notes that the upstream handled an object."""
        self.objects.pop(name, None)
        self.objects[name] = now
        if len(self.objects) > MAX_OBJECTS:
            del self.objects[next(iter(self.objects))]

    def usable(self, now: float) -> bool:
        """Whether it may get a request now."""
        if self.ejected_until == 0.0:
            return True
        return now >= self.ejected_until and self.in_flight == 0

    def sent(self) -> None:
        """Notes that a request is on its way."""
        self.in_flight += 1

    def ended(self) -> None:
        """Notes that a request has its answer or was given up."""
        self.in_flight -= 1

    def load_reported(self, busy: int, slots: int, now: float) -> None:
        """Notes what the upstream says of its load, without this answer."""
        self.reported = float(busy)
        self.reported_at = now
        self.in_flight_then = self.in_flight
        self.slots = max(1, slots)
        others = max(0.0, self.reported - self.in_flight)
        self.usual += SAMPLE_WEIGHT * (others - self.usual)

    def succeeded(self, now: float, ratio: float | None) -> None:
        """Notes a good answer.

        Args:
            now: Reading of the clock.
            ratio: Time that it took over what it takes on the whole; None
                if it waited, so that its time says nothing of the speed.
        """
        self.answered_at = now
        if self.ejected_until:
            logs.event(LOGGER, "upstream-readmitted", upstream=self.name)
        self.evidence = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self._fade(now)
        self.failing *= 1 - SAMPLE_WEIGHT
        if ratio is not None:
            bounded = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
            self.slowness += SAMPLE_WEIGHT * (bounded - self.slowness)

    def timed_out(self, now: float, seconds: float, mean_work: float) -> None:
        """Notes a request that had no answer in its time.

        It tells of the load although no answer does: what has not run after
        some time has that much work before it (Little's law).

        Args:
            now: Reading of the clock.
            seconds: Time since it was sent.
            mean_work: Seconds that requests of the service take.
        """
        if now - self.answered_at > SILENT_SECONDS:
            self.failed(now, "timeout", 1)
        told = self.slots * seconds / mean_work
        if told > self.estimate(now).busy:
            self.load_reported(int(told), self.slots, now)

    def shed(self, now: float) -> None:
        """Notes a request that the upstream did not run."""
        self.answered_at = now
        self._fade(now)
        self.failing += SAMPLE_WEIGHT * (SHED_PART - self.failing)

    def failed(self, now: float, reason: str, evidence: int) -> None:
        """Notes a failure.

        Args:
            now: Reading of the clock.
            reason: What failed, for the log.
            evidence: How much it shows that the upstream is down: 0 not at
                all, 1 somewhat, `EJECT_EVIDENCE` for certain.
        """
        self._fade(now)
        self.failing += SAMPLE_WEIGHT * (1 - self.failing)
        self.evidence += evidence
        if now < self.ejected_until:
            # Requests that were on their way together say nothing more.
            return
        certain = self.evidence >= EJECT_EVIDENCE or self.ejections > 0
        if evidence and certain:
            length = min(MAX_EJECT_SECONDS, EJECT_SECONDS * 2**self.ejections)
            self.ejected_until = now + length
            self.ejections += 1
            logs.event(
                LOGGER,
                "upstream-ejected",
                upstream=self.name,
                reason=reason,
                seconds=length,
                evidence=self.evidence,
            )


class UpstreamStates:
    """The states of all upstreams, by name of their start."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.states: dict[str, UpstreamState] = {}

    def get(self, name: str, slots: int) -> UpstreamState:
        """Returns the state of an upstream, made on first use."""
        state = self.states.get(name)
        if state is None:
            state = UpstreamState(name, slots, self.now())
            self.states[name] = state
        return state

    def forget(self, names: set[str]) -> None:
        """Drops the states of upstreams that are gone."""
        for name in names:
            self.states.pop(name, None)
