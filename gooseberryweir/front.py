"""Runs one host on the platform: creates and connects its components.

One process serves callers, look-ups, readiness checks and metrics. This module
depends on all subpackages, and none of them on it. Components that live as long
as the process hold no reference to a request.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import logging
import os
import random
import signal
import sys
from typing import NamedTuple

import eventlet
from eventlet import hubs

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir import host_components
from gooseberryweir import logs
from gooseberryweir import side_servers
from gooseberryweir import store_snapshots
from gooseberryweir.commands import exit_codes
from gooseberryweir.connection import byte_budget
from gooseberryweir.connection import caller_server
from gooseberryweir.connection import http_messages
from gooseberryweir.connection import pipelined_server
from gooseberryweir.connection import upstream_pool
from gooseberryweir.platform import records
from gooseberryweir.platform import settings as platform_settings
from gooseberryweir.platform import store as store_module
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import local_state
from gooseberryweir.process.fleet import mesh as mesh_module
from gooseberryweir.process.fleet import reader as reader_module
from gooseberryweir.process.fleet import shutdown as shutdown_module
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.request.steering import account_demand
from gooseberryweir.request.steering import admission as admission_module
from gooseberryweir.request.steering import crash_checks
from gooseberryweir.request.steering import forwarding
from gooseberryweir.request.steering import limits
from gooseberryweir.request.steering import selection as selection_module
from gooseberryweir.request.steering import sending as sending_module
from gooseberryweir.request.steering import serving as serving_module
from gooseberryweir.request.steering import suspects as suspects_module
from gooseberryweir.request.steering import telemetry as telemetry_module
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.version import traffic

LOGGER = logging.getLogger(__name__)

# The process exits this long before the end of the grace period (from SIGTERM
# to SIGKILL), even if requests are still open.
SHUTDOWN_MARGIN_SECONDS = 0.3
# Requests that are still open this long before its exit are given an answer, so
# that answers that wait behind them on their connections are sent.
LAST_ANSWERS_SECONDS = 0.2
# Interval at which a host that shuts down checks for open requests.
SHUTDOWN_POLL_SECONDS = 0.05
# Limits of callers' connections until there is a configuration: largest headers
# and body in bytes, header timeout and idle timeout in seconds.
DEFAULT_LIMITS = traffic.CallerLimits(16384, 1 << 20, 3.0, 15.0)


class Host(NamedTuple):
    """Components of a running host.

    Attributes:
        settings: Settings of the host.
        clock: Source of time.
        shutdown: State of the graceful shutdown.
        store_cache: Cached content of the store.
        mesh: Exchanges heartbeats with the peers (the other hosts).
        front: HTTP server for callers.
        forwarded: HTTP server for requests that other hosts forward, or None.
        side_servers: HTTP servers of look-ups, readiness checks and metrics.
        give_up_requests: Ends the open requests with answers of this host.
    """

    settings: host_settings.HostSettings
    clock: clocks.Clock
    shutdown: shutdown_module.Shutdown
    store_cache: store_cache_module.StoreCache
    mesh: mesh_module.Mesh
    front: caller_server.Server
    forwarded: caller_server.Server | None
    side_servers: tuple[caller_server.Server, ...]
    give_up_requests: Callable[[], None]

    @property
    def request_servers(self) -> list[caller_server.Server]:
        """Servers of requests that go to upstreams."""
        return [self.front, *([self.forwarded] if self.forwarded else [])]

    @property
    def open_requests(self) -> int:
        """Number of requests whose answers have not been sent yet."""
        return sum(each.open_requests for each in self.request_servers)


@contextlib.contextmanager
def open_host(
    settings: host_settings.HostSettings,
    clock: clocks.Clock,
    shutdown: shutdown_module.Shutdown,
) -> Iterator[Host]:
    """Starts the components of a host; stops them in reverse order on exit."""
    rng = random.Random()
    store_cache = store_cache_module.StoreCache(
        records.decode_configuration, clock
    )
    meter = limits.RateMeter(clock.monotonic)
    telemetry = telemetry_module.Telemetry()
    with contextlib.ExitStack() as stack:
        store = stack.enter_context(
            store_module.Store(settings.store_address, clock)
        )
        state = local_state.LocalState(
            ready=lambda: side_servers.is_ready(
                store_cache, shutdown, settings
            ),
            shutting_down=shutdown.started,
            polling=lambda: reader.polling,
            store_seconds=lambda: reader.store_seconds,
            demand=lambda: meter.announced,
            refresh_demand=lambda: demand.refresh(),
            crashes=lambda: suspects.recent_crashes(),
            answered=lambda: suspects.recently_cleared(),
        )
        mesh = mesh_module.Mesh(settings, store_cache, state, clock)
        demand = account_demand.AccountDemand(
            meter,
            mesh.view,
            lambda: mesh.token_source == settings.host,
            clock.monotonic,
        )
        suspects = suspects_module.SuspectTracker(
            settings.host,
            mesh.view.trial_hosts,
            mesh.view.crash_reports,
            clock.monotonic,
        )
        mesh.heartbeat_listeners.append(
            lambda heartbeat: suspects.clear(heartbeat.all_answered)
        )
        mesh.view.restart_listeners.append(
            lambda heartbeat: suspects.adopt(heartbeat.crashes)
        )
        reader = reader_module.Reader(
            store_snapshots.snapshot_reader(store),
            store_snapshots.host_registrar(store, mesh.view.entry),
            store_cache,
            clock,
            rng,
        )
        reader.mesh = mesh
        stack.enter_context(mesh)
        budget = byte_budget.receiving_budget()
        sending_budget = byte_budget.sending_budget()
        request_budget = byte_budget.RequestBudget()
        pool = stack.enter_context(upstream_pool.UpstreamPool(clock, budget))
        states = upstream_state.UpstreamStates(clock.monotonic)
        bounds = settings.bounds
        cold_upstream_limit = limits.ColdUpstreamLimit(
            settings.host,
            mesh.view.registered_hosts,
            bounds.cold_factor,
            bounds.cold_margin,
            clock.monotonic,
        )
        upstream_tokens = host_components.open_upstream_tokens(
            settings, clock, mesh
        )
        store_cache.listeners.append(
            host_components.removal_listener(
                store_cache, states, pool, cold_upstream_limit, upstream_tokens
            )
        )
        notices = host_components.open_notices(clock, store_cache, pool)
        selection = selection_module.Selection(
            selection_module.SelectionDependencies(
                settings=settings,
                clock=clock,
                store_cache=store_cache,
                states=states,
                cold_limit=cold_upstream_limit,
                rng=rng,
                fleet_size=mesh.view.fleet_size,
                upstream_tokens=upstream_tokens,
                notices=notices,
            )
        )
        reachability = host_components.open_reachability(
            clock, store_cache, pool, states, suspects, notices, rng
        )
        host_pool = stack.enter_context(
            upstream_pool.UpstreamPool(clock, budget)
        )
        forwarder = forwarding.Forwarder(
            forwarding.ForwardingDependencies(
                clock,
                settings.region,
                reachability,
                mesh.view.ready_hosts,
                host_pool,
                rng,
                notices,
            )
        )
        upstream_sender = sending_module.UpstreamSender(
            sending_module.SendingDependencies(
                clock,
                store_cache,
                states,
                selection,
                pool,
                telemetry,
                suspects,
                upstream_tokens.limits,
                reachability,
                notices,
                crash_checks.CrashChecks(
                    crash_checks.CrashCheckDependencies(
                        clock, pool, states, reachability, suspects, store_cache
                    )
                ),
            )
        )
        request_handler = serving_module.RequestHandler(
            serving_module.ServingDependencies(
                clock=clock,
                store_cache=store_cache,
                admission=admission_module.Admission(
                    store_cache,
                    host_components.open_account_tokens(
                        settings, clock, mesh, demand
                    ),
                    bounds.key_revocation,
                ),
                selection=selection,
                sender=upstream_sender,
                retry_budget=limits.RetryBudget(
                    bounds.retry_window,
                    bounds.retry_ratio,
                    bounds.retry_margin,
                    mesh.view.fleet_size,
                    clock.monotonic,
                ),
                telemetry=telemetry,
                refusing=shutdown.refusing,
                rng=rng,
                suspects=suspects,
                forwarder=forwarder,
                reachability=reachability,
                seconds_until_exit=lambda: shutdown.seconds_until(
                    bounds.grace - SHUTDOWN_MARGIN_SECONDS
                ),
            )
        )

        def caller_limits() -> traffic.CallerLimits:
            configuration = store_cache.configuration
            return configuration.limits if configuration else DEFAULT_LIMITS

        def count_malformed(_error: http_messages.MessageError) -> None:
            telemetry.count("request_malformed")

        front = stack.enter_context(
            caller_server.Server(
                settings.front_address,
                pipelined_server.Callbacks(
                    request_handler.serve,
                    caller_limits,
                    shutdown.started,
                    request_handler.record_sent,
                    clock.monotonic,
                    request_handler.record_undelivered,
                    count_malformed,
                ),
                sending_budget,
                request_budget,
            )
        )
        forwarded = None
        if settings.forward_address:
            forwarded = stack.enter_context(
                caller_server.Server(
                    settings.forward_address,
                    pipelined_server.Callbacks(
                        request_handler.serve_forwarded,
                        lambda: forwarding.limits(caller_limits()),
                        shutdown.refusing,
                        undelivered=request_handler.record_undelivered,
                        malformed=count_malformed,
                    ),
                    sending_budget,
                    request_budget,
                )
            )
        others = side_servers.open_side_servers(
            stack,
            settings,
            store_cache,
            mesh,
            shutdown,
            telemetry,
            sending_budget,
        )
        stack.enter_context(reader)
        yield Host(
            settings,
            clock,
            shutdown,
            store_cache,
            mesh,
            front,
            forwarded,
            others,
            request_handler.running.give_up,
        )


def run(environ: Mapping[str, str]) -> None:
    """Runs one host until SIGTERM or SIGINT has shut it down."""
    clock = clocks.boottime_clock()
    # Set before the file is read, so that no change after that goes unnoticed.
    signal.signal(signal.SIGHUP, lambda *_: _reload(environ, lambda: settings))
    settings = platform_settings.load_settings(environ)
    logs.configure_stdout("info", settings.host, clock)
    shutdown = shutdown_module.Shutdown(clock)
    signal.signal(signal.SIGTERM, shutdown.start)
    signal.signal(signal.SIGINT, shutdown.start)
    with open_host(settings, clock, shutdown) as host:
        logs.event(
            LOGGER,
            "host-started",
            incarnation=settings.incarnation,
            zone=settings.zone,
            store=settings.store_address,
        )
        shutdown.start_event.wait()
        shut_down(host)
    logs.event(LOGGER, "host-stopped")
    # At its exit Python restores the default action of a signal with a handler.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _reload(
    environ: Mapping[str, str],
    running_settings: Callable[[], host_settings.HostSettings],
) -> None:
    """Handles SIGHUP: checks the settings file and logs which settings changed.

    Changes take effect only at a restart.

    Args:
        environ: Environment variables of the process.
        running_settings: Returns the settings with which the host runs; called
            by the event loop, so only after they were read.
    """

    def check() -> None:
        try:
            new_settings = platform_settings.load_settings(environ)
        except Exception as error:
            logs.event(LOGGER, "settings-rejected", logging.ERROR, reason=error)
            return
        settings = running_settings()
        changed = [
            name
            for name in new_settings._fields
            if name != "incarnation"
            and getattr(new_settings, name) != getattr(settings, name)
        ]
        logs.event(
            LOGGER, "settings-reloaded", changed=",".join(changed) or "none"
        )

    hubs.get_hub().schedule_call_global(0, lambda: eventlet.spawn(check))


def shut_down(host: Host) -> None:
    """Shuts down gracefully.

    Notifies the peers at once and accepts requests for a limited time. Then
    refuses new requests and waits until the callers of the open ones have their
    answers. Gives up those that are still open when the grace period, which
    began with the signal, is nearly over.
    """
    logs.event(LOGGER, "host-leaving", open_requests=host.open_requests)
    host.mesh.send_now()
    grace = host.settings.bounds.grace
    exit_seconds = grace - SHUTDOWN_MARGIN_SECONDS
    while (remaining := host.shutdown.seconds_until(exit_seconds)) > 0:
        if remaining <= LAST_ANSWERS_SECONDS:
            host.give_up_requests()
        if host.shutdown.refusing():
            for server in host.request_servers:
                server.stop_accepting()
                server.end_busy()
                server.close_idle()
            if not any(each.has_requests() for each in host.request_servers):
                break
        host.clock.sleep(SHUTDOWN_POLL_SECONDS)
    while any(each.has_answers() for each in host.side_servers):
        if host.shutdown.seconds_until(exit_seconds) <= 0:
            break
        for server in host.side_servers:
            server.stop_accepting()
            server.stop_reading()
        host.clock.sleep(SHUTDOWN_POLL_SECONDS)
    logs.event(
        LOGGER,
        "host-drained",
        seconds=grace - host.shutdown.seconds_until(grace),
        cut_off=host.open_requests,
    )


def main() -> None:
    """Runs a host with the settings file that the environment names.

    Exits with code 2 if the settings are invalid.
    """
    try:
        run(os.environ)
    except codes.UserError as error:
        sys.stderr.write(f"gooseberryweir: {int(error.code)}: {error}\n")
        sys.exit(exit_codes.exit_code(error.code))
    # The interpreter's clean-up takes longer than may be left of the grace
    # period. Nothing is buffered.
    os._exit(0)
