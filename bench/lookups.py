"""Rate, processor time and latency of look-ups and proxied requests.

Usage: python -m bench.lookups. A look-up asks a host which hosts a caller
should use. One deployment serves all measurements. Requests go directly to an
upstream, through a minimal forwarder and through a host, so that the cost of
the host can be compared. Latency is measured on open connections with one
request at a time, alternating between the targets. The rate of one core is the
inverse of the processor time per request, measured with four concurrent
requests.
"""

import http.client
import itertools
import statistics
import threading
import time
from typing import NamedTuple

from bench import usage
from test import _deployments

CONNECTION_COUNTS = (1, 10, 100, 1000)
THREAD_COUNT = 4
LATENCY_REQUEST_COUNT = 1000
LOAD_SECONDS = 3.0
# Rate in requests per second and burst that are never reached.
UNLIMITED_RATE_AND_BURST = (1e6, 1_000_000)
REQUEST_PATH = "/contracts"
LOOK_UP_PATH = "/v1/hosts"


class Target(NamedTuple):
    """A server to measure and the request that is sent to it.

    Attributes:
        name: Name in the printed rows.
        address: Address of the server, `IP:PORT`.
        path: Path of the request.
        key: Key of the client account, or empty.
        pid: Process whose processor time and memory are measured.
    """

    name: str
    address: str
    path: str
    key: str
    pid: int


def send(connection: http.client.HTTPConnection, target: Target) -> None:
    """Sends one request and reads the whole response.

    Raises:
        AssertionError: The status is not 200.
    """
    headers = {"Authorization": f"Bearer {target.key}"} if target.key else {}
    connection.request("GET", target.path, headers=headers)
    response = connection.getresponse()
    body = response.read()
    if response.status != 200:
        raise AssertionError(f"{target.name}: {response.status} {body[:200]!r}")


def connect(target: Target, count: int) -> list[http.client.HTTPConnection]:
    """Opens a number of connections to a target."""
    host, _, port = target.address.rpartition(":")
    connections = []
    for _ in range(count):
        connection = http.client.HTTPConnection(host, int(port), timeout=30)
        connection.connect()
        connections.append(connection)
    return connections


def measure_latencies(targets: list[Target]) -> dict[str, list[float]]:
    """Sends `LATENCY_REQUEST_COUNT` requests to each target, in alternation.

    Returns:
        Seconds of each request, by name of the target.
    """
    connections = {target.name: connect(target, 1)[0] for target in targets}
    latencies: dict[str, list[float]] = {target.name: [] for target in targets}
    for _ in range(LATENCY_REQUEST_COUNT):
        for target in targets:
            started_at = time.perf_counter()
            send(connections[target.name], target)
            latencies[target.name].append(time.perf_counter() - started_at)
    for connection in connections.values():
        connection.close()
    return latencies


def measure_load(target: Target, count: int) -> None:
    """Sends requests from up to `THREAD_COUNT` threads and prints a row.

    Args:
        target: Server and request.
        count: Number of open connections, which are divided among the threads.
            Each thread uses its connections in turn.
    """
    connections = connect(target, count)
    thread_connections = [
        connections[index::THREAD_COUNT] for index in range(THREAD_COUNT)
    ]
    latencies: list[float] = []
    errors: list[BaseException] = []
    ends_at = time.monotonic() + LOAD_SECONDS

    def send_requests(
        own_connections: list[http.client.HTTPConnection],
    ) -> None:
        try:
            for connection in itertools.cycle(own_connections):
                sent_at = time.perf_counter()
                send(connection, target)
                latencies.append(time.perf_counter() - sent_at)
                if time.monotonic() > ends_at:
                    return
        except Exception as error:
            errors.append(error)

    cpu_before, started_at = usage.cpu_seconds(target.pid), time.monotonic()
    threads = [
        threading.Thread(target=send_requests, args=(own_connections,))
        for own_connections in thread_connections
        if own_connections
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    seconds = time.monotonic() - started_at
    cpu_seconds = usage.cpu_seconds(target.pid) - cpu_before
    for connection in connections:
        connection.close()
    percentiles = statistics.quantiles(latencies, n=100)
    print(
        f"way={target.name} connections={count} failed={len(errors)}"
        f" requests_s={len(latencies) / seconds:.0f}"
        f" cpu_us={1e6 * cpu_seconds / len(latencies):.0f}"
        f" one_core_s={len(latencies) / cpu_seconds:.0f}"
        f" p50_ms={1000 * percentiles[49]:.2f}"
        f" p99_ms={1000 * percentiles[98]:.2f}"
        f" resident_mb={usage.resident_mb(target.pid):.1f}",
        flush=True,
    )
    for error in errors[:1]:
        print(f"  first error: {error!r}")


def print_latencies(latencies: dict[str, list[float]]) -> None:
    """Prints latencies, and how much they exceed those of direct requests.

    Args:
        latencies: Seconds of each request, by name of the target.
    """
    direct = statistics.quantiles(latencies["direct"], n=100)
    for name, seconds in latencies.items():
        percentiles = statistics.quantiles(seconds, n=100)
        print(
            f"way={name} p50_ms={1000 * percentiles[49]:.3f}"
            f" p99_ms={1000 * percentiles[98]:.3f}"
            f" added_p50_ms={1000 * (percentiles[49] - direct[49]):.3f}"
            f" added_p99_ms={1000 * (percentiles[98] - direct[98]):.3f}",
            flush=True,
        )


def main() -> None:
    """Runs all measurements."""
    document = _deployments.declarations(
        {"ada": UNLIMITED_RATE_AND_BURST, "ben": UNLIMITED_RATE_AND_BURST}
    )
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
        targets = [
            Target(
                "direct", upstream.address(), REQUEST_PATH, "", upstream.pid
            ),
            Target(
                "forwarder",
                forwarder.address(),
                REQUEST_PATH,
                "",
                forwarder.pid,
            ),
            Target("host", address, REQUEST_PATH, key, host.pid),
        ]
        look_up_targets = [
            Target("look-up", address, LOOK_UP_PATH, "", host.pid),
            Target("look-up-key", address, LOOK_UP_PATH, key, host.pid),
        ]
        print_latencies(measure_latencies(targets))
        measure_load(targets[1], 10)
        for target in [targets[2], *look_up_targets]:
            for count in CONNECTION_COUNTS:
                measure_load(target, count)


if __name__ == "__main__":
    main()
