"""Routing: selects the region and the upstream for a request.

Regions are tried nearest first. A shift cap is a declared limit on the rate of
requests from one region that run in another; such a request needs a token of
the cap, which all hosts share. Every request needs a slot of an upstream, which
can process one request per slot at a time. The slots of a service in a region
are a pool. One host, the home of the pool or cap, grants its slots or tokens.
No host's decision can therefore overload a region or exceed a cap.
"""

from collections.abc import Iterator
import logging
from typing import NamedTuple

from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.process import context as contexts
from gooseberryweir.process.shares import slots as slots_module
from gooseberryweir.request import admission

LOGGER = logging.getLogger(__name__)
# Time allowed for the home of a pool or cap to answer, besides the round trip.
HOME_RESPONSE_SECONDS = 0.05


class Candidate(NamedTuple):
    """A region in which a request may run.

    Attributes:
        region: Name of the region.
        latency_ms: One-way latency from this host's region, milliseconds.
        wait_seconds: Longest wait for a slot in the region, after which the
            next candidate is tried.
    """

    region: str
    latency_ms: float
    wait_seconds: float


class RejectedCandidate(NamedTuple):
    """A candidate that could not run the request.

    Attributes:
        candidate: Region that was tried.
        refusal: Reason why the request could not run there.
    """

    candidate: Candidate
    refusal: codes.Refusal


def region_latencies(
    context: contexts.Context, service: str
) -> dict[str, float]:
    """Returns the one-way latency in ms to each region that may run a service.

    Regions other than this host's are included only if a shift cap to them is
    declared; drained regions are left out.
    """
    tables = context.tables
    origin = context.settings.region
    targets = tables.shift_targets.get(origin, set())
    return {
        region: tables.latency(origin, region)
        for region in tables.serving_regions.get(service, ())
        if (region == origin or region in targets)
        and f"region/{region}" not in tables.drains
    }


def candidates(
    context: contexts.Context, service: str, max_queue_seconds: float
) -> tuple[Candidate, ...]:
    """Returns the regions to try, in order.

    In the first pass, a request waits in each region until the home of the
    region's slots can answer, and longer by the additional round trip to the
    next region: with a slot that becomes free within that time, it starts no
    later than it would in the next region. If no region has a slot by then, the
    second pass queues the request in the nearest region that expects a free
    slot in time.

    Args:
        context: State of the host process.
        service: Name of the service.
        max_queue_seconds: Longest wait in a queue; 0 leaves out the second
            pass.
    """
    latencies = region_latencies(context, service)
    ranked = sorted(latencies, key=lambda region: (latencies[region], region))
    first_pass = []
    for position, region in enumerate(ranked):
        latency = latencies[region]
        next_regions = ranked[position + 1 : position + 2]
        extra_latency = (
            latencies[next_regions[0]] - latency if next_regions else 0.0
        )
        wait_seconds = (
            HOME_RESPONSE_SECONDS + 2 * (latency + extra_latency) / 1000
        )
        first_pass.append(Candidate(region, latency, wait_seconds))
    second_pass = [
        candidate._replace(wait_seconds=max_queue_seconds)
        for candidate in first_pass
    ]
    return (
        (*first_pass, *second_pass)
        if max_queue_seconds > 0
        else tuple(first_pass)
    )


def _lease_in_region(
    context: contexts.Context,
    admitted: admission.AdmittedRequest,
    candidate: Candidate,
    exclude: frozenset[str],
    deadline: float,
) -> slots_module.Lease | codes.Refusal:
    """Leases a slot in a region.

    In a region other than this host's, the request also needs a token of the
    shift cap.
    """
    route = admitted.route
    now = context.clock.monotonic()
    lease = context.shares.acquire(
        route.service,
        candidate.region,
        admitted.work_class,
        exclude,
        min(deadline, now + candidate.wait_seconds),
    )
    if isinstance(lease, slots_module.Refused):
        return codes.refuse(
            codes.Code.NO_HEADROOM, retry_after=lease.retry_after
        )
    origin = context.settings.region
    if candidate.region == origin:
        return lease
    leased_at = context.clock.monotonic()
    refused = context.shares.take(
        f"shift/{origin}/{candidate.region}",
        min(deadline, leased_at + candidate.wait_seconds),
    )
    if refused is None:
        return lease
    lease.release()
    return codes.refuse(
        codes.Code.SHIFT_CAPPED, retry_after=refused.retry_after
    )


def _log_choice(
    context: contexts.Context,
    admitted: admission.AdmittedRequest,
    rejected: list[RejectedCandidate],
    chosen: str,
    region: str,
) -> None:
    """Logs the chosen upstream, empty for none, and the rejected candidates."""
    passed_over = ",".join(
        f"{each.candidate.region}:{each.candidate.latency_ms:g}ms:"
        f"{each.refusal.code.name.lower()}"
        for each in rejected
    )
    logs.event(
        LOGGER,
        "route-chosen" if chosen else "route-refused",
        account=admitted.account,
        work_class=admitted.work_class,
        service=admitted.route.service,
        upstream=chosen,
        region=region,
        passed_over=passed_over,
        reason="nearest-free-slot" if chosen else "no-slot",
    )


def lease_slot(
    context: contexts.Context,
    admitted: admission.AdmittedRequest,
    exclude: frozenset[str],
    deadline: float,
) -> slots_module.Lease | codes.Refusal:
    """Leases a slot for a request and logs the decision.

    Args:
        context: State of the host process.
        admitted: Request that needs the slot.
        exclude: Names of upstreams that may not be used.
        deadline: Monotonic time by which the answer is due, seconds.

    Returns:
        The lease, or a refusal if no candidate has a slot.
    """
    declared = context.tables.declarations
    if declared is None:
        return codes.refuse(codes.Code.HOST_STARTING)
    target_seconds = declared.classes[admitted.work_class].latency_ms / 1000
    rejected: list[RejectedCandidate] = []
    for candidate in candidates(
        context, admitted.route.service, target_seconds
    ):
        lease = _lease_in_region(
            context, admitted, candidate, exclude, deadline
        )
        if not isinstance(lease, codes.Refusal):
            name = lease.upstream.name
            _log_choice(context, admitted, rejected, name, candidate.region)
            return lease
        rejected.append(RejectedCandidate(candidate, lease))
    _log_choice(context, admitted, rejected, "", "")
    return _soonest_refusal(rejected)


def _soonest_refusal(rejected: list[RejectedCandidate]) -> codes.Refusal:
    """Returns the refusal that allows the earliest retry."""
    if not rejected:
        return codes.refuse(codes.Code.NO_HEADROOM, "no region is in service")
    return min(
        (each.refusal for each in rejected),
        key=lambda refusal: refusal.retry_after or 0.0,
    )


def explain(
    context: contexts.Context, method: str, path: str, account: str
) -> Iterator[str]:
    """Yields lines that describe how a request would be routed now."""
    route = admission.find_route(context, method, path)
    if isinstance(route, codes.Refusal):
        yield f"refused code={int(route.code)} {route.detail}"
        return
    yield (
        f"route={route.path} service={route.service} class={route.work_class}"
        f" idempotent={route.idempotent} open={route.open}"
    )
    if route.accounts and account not in route.accounts:
        yield f"refused account={account} may not use the route"
    for candidate in candidates(context, route.service, 0.0):
        yield (
            f"region={candidate.region} latency_ms={candidate.latency_ms:g}"
            f" wait_s={candidate.wait_seconds:g}"
        )
