"""HTTP servers for readiness checks, look-ups and metrics.

In a look-up, a caller asks to which hosts it should send requests.
"""

from collections.abc import Callable
import contextlib

from gooseberryweir.connection import byte_budget
from gooseberryweir.connection import caller_server
from gooseberryweir.connection import delivery
from gooseberryweir.connection import http_messages
from gooseberryweir.connection import pipelined_server
from gooseberryweir.platform import headers as wire
from gooseberryweir.process.fleet import directory
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import mesh as mesh_module
from gooseberryweir.process.fleet import shutdown as shutdown_module
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.request.steering import telemetry as telemetry_module
from gooseberryweir.version import traffic

# Limits of the connections to these servers: largest headers and body in bytes,
# header timeout and idle timeout in seconds.
CONNECTION_LIMITS = traffic.CallerLimits(8192, 8192, 3.0, 15.0)


def is_ready(
    store_cache: store_cache_module.StoreCache,
    shutdown: shutdown_module.Shutdown,
    settings: host_settings.HostSettings,
) -> bool:
    """Returns True if the host is ready to serve callers.

    It is not ready if neither the store nor a peer has confirmed its
    configuration as the newest one within the time in which the withdrawal of a
    key must take effect.
    """
    return (
        store_cache.complete()
        and bool(store_cache.upstreams)
        and not shutdown.started()
        and store_cache.confirmed_age() < settings.bounds.key_revocation
    )


def open_side_servers(
    stack: contextlib.ExitStack,
    settings: host_settings.HostSettings,
    store_cache: store_cache_module.StoreCache,
    mesh: mesh_module.Mesh,
    shutdown: shutdown_module.Shutdown,
    telemetry: telemetry_module.Telemetry,
    budget: byte_budget.ByteBudget,
) -> tuple[caller_server.Server, ...]:
    """Starts and returns the servers of look-ups, readiness and metrics.

    Args:
        stack: Owns the servers and closes them.
        settings: Settings of the host.
        store_cache: Cached content of the store.
        mesh: Provides the peers that are ready to serve callers.
        shutdown: State of the host's shutdown.
        telemetry: Metrics to serve.
        budget: Limits the bytes of answers that wait to be sent.
    """

    def handle_readiness(
        message: http_messages.Message,
    ) -> pipelined_server.Answer:
        host_ready = is_ready(store_cache, shutdown, settings)
        return pipelined_server.Answer(200 if host_ready else 503, (), b"")

    def handle_look_up(
        message: http_messages.Message,
    ) -> pipelined_server.Answer:
        path, _, query = message.target.partition("?")
        if path != wire.LOOK_UP_PATH:
            return pipelined_server.Answer(404, (), b"")
        look_up = wire.decode_look_up(query)
        own_ready = is_ready(store_cache, shutdown, settings)
        own_entries = [mesh.view.entry] if own_ready else []
        hosts = mesh.view.ready_hosts() + own_entries
        addresses = directory.select_addresses(
            look_up.region, look_up.zone, hosts
        )
        if not addresses:
            return pipelined_server.Answer(503, (), b"")
        body = wire.encode_look_up(
            addresses, directory.ttl(settings.bounds.max_look_up_ttl)
        )
        return pipelined_server.Answer(
            200, (("Content-Type", "application/json"),), body
        )

    def handle_metrics(
        message: http_messages.Message,
    ) -> pipelined_server.Answer:
        return pipelined_server.Answer(
            200, (("Content-Type", "text/plain"),), telemetry.render()
        )

    def record_undelivered(undelivered: delivery.Undelivered) -> None:
        telemetry.record_undelivered(undelivered.reason, undelivered.size)
        delivery.log_undelivered(undelivered)

    def open_server(
        address: str,
        handle: Callable[[http_messages.Message], pipelined_server.Answer],
    ) -> caller_server.Server:
        return stack.enter_context(
            caller_server.Server(
                address,
                pipelined_server.Callbacks(
                    handle,
                    lambda: CONNECTION_LIMITS,
                    lambda: False,
                    undelivered=record_undelivered,
                    malformed=lambda _: telemetry.count("request_malformed"),
                ),
                budget,
            )
        )

    return (
        open_server(settings.ready_address, handle_readiness),
        open_server(settings.directory_address, handle_look_up),
        open_server(settings.metrics_address, handle_metrics),
    )
