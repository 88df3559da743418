"""Records what upstreams ask of this host in their answers.

An upstream that leaves says so in all its answers and gets no new requests from
then on. An upstream that turns a request away may name a time for which it
takes no requests from this host. Both are known by incarnation, so that they do
not bind the next process with the same name.

Each host acts on its own answers only: it sends an upstream that leaves at most
the requests of one round trip before it knows, and the upstream serves those.
"""

from collections.abc import Callable
import logging

from gooseberryweir import logs

LOGGER = logging.getLogger(__name__)

# Longest time for which one answer keeps requests from an upstream. It bounds
# the effect of a corrupted value.
MAX_PAUSE_SECONDS = 600.0
# Incarnations that are remembered as leaving; the oldest are dropped first. An
# upstream that has left its service may be listed again after an outage of the
# platform's store, so being unlisted does not end the record.
MAX_LEAVING_UPSTREAMS = 4096


class UpstreamNotices:
    """Upstreams that leave or take no requests from this host for some time.

    Attributes:
        now: Returns the monotonic time in seconds.
        leaving: Incarnations that leave; replaced when it changes.
        leaving_order: The same incarnations, in the order in which they were
            recorded.
        paused_until: Monotonic time, in seconds, until which an upstream takes
            no requests, by its incarnation.
        listeners: Functions called with an incarnation that was found to leave.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.leaving: frozenset[str] = frozenset()
        self.leaving_order: list[str] = []
        self.paused_until: dict[str, float] = {}
        self.listeners: list[Callable[[str], None]] = []

    def record_leaving(self, incarnation: str, source: str) -> None:
        """Records that an upstream leaves.

        Args:
            incarnation: Incarnation of the upstream.
            source: `answer` for an answer of the upstream to this host, else
                the name of the host that passed it on.
        """
        if incarnation in self.leaving:
            return
        self.leaving_order.append(incarnation)
        del self.leaving_order[:-MAX_LEAVING_UPSTREAMS]
        self.leaving = frozenset(self.leaving_order)
        logs.event(
            LOGGER, "upstream-leaving", upstream=incarnation, source=source
        )
        for listener in self.listeners:
            listener(incarnation)

    def record_pause(self, incarnation: str, seconds: float) -> None:
        """Records that an upstream takes no requests for some time.

        A shorter time in a later answer does not end an earlier pause: the
        upstream may have written that answer first, and each pause binds until
        its own end.

        Args:
            incarnation: Incarnation of the upstream.
            seconds: Time that the answer names.
        """
        now = self.now()
        until = now + min(seconds, MAX_PAUSE_SECONDS)
        previous = self.paused_until.get(incarnation, now)
        if until <= previous:
            return
        self.paused_until[incarnation] = until
        logs.event(
            LOGGER,
            "upstream-paused",
            upstream=incarnation,
            named=seconds,
            seconds=until - now,
            previous=max(0.0, previous - now),
        )

    def pause_seconds(self, incarnation: str) -> float:
        """Returns for how long an upstream takes no requests; 0 if it does."""
        until = self.paused_until.get(incarnation)
        return 0.0 if until is None else max(0.0, until - self.now())

    def accepts(self, incarnation: str) -> bool:
        """Returns True if an upstream may get a new request now."""
        return (
            incarnation not in self.leaving
            and self.pause_seconds(incarnation) == 0.0
        )

    def forget_ended_pauses(self) -> None:
        """Removes the pauses that are over."""
        now = self.now()
        self.paused_until = {
            incarnation: until
            for incarnation, until in self.paused_until.items()
            if until > now
        }
