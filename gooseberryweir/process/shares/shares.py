"""Everything divided among hosts, tied to the tables, peers and membership.

`Shares` is a context manager that owns the task which looks at changes.
"""

from types import TracebackType

import eventlet
from eventlet import greenthread

from gooseberryweir import clock as clocks
from gooseberryweir.connection import peer_link
from gooseberryweir.process import upstream_monitor
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import home_leases
from gooseberryweir.process.membership import membership as membership_module
from gooseberryweir.process.shares import bucket_home
from gooseberryweir.process.shares import bucket_waiters
from gooseberryweir.process.shares import buckets
from gooseberryweir.process.shares import draws
from gooseberryweir.process.shares import slot_capacity
from gooseberryweir.process.shares import slot_limits
from gooseberryweir.process.shares import slots
from gooseberryweir.version import tables as versions

REFRESH_SECONDS = 0.2
DEAD_SECONDS = 2.0


class Shares:
    """Token buckets and slot pools of this host.

    Attributes:
        buckets: The token buckets.
        slots: The slot pools.
        tenure: When this host is a home.
        dead_until: Instant until which an upstream found dead is not used.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        tables: versions.Tables,
        facts: facts_module.Facts,
        membership: membership_module.Membership,
        peering: draws.Peering,
        measurer: upstream_monitor.UpstreamMonitor,
    ) -> None:
        self.clock = clock
        self.tables = tables
        self.facts = facts
        self.membership = membership
        self.measurer = measurer
        self.dead_until: dict[str, float] = {}
        host = membership.host
        self.tenure = home_leases.HomeLeases(host, clock, membership)
        common = (
            host,
            lambda: membership.incarnation,
            clock,
            self.tenure,
            peering,
            (peer_link.PeerError,),
        )
        self.buckets = buckets.Buckets(*common, self.bucket_limits)
        capacity = slot_capacity.Sources(
            lambda service: tables.upstreams.get(service, ()),
            lambda: tables.drains,
            self.healthy,
            measurer.load_report,
        )
        sources = slots.Sources(capacity, self.classes, self.pools, self.dead)
        self.slots = slots.Slots(*common, sources)
        self.task: greenthread.GreenThread | None = None

    def __enter__(self) -> "Shares":
        self.membership.store.listeners.append(self.refresh)
        self.facts.listeners.append(self.refresh)
        self.task = eventlet.spawn(self.run)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.membership.store.listeners.remove(self.refresh)
        self.facts.listeners.remove(self.refresh)
        if self.task is not None:
            self.task.kill()

    def take(
        self, bucket: str, deadline: float
    ) -> bucket_waiters.Refused | None:
        """Takes one token of a bucket, waiting a short time for it.

        Args:
            bucket: `account/NAME` or `shift/FROM/TO`.
            deadline: Monotonic instant until which to wait at most.

        Returns:
            None if it was taken, else when to come back and why.
        """
        result = self.buckets.take(bucket, deadline=deadline)
        return result if isinstance(result, bucket_waiters.Refused) else None

    def acquire(
        self,
        service: str,
        region: str,
        work_class: str,
        exclude: frozenset[str],
        deadline: float,
    ) -> slots.Lease | slots.Refused:
        """Leases a slot of a service in a region, waiting a short time.

        Args:
            service: Name of the service.
            region: Name of the region.
            work_class: Class of the work.
            exclude: Names of upstreams not to use.
            deadline: Monotonic instant until which to wait at most.
        """
        return self.slots.acquire(
            service, region, work_class, exclude, deadline
        )

    def upstream_died(self, upstream: versions.UpstreamEntry) -> None:
        """Notes that an upstream refuses connections."""
        until = self.clock.monotonic() + DEAD_SECONDS
        self.dead_until[upstream.name] = until

    def dead(self) -> frozenset[str]:
        """Returns the upstreams that this host found dead lately."""
        now = self.clock.monotonic()
        for name, until in list(self.dead_until.items()):
            if until <= now:
                del self.dead_until[name]
        return frozenset(self.dead_until)

    def healthy(self, upstream: str) -> bool:
        """Whether an upstream was not found dead and its measures are good."""
        if upstream in self.dead_until and upstream in self.dead():
            return False
        return self.measurer.is_healthy(upstream)

    def run(self) -> None:
        """Looks at what changed, several times a second."""
        while True:
            self.refresh()
            self.clock.sleep(REFRESH_SECONDS)

    def refresh(self, *_: object) -> None:
        """Looks at what changed; a listener for the store and the facts."""
        self.tenure.refresh()
        self.slots.refresh()

    def bucket_limits(self, bucket: str) -> bucket_home.Limits | None:
        """Returns the limits of `account/NAME` or `shift/FROM/TO`."""
        declarations = self.tables.declarations
        if declarations is None:
            return None
        kind, _, name = bucket.partition("/")
        if kind == "account":
            account = declarations.accounts.get(name)
            if account is None:
                return None
            return bucket_home.Limits(account.rate, account.burst)
        for cap in declarations.shift_caps:
            if bucket == f"shift/{cap.origin}/{cap.target}":
                return bucket_home.Limits(cap.requests_per_second, cap.burst)
        return None

    def classes(self, service: str) -> dict[str, slot_limits.WorkClass]:
        """Returns the classes of work that routes send to a service."""
        declarations = self.tables.declarations
        if declarations is None:
            return {}
        names = {
            route.work_class
            for route in declarations.routes
            if route.service == service
        }
        return {
            name: slot_limits.WorkClass(row.importance, row.headroom)
            for name, row in declarations.classes.items()
            if name in names
        }

    def pools(self) -> list[tuple[str, str]]:
        """Returns all pools as pairs of service and region."""
        pairs = {
            (service, upstream.region)
            for service, upstreams in self.tables.upstreams.items()
            for upstream in upstreams
        }
        return sorted(pairs)
