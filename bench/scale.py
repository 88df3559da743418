"""State and processor time of one host against the size of the fleet.

Usage: python -m bench.scale. In one process, without peers: the tables, facts,
rankings and duties that a host holds, over hosts in proportion to the target
of 6,200 hosts, 48 regions and 2,400 upstreams of one service.
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
from gooseberryweir.version import tables as versions
from test import _fleet

TARGET_HOSTS = 6_200
SIZES = ((62, 6, 24), (620, 24, 240), (6_200, 48, 2_400))
FACTS = (1_860, 18_600, 186_000)
ACCOUNTS = 80
KEYS_IN_ACCOUNT = 20
INCARNATION = 1_700_000_000_000
SEED = 7


class Host:
    """One host's parts, as `serve` builds them, without connections."""

    def __init__(self, hosts: int, regions: int, upstreams: int) -> None:
        self.regions: _fleet.Regions = {
            f"region-{number}": (f"zone-{number}-a", f"zone-{number}-b")
            for number in range(regions)
        }
        self.store = objects.ObjectStore()
        self.tables = versions.Tables(self.store)
        self.facts = facts_module.Facts()
        accounts = {f"account-{n}": (100.0, 100) for n in range(ACCOUNTS)}
        document = _fleet.declare(self.regions, ("maps",), accounts)
        self.store.apply(objects.CONFIG, 1, {"declarations": document})
        self.specs = _fleet.place_hosts(self.regions, hosts)
        self.listed = [self.entry(spec) for spec in self.specs]
        self.store.apply(objects.HOSTS, 1, {"endpoints": self.listed})
        self.apply_upstreams(upstreams)
        self.apply_keys()
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

    def entry(self, spec: _fleet.HostSpec) -> dict[str, Any]:
        """Returns a host as the platform lists it."""
        ports = dict.fromkeys(
            ("caller", "peer", "operator"), "10.20.30.40:7001"
        )
        return {**spec._asdict(), **ports, "leaving": False}

    def apply_upstreams(self, count: int) -> None:
        """Lists upstreams of one service."""
        listed = []
        for spec in _fleet.place_upstreams(self.regions, "maps", count):
            entry = spec._asdict()
            del entry["service"], entry["arguments"]
            listed.append({**entry, "address": "10.1.1.1:80", "leaving": False})
        name = f"{objects.SERVICE_PREFIX}maps"
        self.store.apply(name, 1, {"endpoints": listed})

    def apply_keys(self) -> None:
        """Issues keys to every account."""
        rng = random.Random(SEED)
        for number in range(ACCOUNTS):
            digests = {
                f"{rng.getrandbits(256):064x}": "issued"
                for _ in range(KEYS_IN_ACCOUNT)
            }
            name = f"{objects.KEYS_PREFIX}account-{number}"
            self.store.apply(name, 1, {"digests": digests})

    def context(self) -> Any:
        """Returns what routing reads of a process."""
        settings = types.SimpleNamespace(region="region-0")
        return types.SimpleNamespace(tables=self.tables, settings=settings)


def spent_ms(action: Callable[[], object], times: int) -> float:
    """Returns the mean processor time of an action, milliseconds."""
    began = time.process_time()
    for _ in range(times):
        action()
    return 1000 * (time.process_time() - began) / times


def measure(hosts: int, regions: int, upstreams: int) -> None:
    """Builds one size and prints its row."""
    gc.collect()
    before = usage.resident_mb(os.getpid())
    host = Host(hosts, regions, upstreams)
    gc.collect()
    grown = usage.resident_mb(os.getpid()) - before
    restarts = iter(range(1, 1_000_000))

    def restart() -> None:
        name = host.specs[-1].name
        key = facts_module.incarnation_key(name)
        host.facts.add(key, INCARNATION + next(restarts))
        host.membership.neighbours()
        host.rankings.ranked_json("account-1", "region-1")

    def relist() -> None:
        version = 1 + next(restarts)
        host.store.apply(objects.HOSTS, version, {"endpoints": host.listed})

    host.rankings.ranked_json("account-1", "region-1")
    hit = spent_ms(
        lambda: host.rankings.ranked_json("account-1", "region-1"), 2000
    )
    miss = spent_ms(lambda: host.rankings.rank("account-1", "region-1"), 20)
    place = spent_ms(lambda: routing.candidates(host.context(), "maps", 1), 20)
    fact = spent_ms(restart, 5)
    tick = spent_ms(host.membership.tick, 20)
    pong = spent_ms(host.membership.pong, 200)
    listing = spent_ms(relist, 3)
    snapshot = messages.encode(messages.Facts(host.facts.snapshot()))
    hosts_bytes = len(json.dumps({"endpoints": host.listed}))
    answer = len(host.rankings.ranked_json("account-1", "region-1"))
    versions_bytes = len(
        messages.encode(messages.FetchState(host.store.versions()))
    )
    print(
        f"hosts={hosts} regions={regions} upstreams={upstreams}"
        f" voters={len(neighbours.voters(host.tables.hosts))}"
        f" resident_mb={grown:.1f} list_bytes={hosts_bytes}"
        f" facts_bytes={len(snapshot)} versions_bytes={versions_bytes}"
        f" answer_bytes={answer} rank_hit_ms={hit:.4f} rank_miss_ms={miss:.2f}"
        f" candidates_ms={place:.3f} host_fact_ms={fact:.1f}"
        f" new_list_ms={listing:.1f} tick_ms={tick:.2f} pong_ms={pong:.3f}",
        flush=True,
    )


def measure_facts(count: int) -> None:
    """Prints what a number of facts about hosts costs to hold and exchange."""
    gc.collect()
    before = usage.resident_mb(os.getpid())
    facts = facts_module.Facts()
    facts.merge(
        {
            facts_module.incarnation_key(f"region-{n % 48}-{n}"): INCARNATION
            for n in range(count)
        }
    )
    gc.collect()
    grown = usage.resident_mb(os.getpid()) - before

    def exchange() -> None:
        sent = messages.encode(messages.Facts(facts.snapshot()))
        unpacker = messages.make_unpacker()
        unpacker.feed(sent)
        facts.merge(messages.decode(next(unpacker))[1].facts)

    cost = spent_ms(exchange, 3)
    size = len(messages.encode(messages.Facts(facts.snapshot())))
    print(
        f"facts={count} resident_mb={grown:.1f} bytes={size}"
        f" exchange_ms={cost:.1f}",
        flush=True,
    )


def run_apart(function: Callable[..., None], *arguments: int) -> None:
    """Calls a function in a process of its own."""
    child = os.fork()
    if not child:
        function(*arguments)
        os._exit(0)
    os.waitpid(child, 0)


def main() -> None:
    """Measures each size in a process of its own."""
    for size in SIZES:
        run_apart(measure, *size)
    for count in FACTS:
        run_apart(measure_facts, count)


if __name__ == "__main__":
    main()
