"""Look-ups and proxied requests of one host: rate, processor time, latency.

Usage: python -m bench.lookups. All run in one deployment and one run: an
upstream called directly, a bare forwarder, and a host. Latency is taken with
one request at a time, the ways in turn, on a warm connection; the rate for one
core is the inverse of the processor time of a request under 4 at a time.
"""

import http.client
import itertools
import statistics
import threading
import time
from typing import NamedTuple

from bench import usage
from test import _deployments

CONNECTIONS = (1, 10, 100, 1000)
WORKERS = 4
LATENCY_REQUESTS = 1000
LOAD_SECONDS = 3.0
WIDE = (1e6, 1_000_000)
PATH = "/contracts"
LOOK_UP = "/v1/hosts"


class Way(NamedTuple):
    """One way of sending a request.

    Attributes:
        name: For the table.
        address: `IP:PORT`.
        path: Path of the request.
        key: Key of the account, or empty.
        pid: Process whose processor time counts.
    """

    name: str
    address: str
    path: str
    key: str
    pid: int


def send(connection: http.client.HTTPConnection, way: Way) -> None:
    """Sends one request and reads its whole answer."""
    headers = {"Authorization": f"Bearer {way.key}"} if way.key else {}
    connection.request("GET", way.path, headers=headers)
    answer = connection.getresponse()
    body = answer.read()
    if answer.status != 200:
        raise AssertionError(f"{way.name}: {answer.status} {body[:200]!r}")


def connect(way: Way, count: int) -> list[http.client.HTTPConnection]:
    """Opens connections."""
    host, _, port = way.address.rpartition(":")
    opened = []
    for _ in range(count):
        connection = http.client.HTTPConnection(host, int(port), timeout=30)
        connection.connect()
        opened.append(connection)
    return opened


def latencies(ways: list[Way]) -> dict[str, list[float]]:
    """Returns the seconds of each request, the ways taken in turn."""
    connections = {way.name: connect(way, 1)[0] for way in ways}
    found: dict[str, list[float]] = {way.name: [] for way in ways}
    for _ in range(LATENCY_REQUESTS):
        for way in ways:
            began = time.perf_counter()
            send(connections[way.name], way)
            found[way.name].append(time.perf_counter() - began)
    for connection in connections.values():
        connection.close()
    return found


def load(way: Way, count: int) -> None:
    """Prints what a way costs with a number of open connections."""
    connections = connect(way, count)
    turns = [connections[each::WORKERS] for each in range(WORKERS)]
    done: list[float] = []
    failed: list[BaseException] = []
    ends_at = time.monotonic() + LOAD_SECONDS

    def work(own: list[http.client.HTTPConnection]) -> None:
        try:
            for connection in itertools.cycle(own):
                began = time.perf_counter()
                send(connection, way)
                done.append(time.perf_counter() - began)
                if time.monotonic() > ends_at:
                    return
        except Exception as error:
            failed.append(error)

    before, began = usage.cpu_seconds(way.pid), time.monotonic()
    workers = [
        threading.Thread(target=work, args=(own,)) for own in turns if own
    ]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    seconds = time.monotonic() - began
    spent = usage.cpu_seconds(way.pid) - before
    for connection in connections:
        connection.close()
    cuts = statistics.quantiles(done, n=100)
    print(
        f"way={way.name} connections={count} failed={len(failed)}"
        f" requests_s={len(done) / seconds:.0f}"
        f" cpu_us={1e6 * spent / len(done):.0f}"
        f" one_core_s={len(done) / spent:.0f}"
        f" p50_ms={1000 * cuts[49]:.2f} p99_ms={1000 * cuts[98]:.2f}"
        f" resident_mb={usage.resident_mb(way.pid):.1f}",
        flush=True,
    )
    for error in failed[:1]:
        print(f"  first failure: {error!r}")


def describe(found: dict[str, list[float]]) -> None:
    """Prints latencies, and those added to the direct way."""
    direct = statistics.quantiles(found["direct"], n=100)
    for name, times in found.items():
        cuts = statistics.quantiles(times, n=100)
        print(
            f"way={name} p50_ms={1000 * cuts[49]:.3f}"
            f" p99_ms={1000 * cuts[98]:.3f}"
            f" added_p50_ms={1000 * (cuts[49] - direct[49]):.3f}"
            f" added_p99_ms={1000 * (cuts[98] - direct[98]):.3f}",
            flush=True,
        )


def main() -> None:
    """Runs all measurements."""
    document = _deployments.declarations({"ada": WIDE, "ben": WIDE})
    deployment = _deployments.deployment(
        9,
        3,
        200,
        *("--service-ms", "0", "--connections", "2000"),
        document=document,
        settings={"max_open_requests": 2000},
    )
    with deployment as running:
        _deployments.wait_serving(running)
        name = next(iter(running.host_specs))
        region = running.host_specs[name].region
        upstream = running.upstreams[f"{region}-1-contracts"]
        forwarder = running.spawn(
            "forwarder", "bench.forwarder", upstream.address()
        ).wait_ready()
        host = running.hosts[name]
        address = running.addresses[f"caller:{name}"]
        key = running.keys["ada"]
        ways = [
            Way("direct", upstream.address(), PATH, "", upstream.pid),
            Way("forwarder", forwarder.address(), PATH, "", forwarder.pid),
            Way("host", address, PATH, key, host.pid),
        ]
        look_ups = [
            Way("look-up", address, LOOK_UP, "", host.pid),
            Way("look-up-key", address, LOOK_UP, key, host.pid),
        ]
        describe(latencies(ways))
        load(ways[1], 10)
        for way in [ways[2], *look_ups]:
            for count in CONNECTIONS:
                load(way, count)


if __name__ == "__main__":
    main()
