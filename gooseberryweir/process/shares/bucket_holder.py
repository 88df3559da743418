"""The holder of tokens drawn from the home of a bucket.

Takers spend tokens held here; those who find none wait for the one draw in
flight, in the order of their arrival and for a short time.
"""

import collections
from collections.abc import Callable
import math
from typing import NamedTuple

import eventlet
from eventlet import event as events

from gooseberryweir import clock as clocks
from gooseberryweir.connection import messages
from gooseberryweir.process.shares import bucket_home
from gooseberryweir.process.shares import bucket_waiters
from gooseberryweir.process.shares import decay
from gooseberryweir.process.shares import timing

WAIT_SECONDS = 0.3
CALL_SECONDS = 0.25
UNREACHABLE_RETRY_SECONDS = 0.5
SHORTEST_SLEEP_SECONDS = 0.001
FAILURE_SLEEP_SECONDS = 0.02
MAX_WAITERS = 64
MAX_MISSED = 1
RESERVE_SHARE = 1 / 16
LEAD_SECONDS = 0.1
DEMAND_SECONDS = 0.5


class Home(NamedTuple):
    """How a holder reaches the home of its bucket.

    Attributes:
        find: Returns the home's host name, or None if not known.
        call: Sends a draw to a host, waiting at most some seconds; returns
            None if the host did not answer.
        take: Takes tokens at the home in this process: 0 if taken, else
            seconds until they are expected; None if it is not ready.
        limits: Returns the limits of the bucket, or None if not declared.
        view: Returns the digest of the view.
    """

    find: Callable[[], str | None]
    call: Callable[[str, messages.Draw, float], messages.Grant | None]
    take: Callable[[int], float | None]
    limits: Callable[[], bucket_home.Limits | None]
    view: Callable[[], int]


class Pending(NamedTuple):
    """A draw without an answer.

    Attributes:
        home: The host that it is for.
        sent_at: Instant before it was first sent.
        draw: The message.
    """

    home: str
    sent_at: float
    draw: messages.Draw


