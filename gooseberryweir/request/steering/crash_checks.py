"""Finds out whether an upstream that broke off an answer has crashed.

An upstream may cut an answer short and run on, or the network may have reset
the connection, so the end of an answer alone is no crash. A process that has
ended refuses new connections until it is started again, and its incarnation is
soon replaced in the store.
"""

import collections
import logging
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir import tasks
from gooseberryweir.connection import upstream_pool
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.request.steering import reachability as reachability_module
from gooseberryweir.request.steering import suspects as suspects_module
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.version import traffic

LOGGER = logging.getLogger(__name__)

# Times after the end of an answer at which a connection is tried. A process
# that ends closes its sockets one by one, its listener perhaps last.
CHECK_SECONDS = (0.05, 0.25)
# Time after the end of an answer within which the store shows that the upstream
# was started again: some seconds until the start, and those of its entry.
RESTART_SECONDS = 10.0
# Largest number of broken answers that are remembered for that time.
MAX_BROKEN = 256


class CrashCheckDependencies(NamedTuple):
    """Objects of the process that the checks use.

    Attributes:
        clock: Source of time.
        pool: Connections to upstreams.
        states: Load, speed and failures of upstreams.
        reachability: Tells whether this host reaches any upstream.
        suspects: Requests that may have crashed upstreams.
        store_cache: Cache of the platform's store.
    """

    clock: clocks.Clock
    pool: upstream_pool.UpstreamPool
    states: upstream_state.UpstreamStates
    reachability: reachability_module.UpstreamReachability
    suspects: suspects_module.SuspectTracker
    store_cache: store_cache_module.StoreCache


class CrashChecks:
    """Checks upstreams whose answers ended with their connections.

    Attributes:
        dependencies: Objects of the process.
        checked: Requests whose answers ended so since the check of an upstream
            began, by its incarnation: True for each fingerprint whose answer
            may be whole.
        broken: Monotonic time, in seconds, at which an answer ended so, by the
            upstream's incarnation and the fingerprint of the request, oldest
            first; without those of known crashes.
    """

    def __init__(self, dependencies: CrashCheckDependencies) -> None:
        self.dependencies = dependencies
        self.checked: dict[str, dict[str, bool]] = {}
        self.broken: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )
        dependencies.store_cache.listeners.append(self._on_store_change)

    def begin(
        self, fingerprint: str, upstream: traffic.Upstream, may_be_whole: bool
    ) -> None:
        """Starts to check an upstream, unless a check of it runs.

        Records a crash for the request if the upstream has ended. Otherwise
        clears a suspect whose answer may be whole.

        Args:
            fingerprint: Fingerprint of the request.
            upstream: The upstream that it was sent to.
            may_be_whole: True if its answer has no length, so that the end of
                the connection may be the end of the answer.
        """
        key = (upstream.incarnation, fingerprint)
        self.broken[key] = self.dependencies.clock.monotonic()
        self.broken.move_to_end(key)
        if len(self.broken) > MAX_BROKEN:
            self.broken.popitem(last=False)
        checked = self.checked.get(upstream.incarnation)
        if checked is not None:
            checked[fingerprint] = may_be_whole
            return
        self.checked[upstream.incarnation] = {fingerprint: may_be_whole}
        tasks.spawn(f"check {upstream.name}", self._check, upstream)

    def _check(self, upstream: traffic.Upstream) -> None:
        try:
            refused = self._refuses_connections(upstream)
        finally:
            checked = self.checked.pop(upstream.incarnation)
        dependencies = self.dependencies
        if not refused:
            for fingerprint, may_be_whole in checked.items():
                if may_be_whole:
                    # A later end of the upstream has nothing to do with it.
                    self.broken.pop((upstream.incarnation, fingerprint), None)
                    dependencies.suspects.record_success(fingerprint)
            return
        dependencies.reachability.record_no_answer(upstream.name, True)
        state = dependencies.states.get(upstream.name, upstream.slots)
        state.record_failure(
            dependencies.clock.monotonic(),
            "connection refused",
            upstream_state.EJECTION_SCORE,
        )
        if dependencies.reachability.reachable:
            self._record_crash(upstream.incarnation, "connection refused")

    def _refuses_connections(self, upstream: traffic.Upstream) -> bool:
        endpoint = upstream_pool.Endpoint(upstream.name, upstream.address)
        waited_seconds = 0.0
        for seconds in CHECK_SECONDS:
            self.dependencies.clock.sleep(seconds - waited_seconds)
            waited_seconds = seconds
            try:
                self.dependencies.pool.connect_ahead(endpoint)
            except upstream_pool.ConnectError as error:
                if error.refused:
                    return True
        return False

    def _on_store_change(self, kind: str) -> None:
        """Records the crashes of upstreams that were started again."""
        if kind != store_cache_module.UPSTREAMS:
            return
        earliest = self.dependencies.clock.monotonic() - RESTART_SECONDS
        while self.broken and next(iter(self.broken.values())) < earliest:
            self.broken.popitem(last=False)
        listed = {
            each.incarnation
            for each in self.dependencies.store_cache.upstreams.values()
        }
        for incarnation in {each for each, _ in self.broken} - listed:
            self._record_crash(incarnation, "replaced")

    def _record_crash(self, incarnation: str, reason: str) -> None:
        """Records a crash for the requests whose answers it broke off."""
        fingerprints = [
            fingerprint
            for broken_incarnation, fingerprint in self.broken
            if broken_incarnation == incarnation
        ]
        logs.event(
            LOGGER,
            "upstream-crashed",
            logging.WARNING,
            upstream=incarnation,
            reason=reason,
            fingerprints=",".join(sorted(fingerprints)),
        )
        for fingerprint in fingerprints:
            del self.broken[incarnation, fingerprint]
            self.dependencies.suspects.record_crash(fingerprint, incarnation)
