"""HTTP interface for operators: status, key withdrawals, routing explanations.

Every request needs the operator token as a bearer token; the host stores only
its SHA-256 digest. Requests contain the digests of keys, never the keys.
"""

from collections.abc import Callable
from collections.abc import Iterable
import hashlib
import hmac
import http
import json
import logging
import re
from typing import Any
from typing import NamedTuple
from urllib import parse

import eventlet

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.connection import messages
from gooseberryweir.connection import peer_link
from gooseberryweir.process import settings as settings_module
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import membership as membership_module
from gooseberryweir.process.membership import peering as peering_module
from gooseberryweir.process.upkeep import withdrawals
from gooseberryweir.version import tables as tables_module

# Longest wait for the hosts to confirm a key withdrawal.
WITHDRAWAL_TIMEOUT_SECONDS = 3.0
PEER_CALL_TIMEOUT_SECONDS = 1.0
RETRY_PAUSE_SECONDS = 0.2
MAX_BODY_BYTES = 4096
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
LOGGER = logging.getLogger(__name__)

Environ = dict[str, Any]
StartResponse = Callable[..., Any]


class OperatorContext(NamedTuple):
    """State of this process that the operator port uses.

    Attributes:
        settings: Settings of the process.
        membership: Tells if this host may serve requests, which hosts can be
            homes (grant shares of limits), and if this host may act as one.
        tables: Active tables, built from the platform's objects.
        facts: Facts: key-value entries that all hosts replicate and merge.
        peering: Links to the peers.
        counters: Returns the counters of the process by name.
        explain: Returns how a request with the given method, path and client
            account would be routed now, and why.
        clock: Source of time.
    """

    settings: settings_module.Settings
    membership: membership_module.Membership
    tables: tables_module.Tables
    facts: facts_module.Facts
    peering: peering_module.Peering
    counters: Callable[[], dict[str, Any]]
    explain: Callable[[str, str, str], dict[str, Any]]
    clock: clocks.Clock


