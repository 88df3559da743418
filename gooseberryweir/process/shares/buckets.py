"""Token buckets shared by all hosts: shares and homes on this host.

The home of a bucket is the host that grants its tokens. Each host has a holder
of each bucket that it uses: the state of its share, from which it spends the
tokens granted to it.
"""

from collections.abc import Callable
import math

from gooseberryweir import clock as clocks
from gooseberryweir.connection import messages
from gooseberryweir.process.membership import home_leases as home_leases_module
from gooseberryweir.process.shares import bucket_holder
from gooseberryweir.process.shares import bucket_home
from gooseberryweir.process.shares import bucket_waiters
from gooseberryweir.process.shares import share_requests


class Buckets:
    """Spends tokens of all buckets; grants tokens as the home of some buckets.

    Args:
        host: Name of this host.
        incarnation: Returns the incarnation of this host.
        clock: Source of time.
        home_leases: Leases of this host to act as the home of buckets.
        peering: Links to the peers.
        errors: Exceptions that `peering.call` raises if a host did not
            answer.
        limits: Returns the limits of a bucket, or None if it is not declared.
    """

    def __init__(
        self,
        host: str,
        incarnation: Callable[[], int],
        clock: clocks.Clock,
        home_leases: home_leases_module.HomeLeases,
        peering: share_requests.Peering,
        errors: tuple[type[Exception], ...],
        limits: Callable[[str], bucket_home.Limits | None],
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.clock = clock
        self.home_leases = home_leases
        self.peering = peering
        self.errors = errors
        self.limits = limits
        self.homes = home_leases_module.HomeStates[bucket_home.BucketHome](
            home_leases
        )
        self.bucket_holders: dict[str, bucket_holder.BucketHolder] = {}
        peering.handlers[messages.Draw] = self.handle

    def take(
        self, bucket: str, tokens: int = 1, deadline: float = math.inf
    ) -> bucket_waiters.Taken | bucket_waiters.Refused:
        """Spends tokens of a bucket.

        Args:
            bucket: Name of the bucket: `account/valle` limits the requests of a
                client account, `shift/norte/centro` those that region `norte`
                sends to region `centro`.
            tokens: Number of tokens.
            deadline: Monotonic instant at which to stop waiting; the wait is
                never longer than `bucket_holder.MAX_WAIT_SECONDS`.
        """
        holder = self.bucket_holders.get(bucket)
        if holder is None:
            holder = self.bucket_holders[bucket] = self.create_bucket_holder(
                bucket
            )
        return holder.take(tokens, deadline)

    def create_bucket_holder(self, bucket: str) -> bucket_holder.BucketHolder:
        """Creates the state of this host's share of a bucket."""
        home = bucket_holder.HomeClient(
            find_host=lambda: self.home_leases.membership.home_of(bucket),
            call=self.call,
            take_locally=lambda tokens: self.take_at_home(bucket, tokens),
            limits=lambda: self.limits(bucket),
            view_digest=lambda: self.home_leases.membership.view().digest,
        )
        return bucket_holder.BucketHolder(
            bucket, self.host, self.incarnation, self.clock, home
        )

    def call(
        self, host: str, request: messages.Draw, timeout: float
    ) -> messages.Grant | None:
        """Requests tokens from a home; returns None if there is no answer."""
        return share_requests.send(
            self.peering, self.errors, host, request, timeout, messages.Grant
        )

    def handle(self, request: messages.Draw) -> messages.Grant:
        """Answers a request of another host for tokens."""
        now = self.clock.monotonic()
        home = self.local_home(request.bucket, now)
        if home is None:
            return messages.Grant(0, 0.0, 0.0, False, 0.0)
        return home.handle(request, now)

    def take_at_home(self, bucket: str, tokens: int) -> float | None:
        """Takes tokens from the home on this host.

        Returns:
            0 if the tokens were taken, else the seconds until they are
            expected; None if this host is not the home or may not grant yet.
        """
        now = self.clock.monotonic()
        home = self.local_home(bucket, now)
        return None if home is None else home.take(tokens, now)

    def local_home(
        self, bucket: str, now: float
    ) -> bucket_home.BucketHome | None:
        """Returns the home of a bucket, or None if this host may not grant."""
        limits = self.limits(bucket)
        if limits is None:
            return None
        home = self.homes.get(
            bucket, lambda: bucket_home.BucketHome(limits, now)
        )
        if home is not None:
            home.configure(limits, now)
        return home
