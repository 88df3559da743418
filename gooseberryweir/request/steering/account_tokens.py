"""Takes a token for each request: at this host, or at a relay of the region.

Accounts whose rate is high enough have a token bucket on each host. Those of
the other accounts are at the relays, see `limits.is_pooled`.
"""

from collections.abc import Callable

from gooseberryweir.request.steering import limits
from gooseberryweir.version import traffic


class AccountTokens:
    """Tokens of client accounts for the requests at this host.

    Attributes:
        meter: Requests per second of each client account at this host.
        local: Buckets of this host.
        take_pooled: Takes a token from the relay that this host uses; returns 0
            or the seconds until one is available, None if no relay answered.
        fleet_size: Returns the number of hosts that may be serving.
    """

    def __init__(
        self,
        meter: limits.RateMeter,
        local: limits.AccountLimits,
        take_pooled: Callable[[str], float | None],
        fleet_size: Callable[[], int],
    ) -> None:
        self.meter = meter
        self.local = local
        self.take_pooled = take_pooled
        self.fleet_size = fleet_size

    def take(self, account: traffic.Account) -> float | None:
        """Records a request and takes a token for it if one is available.

        Returns:
            0 if a token was taken or there is no limit, else the seconds until
            one is available; None if no relay answered.
        """
        self.meter.add(account.name)
        if limits.is_pooled(account.rate, self.fleet_size()):
            return self.take_pooled(account.name)
        return self.local.take_token(account.name, account.rate, account.burst)

    def describe(self, account: traffic.Account) -> str:
        """Returns why a request got no token, for the log."""
        exceeded = f"{account.name} exceeds {account.rate:g} requests/s"
        if limits.is_pooled(account.rate, self.fleet_size()):
            return f"{exceeded}; the region's relay has no token"
        share = self.local.share(account.name, account.rate)
        return f"{exceeded}; this host's share is {share:.3f}"
