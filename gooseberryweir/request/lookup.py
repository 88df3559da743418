"""The look-up: which hosts a caller should use, in order, and for how long."""

import json
from typing import Any
from typing import TypedDict

from gooseberryweir import codes
from gooseberryweir import rendezvous
from gooseberryweir.process import context as contexts
from gooseberryweir.request import admission
from gooseberryweir.request import answer as answers
from gooseberryweir.request import incoming
from gooseberryweir.request import routing
from gooseberryweir.version import steering_table

PATH = "/v1/hosts"


class LookUpHost(TypedDict):
    """One host in the answer of a look-up."""

    name: str
    address: str
    region: str
    zone: str


class LookUpTickets(TypedDict):
    """Tickets for non-idempotent requests: prefix + number below count."""

    prefix: str
    count: int
    seconds: float


class LookUp(TypedDict, total=False):
    """The answer of a look-up, as JSON.

    Attributes:
        hosts: Hosts to use, the best first.
        ttl: Seconds for which the answer may be cached.
        tickets: Only for a caller that sent its key.
    """

    hosts: list[LookUpHost]
    ttl: float
    tickets: LookUpTickets


def ranked_hosts(
    context: contexts.Context, account: str, region: str
) -> list[LookUpHost]:
    """Returns the hosts in service, the best for the account first.

    Nearest regions go first; within a region the host that holds the
    account's tokens, then rendezvous order, which spreads the accounts.
    """
    declared = context.tables.declarations
    if declared is None:
        return []
    home = context.membership.holder(f"account/{account}")
    live = set(context.membership.in_service())
    entries = [e for e in context.tables.hosts.values() if e.name in live]

    def rank(entry: Any) -> tuple[float, bool, int, str]:
        latency = routing.latency_between(declared, region, entry.region)
        weight = rendezvous.score(account, entry.name)
        return (latency, entry.name != home, -weight, entry.name)

    return [
        LookUpHost(name=e.name, address=e.caller, region=e.region, zone=e.zone)
        for e in sorted(entries, key=rank)
    ]


def look_up(
    context: contexts.Context, request: incoming.Incoming, query: str
) -> answers.Answer:
    """Answers a look-up.

    Args:
        context: The process.
        request: The request; its key is optional.
        query: Query string; `region=NAME` names the caller's region. Without
            it the region is that of the caller's address block, or else that
            of this host.
    """
    stale = admission.freshness_fault(context)
    if stale is not None:
        return answers.from_refusal(stale)
    account = ""
    if request.key_digest:
        found = admission.account_of(context, request.key_digest)
        if isinstance(found, codes.Refusal):
            return answers.from_refusal(found)
        account = found
    region = _region_of(query) or _nearest_region(context, request.address)
    document = LookUp(
        hosts=ranked_hosts(context, account, region),
        ttl=context.settings.look_up_seconds,
    )
    if account:
        batch = context.ledger.issue(account)
        document["tickets"] = LookUpTickets(
            prefix=batch.prefix, count=batch.size, seconds=batch.seconds
        )
    return _json_answer(document)


def _region_of(query: str) -> str:
    for pair in query.split("&"):
        name, _, value = pair.partition("=")
        if name == "region":
            return value
    return ""


def _nearest_region(context: contexts.Context, address: str) -> str:
    """Returns the region of a caller's address, this host's if unknown."""
    tables = context.tables
    site = steering_table.site_of(tables.blocks, tables.sites, address)
    return context.settings.region if site is None else site.region


def _json_answer(document: LookUp) -> answers.Answer:
    body = json.dumps(document).encode()
    headers = (
        ("Content-Type", "application/json"),
        ("Cache-Control", f"max-age={int(document['ttl'])}"),
        ("Content-Length", str(len(body))),
    )
    return answers.Answer(200, headers, [body])
