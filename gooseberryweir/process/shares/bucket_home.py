"""The home of a token bucket: it grants tokens to the hosts that draw.

At every instant the level plus the tokens outstanding is at most the burst,
so a window holds at most the burst plus what accrued in it.
"""

import math
from typing import NamedTuple

from gooseberryweir.connection import messages
from gooseberryweir.process.shares import decay
from gooseberryweir.process.shares import timing

MARGIN_SECONDS = 0.05
REPORT_SECONDS = 0.05
SHORTEST_DELAY_SECONDS = 0.001
WANT_SECONDS = 0.3
IDLE_SECONDS = 4.0
DEMAND_SECONDS = 2.0
UNKNOWN_RETRY_SECONDS = 1.0
OWN = ("", 0)


class Limits(NamedTuple):
    """What a token bucket allows.

    Attributes:
        rate: Tokens a second.
        burst: Tokens at most at once.
    """

    rate: float
    burst: int


class Portion:
    """Tokens of one grant that may still be spent.

    Attributes:
        tokens: Tokens granted and not known to be spent.
        granted: Tokens granted.
        ends_at: Instant after which they cannot be spent.
    """

    def __init__(self, granted: int, ends_at: float) -> None:
        self.tokens = granted
        self.granted = granted
        self.ends_at = ends_at


class Drawer:
    """What the home knows of one incarnation of a drawing host."""

    def __init__(self, now: float) -> None:
        self.seen_at = now
        self.sequence = 0
        self.reply = messages.Grant(0, 0.0, 0.0, True, 0.0)
        self.portions: dict[int, Portion] = {}
        self.want = 0
        self.want_until = -math.inf
        self.granted_at = -math.inf


