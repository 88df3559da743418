"""Tracks the load, speed and failures of each upstream as seen by this host.

The load is the last load that the upstream reported, corrected by the requests
that this host has sent and completed since. The speed is tracked as slowness:
the ratio of the upstream's processing times to the average times of such
requests at all upstreams. After failures an upstream is ejected: it gets no
request for some time, then one at a time until one succeeds (outlier ejection).
"""

from collections.abc import Callable
import logging
import math
from typing import NamedTuple

from gooseberryweir import logs

LOGGER = logging.getLogger(__name__)

# Length of the first ejection; the next ones double up to the maximum. The
# minimum covers a short stall; the maximum is shorter than the time in which an
# upstream of the platform restarts after a crash.
MIN_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 4.0
# Each failure has a score: 0 if it does not indicate that the upstream is down,
# 1 if it may, 2 if it shows that it is. The upstream is ejected when the scores
# of consecutive failures add up to this.
EJECTION_SCORE = 2
# Time without any answer after which timeouts count as failures of an upstream;
# one that still answers other requests is only slow or has no free slot.
UNRESPONSIVE_SECONDS = 1.0
# Weight of the newest sample in the moving averages.
SAMPLE_WEIGHT = 0.15
# Time constants with which the load in an upstream's latest report decays. The
# number of waiting requests decays faster, since they start soon; that of the
# running ones decays more slowly, since each that ends is followed by another.
WAITING_DECAY_SECONDS = 0.4
RUNNING_DECAY_SECONDS = 2.0
# Objects tracked per upstream; more than an upstream keeps warm (see
# `placement`).
MAX_TRACKED_OBJECTS = 128
# Time after which an object without requests may be cold again.
WARM_SECONDS = 20.0
# Time constant with which slowness, ratios and the average load from peers
# return to their initial values while there are no new samples.
ESTIMATE_DECAY_SECONDS = 4.0
# Weight in the failure ratio of a request that the upstream refused to run:
# another upstream can run it at once, so it counts as a third of a failed one.
SHED_FAILURE_WEIGHT = 1 / 3
# Bounds of one sample of the slowness (see `Estimate`).
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0


class Estimate(NamedTuple):
    """Expected state of an upstream at the arrival of a further request.

    Attributes:
        outstanding: Requests at the upstream, running and waiting.
        slots: Requests that the upstream runs at once.
        slowness: Ratio of its processing times to those of all upstreams.
        failure_ratio: Fraction of the requests that fail.
        miss_ratio: Among the objects expected to be warm at the upstream, the
            fraction that is cold.
    """

    outstanding: float
    slots: int
    slowness: float
    failure_ratio: float
    miss_ratio: float = 0.0


