"""Request rates that upstreams name in their answers.

An upstream in need names the requests per second that it accepts from all hosts
together, in each answer for as long as the limit applies.
"""

from collections.abc import Callable
import logging
import math
from typing import NamedTuple

from gooseberryweir import logs

LOGGER = logging.getLogger(__name__)


class NamedLimit(NamedTuple):
    """The last limit that an upstream is known to have named.

    Attributes:
        rate: Requests per second over all hosts; infinity once answers name no
            limit any more.
        observed_at: Monotonic time, in seconds, of the answer.
    """

    rate: float
    observed_at: float


class UpstreamLimits:
    """The limits that this host knows.

    Attributes:
        now: Returns the monotonic time in seconds.
        limits: Limits by incarnation of the upstream, of those that named one.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.limits: dict[str, NamedLimit] = {}

    def rate(self, incarnation: str) -> float:
        """Returns the requests per second that an upstream accepts.

        Args:
            incarnation: Incarnation of the upstream.

        Returns:
            Requests per second over all hosts, infinity if it names no limit.
        """
        known = self.limits.get(incarnation)
        return math.inf if known is None else known.rate

    def record_answer(
        self, incarnation: str, rate: float | None, sent_at: float
    ) -> None:
        """Records the limit in an answer.

        Args:
            incarnation: Incarnation of the upstream.
            rate: Requests per second, infinity if the answer names no limit,
                None if the limit can't be read, which changes nothing.
            sent_at: Monotonic time, in seconds, at which the request was sent.
        """
        known = self.limits.get(incarnation)
        if rate is None or (known is None and rate == math.inf):
            return
        if (
            known is not None
            and rate == math.inf
            and sent_at < known.observed_at
        ):
            # The upstream may have written this answer before it named the
            # limit.
            return
        self.limits[incarnation] = NamedLimit(rate, self.now())
        if known is None or known.rate != rate:
            logs.event(
                LOGGER,
                "upstream-limit",
                upstream=incarnation,
                rate=rate,
                previous=math.inf if known is None else known.rate,
            )

    def retain(self, incarnations: set[str]) -> None:
        """Removes the limits of all other upstreams, which no longer exist."""
        for incarnation in set(self.limits) - incarnations:
            del self.limits[incarnation]
