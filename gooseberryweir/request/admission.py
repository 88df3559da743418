"""Admission: the route of a request and the client account of its key.

All checks are made against the state of this moment; `still_admitted` makes
them again right before dispatch, since a request may have waited.
"""

from typing import NamedTuple

from gooseberryweir import codes
from gooseberryweir.process import context as contexts
from gooseberryweir.request import incoming
from gooseberryweir.version import declarations


class AdmittedRequest(NamedTuple):
    """A request that may be served.

    Attributes:
        route: Its route.
        work_class: Name of its class of work.
        account: Its client account; empty on a route open to all.
        key_digest: SHA-256 of its key in hexadecimal; empty without one.
    """

    route: declarations.Route
    work_class: str
    account: str
    key_digest: str


def check_freshness(context: contexts.Context) -> codes.Refusal | None:
    """Returns why the host may not serve now, if it may not."""
    if context.tables.declarations is None:
        return codes.refuse(codes.Code.HOST_STARTING)
    if not context.membership.freshness().fresh:
        return codes.refuse(codes.Code.HOST_STALE)
    return None


def find_account(
    context: contexts.Context, key_digest: str
) -> str | codes.Refusal:
    """Returns the client account of a key, or why it has none."""
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
    """Returns the route of a path, or why there is none."""
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
    """Checks route, freshness and key of a request."""
    refusal = check_freshness(context)
    if refusal is not None:
        return refusal
    return _admit_route_and_key(
        context, request.method, request.path, request.key_digest
    )


def _admit_route_and_key(
    context: contexts.Context, method: str, path: str, key_digest: str
) -> AdmittedRequest | codes.Refusal:
    """Checks route and key."""
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
    """Returns why an admitted request may no longer be dispatched."""
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
    """Checks a request that another host forwarded."""
    refusal = check_freshness(context)
    if refusal is not None:
        return refusal
    return _admit_route_and_key(context, method, path, key_digest)