class BucketHolder:
    """Tokens of one bucket on this host."""

    def __init__(
        self,
        bucket: str,
        host: str,
        incarnation: Callable[[], int],
        clock: clocks.Clock,
        home: Home,
    ) -> None:
        self.bucket = bucket
        self.host = host
        self.incarnation = incarnation
        self.clock = clock
        self.home = home
        self.held_grants: dict[int, bucket_waiters.HeldGrant] = {}
        self.waiters: collections.deque[bucket_waiters.Waiter] = (
            collections.deque()
        )
        self.sequence = 0
        self.pending: Pending | None = None
        self.running = False
        self.failures = 0
        self.answered = False
        self.missed = 0
        self.wake = events.Event()
        self.retry_at = -math.inf
        self.refuse_until = -math.inf
        self.asked = decay.DecayingCount(DEMAND_SECONDS, clock.monotonic())

    def take(
        self, tokens: int = 1, deadline: float = math.inf
    ) -> bucket_waiters.Taken | bucket_waiters.Refused:
        """Spends tokens, or says when to come back.

        Args:
            tokens: How many.
            deadline: Instant on the monotonic clock; the wait is short too.
        """
        now = self.clock.monotonic()
        self.asked.add(tokens, now)
        if not self.waiters and self.take_now(tokens):
            return bucket_waiters.Taken()
        waiter = bucket_waiters.Waiter(
            tokens, min(deadline, now + WAIT_SECONDS)
        )
        hopeless = min(self.retry_at, self.refuse_until) > waiter.give_up_at
        if hopeless or len(self.waiters) >= MAX_WAITERS:
            delay = max(self.retry_at - now, SHORTEST_SLEEP_SECONDS)
            return bucket_waiters.Refused(delay, self.answered)
        return self.wait(waiter)

    def take_now(self, tokens: int) -> bool:
        """Spends tokens without a wait, held here or at the home."""
        if self.spend(tokens) is not None:
            self.start()
            return True
        return self.home.find() == self.host and self.home.take(tokens) == 0

    def wait(
        self, waiter: bucket_waiters.Waiter
    ) -> bucket_waiters.Taken | bucket_waiters.Refused:
        """Queues a taker until it is settled or gives up."""
        self.waiters.append(waiter)
        self.start()
        left = waiter.give_up_at - self.clock.monotonic()
        try:
            result = waiter.event.wait(timeout=max(left, 0.0))
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
        if result is None:
            self.missed = min(MAX_MISSED, self.missed + waiter.tokens)
            self.start()
            return bucket_waiters.Refused(
                UNREACHABLE_RETRY_SECONDS, self.answered
            )
        if isinstance(result, bucket_waiters.Refused):
            return result
        if self.clock.monotonic() >= result:
            return bucket_waiters.Refused(SHORTEST_SLEEP_SECONDS, False)
        return bucket_waiters.Taken()

    def spend(self, tokens: int) -> float | None:
        """Spends tokens held here; returns the instant of their end."""
        now = self.clock.monotonic()
        self.discard(now)
        usable = [
            held_grant
            for held_grant in self.held_grants.values()
            if now < held_grant.ends_at
            and held_grant.spent < held_grant.granted
        ]
        if (
            sum(held_grant.granted - held_grant.spent for held_grant in usable)
            < tokens
        ):
            return None
        ends_at = math.inf
        for held_grant in sorted(
            usable, key=lambda held_grant: held_grant.ends_at
        ):
            part = min(tokens, held_grant.granted - held_grant.spent)
            if part:
                held_grant.spent += part
                tokens -= part
                ends_at = min(ends_at, held_grant.ends_at)
        return ends_at

    def discard(self, now: float) -> None:
        """Forgets grants that the home has let run out as well."""
        ended = [
            sequence
            for sequence, held_grant in self.held_grants.items()
            if held_grant.ends_at + timing.GRANT_SECONDS < now
        ]
        for sequence in ended:
            del self.held_grants[sequence]

    def available(self, now: float) -> int:
        """Returns the tokens that may be spent now."""
        return sum(
            held_grant.granted - held_grant.spent
            for held_grant in self.held_grants.values()
            if now < held_grant.ends_at
        )

    def reserve(self, now: float) -> int:
        """Returns the tokens to keep here for the demand expected."""
        limits = self.home.limits()
        if limits is None:
            return 0
        most = int(limits.burst * RESERVE_SHARE)
        return min(int(self.asked.rate(now) * LEAD_SECONDS), most)

    def want(self, now: float) -> int:
        """Returns the tokens to draw: for the takers and the reserve.

        Takers that did not wait long enough count in one draw more, so that
        those who never wait find a token the next time.
        """
        needed = self.missed + sum(waiter.tokens for waiter in self.waiters)
        return max(0, needed + self.reserve(now) - self.available(now))

    def start(self) -> None:
        """Makes the drawing task run, or run sooner."""
        if not self.running:
            if self.waiters or self.has_work():
                self.running = True
                eventlet.spawn_n(self.run)
        elif self.waiters and not self.wake.ready():
            self.wake.send(True)

    def has_work(self) -> bool:
        """Whether there is something to report or to draw ahead."""
        if self.home.find() == self.host:
            return False
        return self.unreported() or self.want(self.clock.monotonic()) > 0

    def unreported(self) -> bool:
        """Whether the home does not know of all tokens spent."""
        self.discard(self.clock.monotonic())
        return any(
            held_grant.spent > held_grant.reported
            for held_grant in self.held_grants.values()
        )

    def run(self) -> None:
        """Draws while somebody waits or there is something to report."""
        try:
            while self.waiters or self.has_work():
                if not self.waiters:
                    self.pause(self.report_delay())
                delay = self.draw_once()
                if delay > 0:
                    self.clock.sleep(delay)
        finally:
            self.running = False
            self.refuse_all(UNREACHABLE_RETRY_SECONDS)

    def report_delay(self) -> float:
        """Returns how long to gather reports: not at all for small bursts."""
        limits = self.home.limits()
        small = limits is not None and limits.burst * RESERVE_SHARE < 1
        if small and self.failures == 0:
            return SHORTEST_SLEEP_SECONDS
        return bucket_home.REPORT_SECONDS

    def pause(self, seconds: float) -> None:
        """Sleeps until a taker waits."""
        self.wake = events.Event()
        self.wake.wait(timeout=seconds)

    def draw_once(self) -> float:
        """Makes one draw and settles waiters; returns seconds to pause."""
        home = self.home.find()
        if home == self.host:
            return self.take_here()
        if home is None:
            self.refuse_all(UNREACHABLE_RETRY_SECONDS)
            return bucket_home.REPORT_SECONDS
        grant = self.draw_from(home)
        if grant is not None and not grant.is_home:
            second = self.home.find()
            if second is not None and second not in (home, self.host):
                grant = self.draw_from(second)
        if grant is None:
            self.failures += 1
            self.answered = False
            return FAILURE_SLEEP_SECONDS
        if not grant.is_home:
            self.failures += 1
            self.refuse_all(UNREACHABLE_RETRY_SECONDS)
            return bucket_home.REPORT_SECONDS
        self.failures = 0
        return self.settle(grant.retry_after)

    def draw_from(self, home: str) -> messages.Grant | None:
        """Sends a draw, or repeats the one that was not answered."""
        now = self.clock.monotonic()
        pending = self.pending
        if (
            pending is None
            or pending.home != home
            or now - pending.sent_at > timing.GRANT_SECONDS / 2
        ):
            pending = self.pending = Pending(home, now, self.next_draw(now))
        grant = self.home.call(home, pending.draw, CALL_SECONDS)
        if grant is None:
            return None
        self.pending = None
        if grant.is_home:
            self.acknowledge(pending.draw)
        if grant.granted > 0:
            ends_at = pending.sent_at + grant.lifetime
            self.held_grants[pending.draw.sequence] = bucket_waiters.HeldGrant(
                grant.granted, ends_at
            )
        return grant

    def acknowledge(self, draw: messages.Draw) -> None:
        """Notes what the home has learnt from an answered draw."""
        for sequence, spent in draw.spent.items():
            held_grant = self.held_grants.get(sequence)
            if held_grant is not None:
                held_grant.reported = max(held_grant.reported, spent)
                if held_grant.reported >= held_grant.granted:
                    del self.held_grants[sequence]

    def next_draw(self, now: float) -> messages.Draw:
        """Builds a new draw."""
        self.sequence += 1
        self.discard(now)
        want = self.want(now)
        self.missed = 0
        return messages.Draw(
            self.bucket,
            self.host,
            self.incarnation(),
            self.home.view(),
            want,
            {
                sequence: held_grant.spent
                for sequence, held_grant in self.held_grants.items()
                if held_grant.spent
            },
            self.sequence,
        )

    def settle(self, retry_after: float) -> float:
        """Gives the tokens held here to the waiters in their order."""
        self.note_delay(retry_after)
        while self.waiters:
            ends_at = self.spend(self.waiters[0].tokens)
            if ends_at is None:
                break
            self.waiters.popleft().settle(ends_at)
        self.refuse_late(retry_after)
        return max(retry_after, SHORTEST_SLEEP_SECONDS) if self.waiters else 0.0

    def take_here(self) -> float:
        """Gives tokens of the home in this process to the waiters."""
        while self.waiters:
            delay = self.home.take(self.waiters[0].tokens)
            if delay is None:
                self.refuse_all(UNREACHABLE_RETRY_SECONDS)
                return 0.0
            if delay > 0:
                self.note_delay(delay)
                self.refuse_late(delay)
                return max(delay, SHORTEST_SLEEP_SECONDS)
            ends_at = self.clock.monotonic() + timing.STANDING_SECONDS
            self.waiters.popleft().settle(ends_at)
        return 0.0

    def note_delay(self, delay: float) -> None:
        """Remembers when a token is due, to refuse at once until then."""
        now = self.clock.monotonic()
        self.answered = True
        self.retry_at = now + delay
        self.refuse_until = now + 2 * WAIT_SECONDS

    def refuse_late(self, delay: float) -> None:
        """Refuses the waiters that give up before a token is due."""
        due_at = self.clock.monotonic() + delay
        for waiter in list(self.waiters):
            if waiter.give_up_at < due_at:
                self.waiters.remove(waiter)
                waiter.settle(bucket_waiters.Refused(delay, True))

    def refuse_all(self, delay: float) -> None:
        """Refuses every waiter, for want of a home."""
        if self.waiters:
            self.answered = False
        while self.waiters:
            self.waiters.popleft().settle(bucket_waiters.Refused(delay, False))