def build_application(
    context: OperatorContext,
) -> Callable[[Environ, StartResponse], Iterable[bytes]]:
    """Returns the WSGI application of the operator port."""

    def application(
        environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        try:
            _check_token(context, environ)
            status, document = 200, _dispatch(context, environ)
        except codes.UserError as error:
            status = codes.TABLE[error.code].status
            document = _error_document(error.code, error.message)
        except Exception as error:  # The operator must get a result code.
            logs.event(
                LOGGER, "operator-failed", logging.ERROR, reason=repr(error)
            )
            status = codes.TABLE[codes.Code.INTERNAL].status
            document = _error_document(
                codes.Code.INTERNAL, "internal error; see logs"
            )
        body = json.dumps(document).encode() + b"\n"
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(f"{status} {_reason_phrase(status)}", headers)
        return [body]

    return application


def status(context: OperatorContext) -> dict[str, Any]:
    """Returns the state of this host and its view of the other hosts."""
    membership = context.membership
    freshness = membership.freshness()
    view = membership.view()
    return {
        "host": membership.host,
        "incarnation": membership.incarnation,
        "region": context.settings.region,
        "zone": context.settings.zone,
        "fresh": freshness.fresh,
        "freshness_source": freshness.source,
        "freshness_age_seconds": round(min(freshness.age, 1e9), 3),
        "config_version": context.tables.config_version,
        "versions": context.tables.store.versions(),
        "malformed": dict(context.tables.malformed),
        "view": [list(member) for member in view.members],
        "view_digest": f"{view.digest:016x}",
        # `stands`: True if a majority of the voters has the same view as this
        # host, for however short a time. `may_exercise`: True if it has had it
        # for long enough that this host may act as a home, that is, grant
        # shares of limits to other hosts.
        "stands": membership.has_majority(),
        "may_exercise": membership.may_grant(),
        "operators": {
            name: {"operator": entry.operator, "leaving": entry.leaving}
            for name, entry in sorted(context.tables.hosts.items())
        },
        "suspects": sorted(membership.pong().suspects),
        "drains": sorted(context.tables.drains),
        "counters": context.counters(),
    }


def withdraw(context: OperatorContext, digest: str) -> dict[str, Any]:
    """Withdraws a key at all hosts and collects their confirmations.

    Args:
        context: State of this process.
        digest: SHA-256 of the key in hexadecimal.

    Returns:
        The digest, the names of the listed hosts that confirmed the withdrawal
        and of those that did not before the timeout, and `known`: True if this
        host has the key in its tables.
    """
    fact = f"{withdrawals.FACT_PREFIX}{digest}"
    context.facts.merge({fact: 1})
    own_name = context.membership.host
    peers = sorted(set(context.tables.hosts) - {own_name})
    deadline = context.clock.monotonic() + WITHDRAWAL_TIMEOUT_SECONDS

    def confirm_at(host: str) -> bool:
        return _confirmed_by_host(context, host, fact, deadline)

    pool = eventlet.GreenPool(max(1, len(peers)))
    confirmed_by_host = dict(
        zip(peers, pool.imap(confirm_at, peers), strict=True)
    )
    confirmed = sorted(
        [own_name, *(name for name in peers if confirmed_by_host[name])]
    )
    missing = [name for name in peers if not confirmed_by_host[name]]
    logs.event(
        LOGGER,
        "key-withdrawn",
        digest=digest[:12],
        confirmed=len(confirmed),
        missing=",".join(missing),
    )
    return {
        "digest": digest,
        "confirmed": confirmed,
        "missing": missing,
        "known": digest in context.tables.keys,
    }


def _confirmed_by_host(
    context: OperatorContext, host: str, fact: str, deadline: float
) -> bool:
    """Sends a fact to a host until it confirms it or the deadline passes.

    Returns:
        True if the host confirmed the fact.
    """
    while True:
        remaining_seconds = deadline - context.clock.monotonic()
        if remaining_seconds <= 0:
            return False
        try:
            reply = context.peering.call(
                host,
                messages.FetchFacts({fact: 1}),
                timeout=min(remaining_seconds, PEER_CALL_TIMEOUT_SECONDS),
            )
        except peer_link.PeerError:
            reply = None
        if isinstance(reply, messages.Facts) and reply.facts.get(fact):
            return True
        context.clock.sleep(RETRY_PAUSE_SECONDS)


def _check_token(context: OperatorContext, environ: Environ) -> None:
    """Raises FORBIDDEN unless a request has the operator token."""
    scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    digest = hashlib.sha256(token.strip().encode("latin-1", "replace"))
    expected = context.settings.operator_token_digest
    matches = hmac.compare_digest(digest.hexdigest(), expected.lower())
    if not (expected and matches and scheme.lower() == "bearer"):
        logs.event(
            LOGGER,
            "operator-refused",
            logging.WARNING,
            caller=environ.get("REMOTE_ADDR", ""),
        )
        raise codes.UserError(
            codes.Code.FORBIDDEN, codes.TABLE[codes.Code.FORBIDDEN].text
        )


def _dispatch(context: OperatorContext, environ: Environ) -> dict[str, Any]:
    """Runs the operation that a request names and returns its result."""
    method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")
    if (method, path) == ("GET", "/v1/status"):
        return status(context)
    if (method, path) == ("POST", "/v1/withdraw"):
        return withdraw(context, _read_digest(environ))
    if (method, path) == ("GET", "/v1/explain"):
        query = dict(parse.parse_qsl(environ.get("QUERY_STRING", "")))
        if not query.get("path", "").startswith("/"):
            raise codes.UserError(
                codes.Code.BAD_PATH, "path must be given and begin with /"
            )
        return context.explain(
            query.get("method", "GET").upper(),
            query["path"],
            query.get("account", ""),
        )
    raise codes.UserError(
        codes.Code.UNKNOWN_ROUTE, f"there is no operation {method} {path}"
    )


def _read_digest(environ: Environ) -> str:
    length = environ.get("CONTENT_LENGTH") or ""
    if not length.isdigit() or int(length) > MAX_BODY_BYTES:
        raise codes.UserError(
            codes.Code.BAD_LENGTH, "the body length is not valid"
        )
    body = environ["wsgi.input"].read(int(length))
    try:
        digest = json.loads(body)["digest"]
    except (ValueError, KeyError, TypeError) as error:
        raise _malformed_digest_error() from error
    if not isinstance(digest, str) or not _DIGEST_PATTERN.fullmatch(digest):
        raise _malformed_digest_error()
    return digest


def _malformed_digest_error() -> codes.UserError:
    return codes.UserError(
        codes.Code.MALFORMED_KEY,
        'the body must be {"digest": SHA-256 in lower-case hexadecimal}',
    )


def _error_document(code: codes.Code, detail: str) -> dict[str, Any]:
    return {"code": int(code), "name": code.name, "detail": detail}


def _reason_phrase(http_status: int) -> str:
    return http.HTTPStatus(http_status).phrase
