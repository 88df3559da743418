"""Admission: decides whether a request may run, by its route, key and rate."""

from typing import NamedTuple

from gooseberryweir import codes
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.request.steering import account_tokens
from gooseberryweir.version import traffic

# Subtracted from the time for which a withdrawn key may still be accepted, to
# cover the time between this check and the send to the upstream.
KEY_REVOCATION_MARGIN_SECONDS = 0.5
# Retry-After of a host whose configuration is not confirmed recently enough to
# accept keys. It is half of `directory.TTL_SECONDS`, the longest time for which
# callers use a look-up response (the list of hosts).
STALE_RETRY_SECONDS = 1.0
# Longest Retry-After sent to a client account over its rate.
MAX_RATE_RETRY_SECONDS = 2.0


class AdmissionResult(NamedTuple):
    """Route, client account, regions and importance of a request that may run.

    Attributes:
        route: Route of the request.
        account: Client account, or None on a public route or without keys.
        regions: Regions in which the request may run; empty for all.
        importance: Importance rank of the request; 0 is the most important.
    """

    route: traffic.Route
    account: traffic.Account | None
    regions: frozenset[str]
    importance: int


class Admission:
    """Checks requests against this host's latest configuration.

    Attributes:
        max_confirmation_age_seconds: Keys are accepted for this long after the
            platform's store was last known to have no newer configuration.
    """

    def __init__(
        self,
        store_cache: store_cache_module.StoreCache,
        tokens: account_tokens.AccountTokens,
        key_revocation_seconds: float,
    ) -> None:
        """Creates the checks.

        Args:
            store_cache: Cache of the platform's store.
            tokens: Tokens of client accounts.
            key_revocation_seconds: Longest time for which a withdrawn key may
                still be accepted.
        """
        self.store_cache = store_cache
        self.tokens = tokens
        self.max_confirmation_age_seconds = (
            key_revocation_seconds - KEY_REVOCATION_MARGIN_SECONDS
        )

    def _is_stale(self) -> bool:
        """Returns True if a key may have been withdrawn unnoticed."""
        return (
            self.store_cache.confirmed_age() > self.max_confirmation_age_seconds
        )

    def admit(
        self, host: str, path: str, key: str, is_forwarded: bool = False
    ) -> AdmissionResult | codes.Refusal:
        """Admits a request, or returns its refusal (an error answer).

        Takes a token of the client account's rate unless the route is public
        or the configuration requires no keys.

        Args:
            host: The Host header.
            path: The path without the query.
            key: The key, or an empty string.
            is_forwarded: True if another host has already taken the token.
        """
        configuration = self.store_cache.configuration
        if configuration is None or not self.store_cache.complete():
            return codes.refuse(codes.Code.HOST_STARTING)
        route = configuration.find_route(host, path)
        if route is None:
            return codes.refuse(codes.Code.UNKNOWN_ROUTE)
        if route.public or not configuration.requires_keys:
            return AdmissionResult(route, None, route.regions, route.importance)
        if self._is_stale():
            return _refuse_stale()
        if not key:
            return codes.refuse(codes.Code.MISSING_KEY)
        account_name = configuration.account_by_key.get(key)
        account = (
            configuration.accounts.get(account_name) if account_name else None
        )
        if account is None:
            return codes.refuse(codes.Code.UNKNOWN_KEY)
        wait_seconds = 0.0 if is_forwarded else self.tokens.take(account)
        if wait_seconds is None:
            return codes.refuse(
                codes.Code.NO_HOME, "no relay of the region grants tokens"
            )
        if wait_seconds > 0:
            return codes.refuse(
                codes.Code.RATE_EXCEEDED,
                self.tokens.describe(account),
                retry_after=min(MAX_RATE_RETRY_SECONDS, wait_seconds),
            )
        # A relay may have taken some time to answer.
        if self._is_stale():
            return _refuse_stale()
        return AdmissionResult(
            route,
            account,
            _intersect_regions(route.regions, account.regions),
            route.importance
            if account.importance is None
            else account.importance,
        )


def _refuse_stale() -> codes.Refusal:
    return codes.refuse(codes.Code.HOST_STALE, retry_after=STALE_RETRY_SECONDS)


def _intersect_regions(
    first: frozenset[str], second: frozenset[str]
) -> frozenset[str]:
    """Returns the regions that both sets allow; an empty set allows all.

    If they have no region in common, the result contains only the empty string.
    No upstream in a known availability zone is then allowed; an upstream in an
    unknown zone has the empty string as its region and would be allowed.
    """
    if not first or not second:
        return first | second
    return (first & second) or frozenset({""})
