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
        facts: Facts shared between the hosts.
        membership: Freshness, view and quorum of this host.
        peering: Links to the peers.
        shares: Token buckets and upstream slots, shared by all hosts.
        suspects: Requests whose attempts crashed upstreams.
        ledger: Tickets that this process issued, with their outcomes.
        upstream_connections: Connections to upstreams.
        body_budget: Limit of the bytes of request bodies in memory.
        rankings: Hosts in order of preference for callers.
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
