"""Admission: decides whether a request may run, by its route and key.

Each check uses the latest state of the host. A host is fresh if its platform
objects were confirmed as current recently enough; otherwise it answers every
request with a refusal, an error answer by this system. `recheck` repeats the
checks of freshness and key right before dispatch, because a request may have
waited since its admission.
"""

from typing import NamedTuple

from gooseberryweir import codes
from gooseberryweir.process import context as contexts
from gooseberryweir.request import incoming
from gooseberryweir.version import declarations


class AdmittedRequest(NamedTuple):
    """Route and client account of a request that may be served.

    Attributes:
        route: Route that matches the request path.
        work_class: Name of the route's class of work.
        account: Client account of the key; empty for an unauthenticated
            request.
        key_digest: SHA-256 of the key in hexadecimal; empty for an
            unauthenticated request.
    """

    route: declarations.Route
    work_class: str
    account: str
    key_digest: str


def check_freshness(context: contexts.Context) -> codes.Refusal | None:
    """Returns a refusal if the host is starting or is not fresh."""
    if context.tables.declarations is None:
        return codes.refuse(codes.Code.HOST_STARTING)
    if not context.membership.freshness().fresh:
        return codes.refuse(codes.Code.HOST_STALE)
    return None


def find_account(
    context: contexts.Context, key_digest: str
) -> str | codes.Refusal:
    """Returns the client account of a key.

    Returns a refusal if the key is missing, unknown or withdrawn.
    """
    if not key_digest:
        return codes.refuse(codes.Code.MISSING_KEY)
    entry = context.tables.keys.get(key_digest)
    if entry is None:
        return codes.refuse(codes.Code.UNKNOWN_KEY)
    if entry.withdrawn or context.facts.get(f"withdrawn/{key_digest}"):
        return codes.refuse(codes.Code.WITHDRAWN_KEY)
    return entry.account


def find_route(
    context: contexts.Context, method: str, path: str
) -> declarations.Route | codes.Refusal:
    """Returns the route for a path and method, or a refusal if none matches."""
    declared = context.tables.declarations
    if declared is None:
        return codes.refuse(codes.Code.HOST_STARTING)
    route = declarations.match_route(declared, path)
    if route is None:
        return codes.refuse(codes.Code.UNKNOWN_ROUTE)
    if method not in route.methods:
        return codes.refuse(codes.Code.BAD_METHOD)
    return route


def admit(
    context: contexts.Context, request: incoming.IncomingRequest
) -> AdmittedRequest | codes.Refusal:
    """Checks a caller's request: freshness of the host, route and key."""
    refusal = check_freshness(context)
    if refusal is not None:
        return refusal
    return _admit_route_and_key(
        context, request.method, request.path, request.key_digest
    )


def _admit_route_and_key(
    context: contexts.Context, method: str, path: str, key_digest: str
) -> AdmittedRequest | codes.Refusal:
    """Checks the route and the key; the caller checks the host's freshness."""
    route = find_route(context, method, path)
    if isinstance(route, codes.Refusal):
        return route
    if route.open and not key_digest:
        return AdmittedRequest(route, route.work_class, "", "")
    account = find_account(context, key_digest)
    if isinstance(account, codes.Refusal):
        return account
    if route.accounts and account not in route.accounts:
        return codes.refuse(codes.Code.WRONG_ACCOUNT)
    return AdmittedRequest(route, route.work_class, account, key_digest)


def recheck(
    context: contexts.Context, admitted: AdmittedRequest
) -> codes.Refusal | None:
    """Checks an admitted request again before it is sent to an upstream.

    Returns a refusal if the host is no longer fresh, or if the key is no longer
    valid or belongs to another account.
    """
    refusal = check_freshness(context)
    if refusal is not None:
        return refusal
    if not admitted.account:
        return None
    account = find_account(context, admitted.key_digest)
    if isinstance(account, codes.Refusal):
        return account
    if account != admitted.account:
        return codes.refuse(codes.Code.WRONG_ACCOUNT)
    return None


def admit_forwarded(
    context: contexts.Context, method: str, path: str, key_digest: str
) -> AdmittedRequest | codes.Refusal:
    """Checks a request that a peer forwarded: freshness, route and key."""
    refusal = check_freshness(context)
    if refusal is not None:
        return refusal
    return _admit_route_and_key(context, method, path, key_digest)
