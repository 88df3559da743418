"""What lives as long as the process and every request may use."""

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
    """The parts of one host process.

    Attributes:
        settings: Settings of the process.
        clock: Source of time.
        metrics: Figures for statsd.
        outcomes: What became of the requests of each client account.
        tables: What the platform's objects say.
        facts: Facts shared among hosts.
        membership: Freshness, view and standing.
        peering: Links to other hosts.
        shares: Token buckets and slots.
        suspects: Requests that ended upstreams.
        ledger: Tickets that this process issued.
        upstreams: Connections to upstreams.
        budget: Bytes of bodies held in memory.
        rankings: Hosts for callers, in order.
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
