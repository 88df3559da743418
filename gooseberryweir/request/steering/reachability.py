"""Tells whether this host reaches any upstream.

To a host that has lost its links to all upstreams, each upstream seems to be
down. So if several upstreams in a row do not answer, the host probes some
others, preferably those that answered most recently. If none of them answers,
the host concludes that it is cut off. While it is cut off it probes a few
upstreams at intervals, so that no request is needed to detect the end of the
cut.
"""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import random
from typing import NamedTuple

import eventlet

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir import tasks
from gooseberryweir.version import traffic

LOGGER = logging.getLogger(__name__)

# Number of upstreams without an answer from which on others are probed.
MIN_FAILED_UPSTREAMS = 2
# Time without an answer of any upstream, while several have requests of this
# host, after which others are probed.
SILENCE_SECONDS = 0.8
# Upstreams probed at a time, in different availability zones if possible.
PROBES_PER_ROUND = 3
PROBE_TIMEOUT_SECONDS = 0.4
# Interval of the rounds of probes.
PROBE_INTERVAL_SECONDS = 0.5


class Probing(NamedTuple):
    """Functions that find upstreams and probe them.

    Attributes:
        upstreams: Returns the upstreams that take requests.
        probe: Asks an upstream for any answer over a new connection; returns
            True if it came within a number of seconds.
    """

    upstreams: Callable[[], Iterable[traffic.Upstream]]
    probe: Callable[[traffic.Upstream, float], bool]


