"""Writes the lists of hosts and upstreams to the stand-in of the platform.

A real platform maintains these lists itself. Usage: python -m demo.listing URL,
with the URL of the platform. Standard input has one line per process: `hosts`
for a host or the service of an upstream, then the name, region and zone of the
process, and its ports as `NAME=PORT`.
"""

import collections
import json
import sys
from typing import Any

import urllib3

LISTS_PATH = "/-/objects/endpointslices"
SLOTS_PER_UPSTREAM = 8
MAX_CONNECTIONS_PER_UPSTREAM = 330


def make_entry(words: list[str]) -> dict[str, Any]:
    """Returns the entry of one process in the platform's list.

    Args:
        words: Words of the line of the process.
    """
    _, name, region, zone, *ports = words
    addresses = {
        port: f"127.0.0.1:{number}"
        for port, number in (word.split("=") for word in ports)
    }
    entry = {"name": name, "region": region, "zone": zone, "leaving": False}
    if "port" not in addresses:
        return {**entry, **addresses}
    return {
        **entry,
        "address": addresses["port"],
        "slots": SLOTS_PER_UPSTREAM,
        "connections": MAX_CONNECTIONS_PER_UPSTREAM,
    }


def main() -> None:
    """Writes one object for the hosts and one for each service."""
    lists = collections.defaultdict(list)
    for line in sys.stdin:
        words = line.split()
        name = "hosts" if words[0] == "hosts" else f"service.{words[0]}"
        lists[name].append(make_entry(words))
    for name, endpoints in lists.items():
        document = {
            "metadata": {"name": name},
            "spec": {"endpoints": endpoints},
        }
        answer = urllib3.request(
            "POST",
            sys.argv[1] + LISTS_PATH,
            body=json.dumps(document),
            headers={"Content-Type": "application/json"},
            retries=False,
        )
        if answer.status != 201:
            sys.exit(f"{name}: the platform answered {answer.status}")


if __name__ == "__main__":
    main()