class BucketHome:
    """State of one bucket at its home; starts empty."""

    def __init__(self, limits: Limits, now: float) -> None:
        self.limits = limits
        self.level = 0.0
        self.updated_at = now
        self.drawers: dict[tuple[str, int], Drawer] = {}
        self.asked = decay.DecayingCount(DEMAND_SECONDS, now)

    def outstanding(self) -> int:
        """Returns the tokens granted, not reported spent nor run out."""
        return sum(
            portion.tokens
            for drawer in self.drawers.values()
            for portion in drawer.portions.values()
        )

    def configure(self, limits: Limits, now: float) -> None:
        """Puts changed limits in force."""
        if limits != self.limits:
            self.update(now)
            self.limits = limits
            self.accrue(now)

    def update(self, now: float) -> None:
        """Accrues tokens up to now and removes grants that have run out."""
        ends = sorted(
            (portion.ends_at, key, sequence)
            for key, drawer in self.drawers.items()
            for sequence, portion in drawer.portions.items()
            if portion.ends_at <= now
        )
        for ends_at, key, sequence in ends:
            self.accrue(ends_at)
            del self.drawers[key].portions[sequence]
        self.accrue(now)
        idle = [
            key
            for key, drawer in self.drawers.items()
            if drawer.seen_at + IDLE_SECONDS < now and not drawer.portions
        ]
        for key in idle:
            del self.drawers[key]

    def drawer(self, key: tuple[str, int], now: float) -> Drawer:
        """Returns what is known of a drawing host."""
        drawer = self.drawers.setdefault(key, Drawer(now))
        drawer.seen_at = now
        return drawer

    def accrue(self, now: float) -> None:
        """Adds what accrued, up to what the burst leaves."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        room = max(0.0, float(self.limits.burst - self.outstanding()))
        self.level = min(room, self.level + elapsed * self.limits.rate)

    def draw(self, message: messages.Draw, now: float) -> messages.Grant:
        """Answers one draw; a repeated sequence gets the same grant."""
        self.update(now)
        key = (message.host, message.incarnation)
        drawer = self.drawer(key, now)
        self.report(drawer, message.spent)
        if message.sequence == drawer.sequence:
            return drawer.reply
        if message.sequence < drawer.sequence or self.superseded(key):
            return messages.Grant(0, 0.0, UNKNOWN_RETRY_SECONDS, True, 0.0)
        self.asked.add(message.requested, now)
        granted, retry_after = self.grant(drawer, message.requested, now)
        if granted:
            drawer.portions[message.sequence] = Portion(
                granted, now + timing.GRANT_SECONDS + MARGIN_SECONDS
            )
        drawer.sequence = message.sequence
        drawer.reply = messages.Grant(
            granted,
            timing.GRANT_SECONDS,
            retry_after,
            True,
            self.asked.rate(now),
        )
        return drawer.reply

    def take(self, tokens: int, now: float) -> float:
        """Spends tokens in the home's own process.

        Returns:
            0 if they were spent, else seconds until they are expected.
        """
        self.update(now)
        drawer = self.drawer(OWN, now)
        self.asked.add(tokens, now)
        if self.share(drawer, tokens, now) >= tokens:
            self.level -= tokens
            drawer.want = 0
            drawer.granted_at = now
            return 0.0
        return self.postpone(drawer, tokens, now, least=tokens)

    def superseded(self, key: tuple[str, int]) -> bool:
        """Whether a newer incarnation of the same host has drawn."""
        return any(
            host == key[0] and incarnation > key[1]
            for host, incarnation in self.drawers
        )

    def report(self, drawer: Drawer, spent: dict[int, int]) -> None:
        """Takes what a holder has spent so far out of the outstanding."""
        for sequence, tokens in spent.items():
            portion = drawer.portions.get(sequence)
            if portion is not None:
                left = max(0, portion.granted - tokens)
                portion.tokens = min(portion.tokens, left)
                if not portion.tokens:
                    del drawer.portions[sequence]

    def grant(self, drawer: Drawer, want: int, now: float) -> tuple[int, float]:
        """Takes a drawer's share off the level; returns it and the delay."""
        if want <= 0:
            drawer.want = 0
            return 0, 0.0
        granted = self.share(drawer, want, now)
        if not granted:
            return 0, self.postpone(drawer, want, now)
        self.level -= granted
        drawer.want = 0
        drawer.granted_at = now
        return granted, 0.0

    def waiting(self, drawer: Drawer, now: float) -> list[Drawer]:
        """Returns the other drawers that were told to come back."""
        return [
            other
            for other in self.drawers.values()
            if other is not drawer and other.want and other.want_until > now
        ]

    def share(self, drawer: Drawer, want: int, now: float) -> int:
        """Returns a drawer's max-min fair share of the level.

        What does not divide goes to those who waited longest for a grant.
        """
        wants = [(want, drawer)]
        wants += [(other.want, other) for other in self.waiting(drawer, now)]
        wants.sort(key=lambda entry: entry[0])
        remaining = int(self.level)
        while wants and wants[0][0] <= remaining // len(wants):
            wanted, entry = wants.pop(0)
            remaining -= wanted
            if entry is drawer:
                return want
        equal, rest = divmod(remaining, len(wants))
        longest = sorted(wants, key=lambda entry: entry[1].granted_at)
        return equal + any(entry is drawer for _, entry in longest[:rest])

    def postpone(
        self, drawer: Drawer, want: int, now: float, least: int = 1
    ) -> float:
        """Notes an unmet want; returns seconds until it is worth asking."""
        ahead = sum(
            other.granted_at < drawer.granted_at
            for other in self.waiting(drawer, now)
        )
        missing = max(0.0, least + ahead - self.level)
        rate = self.limits.rate
        delay = missing / rate if rate > 0 else UNKNOWN_RETRY_SECONDS
        delay = max(delay, SHORTEST_DELAY_SECONDS)
        if self.limits.burst - self.outstanding() < 1:
            delay = max(delay, REPORT_SECONDS)
        drawer.want = want
        drawer.want_until = now + min(WANT_SECONDS, delay + REPORT_SECONDS)
        return delay
