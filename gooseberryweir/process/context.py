"""The state of a host process that all its requests share."""

from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir import metrics as metrics_module
from gooseberryweir.connection import upstream_http
from gooseberryweir.process import reporting
from gooseberryweir.process import settings as settings_module
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import membership as membership_module
from gooseberryweir.process.membership import peering as peering_module
from gooseberryweir.process.shares import shares as shares_module
from gooseberryweir.process.shares import suspects as suspects_module
from gooseberryweir.request import body
from gooseberryweir.request import ranking
from gooseberryweir.request import tickets
from gooseberryweir.version import tables as tables_module


class Context(NamedTuple):
    """Shared state and services of one host process.

    Attributes:
        settings: Settings of the process.
        clock: Source of time.
        metrics: Client of the statsd server.
        outcomes: Counts and latencies of requests by client account.
        tables: Active tables, built from the platform's objects.
        facts: Facts: key-value entries that all hosts replicate and merge.
        membership: Tells if this host may serve requests, which hosts can be
            homes (grant shares of limits), and if this host may act as one.
        peering: Links to the peers.
        shares: This host's shares of the token buckets and upstream slots, and
            the shares that it grants as their home.
        suspects: Requests whose attempts crashed upstreams.
        ledger: Tickets (idempotency keys) that this process issued, with the
            outcomes of their requests.
        upstream_connections: Connections to upstreams.
        body_budget: Limit of the bytes of request bodies in memory.
        rankings: Cached lists of the hosts that a caller should use, in order
            of preference.
    """

    settings: settings_module.Settings
    clock: clocks.Clock
    metrics: metrics_module.Metrics
    outcomes: reporting.AccountOutcomes
    tables: tables_module.Tables
    facts: facts_module.Facts
    membership: membership_module.Membership
    peering: peering_module.Peering
    shares: shares_module.Shares
    suspects: suspects_module.Suspects
    ledger: tickets.TicketLedger
    upstream_connections: upstream_http.UpstreamConnections
    body_budget: body.BodyBudget
    rankings: ranking.Rankings
