"""Settings of one host that serves callers on the platform."""

from collections.abc import Mapping
from typing import NamedTuple

# Port on which each host serves its metrics; named in deploy/system.toml.
METRICS_PORT = 9464


class Bounds(NamedTuple):
    """Promises to the users that the host has to keep, from its settings.

    Attributes:
        key_revocation: Seconds after which a withdrawn key runs nothing.
        grace: Seconds from SIGTERM to SIGKILL.
        max_look_up_ttl: Longest time to live of a look-up, in seconds.
        retry_window: Span in which repeats are counted, in seconds.
        retry_ratio: Repeats allowed for each request of a service.
        retry_margin: Repeats allowed besides in a window, for all hosts.
        rate_overage: Part of a client account's rate allowed beyond it.
        rate_margin: Requests allowed besides, for all hosts.
        cold_factor: Factor on the rate that a cold upstream tolerates.
        cold_margin: Requests a second allowed besides, for all hosts.
    """

    key_revocation: float = 5.0
    grace: float = 6.0
    max_look_up_ttl: float = 5.0
    retry_window: float = 10.0
    retry_ratio: float = 0.2
    retry_margin: float = 58.0
    rate_overage: float = 0.1
    rate_margin: float = 20.0
    cold_factor: float = 1.5
    cold_margin: float = 5.0


class HostSettings(NamedTuple):
    """Settings of one host.

    Attributes:
        host: Name of the host, the same after a restart.
        incarnation: Identifies this start of the process.
        zone: Its availability zone.
        region: Its region.
        region_by_zone: Region of each availability zone.
        front_address: Listens for callers, `IP:PORT`.
        ready_address: Listens for readiness checks, `IP:PORT`.
        directory_address: Listens for look-ups, `IP:PORT`.
        peer_address: Listens for other hosts, `IP:PORT`.
        metrics_address: Serves metrics, `IP:PORT`.
        store_address: The platform's store, `IP:PORT`.
        first_start: Whether the whole system starts for the first time.
        bounds: Promises to keep.
    """

    host: str
    incarnation: str
    zone: str
    region: str
    region_by_zone: Mapping[str, str]
    front_address: str
    ready_address: str
    directory_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    first_start: bool
    bounds: Bounds