class UpstreamReachability:
    """Whether this host reaches any upstream.

    Attributes:
        probing: Finds upstreams and probes them.
        clock: Source of time.
        rng: Selects the upstreams to probe.
        reachable: False while this host is cut off, as far as it knows.
        listeners: Functions called after each change of `reachable`.
        unanswered: Upstreams without an answer since the last answer of any.
        unconnected: Upstreams whose new connections gave no answer since the
            last new connection to any that did.
        outstanding: Number of requests in flight by name of the upstream.
        quiet_since: Monotonic time, in seconds, of the last answer, or of the
            first request in flight after it.
        suspected_at: Monotonic time, in seconds, of the first failure since the
            last answer, or None.
        answered_at: Monotonic time of the last answer of each upstream.
        last_answer_at: Monotonic time, in seconds, of the last answer.
        new_answered_at: The same, over a connection that was opened for its
            request.
        lost_at: Monotonic time, in seconds, at which `reachable` became False.
        probing_at: Monotonic time of the start of the last round of probes.
        is_probing: True while a task sends probes.
    """

    def __init__(
        self, probing: Probing, clock: clocks.Clock, rng: random.Random
    ) -> None:
        self.probing = probing
        self.clock = clock
        self.rng = rng
        self.reachable = True
        self.listeners: list[Callable[[], None]] = []
        self.unanswered: set[str] = set()
        self.unconnected: set[str] = set()
        self.outstanding: dict[str, int] = {}
        self.quiet_since = clock.monotonic()
        self.suspected_at: float | None = None
        self.answered_at: dict[str, float] = {}
        self.last_answer_at = float("-inf")
        self.new_answered_at = float("-inf")
        self.lost_at = clock.monotonic()
        self.probing_at = float("-inf")
        self.is_probing = False

    # Evidence from requests.

    def record_sent(self, name: str) -> None:
        """Records that a request to an upstream is in flight."""
        now = self.clock.monotonic()
        if not self.outstanding:
            self.quiet_since = now
        self.outstanding[name] = self.outstanding.get(name, 0) + 1
        if (
            now - self.quiet_since > SILENCE_SECONDS
            and len(self.outstanding) >= MIN_FAILED_UPSTREAMS
        ):
            self._suspect()

    def record_ended(self, name: str) -> None:
        """Records that a request to an upstream is no longer in flight."""
        count = self.outstanding.pop(name, 0) - 1
        if count > 0:
            self.outstanding[name] = count

    def record_answer(self, name: str, new_connection: bool) -> None:
        """Records that an upstream sent any byte of an answer.

        Args:
            name: Name of the upstream's incarnation.
            new_connection: True if a connection was opened for the request.
        """
        now = self.clock.monotonic()
        self.answered_at[name] = self.quiet_since = self.last_answer_at = now
        self.unanswered.clear()
        if new_connection:
            self.new_answered_at = now
            self.unconnected.clear()
        if not self.unconnected:
            self.suspected_at = None

    def record_no_answer(self, name: str, new_connection: bool) -> None:
        """Records that a connection failed, or ended without an answer.

        Args:
            name: Name of the upstream's incarnation.
            new_connection: True if the connection was opened, or failed to
                open, for the request.
        """
        if self.suspected_at is None:
            self.suspected_at = self.clock.monotonic()
        self.unanswered.add(name)
        if new_connection:
            self.unconnected.add(name)
        failed = max(len(self.unanswered), len(self.unconnected))
        if failed >= MIN_FAILED_UPSTREAMS or failed >= len(
            list(self.probing.upstreams())
        ):
            self._suspect()

    # Probes.

    def _suspect(self) -> None:
        """Starts to probe upstreams unless that was done just now."""
        now = self.clock.monotonic()
        if self.is_probing or now - self.probing_at < PROBE_INTERVAL_SECONDS:
            return
        self.is_probing = True
        tasks.spawn("probe upstreams", self._probe_until_reachable)

    def _probe_until_reachable(self) -> None:
        """Sends rounds of probes until an upstream answers one."""
        while True:
            self.probing_at = self.clock.monotonic()
            upstreams = list(self.probing.upstreams())
            if (
                not upstreams
                or self._probe_any(self._select(upstreams))
                or self._answered_since(self.probing_at)
            ):
                self._set_reachable(True)
                self.is_probing = False
                return
            self._set_reachable(False)
            elapsed = self.clock.monotonic() - self.probing_at
            self.clock.sleep(max(0.0, PROBE_INTERVAL_SECONDS - elapsed))

    def _answered_since(self, start: float) -> bool:
        """Returns True if an answer to a request shows that there is no cut.

        Overloaded upstreams refuse new connections, so that they answer no
        probe, while requests in flight are answered. Answers over connections
        that were open before do not count while new ones to several upstreams
        fail.

        Args:
            start: Monotonic time in seconds.
        """
        if len(self.unconnected) >= MIN_FAILED_UPSTREAMS:
            return self.new_answered_at > start
        return self.last_answer_at > start

    def _select(
        self, upstreams: list[traffic.Upstream]
    ) -> list[traffic.Upstream]:
        """Returns the upstreams to probe.

        Prefers those that answered most recently until the host is cut off,
        selects at random afterwards, and prefers different availability zones.
        """
        ordered = list(upstreams)
        self.rng.shuffle(ordered)
        if self.reachable:
            ordered.sort(key=lambda each: -self.answered_at.get(each.name, 0.0))
        zones: set[str] = set()
        first: list[traffic.Upstream] = []
        rest: list[traffic.Upstream] = []
        for each in ordered:
            (rest if each.zone in zones else first).append(each)
            zones.add(each.zone)
        return (first + rest)[:PROBES_PER_ROUND]

    def _probe_any(self, upstreams: list[traffic.Upstream]) -> bool:
        """Probes upstreams concurrently; returns True if any answers."""
        tasks = [
            eventlet.spawn(self.probing.probe, each, PROBE_TIMEOUT_SECONDS)
            for each in upstreams
        ]
        answered = [
            each.name
            for each, task in zip(upstreams, tasks, strict=True)
            if task.wait()
        ]
        for name in answered:
            self.record_answer(name, new_connection=True)
        return bool(answered)

    @property
    def failing_since(self) -> float:
        """Monotonic time, in seconds, from which on nothing was answered."""
        return (
            self.quiet_since if self.suspected_at is None else self.suspected_at
        )

    def _set_reachable(self, reachable: bool) -> None:
        if reachable == self.reachable:
            return
        self.reachable = reachable
        now = self.clock.monotonic()
        if reachable:
            logs.event(
                LOGGER, "upstreams-reachable", seconds=now - self.lost_at
            )
        else:
            self.lost_at = now
            logs.event(
                LOGGER,
                "upstreams-unreachable",
                logging.WARNING,
                failed=",".join(sorted(self.unanswered | self.unconnected)),
                seconds=now - self.failing_since,
            )
        for listener in self.listeners:
            listener()

    def retain(self, names: set[str]) -> None:
        """Forgets all other upstreams, which no longer exist."""
        self.unanswered &= names
        self.unconnected &= names
        for name in set(self.answered_at) - names:
            del self.answered_at[name]
