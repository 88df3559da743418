"""Runs all tests with nose2 and prints the verdict as one line.

A test named in KNOWN-RED.txt may fail without failing the run; it is printed.
"""

import concurrent.futures
import pathlib
import re
import subprocess
import sys

import nose2
from nose2 import events
from nose2 import result

_KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"

VERDICT = re.compile(r"([0-9]+) passed, ([0-9]+) failed")
# Modules of real processes mostly wait, so a few run side by side.
SIDE_BY_SIDE = 3
SLOW = [
    "test_front",
    "test_recovery",
    "test_keys",
    "test_crashing",
    "test_regions",
    "test_configuration",
    "test_rates",
    "test_faults",
    "test_at_most_once",
    "test_shutdown",
    "test_bodies",
    "test_caller_interface",
]


class Verdict(events.Plugin):
    """Collects the outcome of each test."""

    alwaysOn = True  # noqa: N815
    configSection = "verdict"  # noqa: N815
    passed: set[str] = set()
    failed: set[str] = set()

    def testOutcome(self, event):  # noqa: N802
        """Records one outcome; called by nose2."""
        failed_subtest = event.outcome == result.SUBTEST and event.exc_info
        if event.outcome in (result.FAIL, result.ERROR) or failed_subtest:
            self.failed.add(event.test.id().split(" ", 1)[0])
        elif event.outcome == result.PASS:
            self.passed.add(event.test.id())


def known_red() -> set[str]:
    """Returns the identifiers of the tests that are known to fail."""
    lines = _KNOWN_RED.read_text().splitlines() if _KNOWN_RED.exists() else []
    return {
        line.split(":", 1)[1].strip()
        for line in lines
        if line.startswith("test:")
    }


def run_here(names: list[str]) -> int:
    """Runs the tests named in this process and returns the exit code."""
    nose2.discover(
        exit=False,
        argv=["nose2", "-v", "-s", ".", "-t", ".", *names],
        plugins=["test.report"],
    )
    red = known_red()
    for name in sorted(Verdict.failed & red):
        print(f"known red: {name}")
    for name in sorted(red & Verdict.passed):
        print(f"listed in KNOWN-RED.txt but passed: {name}")
    decisive = Verdict.failed - red
    passed = Verdict.passed - Verdict.failed
    print(f"{len(passed)} passed, {len(decisive)} failed")
    return 1 if decisive or not Verdict.passed else 0


def run_apart(name: str) -> tuple[int, int]:
    """Runs one module in a process of its own; returns passed and failed."""
    done = subprocess.run(
        [sys.executable, "-m", "test.report", name],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    *lines, last = done.stdout.rstrip().splitlines()
    print("\n".join(lines), flush=True)
    found = VERDICT.fullmatch(last)
    if found is None:
        print(last)
        return 0, 1
    passed, failed = int(found[1]), int(found[2])
    return passed, max(failed, int(done.returncode != 0))


def run_all() -> int:
    """Runs every module, a few side by side, the slowest first."""
    folder = pathlib.Path(__file__).parent
    names = sorted(
        (path.stem for path in folder.glob("test_*.py")),
        key=lambda stem: (
            SLOW.index(stem) if stem in SLOW else len(SLOW),
            stem,
        ),
    )
    with concurrent.futures.ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        verdicts = list(pool.map(run_apart, [f"test.{n}" for n in names]))
    passed = sum(verdict[0] for verdict in verdicts)
    failed = sum(verdict[1] for verdict in verdicts)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


def main() -> int:
    """Runs the tests named, or all, and returns the exit code."""
    return run_here(sys.argv[1:]) if sys.argv[1:] else run_all()


if __name__ == "__main__":
    from test import report

    sys.exit(report.main())
