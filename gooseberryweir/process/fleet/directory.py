"""Answers look-ups: which hosts a caller should use."""

from collections.abc import Sequence

from gooseberryweir.version import traffic

# Time to live of an answer, in seconds: short, so that callers leave a host
# soon that shuts down; look-ups cost little.
TTL_SECONDS = 2.0


def ttl(max_seconds: float) -> float:
    """Returns the time to live of an answer in seconds."""
    return min(TTL_SECONDS, max_seconds)


def select_addresses(
    region: str, zone: str, hosts: Sequence[traffic.HostEntry]
) -> list[str]:
    """Returns the addresses of the hosts that a caller should use.

    Args:
        region: Region of the caller.
        zone: Availability zone of the caller.
        hosts: Hosts that serve callers.
    """
    local_hosts = [each for each in hosts if each.region == region]
    return [each.front for each in sorted(local_hosts or hosts)]
