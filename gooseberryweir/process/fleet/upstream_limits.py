"""Rate limits that upstreams advertise in their answers.

An overloaded upstream advertises the requests per second that it accepts from
all hosts together, in each answer for as long as the limit applies.
"""

from collections.abc import Callable
import logging
import math
from typing import NamedTuple

from gooseberryweir import logs

LOGGER = logging.getLogger(__name__)

# Relative change of a limit from which on other hosts are told.
MIN_CHANGE_FRACTION = 0.05
# Assumed time that a report of another host was under way, so that a report
# never looks newer than what it repeats.
REPORT_DELAY_SECONDS = 0.05


class AdvertisedLimit(NamedTuple):
    """The last limit that an upstream is known to have advertised.

    Attributes:
        rate: Requests per second over all hosts; infinity once answers have no
            limit any more.
        observed_at: Monotonic time, in seconds, of the answer.
    """

    rate: float
    observed_at: float


class UpstreamLimits:
    """The limits that this host knows.

    Attributes:
        now: Returns the monotonic time in seconds.
        limits: Limits by incarnation of the upstream, of those that advertised
            one.
        announced: Rates as of the last call of the listeners, likewise.
        listeners: Functions called with an incarnation when its limit changed.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.limits: dict[str, AdvertisedLimit] = {}
        self.announced: dict[str, float] = {}
        self.listeners: list[Callable[[str], None]] = []

    def rate(self, incarnation: str) -> float:
        """Returns the requests per second that an upstream accepts.

        Args:
            incarnation: Incarnation of the upstream.

        Returns:
            Requests per second over all hosts, infinity if there is no limit.
        """
        known = self.limits.get(incarnation)
        return math.inf if known is None else known.rate

    def record_answer(
        self, incarnation: str, rate: float | None, sent_at: float
    ) -> None:
        """Records the limit in an answer that this host received.

        Args:
            incarnation: Incarnation of the upstream.
            rate: Requests per second, infinity if the answer has no limit,
                None if the limit can't be read, which changes nothing.
            sent_at: Monotonic time, in seconds, at which the request was sent.
        """
        if rate is None:
            return
        known = self.limits.get(incarnation)
        if (
            known is not None
            and rate == math.inf
            and sent_at < known.observed_at
        ):
            # The upstream may have written this answer before it
            # advertised the limit.
            return
        self._record(incarnation, AdvertisedLimit(rate, self.now()), "answer")

    def record_report(self, incarnation: str, rate: float, age: float) -> None:
        """Records what another host knows, unless this host knows it newer.

        Args:
            incarnation: Incarnation of the upstream.
            rate: Requests per second, infinity for no limit.
            age: Seconds since the answer that the other host's knowledge is
                from.
        """
        observed_at = self.now() - age - REPORT_DELAY_SECONDS
        known = self.limits.get(incarnation)
        if known is None or observed_at > known.observed_at:
            self._record(
                incarnation, AdvertisedLimit(rate, observed_at), "host"
            )

    def _record(
        self, incarnation: str, limit: AdvertisedLimit, source: str
    ) -> None:
        known = self.limits.get(incarnation)
        if known is None and limit.rate == math.inf:
            return
        self.limits[incarnation] = limit
        announced = self.announced.get(incarnation, math.inf)
        if limit.rate == announced or (
            max(limit.rate, announced) < math.inf
            and abs(limit.rate - announced) <= MIN_CHANGE_FRACTION * announced
        ):
            return
        self.announced[incarnation] = limit.rate
        logs.event(
            LOGGER,
            "upstream-limit",
            upstream=incarnation,
            rate=limit.rate,
            previous=announced,
            source=source,
            age=self.now() - limit.observed_at,
        )
        for listener in self.listeners:
            listener(incarnation)

    def retain(self, incarnations: set[str]) -> None:
        """Removes the limits of all other upstreams, which no longer exist."""
        for incarnation in set(self.limits) - incarnations:
            del self.limits[incarnation]
            self.announced.pop(incarnation, None)
