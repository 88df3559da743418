"""Answers look-ups: requests for the list of hosts that a caller should use.

The answer is a JSON object: `hosts`, the best first (see `ranking`); `ttl`, the
seconds for which the answer may be cached; `tickets`, a batch of tickets for a
caller that sent its key (see the module `tickets`).
"""

import json
from typing import TypedDict

from gooseberryweir import codes
from gooseberryweir.process import context as contexts
from gooseberryweir.request import admission
from gooseberryweir.request import answer as answers
from gooseberryweir.request import incoming
from gooseberryweir.request import ranking
from gooseberryweir.version import steering_table

PATH = "/v1/hosts"
METHODS = ("GET", "HEAD")


class LookUpTickets(TypedDict):
    """A batch of tickets in a look-up's answer.

    Attributes:
        prefix: Text of the tickets up to their numbers, which are 0 to
            `count` - 1.
        count: Number of tickets in the batch.
        seconds: Time after the issue within which a ticket can be used.
    """

    prefix: str
    count: int
    seconds: float


def look_up(
    context: contexts.Context, request: incoming.IncomingRequest, query: str
) -> answers.Answer | codes.Refusal:
    """Answers a look-up.

    Args:
        context: State of the host process.
        request: Look-up request; its key is optional.
        query: Query string; `region=NAME` names the caller's region. Without
            it, the region is that of the caller's address block, or this
            host's region if the block is unknown.

    Returns:
        The answer, or a refusal.
    """
    if request.method not in METHODS:
        return codes.refuse(codes.Code.BAD_METHOD)
    refusal = admission.check_freshness(context)
    if refusal is not None:
        return refusal
    account = ""
    if request.key_digest:
        key_account = admission.find_account(context, request.key_digest)
        if isinstance(key_account, codes.Refusal):
            return key_account
        account = key_account
    region = _parse_region(query) or _region_of_address(
        context, request.caller_address
    )
    hosts = context.rankings.ranked_json(account, region)
    if hosts == ranking.NO_HOSTS:
        # The configuration may arrive before the list of hosts.
        return codes.refuse(codes.Code.HOST_STARTING)
    seconds = context.settings.look_up_seconds
    fields = [f'"hosts": {hosts}', f'"ttl": {json.dumps(seconds)}']
    if account:
        batch = context.ledger.issue(account)
        tickets = LookUpTickets(
            prefix=batch.prefix, count=batch.size, seconds=batch.seconds
        )
        fields.append(f'"tickets": {json.dumps(tickets)}')
    return _json_answer(f"{{{', '.join(fields)}}}", seconds)


def _parse_region(query: str) -> str:
    """Returns the value of `region` in a query string, empty if absent."""
    for pair in query.split("&"):
        name, _, value = pair.partition("=")
        if name == "region":
            return value
    return ""


def _region_of_address(context: contexts.Context, address: str) -> str:
    """Returns the region of a caller's address, or this host's if unknown."""
    tables = context.tables
    site = steering_table.find_site(tables.block_shards, tables.sites, address)
    return context.settings.region if site is None else site.region


def _json_answer(text: str, seconds: float) -> answers.Answer:
    """Returns a JSON answer that may be cached for `seconds`."""
    body = text.encode()
    headers = (
        ("Content-Type", "application/json"),
        ("Cache-Control", f"max-age={int(seconds)}"),
        ("Content-Length", str(len(body))),
    )
    return answers.Answer(200, headers, [body])
