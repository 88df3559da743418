"""Settings of one host that serves callers on the platform."""

from collections.abc import Mapping
from typing import NamedTuple

from gooseberryweir.connection import addresses

# Port on which each host serves its metrics; also set in deploy/system.toml.
METRICS_PORT = 9464


class Bounds(NamedTuple):
    """Guarantees that the platform's settings file requires of the host.

    Attributes:
        key_revocation: Seconds from the withdrawal of a key until no request
            with it is run.
        grace: Seconds from SIGTERM to SIGKILL.
        max_look_up_ttl: Longest time to live of a look-up, in seconds.
        retry_window: Sliding window in which retries are counted, in seconds.
        retry_ratio: Retries allowed per request of a service.
        retry_margin: Further retries allowed per window, over all hosts.
        rate_overage: Excess over a client account's rate that is allowed, as a
            fraction of the rate.
        rate_margin: Further requests allowed beyond that excess, over all
            hosts.
        cold_factor: Allowed rate of requests to a cold upstream (one whose
            cache is not filled yet), as a multiple of the rate that it can
            handle.
        cold_margin: Further requests per second allowed to a cold upstream,
            over all hosts.
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
        host: Name of the host; it does not change on a restart.
        incarnation: Identifies one run of the process.
        zone: Availability zone of the host.
        region: Region of the host.
        region_by_zone: Region of each availability zone.
        front_address: Listening address for callers, `IP:PORT`.
        ready_address: Listening address for readiness checks, `IP:PORT`.
        directory_address: Listening address for look-ups, `IP:PORT`.
        peer_address: Listening address for peers, `IP:PORT`.
        metrics_address: Listening address for metrics, `IP:PORT`.
        store_address: Address of the platform's store, `IP:PORT`.
        first_start: True if the whole system starts for the first time.
        bounds: Guarantees that the host has to keep.
        link_mbps: Rate of the host's network link in Mbit/s, 0 if not known.
        forward_address: Listening address for requests that other hosts
            forward, `IP:PORT`; empty if the platform leaves no port for it.
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
    link_mbps: float = 0.0
    forward_address: str = ""


def forward_address(peer_address: str) -> str:
    """Returns the address at which a host takes forwarded requests.

    Args:
        peer_address: Address at which it takes heartbeats, `IP:PORT`.

    Raises:
        AddressError: The address has another form.
    """
    ip, port = addresses.parse(peer_address)
    return f"{ip}:{port + 1}"
