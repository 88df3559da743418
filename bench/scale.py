"""Memory and processor time of one host by the size of the fleet.

Usage: python -m bench.scale. Builds the state of one host without peers and
measures its periodic and event-driven work. The state consists of the tables,
the facts (small key-value entries that all hosts replicate) and the rankings
(the order in which a look-up lists hosts). The largest fleet has the target
size of 6,200 hosts, 48 regions and 2,400 upstreams of one service.
"""

from collections.abc import Callable
import gc
import json
import os
import random
import time
import types
from typing import Any

from bench import usage
from gooseberryweir import clock as clocks
from gooseberryweir.connection import messages
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import membership as memberships
from gooseberryweir.process.membership import neighbours
from gooseberryweir.request import ranking
from gooseberryweir.request import routing
from gooseberryweir.version import objects
from gooseberryweir.version import tables as tables_module
from test import _fleet

TARGET_HOSTS = 6_200
# Numbers of hosts, regions and upstreams.
FLEET_SIZES = ((62, 6, 24), (620, 24, 240), (6_200, 48, 2_400))
FACT_COUNTS = (1_860, 18_600, 186_000)
ACCOUNT_COUNT = 80
KEYS_PER_ACCOUNT = 20
INCARNATION = 1_700_000_000_000
SEED = 7


class Host:
    """State of one host, as the command `serve` builds it, without connections.

    Attributes:
        regions: Zones of each region.
        store: Platform objects of the host.
        tables: The active tables.
        facts: Facts shared between the hosts.
        specs: All hosts of the fleet; the first one is this host.
        host_list: The hosts as listed by the platform.
        membership: This host as a member of the fleet.
        rankings: Cached rankings of the hosts that a caller should use.
    """

    def __init__(self, hosts: int, regions: int, upstreams: int) -> None:
        self.regions: _fleet.Regions = {
            f"region-{number}": (f"zone-{number}-a", f"zone-{number}-b")
            for number in range(regions)
        }
        self.store = objects.ObjectStore()
        self.tables = tables_module.Tables(self.store)
        self.facts = facts_module.Facts()
        accounts = {f"account-{n}": (100.0, 100) for n in range(ACCOUNT_COUNT)}
        document = _fleet.declare(self.regions, ("maps",), accounts)
        self.store.apply(objects.CONFIG, 1, {"declarations": document})
        self.specs = _fleet.place_hosts(self.regions, hosts)
        self.host_list = [self.host_entry(spec) for spec in self.specs]
        self.store.apply(objects.HOSTS, 1, {"endpoints": self.host_list})
        self.list_upstreams(upstreams)
        self.issue_keys()
        self.membership = memberships.Membership(
            self.specs[0].name,
            INCARNATION,
            clocks.system_clock(),
            self.tables,
            self.facts,
            self.store,
        )
        incarnations = {
            facts_module.incarnation_key(spec.name): INCARNATION
            for spec in self.specs
        }
        self.facts.merge(incarnations)
        self.rankings = ranking.Rankings(self.tables, self.membership)

    def host_entry(self, spec: _fleet.HostSpec) -> dict[str, Any]:
        """Returns the entry of a host in the platform's list."""
        addresses = dict.fromkeys(
            ("caller", "peer", "operator"), "10.20.30.40:7001"
        )
        return {**spec._asdict(), **addresses, "leaving": False}

    def list_upstreams(self, count: int) -> None:
        """Stores the platform's list of the upstreams of one service."""
        endpoints = []
        for spec in _fleet.place_upstreams(self.regions, "maps", count):
            entry = spec._asdict()
            del entry["service"], entry["arguments"]
            endpoints.append(
                {**entry, "address": "10.1.1.1:80", "leaving": False}
            )
        name = f"{objects.SERVICE_PREFIX}maps"
        self.store.apply(name, 1, {"endpoints": endpoints})

    def issue_keys(self) -> None:
        """Issues `KEYS_PER_ACCOUNT` keys to every account."""
        rng = random.Random(SEED)
        for number in range(ACCOUNT_COUNT):
            digests = {
                f"{rng.getrandbits(256):064x}": "issued"
                for _ in range(KEYS_PER_ACCOUNT)
            }
            name = f"{objects.KEYS_PREFIX}account-{number}"
            self.store.apply(name, 1, {"digests": digests})

    def context(self) -> Any:
        """Returns a context with the fields that routing uses."""
        settings = types.SimpleNamespace(region="region-0")
        return types.SimpleNamespace(tables=self.tables, settings=settings)


