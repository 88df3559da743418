"""What a host reports of itself to the other hosts."""

from collections.abc import Callable
from typing import NamedTuple


class LocalState(NamedTuple):
    """Functions that return what this host reports in its heartbeats.

    Attributes:
        ready: Returns True if the host is ready to serve callers.
        shutting_down: Returns True if the host is shutting down.
        polling: Returns True if the host polls the store.
        store_seconds: Returns the latency of the last poll of the store, in
            seconds.
        demand: Returns the requests per second of each client account.
        refresh_demand: Updates the result of `demand`; called at each heartbeat
            interval.
        crashes: Returns the names of the upstream incarnations that crashed, by
            the fingerprint of the request that they ran.
        answered: Returns the fingerprints of requests that crashed an upstream
            and were answered by an upstream later.
    """

    ready: Callable[[], bool]
    shutting_down: Callable[[], bool]
    polling: Callable[[], bool]
    store_seconds: Callable[[], float]
    demand: Callable[[], dict[str, float]]
    refresh_demand: Callable[[], None]
    crashes: Callable[[], dict[str, tuple[str, ...]]]
    answered: Callable[[], tuple[str, ...]]
