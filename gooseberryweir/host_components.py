"""Creates components of a host that connect several subpackages.

Like `front`, which calls it, this module depends on the subpackages and none of
them on it.
"""

from collections.abc import Callable
import random

from gooseberryweir import clock as clocks
from gooseberryweir.connection import upstream_pool
from gooseberryweir.process.fleet import fleet_demand
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import mesh as mesh_module
from gooseberryweir.process.fleet import peer_calls
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.process.fleet import tokens as tokens_module
from gooseberryweir.process.fleet import (
    upstream_limits as upstream_limits_module,
)
from gooseberryweir.process.fleet import (
    upstream_tokens as upstream_tokens_module,
)
from gooseberryweir.request.steering import account_demand
from gooseberryweir.request.steering import account_tokens
from gooseberryweir.request.steering import limits
from gooseberryweir.request.steering import reachability as reachability_module
from gooseberryweir.request.steering import sending as sending_module
from gooseberryweir.request.steering import suspects as suspects_module
from gooseberryweir.request.steering import upstream_notices
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.version import traffic


def token_granter(
    store_cache: store_cache_module.StoreCache, pool: limits.AccountLimits
) -> Callable[[str], float]:
    """Returns a function that grants tokens of this host's pool to any host."""

    def grant(account_name: str) -> float:
        configuration = store_cache.configuration
        account = (
            configuration.accounts.get(account_name) if configuration else None
        )
        if account is None:
            # This host does not have the configuration of the other host yet.
            return limits.UNKNOWN_SHARE_RETRY_SECONDS
        return pool.take_token(account.name, account.rate, account.burst)

    return grant


def open_account_tokens(
    settings: host_settings.HostSettings,
    clock: clocks.Clock,
    mesh: mesh_module.Mesh,
    demand: account_demand.AccountDemand,
) -> account_tokens.AccountTokens:
    """Creates the token buckets and the exchange of tokens with hosts."""

    def account_limits(
        split_demand: Callable[
            [str], tuple[fleet_demand.Demand, fleet_demand.Demand]
        ],
    ) -> limits.AccountLimits:
        return limits.AccountLimits(
            split_demand,
            clock.monotonic,
            limits.RateTolerance(
                settings.bounds.rate_overage,
                settings.bounds.rate_margin,
                mesh.view.fleet_size,
            ),
            settings.first_start,
        )

    exchange = tokens_module.TokenExchange(
        settings.host,
        lambda: mesh.token_source,
        token_granter(mesh.store_cache, account_limits(demand.pooled)),
        mesh.send_message,
    )
    mesh.on_message = exchange.receive
    return account_tokens.AccountTokens(
        demand.meter,
        account_limits(demand.local),
        exchange.take,
        mesh.view.fleet_size,
    )


def open_upstream_tokens(
    settings: host_settings.HostSettings,
    clock: clocks.Clock,
    mesh: mesh_module.Mesh,
) -> upstream_tokens_module.UpstreamTokens:
    """Creates the tokens for upstreams that limit their request rate.

    Connects them to the calls between hosts.
    """
    calls = peer_calls.PeerCalls(mesh.send_call)
    mesh.on_call = calls.receive
    return upstream_tokens_module.UpstreamTokens(
        upstream_limits_module.UpstreamLimits(clock.monotonic),
        calls,
        upstream_tokens_module.Neighbours(
            host=settings.host,
            region=settings.region,
            token_source=lambda: mesh.called_relay(settings.region),
            relay_of=mesh.called_relay,
            linked=lambda: tuple(mesh.senders),
            regions=lambda: len(set(settings.region_by_zone.values())),
            fleet_size=mesh.view.fleet_size,
        ),
        clock,
    )


def open_notices(
    clock: clocks.Clock,
    store_cache: store_cache_module.StoreCache,
    pool: upstream_pool.UpstreamPool,
) -> upstream_notices.UpstreamNotices:
    """Creates the record of what upstreams ask of this host.

    Closes the idle connections to an upstream that is found to leave.
    """
    notices = upstream_notices.UpstreamNotices(clock.monotonic)

    def on_leaving(incarnation: str) -> None:
        for upstream in store_cache.upstreams.values():
            if upstream.incarnation == incarnation:
                pool.close_idle(upstream.name)

    def on_store_change(kind: str) -> None:
        if kind == store_cache_module.UPSTREAMS:
            notices.forget_ended_pauses()

    notices.listeners.append(on_leaving)
    store_cache.listeners.append(on_store_change)
    return notices


def open_reachability(
    clock: clocks.Clock,
    store_cache: store_cache_module.StoreCache,
    pool: upstream_pool.UpstreamPool,
    states: upstream_state.UpstreamStates,
    suspects: suspects_module.SuspectTracker,
    notices: upstream_notices.UpstreamNotices,
    rng: random.Random,
) -> reachability_module.UpstreamReachability:
    """Creates the check whether this host reaches any upstream."""

    def find_upstreams() -> list[traffic.Upstream]:
        return [
            each
            for each in store_cache.upstreams.values()
            if not each.draining
            and each.zone not in store_cache.evacuated_zones
            and notices.accepts(each.incarnation)
        ]

    def on_change() -> None:
        if reachability.reachable:
            for state in states.states.values():
                state.end_ejection()
        else:
            # The requests did not end these connections.
            suspects.withdraw_crashes(reachability.failing_since)
            # These connections may hang.
            for name in list(pool.idle):
                pool.close_idle(name)

    reachability = reachability_module.UpstreamReachability(
        reachability_module.Probing(
            find_upstreams,
            lambda upstream, timeout: sending_module.probe(
                pool, upstream, timeout
            ),
        ),
        clock,
        rng,
    )
    reachability.listeners.append(on_change)

    def on_store_change(kind: str) -> None:
        if kind == store_cache_module.UPSTREAMS:
            reachability.retain(set(store_cache.upstreams))

    store_cache.listeners.append(on_store_change)
    return reachability


def removal_listener(
    store_cache: store_cache_module.StoreCache,
    states: upstream_state.UpstreamStates,
    pool: upstream_pool.UpstreamPool,
    cold_upstream_limit: limits.ColdUpstreamLimit,
    upstream_tokens: upstream_tokens_module.UpstreamTokens,
) -> Callable[[str], None]:
    """Returns a listener that deletes the state of removed upstreams.

    It also closes the idle connections to removed and draining upstreams.
    """

    def on_change(kind: str) -> None:
        if kind != store_cache_module.UPSTREAMS:
            return
        removed = set(states.states) - set(store_cache.upstreams)
        states.remove(removed)
        cold_upstream_limit.remove(removed)
        upstream_tokens.retain(
            {each.incarnation for each in store_cache.upstreams.values()}
        )
        for name in removed:
            pool.close_idle(name)
        for name, upstream in store_cache.upstreams.items():
            if upstream.draining:
                pool.close_idle(name)

    return on_change
