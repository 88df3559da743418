"""This host's share of a token bucket: spends tokens granted by the home.

The home of the bucket is the host that grants its tokens to all hosts. A task
that finds too few granted tokens joins a queue. All waiting tasks share the one
request to the home that is in flight; they are served in the order of their
arrival and wait for at most `MAX_WAIT_SECONDS`.
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

MAX_WAIT_SECONDS = 0.3
HOME_CALL_TIMEOUT_SECONDS = 0.25
# Retry delay that a refusal gives if no home answers.
UNREACHABLE_RETRY_SECONDS = 0.5
# Shortest pause between requests, and shortest retry delay of a refusal.
MIN_SLEEP_SECONDS = 0.001
# Pause after a request to the home that was not answered.
FAILURE_SLEEP_SECONDS = 0.02
MAX_WAITERS = 64
# Most tokens that the next request adds for tasks whose wait timed out.
MAX_UNSERVED_TOKENS = 1
# Largest reserve, as a fraction of the burst.
MAX_RESERVE_BURST_FRACTION = 1 / 16
# The reserve of unspent tokens covers the expected demand for this long.
RESERVE_DEMAND_SECONDS = 0.1
DEMAND_DECAY_SECONDS = 0.5


class HomeClient(NamedTuple):
    """Functions by which this host reaches the home of a bucket.

    Attributes:
        find_host: Returns the name of the host that is the home, or None.
        call: Sends a request to a host and waits for the reply for at most the
            given number of seconds; returns None if the host did not answer.
        take_locally: Takes tokens from the home on this host. Returns 0 if
            they were taken, else the seconds until they are expected, or None
            if the home is not ready.
        limits: Returns the limits of the bucket, or None if it is not declared.
        view_digest: Returns the digest of this host's membership view.
    """

    find_host: Callable[[], str | None]
    call: Callable[[str, messages.Draw, float], messages.Grant | None]
    take_locally: Callable[[int], float | None]
    limits: Callable[[], bucket_home.Limits | None]
    view_digest: Callable[[], int]


class PendingRequest(NamedTuple):
    """A request to the home that was not answered yet.

    Attributes:
        home: Name of the host that it was sent to.
        sent_at: Monotonic instant before it was first sent.
        request: The message.
    """

    home: str
    sent_at: float
    request: messages.Draw


class BucketHolder:
    """This host's share of a bucket: the tokens that the home granted to it.

    Spends the tokens and requests further ones from the home.

    Attributes:
        bucket: Name of the bucket.
        host: Name of this host.
        incarnation: Returns the incarnation of this host.
        clock: Source of time.
        home: Functions by which this host reaches the home.
        held_grants: Grants to this host, by sequence number of their request.
        waiters: Tasks that wait for tokens, in the order of their arrival.
        sequence: Sequence number of the latest request.
        pending: Request that was not answered yet, or None.
        running: True while the task that sends requests runs.
        failures: Number of failed requests since the last success.
        home_answered: True if the home answered the latest request.
        unserved_tokens: Tokens that tasks still needed when their wait timed
            out, at most `MAX_UNSERVED_TOKENS`; added to the next request.
        wake_event: Wakes the task that sends requests.
        retry_at: Monotonic instant at which the home expects a token.
        refuse_until: Monotonic instant until which `retry_at` counts: a task
            that gives up before both instants is refused without a wait.
        demand: Recent rate of tokens that tasks ask for, granted or refused,
            per second.
    """

    def __init__(
        self,
        bucket: str,
        host: str,
        incarnation: Callable[[], int],
        clock: clocks.Clock,
        home: HomeClient,
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
        self.pending: PendingRequest | None = None
        self.running = False
        self.failures = 0
        self.home_answered = False
        self.unserved_tokens = 0
        self.wake_event = events.Event()
        self.retry_at = -math.inf
        self.refuse_until = -math.inf
        self.demand = decay.DecayingCount(
            DEMAND_DECAY_SECONDS, clock.monotonic()
        )

    def take(
        self, tokens: int = 1, deadline: float = math.inf
    ) -> bucket_waiters.Taken | bucket_waiters.Refused:
        """Spends tokens, and waits for them a short time if there are none.

        Args:
            tokens: Number of tokens.
            deadline: Monotonic instant at which to stop waiting; the wait is
                never longer than `MAX_WAIT_SECONDS`.

        Returns:
            `Taken` if the tokens were spent, else `Refused`.
        """
        now = self.clock.monotonic()
        self.demand.add(tokens, now)
        if not self.waiters and self.try_take(tokens):
            return bucket_waiters.Taken()
        waiter = bucket_waiters.Waiter(
            tokens, min(deadline, now + MAX_WAIT_SECONDS)
        )
        too_late = min(self.retry_at, self.refuse_until) > waiter.give_up_at
        if too_late or len(self.waiters) >= MAX_WAITERS:
            delay = max(self.retry_at - now, MIN_SLEEP_SECONDS)
            return bucket_waiters.Refused(delay, self.home_answered)
        return self.wait(waiter)

    def try_take(self, tokens: int) -> bool:
        """Spends tokens of held grants, or of a home on this host, at once.

        Returns:
            True if the tokens were spent.
        """
        if self.spend(tokens) is not None:
            self.start_or_wake()
            return True
        return (
            self.home.find_host() == self.host
            and self.home.take_locally(tokens) == 0
        )

    def wait(
        self, waiter: bucket_waiters.Waiter
    ) -> bucket_waiters.Taken | bucket_waiters.Refused:
        """Queues a waiter until it gets tokens, is refused, or gives up."""
        self.waiters.append(waiter)
        self.start_or_wake()
        remaining = waiter.give_up_at - self.clock.monotonic()
        try:
            result = waiter.event.wait(timeout=max(remaining, 0.0))
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
        if result is None:
            self.unserved_tokens = min(
                MAX_UNSERVED_TOKENS, self.unserved_tokens + waiter.tokens
            )
            self.start_or_wake()
            return bucket_waiters.Refused(
                UNREACHABLE_RETRY_SECONDS, self.home_answered
            )
        if isinstance(result, bucket_waiters.Refused):
            return result
        if self.clock.monotonic() >= result:
            return bucket_waiters.Refused(MIN_SLEEP_SECONDS, False)
        return bucket_waiters.Taken()

    def spend(self, tokens: int) -> float | None:
        """Spends tokens of the held grants, those that expire first.

        Returns:
            Monotonic instant at which the first of these tokens expires, or
            None if there are too few tokens.
        """
        now = self.clock.monotonic()
        self.drop_expired(now)
        usable_grants = [
            held_grant
            for held_grant in self.held_grants.values()
            if now < held_grant.expires_at
            and held_grant.spent < held_grant.granted
        ]
        if (
            sum(
                held_grant.granted - held_grant.spent
                for held_grant in usable_grants
            )
            < tokens
        ):
            return None
        expires_at = math.inf
        for held_grant in sorted(
            usable_grants, key=lambda held_grant: held_grant.expires_at
        ):
            used = min(tokens, held_grant.granted - held_grant.spent)
            if used:
                held_grant.spent += used
                tokens -= used
                expires_at = min(expires_at, held_grant.expires_at)
        return expires_at

    def drop_expired(self, now: float) -> None:
        """Drops grants that expired `GRANT_SECONDS` ago, so at the home too."""
        expired = [
            sequence
            for sequence, held_grant in self.held_grants.items()
            if held_grant.expires_at + timing.GRANT_SECONDS < now
        ]
        for sequence in expired:
            del self.held_grants[sequence]

    def available_tokens(self, now: float) -> int:
        """Returns the number of tokens that may be spent now."""
        return sum(
            held_grant.granted - held_grant.spent
            for held_grant in self.held_grants.values()
            if now < held_grant.expires_at
        )

    def reserve_target(self, now: float) -> int:
        """Returns the number of tokens to hold for expected demand."""
        limits = self.home.limits()
        if limits is None:
            return 0
        max_reserve = int(limits.burst * MAX_RESERVE_BURST_FRACTION)
        return min(
            int(self.demand.rate(now) * RESERVE_DEMAND_SECONDS), max_reserve
        )

    def tokens_to_request(self, now: float) -> int:
        """Returns the number of tokens that waiters and the reserve lack.

        Tokens of waiters that gave up count in one further request, so that a
        task that cannot wait finds a token at its next attempt.
        """
        needed = self.unserved_tokens + sum(
            waiter.tokens for waiter in self.waiters
        )
        return max(
            0, needed + self.reserve_target(now) - self.available_tokens(now)
        )

    def start_or_wake(self) -> None:
        """Starts the task that sends requests, or wakes it for a waiter."""
        if not self.running:
            if self.waiters or self.has_work():
                self.running = True
                eventlet.spawn_n(self.run)
        elif self.waiters and not self.wake_event.ready():
            self.wake_event.send(True)

    def has_work(self) -> bool:
        """Returns True if there are tokens to report or request at a peer."""
        if self.home.find_host() == self.host:
            return False
        return (
            self.has_unreported_spending()
            or self.tokens_to_request(self.clock.monotonic()) > 0
        )

    def has_unreported_spending(self) -> bool:
        """Returns True if spent tokens are not reported to the home yet."""
        self.drop_expired(self.clock.monotonic())
        return any(
            held_grant.spent > held_grant.reported
            for held_grant in self.held_grants.values()
        )

    def run(self) -> None:
        """Sends requests while tasks wait or there are tokens to report.

        Refuses the waiters that remain when it ends.
        """
        try:
            while self.waiters or self.has_work():
                if not self.waiters:
                    self.sleep_until_woken(self.report_delay())
                delay = self.request_once()
                if delay > 0:
                    self.clock.sleep(delay)
        finally:
            self.running = False
            self.refuse_all(UNREACHABLE_RETRY_SECONDS)

    def report_delay(self) -> float:
        """Returns the seconds to collect spent tokens before a report.

        For a burst too small for a reserve it is `MIN_SLEEP_SECONDS` unless the
        latest request failed.
        """
        limits = self.home.limits()
        small_burst = (
            limits is not None and limits.burst * MAX_RESERVE_BURST_FRACTION < 1
        )
        if small_burst and self.failures == 0:
            return MIN_SLEEP_SECONDS
        return bucket_home.REPORT_DELAY_SECONDS

    def sleep_until_woken(self, seconds: float) -> None:
        """Sleeps until a task waits for tokens, at most `seconds`."""
        self.wake_event = events.Event()
        self.wake_event.wait(timeout=seconds)

    def request_once(self) -> float:
        """Sends one request and serves waiters; returns seconds to pause."""
        home = self.home.find_host()
        if home == self.host:
            return self.serve_locally()
        if home is None:
            self.refuse_all(UNREACHABLE_RETRY_SECONDS)
            return bucket_home.REPORT_DELAY_SECONDS
        grant = self.request_from(home)
        if grant is not None and not grant.is_home:
            new_home = self.home.find_host()
            if new_home is not None and new_home not in (home, self.host):
                grant = self.request_from(new_home)
        if grant is None:
            self.failures += 1
            self.home_answered = False
            return FAILURE_SLEEP_SECONDS
        if not grant.is_home:
            self.failures += 1
            self.refuse_all(UNREACHABLE_RETRY_SECONDS)
            return bucket_home.REPORT_DELAY_SECONDS
        self.failures = 0
        return self.serve_waiters(grant.retry_after)

    def request_from(self, home: str) -> messages.Grant | None:
        """Sends a request to a home, or repeats the pending one."""
        now = self.clock.monotonic()
        pending = self.pending
        if (
            pending is None
            or pending.home != home
            or now - pending.sent_at > timing.GRANT_SECONDS / 2
        ):
            pending = self.pending = PendingRequest(
                home, now, self.next_request(now)
            )
        grant = self.home.call(home, pending.request, HOME_CALL_TIMEOUT_SECONDS)
        if grant is None:
            return None
        self.pending = None
        if grant.is_home:
            self.mark_reported(pending.request)
        if grant.granted > 0:
            expires_at = pending.sent_at + grant.lifetime
            self.held_grants[pending.request.sequence] = (
                bucket_waiters.HeldGrant(grant.granted, expires_at)
            )
        return grant

    def mark_reported(self, request: messages.Draw) -> None:
        """Marks tokens as reported to the home; drops grants that are spent."""
        for sequence, spent in request.spent.items():
            held_grant = self.held_grants.get(sequence)
            if held_grant is not None:
                held_grant.reported = max(held_grant.reported, spent)
                if held_grant.reported >= held_grant.granted:
                    del self.held_grants[sequence]

    def next_request(self, now: float) -> messages.Draw:
        """Creates the next request, which also reports the tokens spent."""
        self.sequence += 1
        self.drop_expired(now)
        tokens = self.tokens_to_request(now)
        self.unserved_tokens = 0
        return messages.Draw(
            self.bucket,
            self.host,
            self.incarnation(),
            self.home.view_digest(),
            tokens,
            {
                sequence: held_grant.spent
                for sequence, held_grant in self.held_grants.items()
                if held_grant.spent
            },
            self.sequence,
        )

    def serve_waiters(self, retry_after: float) -> float:
        """Serves waiters from the held grants, in the order of their arrival.

        Args:
            retry_after: Seconds until the home expects a token.

        Returns:
            Seconds until the next request.
        """
        self.record_retry_delay(retry_after)
        while self.waiters:
            expires_at = self.spend(self.waiters[0].tokens)
            if expires_at is None:
                break
            self.waiters.popleft().complete(expires_at)
        self.refuse_unservable(retry_after)
        return max(retry_after, MIN_SLEEP_SECONDS) if self.waiters else 0.0

    def serve_locally(self) -> float:
        """Serves waiters from the home on this host, in the order of arrival.

        Returns:
            Seconds until the next attempt.
        """
        while self.waiters:
            delay = self.home.take_locally(self.waiters[0].tokens)
            if delay is None:
                self.refuse_all(UNREACHABLE_RETRY_SECONDS)
                return 0.0
            if delay > 0:
                self.record_retry_delay(delay)
                self.refuse_unservable(delay)
                return max(delay, MIN_SLEEP_SECONDS)
            expires_at = self.clock.monotonic() + timing.LEASE_SECONDS
            self.waiters.popleft().complete(expires_at)
        return 0.0

    def record_retry_delay(self, delay: float) -> None:
        """Records when the home expects a token; see `refuse_until`."""
        now = self.clock.monotonic()
        self.home_answered = True
        self.retry_at = now + delay
        self.refuse_until = now + 2 * MAX_WAIT_SECONDS

    def refuse_unservable(self, delay: float) -> None:
        """Refuses the waiters that give up before a token is due."""
        due_at = self.clock.monotonic() + delay
        for waiter in list(self.waiters):
            if waiter.give_up_at < due_at:
                self.waiters.remove(waiter)
                waiter.complete(bucket_waiters.Refused(delay, True))

    def refuse_all(self, delay: float) -> None:
        """Refuses every waiter because no home can grant tokens."""
        if self.waiters:
            self.home_answered = False
        while self.waiters:
            self.waiters.popleft().complete(
                bucket_waiters.Refused(delay, False)
            )
