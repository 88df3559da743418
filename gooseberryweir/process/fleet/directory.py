"""Answers look-ups: selects the hosts that a caller should use."""

from collections.abc import Sequence

from gooseberryweir.version import traffic

# Time to live of a look-up response. It is short so that callers soon stop
# using a host that shuts down; look-ups are cheap.
TTL_SECONDS = 2.0


def ttl(max_seconds: float) -> float:
    """Returns the time to live of a look-up response in seconds.

    Args:
        max_seconds: Longest time to live that is allowed, in seconds.
    """
    return min(TTL_SECONDS, max_seconds)


def select_addresses(
    region: str, zone: str, hosts: Sequence[traffic.HostEntry]
) -> list[str]:
    """Returns the addresses of the hosts in the caller's region, or of all.

    Args:
        region: Region of the caller.
        zone: Availability zone of the caller; it has no effect on the result.
        hosts: Hosts that are ready to serve callers.

    Returns:
        Addresses for callers, `IP:PORT`; those of all hosts if none is in the
        region.
    """
    local_hosts = [each for each in hosts if each.region == region]
    return [each.front for each in sorted(local_hosts or hosts)]
