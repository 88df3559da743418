"""The home of a token bucket: grants tokens to the hosts that request them.

The tokens that can still be granted (the level) plus the outstanding ones
(granted, but neither reported as spent nor expired) never exceed the burst. So
the hosts together spend, in any period, at most the burst plus the tokens that
accrued in it.
"""

import math
from typing import NamedTuple

from gooseberryweir.connection import messages
from gooseberryweir.process.shares import decay
from gooseberryweir.process.shares import timing

# Added to the lifetime of a grant before the home counts it as expired.
GRANT_MARGIN_SECONDS = 0.05
# Time for which a host collects spent tokens before it reports them.
REPORT_DELAY_SECONDS = 0.05
MIN_RETRY_SECONDS = 0.001
# A request that got no tokens counts for at most this long when tokens are
# divided among the hosts.
UNMET_REQUEST_SECONDS = 0.3
# A requester without outstanding grants is removed this long after its latest
# request.
IDLE_REQUESTER_SECONDS = 4.0
DEMAND_DECAY_SECONDS = 2.0
# Retry delay sent if the time of the next token is not known.
DEFAULT_RETRY_SECONDS = 1.0
# Key in `BucketHome.requesters` of the host that this home runs on.
LOCAL_REQUESTER = ("", 0)


class Limits(NamedTuple):
    """Limits of a token bucket.

    Attributes:
        rate: Tokens that accrue per second.
        burst: Largest number of tokens that may be spent at once.
    """

    rate: float
    burst: int


class OutstandingGrant:
    """A grant that has not expired and is not reported as spent in full.

    Attributes:
        unspent: Number of tokens that are not reported as spent.
        granted: Number of tokens granted.
        expires_at: Monotonic instant after which no token can be spent.
    """

    def __init__(self, granted: int, expires_at: float) -> None:
        self.unspent = granted
        self.granted = granted
        self.expires_at = expires_at


class Requester:
    """State that the home keeps of one incarnation of a requesting host.

    Attributes:
        last_seen_at: Monotonic instant of its latest request.
        sequence: Sequence number of its latest request.
        reply: Reply to its latest request.
        grants: Its outstanding grants by sequence number of the request.
        unmet: Number of tokens that its latest request asked for if it got
            none, else 0.
        unmet_until: Monotonic instant until which `unmet` counts.
        granted_at: Monotonic instant of its latest grant.
    """

    def __init__(self, now: float) -> None:
        self.last_seen_at = now
        self.sequence = 0
        self.reply = messages.Grant(0, 0.0, 0.0, True, 0.0)
        self.grants: dict[int, OutstandingGrant] = {}
        self.unmet = 0
        self.unmet_until = -math.inf
        self.granted_at = -math.inf


