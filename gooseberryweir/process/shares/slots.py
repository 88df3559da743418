"""Slots of upstreams shared by all hosts: shares and homes on this host.

An upstream has one slot for each request that it processes concurrently. The
home of a pool is the host that grants its slots. Each host has a holder of each
pool: the state of its share, from which it leases the slots granted to it to
its requests.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir.connection import messages
from gooseberryweir.process.membership import home_leases as home_leases_module
from gooseberryweir.process.shares import share_requests
from gooseberryweir.process.shares import slot_capacity
from gooseberryweir.process.shares import slot_holder
from gooseberryweir.process.shares import slot_home
from gooseberryweir.process.shares import slot_lease
from gooseberryweir.process.shares import slot_limits

Lease = slot_lease.Lease
Refused = slot_lease.Refused
UNKNOWN_IMPORTANCE = slot_limits.ANY_IMPORTANCE + 1


class PoolSources(NamedTuple):
    """Functions that describe the pools.

    Attributes:
        capacity: Functions that describe the upstreams.
        classes: Returns the work classes that use a service.
        pools: Returns all pools as pairs of service and region.
        dead_upstreams: Returns the upstreams that refused connections from
            this host recently.
    """

    capacity: slot_capacity.UpstreamSources
    classes: Callable[[str], dict[str, slot_limits.WorkClass]]
    pools: Callable[[], Iterable[tuple[str, str]]]
    dead_upstreams: Callable[[], frozenset[str]]


class Slots:
    """Leases slots of all pools; grants slots as the home of some pools.

    A pool consists of the slots of one service in one region.

    Args:
        host: Name of this host.
        incarnation: Returns the incarnation of this host.
        clock: Source of time.
        home_leases: Leases of this host to act as the home of pools.
        peering: Links to the peers.
        errors: Exceptions that `peering.call` raises if a host did not
            answer.
        sources: Functions that describe the pools.
    """

    def __init__(
        self,
        host: str,
        incarnation: Callable[[], int],
        clock: clocks.Clock,
        home_leases: home_leases_module.HomeLeases,
        peering: share_requests.Peering,
        errors: tuple[type[Exception], ...],
        sources: PoolSources,
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.clock = clock
        self.home_leases = home_leases
        self.peering = peering
        self.errors = errors
        self.sources = sources
        self.capacities = slot_capacity.Capacities(clock, sources.capacity)
        self.homes = home_leases_module.HomeStates[slot_home.SlotHome](
            home_leases
        )
        self.slot_holders: dict[str, slot_holder.SlotHolder] = {}
        peering.handlers[messages.DrawSlots] = self.handle

    def acquire(
        self,
        service: str,
        region: str,
        work_class: str,
        exclude: frozenset[str] = frozenset(),
        deadline: float = math.inf,
    ) -> Lease | Refused:
        """Leases a slot of a service in a region.

        Args:
            service: Name of the service.
            region: Name of the region.
            work_class: Name of the work class.
            exclude: Names of upstreams that must not be used.
            deadline: Monotonic instant at which to stop waiting; the wait is
                never longer than `slot_holder.MAX_WAIT_SECONDS`.
        """
        holder = self.get_slot_holder(service, region)
        return holder.acquire(work_class, exclude, deadline)

    def refresh(self) -> None:
        """Updates the ramps of upstreams; sends slot requests that are due.

        Call it several times a second.
        """
        for service, region in self.sources.pools():
            self.capacities.update_ramps(service)
            self.get_slot_holder(service, region).start_or_wake()

    def get_slot_holder(
        self, service: str, region: str
    ) -> slot_holder.SlotHolder:
        """Returns this host's share of a pool; creates it if needed."""
        pool = f"slots/{service}/{region}"
        holder = self.slot_holders.get(pool)
        if holder is None:
            holder = self.create_slot_holder(pool, service, region)
            self.slot_holders[pool] = holder
        return holder

    def create_slot_holder(
        self, pool: str, service: str, region: str
    ) -> slot_holder.SlotHolder:
        """Creates the state of this host's share of a pool."""
        home = slot_holder.HomeClient(
            find_host=lambda: self.home_leases.membership.home_of(pool),
            call=self.call,
            upstreams=lambda: self.capacities.available_upstreams(
                service, region
            ),
            dead_upstreams=self.sources.dead_upstreams,
            importance=lambda name: self.importance(service, name),
            view_digest=lambda: self.home_leases.membership.view().digest,
        )
        return slot_holder.SlotHolder(
            pool, self.host, self.incarnation, self.clock, home
        )

    def importance(self, service: str, work_class: str) -> int:
        """Returns the importance of a class; an unknown one gets no slot."""
        found = self.sources.classes(service).get(work_class)
        return UNKNOWN_IMPORTANCE if found is None else found.importance

    def call(
        self, host: str, request: messages.DrawSlots, timeout: float
    ) -> messages.SlotGrant | None:
        """Requests slots from a home, on a peer or on this host.

        Returns:
            The grant, or None if there is no answer.
        """
        if host == self.host:
            return self.handle(request)
        return share_requests.send(
            self.peering,
            self.errors,
            host,
            request,
            timeout,
            messages.SlotGrant,
        )

    def handle(self, request: messages.DrawSlots) -> messages.SlotGrant:
        """Answers a request for slots as the home of the pool."""
        now = self.clock.monotonic()
        _, service, region = request.pool.split("/", 2)
        home = self.homes.get(
            request.pool, lambda: self.make_home(service, region, now)
        )
        if home is None:
            return messages.SlotGrant({}, 0.0, 0.0, False, 0, False)
        return home.handle(request, now)

    def make_home(
        self, service: str, region: str, now: float
    ) -> slot_home.SlotHome:
        """Creates the home of a pool."""
        pool = slot_home.Pool(
            service,
            region,
            self.capacities,
            lambda: self.sources.classes(service),
            lambda: self.home_leases.membership.view().members,
        )
        return slot_home.SlotHome(pool, now)
