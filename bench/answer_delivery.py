"""Counts answers that callers do not receive whole when a host stops.

Usage: python -m bench.answer_delivery [COMMIT ...]. Without a commit the hosts
are those of the working tree. For each time from SIGTERM to the answers and
each trip, slow callers of one host wait for an answer and send on meanwhile, as
in `test.test_answer_delivery`. Prints the answers cut off and how many could be
read before the host has to end.
"""

import concurrent.futures
import contextlib
import itertools
import math
import pathlib
import sys
import tempfile
import time

from gooseberryweir import front
from test import _common
from test import _front
from test import _slow_caller
from test import test_answer_delivery
from test import test_upgrade

ANSWER_SECONDS = (2.6, 3.0, 3.5, 4.0, 4.5, 5.0, 5.5)
TRIP_SECONDS = (0.0, 0.01, 0.043, 0.1, 0.2)
BODY_BYTES = 30_000
READ_BYTES = 8192
BUFFER_BYTES = 4096
CALLERS = 8
HOSTS = 3
# An answer that needs longer than the grace period less this is left out.
MARGIN_SECONDS = front.SHUTDOWN_MARGIN_SECONDS + 0.1
IDLE_SECONDS = 2.0


def run_trial(
    host: _front.HostProcess, answer_seconds: float, trip_seconds: float
) -> int:
    """Stops a host with slow callers and starts it again.

    Returns:
        The number of answers cut off.
    """
    pace = _slow_caller.Pace(
        READ_BYTES, trip_seconds, BUFFER_BYTES, 2 * trip_seconds
    )
    callers = test_answer_delivery.stop_with_slow_callers(
        host, answer_seconds, BODY_BYTES, pace, CALLERS
    )
    host.process.wait(timeout=_front.GRACE_SECONDS)
    host.start()
    _common.wait_until(host.ready, description=f"{host.name} is ready")
    return sum(each.end != "whole" for each in callers)


def measure_calm_stop(host: _front.HostProcess) -> float:
    """Returns the seconds from SIGTERM to the exit of an idle host."""
    time.sleep(IDLE_SECONDS)
    started_at = time.monotonic()
    host.process.terminate()
    host.process.wait(timeout=_front.GRACE_SECONDS)
    return time.monotonic() - started_at


def measure(name: str, root: pathlib.Path) -> None:
    """Runs all trials with one build, on three hosts at a time."""
    with contextlib.ExitStack() as stack:
        system = _front.System(stack, hosts=HOSTS, root=root)
        pool = stack.enter_context(concurrent.futures.ThreadPoolExecutor(HOSTS))
        cells = list(itertools.product(ANSWER_SECONDS, TRIP_SECONDS))

        def run_cells(index: int) -> dict[tuple[float, float], int]:
            return {
                cell: run_trial(system.hosts[index], *cell)
                for cell in cells[index::HOSTS]
            }

        cut: dict[tuple[float, float], int] = {}
        for part in pool.map(run_cells, range(HOSTS)):
            cut.update(part)
        calm = measure_calm_stop(system.hosts[0])
        cut_lines = sum(
            len(host.log_lines("event=answer-undelivered"))
            for host in system.hosts
        )
    reads = math.ceil(BODY_BYTES / READ_BYTES) + 1
    possible = [
        cell
        for cell in cells
        if cell[0] + reads * cell[1] < _front.GRACE_SECONDS - MARGIN_SECONDS
    ]
    sys.stdout.write(f"{name}: answers cut off, of {CALLERS} each\n")
    for answer_seconds in ANSWER_SECONDS:
        row = "  ".join(
            f"{trip_seconds:g} s: {cut[answer_seconds, trip_seconds]}"
            + ("" if (answer_seconds, trip_seconds) in possible else " (late)")
            for trip_seconds in TRIP_SECONDS
        )
        sys.stdout.write(f"  answered at {answer_seconds:g} s, trip {row}\n")
    sys.stdout.write(
        f"  in all {sum(cut[cell] for cell in possible)} of "
        f"{CALLERS * len(possible)} that could be read in time; "
        f"answer-undelivered lines {cut_lines}; calm stop {calm:.2f} s\n"
    )


def main() -> None:
    """Measures the given commits, or the working tree."""
    for commit in sys.argv[1:] or [""]:
        with tempfile.TemporaryDirectory() as directory:
            root = pathlib.Path(directory) if commit else _common.ROOT
            if commit and not test_upgrade.unpack_build(commit, root):
                sys.stdout.write(f"{commit}: not in the history\n")
                continue
            measure(commit or "working tree", root)


if __name__ == "__main__":
    main()