class BucketHome:
    """State of one token bucket at its home; the bucket starts empty.

    Attributes:
        limits: Rate and burst of the bucket.
        level: Number of tokens that can be granted, fractions included.
        updated_at: Monotonic instant up to which tokens have accrued.
        requesters: State of each requester, by host name and incarnation.
        demand: Recent rate of requested tokens, per second.
    """

    def __init__(self, limits: Limits, now: float) -> None:
        self.limits = limits
        self.level = 0.0
        self.updated_at = now
        self.requesters: dict[tuple[str, int], Requester] = {}
        self.demand = decay.DecayingCount(DEMAND_DECAY_SECONDS, now)

    def outstanding(self) -> int:
        """Returns the tokens granted and neither reported spent nor expired."""
        return sum(
            grant.unspent
            for requester in self.requesters.values()
            for grant in requester.grants.values()
        )

    def configure(self, limits: Limits, now: float) -> None:
        """Applies changed limits."""
        if limits != self.limits:
            self.update(now)
            self.limits = limits
            self.accrue(now)

    def update(self, now: float) -> None:
        """Accrues tokens; removes expired grants and idle requesters."""
        expired = sorted(
            (grant.expires_at, key, sequence)
            for key, requester in self.requesters.items()
            for sequence, grant in requester.grants.items()
            if grant.expires_at <= now
        )
        for expires_at, key, sequence in expired:
            self.accrue(expires_at)
            del self.requesters[key].grants[sequence]
        self.accrue(now)
        idle = [
            key
            for key, requester in self.requesters.items()
            if requester.last_seen_at + IDLE_REQUESTER_SECONDS < now
            and not requester.grants
        ]
        for key in idle:
            del self.requesters[key]

    def requester(self, key: tuple[str, int], now: float) -> Requester:
        """Returns the state of a requesting host; sets its `last_seen_at`."""
        requester = self.requesters.setdefault(key, Requester(now))
        requester.last_seen_at = now
        return requester

    def accrue(self, now: float) -> None:
        """Adds the tokens accrued up to `now`, limited by the burst."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        capacity = max(0.0, float(self.limits.burst - self.outstanding()))
        self.level = min(capacity, self.level + elapsed * self.limits.rate)

    def handle(self, message: messages.Draw, now: float) -> messages.Grant:
        """Answers a request for tokens.

        A repeated sequence number gets the same reply again; an older one, or
        one of an earlier incarnation, gets no tokens.
        """
        self.update(now)
        key = (message.host, message.incarnation)
        requester = self.requester(key, now)
        self.record_spending(requester, message.spent)
        if message.sequence == requester.sequence:
            return requester.reply
        if message.sequence < requester.sequence or self.is_superseded(key):
            return messages.Grant(0, 0.0, DEFAULT_RETRY_SECONDS, True, 0.0)
        self.demand.add(message.requested, now)
        granted, retry_after = self.grant(requester, message.requested, now)
        if granted:
            requester.grants[message.sequence] = OutstandingGrant(
                granted, now + timing.GRANT_SECONDS + GRANT_MARGIN_SECONDS
            )
        requester.sequence = message.sequence
        requester.reply = messages.Grant(
            granted,
            timing.GRANT_SECONDS,
            retry_after,
            True,
            self.demand.rate(now),
        )
        return requester.reply

    def take(self, tokens: int, now: float) -> float:
        """Spends tokens for the host that this home runs on.

        Returns:
            0 if they were spent, else the seconds until they are expected.
        """
        self.update(now)
        requester = self.requester(LOCAL_REQUESTER, now)
        self.demand.add(tokens, now)
        if self.share(requester, tokens, now) >= tokens:
            self.level -= tokens
            requester.unmet = 0
            requester.granted_at = now
            return 0.0
        return self.defer(requester, tokens, now, min_tokens=tokens)

    def is_superseded(self, key: tuple[str, int]) -> bool:
        """Returns True if a later incarnation of the host sent a request.

        Args:
            key: Host name and incarnation.
        """
        return any(
            host == key[0] and incarnation > key[1]
            for host, incarnation in self.requesters
        )

    def record_spending(
        self, requester: Requester, spent: dict[int, int]
    ) -> None:
        """Subtracts the tokens that a host spent from its outstanding ones.

        Args:
            requester: State of that host.
            spent: Total tokens spent of each grant, by sequence number.
        """
        for sequence, tokens in spent.items():
            grant = requester.grants.get(sequence)
            if grant is not None:
                unspent = max(0, grant.granted - tokens)
                grant.unspent = min(grant.unspent, unspent)
                if not grant.unspent:
                    del requester.grants[sequence]

    def grant(
        self, requester: Requester, requested: int, now: float
    ) -> tuple[int, float]:
        """Grants a requester its fair share of the level.

        Returns:
            Number of tokens granted, and the seconds until a retry if there are
            none.
        """
        if requested <= 0:
            requester.unmet = 0
            return 0, 0.0
        granted = self.share(requester, requested, now)
        if not granted:
            return 0, self.defer(requester, requested, now)
        self.level -= granted
        requester.unmet = 0
        requester.granted_at = now
        return granted, 0.0

    def waiting_requesters(
        self, requester: Requester, now: float
    ) -> list[Requester]:
        """Returns the other requesters whose requests are not met yet."""
        return [
            other
            for other in self.requesters.values()
            if other is not requester
            and other.unmet
            and other.unmet_until > now
        ]

    def share(self, requester: Requester, requested: int, now: float) -> int:
        """Returns a requester's max-min fair share of the level.

        Tokens that do not divide evenly go to the requesters whose latest grant
        is the oldest.
        """
        requests = [(requested, requester)]
        requests += [
            (other.unmet, other)
            for other in self.waiting_requesters(requester, now)
        ]
        requests.sort(key=lambda entry: entry[0])
        remaining = int(self.level)
        while requests and requests[0][0] <= remaining // len(requests):
            amount, entry = requests.pop(0)
            remaining -= amount
            if entry is requester:
                return requested
        equal_share, remainder = divmod(remaining, len(requests))
        longest_waiting = sorted(
            requests, key=lambda entry: entry[1].granted_at
        )
        return equal_share + any(
            entry is requester for _, entry in longest_waiting[:remainder]
        )

    def defer(
        self,
        requester: Requester,
        requested: int,
        now: float,
        min_tokens: int = 1,
    ) -> float:
        """Records an unmet request and returns the seconds until a retry.

        Args:
            requester: State of the requesting host.
            requested: Number of tokens requested.
            now: Monotonic time.
            min_tokens: Fewest tokens that make a retry useful.
        """
        waiting_longer = sum(
            other.granted_at < requester.granted_at
            for other in self.waiting_requesters(requester, now)
        )
        missing = max(0.0, min_tokens + waiting_longer - self.level)
        rate = self.limits.rate
        delay = missing / rate if rate > 0 else DEFAULT_RETRY_SECONDS
        delay = max(delay, MIN_RETRY_SECONDS)
        if self.limits.burst - self.outstanding() < 1:
            delay = max(delay, REPORT_DELAY_SECONDS)
        requester.unmet = requested
        requester.unmet_until = now + min(
            UNMET_REQUEST_SECONDS, delay + REPORT_DELAY_SECONDS
        )
        return delay