def mean_cpu_ms(action: Callable[[], object], times: int) -> float:
    """Calls a function several times.

    Returns:
        Mean processor time of a call, milliseconds.
    """
    started_at = time.process_time()
    for _ in range(times):
        action()
    return 1000 * (time.process_time() - started_at) / times


def measure(hosts: int, regions: int, upstreams: int) -> None:
    """Builds a host of a fleet of the given size and prints its row."""
    gc.collect()
    before_mb = usage.resident_mb(os.getpid())
    host = Host(hosts, regions, upstreams)
    gc.collect()
    growth_mb = usage.resident_mb(os.getpid()) - before_mb
    numbers = iter(range(1, 1_000_000))

    def restart_peer() -> None:
        name = host.specs[-1].name
        key = facts_module.incarnation_key(name)
        host.facts.add(key, INCARNATION + next(numbers))
        host.membership.neighbours()
        host.rankings.ranked_json("account-1", "region-1")

    def update_host_list() -> None:
        version = 1 + next(numbers)
        host.store.apply(objects.HOSTS, version, {"endpoints": host.host_list})

    host.rankings.ranked_json("account-1", "region-1")
    rank_hit_ms = mean_cpu_ms(
        lambda: host.rankings.ranked_json("account-1", "region-1"), 2000
    )
    rank_miss_ms = mean_cpu_ms(
        lambda: host.rankings.rank("account-1", "region-1"), 20
    )
    candidates_ms = mean_cpu_ms(
        lambda: routing.candidates(host.context(), "maps", 1), 20
    )
    host_fact_ms = mean_cpu_ms(restart_peer, 5)
    tick_ms = mean_cpu_ms(host.membership.tick, 20)
    pong_ms = mean_cpu_ms(host.membership.pong, 200)
    new_list_ms = mean_cpu_ms(update_host_list, 3)
    facts_message = messages.encode(messages.Facts(host.facts.snapshot()))
    list_bytes = len(json.dumps({"endpoints": host.host_list}))
    answer_bytes = len(host.rankings.ranked_json("account-1", "region-1"))
    versions_bytes = len(
        messages.encode(messages.FetchState(host.store.versions()))
    )
    print(
        f"hosts={hosts} regions={regions} upstreams={upstreams}"
        f" voters={len(neighbours.voters(host.tables.hosts))}"
        f" resident_mb={growth_mb:.1f} list_bytes={list_bytes}"
        f" facts_bytes={len(facts_message)} versions_bytes={versions_bytes}"
        f" answer_bytes={answer_bytes} rank_hit_ms={rank_hit_ms:.4f}"
        f" rank_miss_ms={rank_miss_ms:.2f}"
        f" candidates_ms={candidates_ms:.3f} host_fact_ms={host_fact_ms:.1f}"
        f" new_list_ms={new_list_ms:.1f} tick_ms={tick_ms:.2f}"
        f" pong_ms={pong_ms:.3f}",
        flush=True,
    )


def measure_facts(count: int) -> None:
    """Prints the memory of a number of facts and the time to exchange them.

    An exchange encodes all facts, and decodes and merges them at the receiver.
    """
    gc.collect()
    before_mb = usage.resident_mb(os.getpid())
    facts = facts_module.Facts()
    facts.merge(
        {
            facts_module.incarnation_key(f"region-{n % 48}-{n}"): INCARNATION
            for n in range(count)
        }
    )
    gc.collect()
    growth_mb = usage.resident_mb(os.getpid()) - before_mb

    def exchange() -> None:
        message = messages.encode(messages.Facts(facts.snapshot()))
        unpacker = messages.make_unpacker()
        unpacker.feed(message)
        facts.merge(messages.decode(next(unpacker))[1].facts)

    exchange_ms = mean_cpu_ms(exchange, 3)
    message_bytes = len(messages.encode(messages.Facts(facts.snapshot())))
    print(
        f"facts={count} resident_mb={growth_mb:.1f} bytes={message_bytes}"
        f" exchange_ms={exchange_ms:.1f}",
        flush=True,
    )


def run_in_child(function: Callable[..., None], *arguments: int) -> None:
    """Calls a function in a child process and waits for its end."""
    child = os.fork()
    if not child:
        function(*arguments)
        os._exit(0)
    os.waitpid(child, 0)


def main() -> None:
    """Measures each size in a child process, so that memory does not add up."""
    for size in FLEET_SIZES:
        run_in_child(measure, *size)
    for count in FACT_COUNTS:
        run_in_child(measure_facts, count)


if __name__ == "__main__":
    main()
