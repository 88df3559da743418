"""Decides whether a request may run at all: route, key, freshness, rate."""

from typing import NamedTuple

from gooseberryweir import codes
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.request.steering import limits
from gooseberryweir.version import traffic

# Margin, in seconds, between the last use of a confirmation and the bound on
# withdrawn keys: for what happens between this check and the send.
KEY_MARGIN_SECONDS = 0.5
# When to come back to a host that can't confirm its keys: a look-up's life.
STALE_RETRY_SECONDS = 1.0
# Longest wait that is told to a client account over its rate.
MAX_RATE_RETRY_SECONDS = 2.0


class Admitted(NamedTuple):
    """A request that may run.

    Attributes:
        route: Its route.
        account: Its client account, or None on a public route.
        regions: Regions in which it may run; empty for all.
        importance: Rank; 0 is the most important.
    """

    route: traffic.Route
    account: traffic.Account | None
    regions: frozenset[str]
    importance: int


class Admission:
    """Checks requests against what this host knows."""

    def __init__(
        self,
        knowledge: store_cache_module.StoreCache,
        rates: limits.AccountLimits,
        key_revocation: float,
    ) -> None:
        self.knowledge = knowledge
        self.rates = rates
        self.key_seconds = key_revocation - KEY_MARGIN_SECONDS

    def admit(self, host: str, path: str, key: str) -> Admitted | codes.Refusal:
        """Returns the admitted request or its refusal.

        Args:
            host: The Host header.
            path: The path without the query.
            key: The key, or empty.
        """
        configuration = self.knowledge.configuration
        if configuration is None or not self.knowledge.complete():
            return codes.refuse(codes.Code.HOST_STARTING)
        route = configuration.find_route(host, path)
        if route is None:
            return codes.refuse(codes.Code.UNKNOWN_ROUTE)
        if route.public or not configuration.keyed:
            return Admitted(route, None, route.regions, route.importance)
        if self.knowledge.confirmed_age() > self.key_seconds:
            return codes.refuse(
                codes.Code.HOST_STALE, retry_after=STALE_RETRY_SECONDS
            )
        if not key:
            return codes.refuse(codes.Code.MISSING_KEY)
        name = configuration.account_by_key.get(key)
        account = configuration.accounts.get(name) if name else None
        if account is None:
            return codes.refuse(codes.Code.UNKNOWN_KEY)
        wait = self.rates.take(account.name, account.rate, account.burst)
        if wait > 0:
            part = self.rates.part(account.name, account.rate)
            return codes.refuse(
                codes.Code.RATE_EXCEEDED,
                f"{account.name} is over {account.rate:g}/s; "
                f"{part:.3f} of it is this host's part",
                retry_after=min(MAX_RATE_RETRY_SECONDS, wait),
            )
        return Admitted(
            route,
            account,
            _both(route.regions, account.regions),
            route.importance
            if account.importance is None
            else account.importance,
        )


def _both(first: frozenset[str], second: frozenset[str]) -> frozenset[str]:
    """Returns the regions that both allow; an empty set allows all."""
    if not first or not second:
        return first | second
    return (first & second) or frozenset({""})
