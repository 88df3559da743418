"""Runs one host: opens every part, serves, and leaves gracefully.

Leaving takes three steps, so that no request is cut off and no caller with a
live look-up is refused: peers and look-ups are told at once; requests are
served until the last look-up that named this host has run out; then the
listener closes and open requests run to their end.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import random
import signal
import sys
from typing import Any

import eventlet
from eventlet import event
from eventlet import hubs

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir import metrics as metrics_module
from gooseberryweir.connection import caller_http
from gooseberryweir.connection import messages
from gooseberryweir.connection import upstream_http
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process import context as contexts
from gooseberryweir.process import measurer as measurer_module
from gooseberryweir.process import reporting
from gooseberryweir.process import settings as settings_module
from gooseberryweir.process.membership import fact_expiry
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import membership as membership_module
from gooseberryweir.process.membership import peering as peering_module
from gooseberryweir.process.operators import operator_http
from gooseberryweir.process.shares import permits as permits_module
from gooseberryweir.process.shares import shares as shares_module
from gooseberryweir.process.shares import suspects as suspects_module
from gooseberryweir.process.upkeep import relay
from gooseberryweir.process.upkeep import watcher as watcher_module
from gooseberryweir.process.upkeep import withdrawals
from gooseberryweir.request import application
from gooseberryweir.request import at_most_once
from gooseberryweir.request import body
from gooseberryweir.request import ranking
from gooseberryweir.request import routing
from gooseberryweir.request import tickets
from gooseberryweir.version import objects
from gooseberryweir.version import tables as tables_module

LOGGER = logging.getLogger(__name__)
# Bytes of all bodies held at once; half of what a host may use for state.
BODY_BUDGET_BYTES = 40 * 1024 * 1024
# Seconds by which a caller's clock may run a cached look-up longer.
LOOK_UP_MARGIN_SECONDS = 1.0
MAX_OPERATOR_REQUESTS = 64
LISTEN_BACKLOG = 512


def listen(address: str) -> Any:
    """Opens a listening socket for IP:PORT; port 0 lets the system choose."""
    host, _, port = address.rpartition(":")
    return eventlet.listen((host, int(port)), backlog=LISTEN_BACKLOG)


class StopSignal:
    """The request to leave: set once, by a signal or a test."""

    def __init__(self) -> None:
        self.requested = False
        self.event = event.Event()

    def request(self, *_: object) -> None:
        """Asks the process to leave; a repeat changes nothing."""
        if not self.requested:
            self.requested = True
            hubs.get_hub().schedule_call_global(0, self.event.send)

    def install(self) -> None:
        """Takes SIGTERM and SIGINT as requests to leave."""
        signal.signal(signal.SIGTERM, self.request)
        signal.signal(signal.SIGINT, self.request)


def explainer(
    context: contexts.Context,
) -> Callable[[str, str, str], dict[str, Any]]:
    """Returns the function that says how a request would be routed."""

    def explain(method: str, path: str, account: str) -> dict[str, Any]:
        return {"lines": list(routing.explain(context, method, path, account))}

    return explain


@contextlib.contextmanager
def open_context(
    settings: settings_module.Settings,
    clock: clocks.Clock,
) -> Iterator[contexts.Context]:
    """Opens every part of one host and closes them in reverse order."""
    store = objects.ObjectStore()
    tables = tables_module.Tables(store)
    facts = facts_module.Facts()
    facts.is_obsolete = fact_expiry.obsolete_predicate(tables, clock)
    incarnation = int(clock.wall() * 1000)
    membership = membership_module.Membership(
        settings.host, incarnation, clock, tables, facts, store
    )
    metrics = metrics_module.open_metrics(settings.statsd)
    outcomes = reporting.Outcomes()
    with contextlib.ExitStack() as stack:
        peering = stack.enter_context(
            peering_module.Peering(
                settings.peer,
                settings.peers,
                membership,
                facts,
                store,
                clock,
                random.Random(),
            )
        )
        measurer = stack.enter_context(
            measurer_module.Measurer(
                clock,
                tables,
                facts,
                lambda pool: membership.home_of(pool) == settings.host,
            )
        )
        shares = stack.enter_context(
            shares_module.Shares(
                clock, tables, facts, membership, peering, measurer
            )
        )
        context = contexts.Context(
            settings=settings,
            clock=clock,
            metrics=metrics,
            outcomes=outcomes,
            tables=tables,
            facts=facts,
            membership=membership,
            peering=peering,
            shares=shares,
            suspects=suspects_module.Suspects(
                facts,
                clock,
                permits_module.Permits(
                    settings.region, clock, tables, membership, peering
                ),
            ),
            ledger=tickets.TicketLedger(settings.host, clock),
            upstreams=stack.enter_context(upstream_http.UpstreamConnections()),
            budget=body.BodyBudget(BODY_BUDGET_BYTES),
            rankings=ranking.Rankings(tables, membership),
        )
        peering.handlers[messages.Forward] = lambda message: (
            at_most_once.handle_forward(context, message)
        )
        _open_platform(stack, context, store)
        stack.enter_context(reporting.reports(shares, outcomes, metrics, clock))
        yield context


def _open_platform(
    stack: contextlib.ExitStack,
    context: contexts.Context,
    store: objects.ObjectStore,
) -> None:
    """Starts the tasks that talk to the platform."""
    settings = context.settings
    api = platform_store.Store(settings.platform, context.clock, settings.host)
    stack.enter_context(
        watcher_module.Watcher(
            api,
            store,
            context.membership.platform_answered,
            relay.relay_duty(
                settings.host,
                settings.region,
                context.tables,
                context.membership,
                context.clock,
            ),
            context.clock,
        )
    )
    writer = eventlet.spawn(
        withdrawals.write_forever,
        api,
        context.facts,
        context.tables,
        context.membership,
        context.clock,
    )
    stack.callback(writer.kill)


def run(settings: settings_module.Settings) -> None:
    """Runs one host until it is told to leave."""
    clock = clocks.system_clock()
    logs.configure(settings.log_level, settings.host, clock)
    stop = StopSignal()
    stop.install()
    caller_listener = listen(settings.caller)
    operator_listener = listen(settings.operator)
    with open_context(settings, clock) as context:
        pool = eventlet.GreenPool(settings.max_open_requests)
        caller_task = eventlet.spawn(
            caller_http.serve,
            caller_listener,
            application.make_application(context),
            pool,
            settings.max_header_bytes,
            lambda: stop.requested,
            lambda refusal: application.record_refusal(context, "", refusal),
        )
        operator_task = eventlet.spawn(
            caller_http.serve,
            operator_listener,
            operator_http.build_application(operator_node(context)),
            eventlet.GreenPool(MAX_OPERATOR_REQUESTS),
            settings.max_header_bytes,
            lambda: False,
        )
        _announce(caller_listener, context, operator_listener)
        stop.event.wait()
        _leave(context, caller_listener, caller_task, pool)
        operator_task.kill()
    logs.event(LOGGER, "host-stopped")


def operator_node(context: contexts.Context) -> operator_http.Node:
    """Returns what the operator port needs of a process."""
    return operator_http.Node(
        settings=context.settings,
        membership=context.membership,
        tables=context.tables,
        facts=context.facts,
        peering=context.peering,
        counters=dict,
        explain=explainer(context),
        clock=context.clock,
    )


def _announce(caller: Any, context: contexts.Context, operator: Any) -> None:
    """Prints the bound ports, for whoever started the process."""
    peer_port = context.peering.address.rpartition(":")[2]
    caller_port = caller.getsockname()[1]
    operator_port = operator.getsockname()[1]
    line = f"ready caller={caller_port} peer={peer_port}"
    sys.stdout.write(f"{line} operator={operator_port}\n")
    sys.stdout.flush()
    logs.event(
        LOGGER,
        "host-started",
        incarnation=context.membership.incarnation,
        region=context.settings.region,
        zone=context.settings.zone,
    )


def _leave(
    context: contexts.Context,
    listener: Any,
    caller_task: Any,
    pool: eventlet.GreenPool,
) -> None:
    """Leaves: told at once, served until look-ups end, then drained."""
    began = context.clock.monotonic()
    logs.event(LOGGER, "host-leaving", open_requests=pool.running())
    context.membership.leave()
    context.clock.sleep(
        context.settings.look_up_seconds + LOOK_UP_MARGIN_SECONDS
    )
    caller_task.kill()
    listener.close()
    with eventlet.Timeout(context.settings.drain_seconds, False):
        pool.waitall()
    seconds = context.clock.monotonic() - began
    context.metrics.timing("drain", seconds * 1000)
    logs.event(LOGGER, "host-drained", seconds=seconds, cut_off=pool.running())
