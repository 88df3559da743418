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
MIN_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 4.0
# Evidence from failures in a row after which an upstream is ejected.
EJECTION_EVIDENCE = 2
# Silence after which an upstream that lets requests time out counts as down;
# one that answers others is only slow or full.
UNRESPONSIVE_SECONDS = 1.0
# Weight of the newest sample in an upstream's speed and failure averages.
SAMPLE_WEIGHT = 0.15
# Time constants with which what an upstream said of its load fades: requests
# that wait are soon run; requests that run are followed by others.
WAITING_DECAY_SECONDS = 0.4
RUNNING_DECAY_SECONDS = 2.0
# Objects that are remembered for an upstream; more than one keeps warm.
MAX_TRACKED_OBJECTS = 128
# Time after which an object that was not asked for may be cold again.
WARM_SECONDS = 20.0
# Time constant with which an old opinion of an upstream fades.
ESTIMATE_DECAY_SECONDS = 4.0
# A request that was shed can run elsewhere at once; it counts as a third of one
# that was lost.
SHED_FAILURE_WEIGHT = 1 / 3
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

    outstanding: float
    slots: int
    slowness: float
    failure_ratio: float
    miss_ratio: float = 0.0


class UpstreamState:
    """What this host has seen of one upstream."""

    def __init__(self, name: str, slots: int, now: float) -> None:
        self.name = name
        self.slots = slots
        self.in_flight = 0
        self.reported_load = 0.0
        self.reported_at = now
        self.in_flight_at_report = 0
        # Requests of the other hosts, averaged over the reports.
        self.average_peer_load = 0.0
        self.sampled_at = now
        self.last_answer_at = now
        self.handled_at: dict[str, float] = {}
        self.slowness = 1.0
        self.failure_ratio = 0.0
        self.miss_ratio = 0.0
        self.evidence = 0
        self.ejected_until = 0.0
        self.consecutive_ejections = 0

    def estimate(self, now: float) -> Estimate:
        """Returns what to expect of one more request."""
        report_age = now - self.reported_at
        peer_load = max(0.0, self.reported_load - self.in_flight_at_report)
        running = min(peer_load, float(self.slots))
        # What a report said fades, and what is usual comes back: the other
        # hosts go on sending. Without reports that fades too.
        average_peer_load = self.average_peer_load * math.exp(
            -report_age / ESTIMATE_DECAY_SECONDS
        )
        outstanding = self.in_flight + max(
            average_peer_load
            * (1 - math.exp(-report_age / WAITING_DECAY_SECONDS)),
            running * math.exp(-report_age / RUNNING_DECAY_SECONDS)
            + (peer_load - running)
            * math.exp(-report_age / WAITING_DECAY_SECONDS),
        )
        decay = math.exp(-(now - self.sampled_at) / ESTIMATE_DECAY_SECONDS)
        return Estimate(
            outstanding,
            self.slots,
            1 + (self.slowness - 1) * decay,
            self.failure_ratio * decay,
            self.miss_ratio * decay,
        )

    def _decay_estimates(self, now: float) -> None:
        """Lets the old opinion fade before a new sample."""
        decay = math.exp(-(now - self.sampled_at) / ESTIMATE_DECAY_SECONDS)
        self.slowness = 1 + (self.slowness - 1) * decay
        self.failure_ratio *= decay
        self.miss_ratio *= decay
        self.sampled_at = now

    def record_affinity_result(self, hit: bool) -> None:
        """Notes whether an object expected to be warm was so."""
        self.miss_ratio += SAMPLE_WEIGHT * ((not hit) - self.miss_ratio)

    def handled_recently(self, object_name: str, now: float) -> bool:
        """Whether this host sent requests for an object here lately."""
        return (
            now - self.handled_at.get(object_name, float("-inf")) < WARM_SECONDS
        )

    def record_object(self, object_name: str, now: float) -> None:
        """Notes that the upstream handled an object."""
        self.handled_at.pop(object_name, None)
        self.handled_at[object_name] = now
        if len(self.handled_at) > MAX_TRACKED_OBJECTS:
            del self.handled_at[next(iter(self.handled_at))]

    def is_usable(self, now: float) -> bool:
        """Whether it may get a request now."""
        if self.ejected_until == 0.0:
            return True
        return now >= self.ejected_until and self.in_flight == 0

    def record_sent(self) -> None:
        """Notes that a request is on its way."""
        self.in_flight += 1

    def record_ended(self) -> None:
        """Notes that a request has its answer or was given up."""
        self.in_flight -= 1

    def record_load(self, outstanding: int, slots: int, now: float) -> None:
        """Notes what the upstream says of its load, without this answer."""
        self.reported_load = float(outstanding)
        self.reported_at = now
        self.in_flight_at_report = self.in_flight
        self.slots = max(1, slots)
        peer_load = max(0.0, self.reported_load - self.in_flight)
        self.average_peer_load += SAMPLE_WEIGHT * (
            peer_load - self.average_peer_load
        )

    def record_success(self, now: float, time_ratio: float | None) -> None:
        """Notes a good answer.

        Args:
            now: Reading of the clock.
            time_ratio: Time that it took over what it takes on the whole; None
                if it waited, so that its time says nothing of the speed.
        """
        self.last_answer_at = now
        if self.ejected_until:
            logs.event(LOGGER, "upstream-readmitted", upstream=self.name)
        self.evidence = 0
        self.consecutive_ejections = 0
        self.ejected_until = 0.0
        self._decay_estimates(now)
        self.failure_ratio *= 1 - SAMPLE_WEIGHT
        if time_ratio is not None:
            clamped = min(MAX_SLOWNESS, max(MIN_SLOWNESS, time_ratio))
            self.slowness += SAMPLE_WEIGHT * (clamped - self.slowness)

    def record_timeout(
        self, now: float, elapsed_seconds: float, mean_seconds: float
    ) -> None:
        """Notes a request that had no answer in its time.

        It tells of the load although no answer does: what has not run after
        some time has that much work before it (Little's law).

        Args:
            now: Reading of the clock.
            elapsed_seconds: Time since it was sent.
            mean_seconds: Seconds that requests of the service take.
        """
        if now - self.last_answer_at > UNRESPONSIVE_SECONDS:
            self.record_failure(now, "timeout", 1)
        implied_load = self.slots * elapsed_seconds / mean_seconds
        if implied_load > self.estimate(now).outstanding:
            self.record_load(int(implied_load), self.slots, now)

    def record_shed(self, now: float) -> None:
        """Notes a request that the upstream did not run."""
        self.last_answer_at = now
        self._decay_estimates(now)
        self.failure_ratio += SAMPLE_WEIGHT * (
            SHED_FAILURE_WEIGHT - self.failure_ratio
        )

    def record_failure(self, now: float, reason: str, evidence: int) -> None:
        """Notes a failure.

        Args:
            now: Reading of the clock.
            reason: What failed, for the log.
            evidence: How much it shows that the upstream is down: 0 not at
                all, 1 somewhat, `EJECT_EVIDENCE` for certain.
        """
        self._decay_estimates(now)
        self.failure_ratio += SAMPLE_WEIGHT * (1 - self.failure_ratio)
        self.evidence += evidence
        if now < self.ejected_until:
            # Requests that were on their way together say nothing more.
            return
        is_down = (
            self.evidence >= EJECTION_EVIDENCE or self.consecutive_ejections > 0
        )
        if evidence and is_down:
            duration = min(
                MAX_EJECTION_SECONDS,
                MIN_EJECTION_SECONDS * 2**self.consecutive_ejections,
            )
            self.ejected_until = now + duration
            self.consecutive_ejections += 1
            logs.event(
                LOGGER,
                "upstream-ejected",
                upstream=self.name,
                reason=reason,
                seconds=duration,
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
