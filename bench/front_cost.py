"""Cost of look-ups, requests and calm stops of a host of `front`, by build.

Usage: python -m bench.front_cost [COMMIT ...]. The hosts of the given commits
and of the working tree are measured in turn, `ROUNDS` times each. Callers and
upstreams are threads of one other process, so rates depend on it as well;
processor time is that of the host alone.
"""

import contextlib
import os
import pathlib
import select
import sys
import tempfile
import threading
import time
import urllib.parse

from test import _common
from test import _front
from test import _raw
from test import test_upgrade

ROUNDS = 3
HOSTS = 3
UPSTREAMS = 3
CALLERS = 4
LOAD_SECONDS = 4.0
IDLE_SECONDS = 2.0
IDLE_CONNECTIONS = 20
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid: int) -> tuple[float, float]:
    """Returns the user and system time of all threads of a process."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (
        int(fields[11]) / TICKS_PER_SECOND,
        int(fields[12]) / TICKS_PER_SECOND,
    )


def measure_load(
    host: _front.HostProcess, address: str, request: bytes
) -> tuple[float, float, float]:
    """Sends one request after another on each of `CALLERS` connections.

    Returns:
        Requests a second, and user and all processor time of the host for each
        request in microseconds.
    """
    counts: list[int] = []
    ends_at = time.monotonic() + LOAD_SECONDS

    def send_requests() -> None:
        count = 0
        with _raw.Connection(address) as connection:
            while time.monotonic() < ends_at:
                connection.send(request)
                answer = connection.read_answer()
                if answer.status != 200:
                    raise AssertionError(f"{answer.status} {answer.body!r}")
                count += 1
        counts.append(count)

    before = cpu_seconds(host.process.pid)
    started_at = time.monotonic()
    threads = [threading.Thread(target=send_requests) for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    seconds = time.monotonic() - started_at
    after = cpu_seconds(host.process.pid)
    if len(counts) < CALLERS:
        raise AssertionError("a caller failed")
    user, system = (b - a for a, b in zip(before, after, strict=True))
    total = sum(counts)
    return total / seconds, 1e6 * user / total, 1e6 * (user + system) / total


def measure_stop(host: _front.HostProcess, connections: int) -> float:
    """Returns the seconds from SIGTERM to the exit.

    Args:
        host: The host.
        connections: Number of kept connections, each of which sent a request.
    """
    with contextlib.ExitStack() as stack:
        for _ in range(connections):
            connection = stack.enter_context(_raw.Connection(host.address))
            connection.send(_front.request_bytes("/read/1"))
            connection.read_answer()
        time.sleep(IDLE_SECONDS)
        descriptor = os.pidfd_open(host.process.pid)
        stack.callback(os.close, descriptor)
        started_at = time.monotonic()
        host.process.terminate()
        ended, _, _ = select.select(
            [descriptor], [], [], 2 * _front.GRACE_SECONDS
        )
        if not ended:
            raise AssertionError("the host did not end")
        return time.monotonic() - started_at


def measure(name: str, root: pathlib.Path) -> None:
    """Measures one build once."""
    with contextlib.ExitStack() as stack:
        system = _front.System(stack, HOSTS, UPSTREAMS, root=root)
        for upstream in system.upstreams:
            upstream.RequestHandlerClass.disable_nagle_algorithm = True
        host = system.hosts[0]
        query = urllib.parse.urlencode(
            {"name": _front.HOST_HEADER, "region": "north", "zone": "north-a"}
        )
        for label, address, request in (
            (
                "look-ups",
                host.directory_address,
                _raw.head("GET", f"/-/resolve?{query}"),
            ),
            ("requests", host.address, _front.request_bytes("/read/1")),
        ):
            rate, user, total = measure_load(host, address, request)
            sys.stdout.write(
                f"{name} {label}_s={rate:.0f} user_us={user:.0f}"
                f" cpu_us={total:.0f}\n"
            )
        idle = measure_stop(system.hosts[1], 0)
        kept = measure_stop(system.hosts[2], IDLE_CONNECTIONS)
        sys.stdout.write(
            f"{name} stop_idle={idle:.3f}"
            f" stop_{IDLE_CONNECTIONS}_kept={kept:.3f}"
            f" load_average={os.getloadavg()[0]:.1f}\n"
        )
        sys.stdout.flush()


def main() -> None:
    """Measures the given commits and the working tree in turn."""
    with tempfile.TemporaryDirectory() as directory:
        builds = {}
        for commit in sys.argv[1:]:
            root = builds[commit] = pathlib.Path(directory, commit)
            root.mkdir()
            if not test_upgrade.unpack_build(commit, root):
                raise SystemExit(f"{commit} is not in the history")
        builds["working-tree"] = _common.ROOT
        for _ in range(ROUNDS):
            for name, root in builds.items():
                measure(name, root)


if __name__ == "__main__":
    main()
