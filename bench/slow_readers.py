"""Measures the memory of a host whose callers do not read their answers.

Usage: python -m bench.slow_readers [COMMIT ...]. Without a commit the hosts are
those of the working tree. Prints the resident memory of a host before, and the
largest while callers wait for answers that they do not read.
"""

import contextlib
import pathlib
import socket
import sys
import tempfile
import time

from bench import usage
from test import _common
from test import _front
from test import _slow_caller
from test import test_upgrade

# Number of callers, size of an answer and number of answers that each asks for.
LOADS = ((1_000, 30_000, 1), (1_000, 30_000, 8), (60, 8_000_000, 1))
BUFFER_BYTES = 4096
# Callers that connect at the same time.
BATCH = 50
PAUSE_SECONDS = 0.1
WATCH_SECONDS = 20.0


def connect(address: str, size: int, count: int) -> socket.socket:
    """Returns a caller's connection that has sent its requests."""
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    connection.connect((host, int(port)))
    connection.sendall(_slow_caller.request(0, size, "slow") * count)
    return connection


def measure(
    name: str, root: pathlib.Path, callers: int, size: int, count: int
) -> None:
    """Measures one host of a build."""
    with contextlib.ExitStack() as stack:
        system = _front.System(stack, hosts=1, upstreams=4, root=root)
        host = system.hosts[0]
        before = largest = usage.resident_mb(host.process.pid)
        for number in range(callers):
            stack.enter_context(connect(host.address, size, count))
            if number % BATCH == BATCH - 1:
                time.sleep(PAUSE_SECONDS)
                largest = max(largest, usage.resident_mb(host.process.pid))
        ends_at = time.monotonic() + WATCH_SECONDS
        while time.monotonic() < ends_at:
            time.sleep(PAUSE_SECONDS)
            largest = max(largest, usage.resident_mb(host.process.pid))
        runs = sum(len(each.runs) for each in system.upstreams)
        lines = len(host.log_lines("event=answer-undelivered"))
    sys.stdout.write(
        f"{name}: {callers} callers, {count} answers of {size} bytes each: "
        f"{before:.0f} MB before, {largest:.0f} MB at most, {runs} runs, "
        f"{lines} answer-undelivered lines\n"
    )


def main() -> None:
    """Measures the given commits, or the working tree."""
    for commit in sys.argv[1:] or [""]:
        with tempfile.TemporaryDirectory() as directory:
            root = pathlib.Path(directory) if commit else _common.ROOT
            if commit and not test_upgrade.unpack_build(commit, root):
                sys.stdout.write(f"{commit}: not in the history\n")
                continue
            for load in LOADS:
                measure(commit or "working tree", root, *load)


if __name__ == "__main__":
    main()
