"""Connects token buckets and slots to configuration, peers and membership."""

from types import TracebackType

from eventlet import greenthread

from gooseberryweir import clock as clocks
from gooseberryweir import tasks
from gooseberryweir.connection import peer_link
from gooseberryweir.process import upstream_monitor as upstream_monitor_module
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import home_leases as home_leases_module
from gooseberryweir.process.membership import membership as membership_module
from gooseberryweir.process.shares import bucket_home
from gooseberryweir.process.shares import bucket_waiters
from gooseberryweir.process.shares import buckets
from gooseberryweir.process.shares import share_requests
from gooseberryweir.process.shares import slot_capacity
from gooseberryweir.process.shares import slot_limits
from gooseberryweir.process.shares import slots
from gooseberryweir.version import tables as versions

REFRESH_INTERVAL_SECONDS = 0.2
# Time for which an upstream that refused a connection is not used.
DEAD_UPSTREAM_SECONDS = 2.0


class Shares:
    """Token buckets and slots of this host.

    A context manager that runs the task which keeps them up to date.

    Attributes:
        clock: Source of time.
        tables: Active configuration objects.
        facts: Facts (entries that all hosts replicate and merge).
        membership: Membership of this host.
        upstream_monitor: Load and health of the upstreams.
        dead_until: Monotonic instant until which an upstream that refused
            connections is not used, by upstream name.
        home_leases: Leases of this host to act as the home of limits (the host
            that grants their tokens or slots).
        buckets: Token buckets.
        slots: Pools of slots.
        task: Task that calls `refresh` periodically, or None before the start.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        tables: versions.Tables,
        facts: facts_module.Facts,
        membership: membership_module.Membership,
        peering: share_requests.Peering,
        upstream_monitor: upstream_monitor_module.UpstreamMonitor,
    ) -> None:
        self.clock = clock
        self.tables = tables
        self.facts = facts
        self.membership = membership
        self.upstream_monitor = upstream_monitor
        self.dead_until: dict[str, float] = {}
        host = membership.host
        self.home_leases = home_leases_module.HomeLeases(
            host, clock, membership
        )
        shared_arguments = (
            host,
            lambda: membership.incarnation,
            clock,
            self.home_leases,
            peering,
            (peer_link.PeerError,),
        )
        self.buckets = buckets.Buckets(*shared_arguments, self.bucket_limits)
        capacity = slot_capacity.UpstreamSources(
            lambda service: tables.upstreams.get(service, ()),
            lambda: tables.drains,
            self.healthy,
            upstream_monitor.load_report,
        )
        sources = slots.PoolSources(
            capacity, self.classes, self.pools, self.dead_upstreams
        )
        self.slots = slots.Slots(*shared_arguments, sources)
        self.task: greenthread.GreenThread | None = None

    def __enter__(self) -> "Shares":
        self.membership.store.listeners.append(self.refresh)
        self.facts.listeners.append(self.refresh)
        self.task = tasks.spawn("shares", self.run)
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
        """Takes one token of a bucket; waits a short time if there is none.

        Args:
            bucket: `account/NAME` or `shift/FROM/TO`.
            deadline: Monotonic instant at which to stop waiting.

        Returns:
            None if the token was taken, else the refusal.
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
        """Leases a slot of a service in a region; waits a short time if needed.

        Args:
            service: Name of the service.
            region: Name of the region.
            work_class: Name of the work class.
            exclude: Names of upstreams that must not be used.
            deadline: Monotonic instant at which to stop waiting.
        """
        return self.slots.acquire(
            service, region, work_class, exclude, deadline
        )

    def upstream_died(self, upstream: versions.UpstreamEntry) -> None:
        """Records that an upstream refused a connection."""
        until = self.clock.monotonic() + DEAD_UPSTREAM_SECONDS
        self.dead_until[upstream.name] = until

    def dead_upstreams(self) -> frozenset[str]:
        """Returns the upstreams that refused connections recently."""
        now = self.clock.monotonic()
        for name, until in list(self.dead_until.items()):
            if until <= now:
                del self.dead_until[name]
        return frozenset(self.dead_until)

    def healthy(self, upstream: str) -> bool:
        """Returns True if an upstream may be sent new requests.

        Returns False for `DEAD_UPSTREAM_SECONDS` after it refused a connection,
        and while the upstream monitor reports that it is draining or that its
        probes failed repeatedly.
        """
        if upstream in self.dead_until and upstream in self.dead_upstreams():
            return False
        return self.upstream_monitor.is_healthy(upstream)

    def run(self) -> None:
        """Calls `refresh` every `REFRESH_INTERVAL_SECONDS`."""
        while True:
            self.refresh()
            self.clock.sleep(REFRESH_INTERVAL_SECONDS)

    def refresh(self, *_: object) -> None:
        """Applies changes of membership and configuration to leases and slots.

        Args:
            _: Ignored; passed if this is called as a listener of the store or
                the facts.
        """
        self.home_leases.refresh()
        self.slots.refresh()

    def bucket_limits(self, bucket: str) -> bucket_home.Limits | None:
        """Returns the limits of `account/NAME` or `shift/FROM/TO`, or None."""
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
        """Returns the work classes of the routes to a service."""
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
        """Returns all pools as sorted pairs of service and region."""
        pairs = {
            (service, upstream.region)
            for service, upstreams in self.tables.upstreams.items()
            for upstream in upstreams
        }
        return sorted(pairs)
