"""Runs one host on the users' platform: opens every part and wires them.

One process serves callers, look-ups, readiness checks and metrics. It stands
above all packages; nothing that lives as long as the process knows a request.
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
from gooseberryweir import logs
from gooseberryweir import side_servers
from gooseberryweir import store_parts
from gooseberryweir.commands import exit_codes
from gooseberryweir.connection import pipelined_server
from gooseberryweir.connection import upstream_pool
from gooseberryweir.platform import records
from gooseberryweir.platform import settings as platform_settings
from gooseberryweir.platform import store as store_module
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import knowledge as knowledge_module
from gooseberryweir.process.fleet import mesh as mesh_module
from gooseberryweir.process.fleet import phase as phase_module
from gooseberryweir.process.fleet import reader as reader_module
from gooseberryweir.request.steering import admission as admission_module
from gooseberryweir.request.steering import limits
from gooseberryweir.request.steering import selection as selection_module
from gooseberryweir.request.steering import sending as sending_module
from gooseberryweir.request.steering import serving as serving_module
from gooseberryweir.request.steering import suspects as suspects_module
from gooseberryweir.request.steering import telemetry as telemetry_module
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.version import traffic

LOGGER = logging.getLogger(__name__)

# Time before the end of the grace period at which the process ends anyway.
LEAVE_MARGIN_SECONDS = 0.3
LEAVE_STEP_SECONDS = 0.05
# Limits of callers' connections before the first configuration.
FIRST_LIMITS = traffic.CallerLimits(16384, 1 << 20, 3.0, 15.0)


class Host(NamedTuple):
    """The open parts of a host."""

    settings: host_settings.HostSettings
    clock: clocks.Clock
    phase: phase_module.Phase
    knowledge: knowledge_module.Knowledge
    mesh: mesh_module.Mesh
    front: pipelined_server.Server


def others_demand(
    mesh: mesh_module.Mesh, meter: limits.RateMeter
) -> Callable[[str], list[float]]:
    """Returns the function that lists the other hosts' demand.

    After a start, registered hosts that were not heard yet count as much as
    this one, until they would have been heard if they lived.
    """

    def others(account: str) -> list[float]:
        found = [
            beat.demand.get(account, 0.0)
            for beat in mesh.heard_within(mesh_module.DEAD_SECONDS)
        ]
        own = meter.announced.get(account, 0.0)
        return found + [own] * len(mesh.awaited())

    return others


@contextlib.contextmanager
def open_host(
    settings: host_settings.HostSettings,
    clock: clocks.Clock,
    phase: phase_module.Phase,
) -> Iterator[Host]:
    """Opens every part of a host and closes them in reverse order."""
    chance = random.Random()
    knowledge = knowledge_module.Knowledge(records.decode_configuration, clock)
    meter = limits.RateMeter(clock.monotonic)
    telemetry = telemetry_module.Telemetry()
    with contextlib.ExitStack() as stack:
        store = stack.enter_context(
            store_module.Store(settings.store_address, clock)
        )
        state = mesh_module.OwnState(
            ready=lambda: side_servers.ready(knowledge, phase, settings),
            leaving=phase.leaving,
            reading=lambda: reader.reading,
            store_seconds=lambda: reader.store_seconds,
            demand=lambda: meter.announced,
            announce=meter.announce,
            crashes=lambda: suspects.recent_crashes(),
            answered=lambda: suspects.recently_cleared(),
        )
        mesh = mesh_module.Mesh(settings, knowledge, state, clock)
        suspects = suspects_module.SuspectTracker(
            settings.host,
            lambda: [peer.entry.name for peer in mesh.alive()],
            lambda: [
                beat.crashes
                for beat in mesh.heard_within(
                    suspects_module.SUSPECT_TTL_SECONDS
                )
            ],
            clock.monotonic,
        )
        mesh.on_beat.append(lambda _, beat: suspects.clear(beat.answered))
        reader = reader_module.Reader(
            store_parts.read_part(store),
            store_parts.register_host(store, mesh.entry),
            knowledge,
            clock,
        )
        reader.mesh = mesh
        stack.enter_context(mesh)
        pool = stack.enter_context(upstream_pool.UpstreamPool(clock))
        states = upstream_state.UpstreamStates(clock.monotonic)
        bounds = settings.bounds
        cold = limits.ColdUpstreamLimit(
            settings.host,
            lambda: set(mesh.peers) | set(knowledge.hosts),
            bounds.cold_factor,
            bounds.cold_margin,
            clock.monotonic,
        )
        knowledge.listeners.append(_forgetter(knowledge, states, pool, cold))
        selection = selection_module.Selection(
            selection_module.SelectionDependencies(
                settings=settings,
                clock=clock,
                knowledge=knowledge,
                states=states,
                cold_limit=cold,
                rng=chance,
                fleet_size=mesh.fleet_size,
            )
        )
        sending = sending_module.UpstreamSender(
            sending_module.SendingDependencies(
                clock,
                knowledge,
                states,
                selection,
                pool,
                telemetry,
                suspects,
            )
        )
        serving = serving_module.RequestHandler(
            serving_module.ServingDependencies(
                clock=clock,
                knowledge=knowledge,
                admission=admission_module.Admission(
                    knowledge,
                    limits.AccountLimits(
                        meter,
                        others_demand(mesh, meter),
                        clock.monotonic,
                        limits.RateTolerance(
                            bounds.rate_overage,
                            bounds.rate_margin,
                            mesh.fleet_size,
                        ),
                        settings.first_start,
                    ),
                    bounds.key_revocation,
                ),
                selection=selection,
                sender=sending,
                retry_budget=limits.RetryBudget(
                    bounds.retry_window,
                    bounds.retry_ratio,
                    bounds.retry_margin,
                    mesh.fleet_size,
                    clock.monotonic,
                ),
                telemetry=telemetry,
                refusing=phase.refusing,
                rng=chance,
                suspects=suspects,
            )
        )
        front = stack.enter_context(
            pipelined_server.Server(
                settings.front_address,
                pipelined_server.Service(
                    serving.serve,
                    lambda: (
                        knowledge.configuration.limits
                        if knowledge.configuration
                        else FIRST_LIMITS
                    ),
                    phase.leaving,
                ),
            )
        )
        side_servers.open_side_servers(
            stack, settings, knowledge, mesh, phase, telemetry
        )
        stack.enter_context(reader)
        yield Host(settings, clock, phase, knowledge, mesh, front)


def _forgetter(
    knowledge: knowledge_module.Knowledge,
    states: upstream_state.UpstreamStates,
    pool: upstream_pool.UpstreamPool,
    cold: limits.ColdUpstreamLimit,
) -> Callable[[str], None]:
    """Returns the listener that drops what is kept of upstreams now gone."""

    def changed(kind: str) -> None:
        if kind != knowledge_module.UPSTREAMS:
            return
        gone = set(states.states) - set(knowledge.upstreams)
        states.forget(gone)
        cold.forget(gone)
        for name in gone:
            pool.forget(name)
        for name, upstream in knowledge.upstreams.items():
            if upstream.draining:
                pool.forget(name)

    return changed


def run(environ: Mapping[str, str]) -> None:
    """Runs one host until it is told to leave."""
    clock = clocks.boottime_clock()
    settings = platform_settings.load_settings(environ)
    logs.configure_stdout("info", settings.host, clock)
    phase = phase_module.Phase(clock)
    signal.signal(signal.SIGTERM, phase.leave)
    signal.signal(signal.SIGINT, phase.leave)
    with open_host(settings, clock, phase) as host:
        signal.signal(signal.SIGHUP, lambda *_: _reload(environ, settings))
        logs.event(
            LOGGER,
            "host-started",
            incarnation=settings.incarnation,
            zone=settings.zone,
            store=settings.store_address,
        )
        phase.told.wait()
        _leave(host)
    logs.event(LOGGER, "host-stopped")


def _reload(
    environ: Mapping[str, str], settings: host_settings.HostSettings
) -> None:
    """Takes SIGHUP: the file is checked; addresses need a restart."""

    def check() -> None:
        try:
            found = platform_settings.load_settings(environ)
        except Exception as error:
            logs.event(LOGGER, "settings-rejected", logging.ERROR, reason=error)
            return
        changed = [
            name
            for name in found._fields
            if name != "incarnation"
            and getattr(found, name) != getattr(settings, name)
        ]
        logs.event(
            LOGGER, "settings-reloaded", changed=",".join(changed) or "none"
        )

    hubs.get_hub().schedule_call_global(0, lambda: eventlet.spawn(check))


def _leave(host: Host) -> None:
    """Leaves: told at once, serves on, ends once all requests have ended."""
    began = host.clock.monotonic()
    open_requests = host.front.open_requests
    logs.event(LOGGER, "host-leaving", open_requests=open_requests)
    host.mesh.kick()
    last = began + host.settings.bounds.grace - LEAVE_MARGIN_SECONDS
    while host.clock.monotonic() < last:
        if host.phase.refusing():
            host.front.stop_accepting()
            host.front.close_idle()
            if host.front.open_requests == 0:
                break
        host.clock.sleep(LEAVE_STEP_SECONDS)
    logs.event(
        LOGGER,
        "host-drained",
        seconds=host.clock.monotonic() - began,
        cut_off=host.front.open_requests,
    )


def main() -> None:
    """Runs a host from the environment; bad settings exit with code 2."""
    try:
        run(os.environ)
    except codes.UserError as error:
        sys.stderr.write(f"gooseberryweir: {int(error.code)}: {error}\n")
        sys.exit(exit_codes.exit_code(error.code))
