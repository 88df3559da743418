"""Neighbours: the hosts that a host pings, and the hosts that vote.

The voters decide which host may act as the home of a resource (the host that
grants shares of it). A fleet of up to `MAX_FULL_MESH_HOSTS` is a full mesh. In
a larger one the first `RELAYS_PER_REGION` live hosts of each region, in
rendezvous order, are relays and ping all other relays. The other hosts of a
region form a tree below its relays, by their position in the same order. Each
of them has a second parent, the host after its first parent, so that no single
failure disconnects a host.
"""

from collections.abc import Collection
from collections.abc import Mapping
from typing import NamedTuple

from gooseberryweir import rendezvous
from gooseberryweir.version import tables

MAX_FULL_MESH_HOSTS = 9
RELAYS_PER_REGION = 3
TREE_FAN_OUT = 4


class Neighbours(NamedTuple):
    """The hosts that one host pings.

    Attributes:
        relays: The other relays, if the host is a relay.
        parents: First and second parent in the tree of its region.
        children: Hosts that have the host as their first or second parent.
        first_children: Hosts that have the host as their first parent.
    """

    relays: tuple[str, ...]
    parents: tuple[str, ...]
    children: tuple[str, ...]
    first_children: tuple[str, ...] = ()

    def all_hosts(self) -> tuple[str, ...]:
        """Returns all neighbours without duplicates."""
        return tuple(dict.fromkeys(self.relays + self.parents + self.children))


def regional_orders(
    hosts: Mapping[str, tables.HostEntry], live: Collection[str]
) -> dict[str, list[str]]:
    """Returns the live hosts of each region in rendezvous order."""
    regions: dict[str, list[str]] = {}
    for name in live:
        regions.setdefault(hosts[name].region, []).append(name)
    return {
        region: rendezvous.order(f"relays/{region}", names)
        for region, names in regions.items()
    }


def voters(hosts: Mapping[str, tables.HostEntry]) -> frozenset[str]:
    """Returns the hosts that vote and can be homes.

    They depend only on the host list: a dead host still counts as a voter, so
    the two sides of a partition can't both have a majority.
    """
    if len(hosts) <= MAX_FULL_MESH_HOSTS:
        return frozenset(hosts)
    orders = regional_orders(hosts, hosts)
    return frozenset(
        name for order in orders.values() for name in order[:RELAYS_PER_REGION]
    )


def parent_positions(position: int) -> tuple[int, ...]:
    """Returns the positions of the parents of the host at a position.

    Returns:
        Positions of the first and the second parent in the rendezvous order;
        empty for a relay.
    """
    if position < RELAYS_PER_REGION:
        return ()
    first = (position - RELAYS_PER_REGION) // TREE_FAN_OUT
    return (first, first + 1)


def child_positions(position: int, count: int) -> tuple[int, ...]:
    """Returns the positions of the children of the host at a position.

    Args:
        position: Position of the parent in the rendezvous order.
        count: Number of live hosts in the region.
    """
    first = RELAYS_PER_REGION + TREE_FAN_OUT * max(0, position - 1)
    end = RELAYS_PER_REGION + TREE_FAN_OUT * (position + 1)
    return tuple(range(first, min(end, count)))


def find(
    host: str, hosts: Mapping[str, tables.HostEntry], live: Collection[str]
) -> Neighbours:
    """Returns the neighbours of a host.

    Args:
        host: Name of the host; it counts as live if it is listed.
        hosts: The platform's host list, by name.
        live: Names of the listed hosts that are neither leaving nor dead.
    """
    if host not in hosts:
        return Neighbours((), (), ())
    if len(hosts) <= MAX_FULL_MESH_HOSTS:
        others = tuple(sorted(name for name in hosts if name != host))
        return Neighbours(others, (), ())
    region = hosts[host].region
    region_hosts = [name for name in live if hosts[name].region == region]
    order = regional_orders(hosts, {*region_hosts, host})[region]
    position = order.index(host)
    parents = tuple(order[index] for index in parent_positions(position))
    children = tuple(
        order[index] for index in child_positions(position, len(order))
    )
    relays: tuple[str, ...] = ()
    if position < RELAYS_PER_REGION:
        relays = _relays(host, regional_orders(hosts, {*live, host}))
    first_children = tuple(
        name
        for index, name in enumerate(order)
        if parent_positions(index)[:1] == (position,)
    )
    return Neighbours(relays, parents, children, first_children)


def _relays(host: str, orders: Mapping[str, list[str]]) -> tuple[str, ...]:
    """Returns the relays of all regions except the host itself."""
    return tuple(
        sorted(
            name
            for order in orders.values()
            for name in order[:RELAYS_PER_REGION]
            if name != host
        )
    )
