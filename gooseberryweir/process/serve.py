"""Runs one host: starts its components, serves and shuts down gracefully.

A caller looks up the hosts that it should use, and may use the answer until it
expires. A shutdown has three steps, so that no request is cut off and no caller
with a valid answer is refused. First, the peers are notified, and answers to
new look-ups no longer name this host. Next, requests are served until the last
answer that names this host has expired. Then the listener closes and open
requests are completed, also those that other hosts have forwarded.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import random
import signal
import sys
from typing import Any
from typing import NamedTuple

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
from gooseberryweir.process import reporting
from gooseberryweir.process import settings as settings_module
from gooseberryweir.process import upstream_monitor as upstream_monitor_module
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
# Limit of all buffered request bodies together: half of the memory that a host
# may use for state.
MAX_BUFFERED_BODY_BYTES = 40 * 1024 * 1024
# Longest time for which a caller with an inexact clock uses the answer to a
# look-up after it has expired.
LOOK_UP_MARGIN_SECONDS = 1.0
MAX_OPEN_OPERATOR_REQUESTS = 64
# Longest wait for open requests of operators at the end of a shutdown; longer
# than a key withdrawal takes.
OPERATOR_DRAIN_SECONDS = operator_http.WITHDRAWAL_TIMEOUT_SECONDS + 2.0
LISTEN_BACKLOG = 512


def listen(address: str) -> Any:
    """Opens a listening socket on IP:PORT; port 0 means any free port."""
    host, _, port = address.rpartition(":")
    return eventlet.listen((host, int(port)), backlog=LISTEN_BACKLOG)


class ShutdownSignal:
    """Records that a signal or a test requested the shutdown of this process.

    Attributes:
        requested: True once a shutdown is requested.
        event: Event that is sent with the first request.
    """

    def __init__(self) -> None:
        self.requested = False
        self.event = event.Event()

    def request(self, *_: object) -> None:
        """Requests the shutdown; further calls have no effect."""
        if not self.requested:
            self.requested = True
            hubs.get_hub().schedule_call_global(0, self.event.send)

    def install(self) -> None:
        """Requests the shutdown on SIGTERM and SIGINT."""
        signal.signal(signal.SIGTERM, self.request)
        signal.signal(signal.SIGINT, self.request)


class Port(NamedTuple):
    """A port that serves requests.

    Attributes:
        listener: Listening socket.
        task: Task that runs the server.
        pool: Pool of the tasks that serve connections.
    """

    listener: Any
    task: Any
    pool: eventlet.GreenPool

    def close(self) -> None:
        """Accepts no more connections; open requests run on in the pool."""
        self.task.kill()
        self.listener.close()


def make_explain(
    context: contexts.Context,
) -> Callable[[str, str, str], dict[str, Any]]:
    """Returns a function that explains how a request would be routed."""

    def explain(method: str, path: str, account: str) -> dict[str, Any]:
        return {"lines": list(routing.explain(context, method, path, account))}

    return explain


@contextlib.contextmanager
def open_context(
    settings: settings_module.Settings,
    clock: clocks.Clock,
) -> Iterator[contexts.Context]:
    """Starts the components of one host; stops them in reverse order."""
    store = objects.ObjectStore()
    tables = tables_module.Tables(store)
    facts = facts_module.Facts()
    facts.is_obsolete = fact_expiry.obsolete_predicate(tables, clock)
    store.listeners.append(withdrawals.restorer(store, tables, facts))
    incarnation = int(clock.wall() * 1000)
    membership = membership_module.Membership(
        settings.host, incarnation, clock, tables, facts, store
    )
    metrics = metrics_module.open_metrics(settings.statsd)
    outcomes = reporting.AccountOutcomes()
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
        upstream_monitor = stack.enter_context(
            upstream_monitor_module.UpstreamMonitor(
                clock,
                tables,
                facts,
                lambda pool: membership.home_of(pool) == settings.host,
            )
        )
        shares = stack.enter_context(
            shares_module.Shares(
                clock, tables, facts, membership, peering, upstream_monitor
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
            upstream_connections=stack.enter_context(
                upstream_http.UpstreamConnections()
            ),
            body_budget=body.BodyBudget(MAX_BUFFERED_BODY_BYTES),
            rankings=ranking.Rankings(tables, membership),
        )
        peering.handlers[messages.Forward] = lambda message: (
            at_most_once.handle_forward(context, message)
        )
        _start_platform_tasks(stack, context, store)
        stack.enter_context(
            reporting.periodic_reports(shares, outcomes, metrics, clock)
        )
        yield context


def _start_platform_tasks(
    stack: contextlib.ExitStack,
    context: contexts.Context,
    store: objects.ObjectStore,
) -> None:
    """Starts the tasks that copy objects from the platform or write to it."""
    settings = context.settings
    platform_api = platform_store.Store(
        settings.platform, context.clock, settings.host
    )
    stack.enter_context(
        watcher_module.Watcher(
            platform_api,
            store,
            context.membership.platform_answered,
            relay.relay_predicate(
                settings.host,
                settings.region,
                context.tables,
                context.membership,
                context.clock,
            ),
            context.clock,
        )
    )
    withdrawal_writer = eventlet.spawn(
        withdrawals.run_writer,
        platform_api,
        context.facts,
        context.tables,
        context.membership,
        context.clock,
    )
    stack.callback(withdrawal_writer.kill)


def run(settings: settings_module.Settings) -> None:
    """Runs one host until a shutdown is requested."""
    clock = clocks.system_clock()
    logs.configure(settings.log_level, settings.host, clock)
    shutdown_signal = ShutdownSignal()
    shutdown_signal.install()
    caller_listener = listen(settings.caller)
    operator_listener = listen(settings.operator)
    with open_context(settings, clock) as context:
        caller_pool = eventlet.GreenPool(settings.max_open_requests)
        caller_task = eventlet.spawn(
            caller_http.serve,
            caller_listener,
            application.make_application(context),
            caller_pool,
            settings.max_header_bytes,
            lambda: shutdown_signal.requested,
            lambda refusal: application.record_refusal(context, "", refusal),
        )
        operator_pool = eventlet.GreenPool(MAX_OPEN_OPERATOR_REQUESTS)
        operator_task = eventlet.spawn(
            caller_http.serve,
            operator_listener,
            operator_http.build_application(operator_context(context)),
            operator_pool,
            settings.max_header_bytes,
            lambda: False,
        )
        _announce_ready(caller_listener, context, operator_listener)
        shutdown_signal.event.wait()
        _shut_down(
            context,
            Port(caller_listener, caller_task, caller_pool),
            Port(operator_listener, operator_task, operator_pool),
        )
    logs.event(LOGGER, "host-stopped")


def operator_context(
    context: contexts.Context,
) -> operator_http.OperatorContext:
    """Returns the state of the process that the operator port uses."""
    return operator_http.OperatorContext(
        settings=context.settings,
        membership=context.membership,
        tables=context.tables,
        facts=context.facts,
        peering=context.peering,
        counters=dict,
        explain=make_explain(context),
        clock=context.clock,
    )


def _announce_ready(
    caller_listener: Any, context: contexts.Context, operator_listener: Any
) -> None:
    """Prints the bound ports for the parent process and logs the start."""
    peer_port = context.peering.address.rpartition(":")[2]
    caller_port = caller_listener.getsockname()[1]
    operator_port = operator_listener.getsockname()[1]
    ready_line = f"ready caller={caller_port} peer={peer_port}"
    sys.stdout.write(f"{ready_line} operator={operator_port}\n")
    sys.stdout.flush()
    logs.event(
        LOGGER,
        "host-started",
        incarnation=context.membership.incarnation,
        region=context.settings.region,
        zone=context.settings.zone,
    )


def _shut_down(
    context: contexts.Context, callers: Port, operators: Port
) -> None:
    """Shuts down in the three steps that the module's docstring describes.

    Requests that are still open `drain_seconds` after the listener closed are
    cut off.
    """
    started_at = context.clock.monotonic()
    logs.event(LOGGER, "host-leaving", open_requests=callers.pool.running())
    context.membership.leave()
    context.clock.sleep(
        context.settings.look_up_seconds + LOOK_UP_MARGIN_SECONDS
    )
    callers.close()
    with eventlet.Timeout(context.settings.drain_seconds, False):
        callers.pool.waitall()
        context.peering.server.finish_slow_messages()
        operators.close()
        with eventlet.Timeout(OPERATOR_DRAIN_SECONDS, False):
            operators.pool.waitall()
    cut_off = (
        callers.pool.running()
        + len(context.peering.server.slow_tasks)
        + operators.pool.running()
    )
    drain_seconds = context.clock.monotonic() - started_at
    context.metrics.timing("drain", drain_seconds * 1000)
    logs.event(LOGGER, "host-drained", seconds=drain_seconds, cut_off=cut_off)