class UpstreamState:
    """Load, speed and failures of one upstream as seen by this host.

    Attributes:
        name: Name of this incarnation of the upstream.
        slots: Requests that the upstream runs at once.
        in_flight: Requests of this host in flight to the upstream.
        reported_load: Running and waiting requests in the last report.
        reported_at: Monotonic time of the last report, in seconds.
        in_flight_at_report: Value of in_flight at the last report.
        average_peer_load: Running and waiting requests that peers have sent,
            averaged over reports.
        sampled_at: Monotonic time, in seconds, of the last sample of slowness
            or failure_ratio.
        last_answer_at: Monotonic time of the last answer, in seconds.
        last_run_sent_at: Monotonic time, in seconds, at which the request was
            sent that was sent last of those that the upstream ran.
        last_run_seconds: Seconds from its sending to its answer.
        handled_at: Monotonic time at which each recent object was handled,
            oldest first.
        slowness: Ratio of its processing times to those of all upstreams.
        failure_ratio: Fraction of the requests that fail.
        miss_ratio: Among the objects expected to be warm at the upstream, the
            fraction that is cold.
        failure_score: Sum of the scores of the failures since the last success.
        silent_score: Sum of those in which the upstream sent nothing.
        ejected_until: Monotonic time, in seconds, at which the last ejection
            ends or ended; 0 if there was none since the last success.
        consecutive_ejections: Ejections since the last success.
    """

    def __init__(self, name: str, slots: int, now: float) -> None:
        self.name = name
        self.slots = slots
        self.in_flight = 0
        self.reported_load = 0.0
        self.reported_at = now
        self.in_flight_at_report = 0
        self.average_peer_load = 0.0
        self.sampled_at = now
        self.last_answer_at = now
        self.last_run_sent_at = float("-inf")
        self.last_run_seconds = 0.0
        self.handled_at: dict[str, float] = {}
        self.slowness = 1.0
        self.failure_ratio = 0.0
        self.miss_ratio = 0.0
        self.failure_score = 0
        self.silent_score = 0
        self.ejected_until = 0.0
        self.consecutive_ejections = 0

    def estimate(self, now: float) -> Estimate:
        """Returns the expected state at the arrival of a further request."""
        report_age = now - self.reported_at
        peer_load = max(0.0, self.reported_load - self.in_flight_at_report)
        running = min(peer_load, float(self.slots))
        # The reported load decays towards the average load of peers, which
        # continue to send. Without reports that average decays too.
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
        """Applies the decay since the last sample to slowness and ratios."""
        decay = math.exp(-(now - self.sampled_at) / ESTIMATE_DECAY_SECONDS)
        self.slowness = 1 + (self.slowness - 1) * decay
        self.failure_ratio *= decay
        self.miss_ratio *= decay
        self.sampled_at = now

    def record_affinity_result(self, hit: bool) -> None:
        """Records whether an object that was expected to be warm was warm.

        Args:
            hit: True if the object was warm.
        """
        self.miss_ratio += SAMPLE_WEIGHT * ((not hit) - self.miss_ratio)

    def handled_recently(self, object_name: str, now: float) -> bool:
        """Returns True if the upstream recently ran a request for an object."""
        return (
            now - self.handled_at.get(object_name, float("-inf")) < WARM_SECONDS
        )

    def record_object(self, object_name: str, now: float) -> None:
        """Records that the upstream handled an object."""
        self.handled_at.pop(object_name, None)
        self.handled_at[object_name] = now
        if len(self.handled_at) > MAX_TRACKED_OBJECTS:
            del self.handled_at[next(iter(self.handled_at))]

    def is_usable(self, now: float) -> bool:
        """Returns True if the upstream may get a request now."""
        if self.ejected_until == 0.0:
            return True
        return now >= self.ejected_until and self.in_flight == 0

    def is_last_resort(self) -> bool:
        """Returns True if an ejected upstream may serve while no other may.

        It sends bytes, although not the answers to some requests.
        """
        return self.ejected_until > 0.0 and self.silent_score == 0

    def record_sent(self) -> None:
        """Records that a request is in flight."""
        self.in_flight += 1

    def record_ended(self) -> None:
        """Records that a request is no longer in flight."""
        self.in_flight -= 1

    def record_load(self, outstanding: int, slots: int, now: float) -> None:
        """Records the load that the upstream reports with an answer.

        Args:
            outstanding: Running and waiting requests, without the answered one.
            slots: Requests that the upstream runs at once.
            now: Monotonic time in seconds.
        """
        self.reported_load = float(outstanding)
        self.reported_at = now
        self.in_flight_at_report = self.in_flight
        self.slots = max(1, slots)
        peer_load = max(0.0, self.reported_load - self.in_flight)
        self.average_peer_load += SAMPLE_WEIGHT * (
            peer_load - self.average_peer_load
        )

    def record_run(self, now: float, sent_at: float) -> None:
        """Records an answer to a request that the upstream ran.

        Args:
            now: Monotonic time in seconds.
            sent_at: Monotonic time, in seconds, at which the request was sent.
        """
        if sent_at >= self.last_run_sent_at:
            self.last_run_sent_at = sent_at
            self.last_run_seconds = now - sent_at

    def record_success(self, now: float, time_ratio: float | None) -> None:
        """Records a successful answer.

        Args:
            now: Monotonic time in seconds.
            time_ratio: Ratio of the processing time to the average; None if the
                request waited for a slot, since its time then does not measure
                the speed.
        """
        self.last_answer_at = now
        if self.ejected_until:
            logs.event(LOGGER, "upstream-readmitted", upstream=self.name)
        self.end_ejection()
        self._decay_estimates(now)
        self.failure_ratio *= 1 - SAMPLE_WEIGHT
        if time_ratio is not None:
            clamped = min(MAX_SLOWNESS, max(MIN_SLOWNESS, time_ratio))
            self.slowness += SAMPLE_WEIGHT * (clamped - self.slowness)

    def record_timeout(
        self,
        now: float,
        elapsed_seconds: float,
        mean_seconds: float,
        held_up: bool = False,
    ) -> None:
        """Records a request without an answer before its deadline.

        As no answer reports the load, it is estimated from the elapsed time:
        the upstream could process slots * elapsed_seconds / mean_seconds
        requests in it, so at least as many were ahead (Little's law). A
        request that the upstream did not read in full waited for no slot. If
        one that was sent later has been answered, none waits for longer than
        that one took.

        Args:
            now: Monotonic time in seconds.
            elapsed_seconds: Time since the request was sent.
            mean_seconds: Mean processing time of the service's requests.
            held_up: True if the upstream did not read the whole request.
        """
        if now - self.last_answer_at > UNRESPONSIVE_SECONDS:
            self.record_failure(now, "timeout", 1)
        if held_up:
            return
        max_wait = elapsed_seconds
        if self.last_run_sent_at > now - elapsed_seconds:
            max_wait = min(max_wait, self.last_run_seconds)
        implied_load = self.slots * max_wait / mean_seconds
        if implied_load > self.estimate(now).outstanding:
            self.record_load(int(implied_load), self.slots, now)

    def record_shed(self, now: float) -> None:
        """Records a request that the upstream refused to run."""
        self.last_answer_at = now
        self._decay_estimates(now)
        self.failure_ratio += SAMPLE_WEIGHT * (
            SHED_FAILURE_WEIGHT - self.failure_ratio
        )

    def record_failure(
        self, now: float, reason: str, score: int, silent: bool = True
    ) -> None:
        """Records a failure and ejects the upstream if it seems to be down.

        Once an ejection has ended, and until the next success, any failure with
        a score above 0 ejects the upstream again.

        Args:
            now: Monotonic time in seconds.
            reason: Cause of the failure, for the log.
            score: Score of the failure: 0 if it does not indicate that the
                upstream is down, 1 if it may, `EJECTION_SCORE` if it shows that
                it is.
            silent: True if the upstream sent nothing.
        """
        self._decay_estimates(now)
        self.failure_ratio += SAMPLE_WEIGHT * (1 - self.failure_ratio)
        self.failure_score += score
        self.silent_score += score if silent else 0
        if now < self.ejected_until:
            # The failures of requests that were in flight at the same time
            # eject the upstream only once.
            return
        is_down = (
            self.failure_score >= EJECTION_SCORE
            or self.consecutive_ejections > 0
        )
        if score and is_down:
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
                evidence=self.failure_score,
            )

    def end_ejection(self) -> None:
        """Lets the upstream get requests again at once."""
        self.failure_score = self.silent_score = 0
        self.consecutive_ejections = 0
        self.ejected_until = 0.0


class UpstreamStates:
    """States of all upstreams, by the name of their incarnation."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.states: dict[str, UpstreamState] = {}

    def get(self, name: str, slots: int) -> UpstreamState:
        """Returns the state of an upstream, created on first use."""
        state = self.states.get(name)
        if state is None:
            state = UpstreamState(name, slots, self.now())
            self.states[name] = state
        return state

    def remove(self, names: set[str]) -> None:
        """Removes the states of upstreams that no longer exist."""
        for name in names:
            self.states.pop(name, None)
