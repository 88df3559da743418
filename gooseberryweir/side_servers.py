"""The servers beside the callers' one: readiness, look-ups, metrics."""

from collections.abc import Callable
import contextlib

from gooseberryweir.connection import http_messages
from gooseberryweir.connection import pipelined_server
from gooseberryweir.platform import headers as wire
from gooseberryweir.process.fleet import directory
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import knowledge as knowledge_module
from gooseberryweir.process.fleet import mesh as mesh_module
from gooseberryweir.process.fleet import phase as phase_module
from gooseberryweir.request.steering import telemetry as telemetry_module
from gooseberryweir.version import traffic

LIMITS = traffic.CallerLimits(8192, 8192, 3.0, 15.0)


def ready(
    knowledge: knowledge_module.Knowledge,
    phase: phase_module.Phase,
    settings: host_settings.HostSettings,
) -> bool:
    """Whether the host serves callers."""
    return (
        knowledge.complete()
        and bool(knowledge.upstreams)
        and not phase.leaving()
        and knowledge.age() < settings.bounds.key_revocation
    )


def open_side_servers(
    stack: contextlib.ExitStack,
    settings: host_settings.HostSettings,
    knowledge: knowledge_module.Knowledge,
    mesh: mesh_module.Mesh,
    phase: phase_module.Phase,
    telemetry: telemetry_module.Telemetry,
) -> None:
    """Opens the servers of look-ups, readiness checks and metrics."""

    def answer_ready(
        message: http_messages.Message,
    ) -> pipelined_server.Answer:
        good = ready(knowledge, phase, settings)
        return pipelined_server.Answer(200 if good else 503, (), b"")

    def answer_look_up(
        message: http_messages.Message,
    ) -> pipelined_server.Answer:
        path, _, query = message.target.partition("?")
        if path != wire.LOOK_UP_PATH:
            return pipelined_server.Answer(404, (), b"")
        asked = wire.decode_look_up(query)
        own = ready(knowledge, phase, settings)
        hosts = mesh.ready_hosts() + ([mesh.entry] if own else [])
        found = directory.name_hosts(asked.region, asked.zone, hosts)
        if not found:
            return pipelined_server.Answer(503, (), b"")
        body = wire.encode_look_up(
            found, directory.ttl(settings.bounds.max_look_up_ttl)
        )
        return pipelined_server.Answer(
            200, (("Content-Type", "application/json"),), body
        )

    def answer_metrics(
        message: http_messages.Message,
    ) -> pipelined_server.Answer:
        return pipelined_server.Answer(
            200, (("Content-Type", "text/plain"),), telemetry.render()
        )

    def small(
        address: str,
        handle: Callable[[http_messages.Message], pipelined_server.Answer],
    ) -> None:
        stack.enter_context(
            pipelined_server.Server(
                address,
                pipelined_server.Callbacks(
                    handle,
                    lambda: LIMITS,
                    lambda: False,
                ),
            )
        )

    small(settings.ready_address, answer_ready)
    small(settings.directory_address, answer_look_up)
    small(settings.metrics_address, answer_metrics)
