"""Runs all tests with nose2 and prints the numbers that passed and failed.

A test listed in KNOWN-RED.txt may fail without failing the run; its name is
printed.
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

# Begins the line of a test that failed and is not listed.
FAILED = "failed: "
SUMMARY_LINE = re.compile(r"([0-9]+) passed, ([0-9]+) failed")
# Tests with real processes mostly wait, so a few modules run in parallel.
PARALLEL_MODULES = 3
# The slowest modules, which start first.
SLOW_MODULES = [
    "test_front_faults",
    "test_front_stops",
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


class OutcomeCollector(events.Plugin):
    """Collects the outcome of each test.

    Attributes:
        passed: Identifiers of tests that passed.
        failed: Identifiers of tests that failed, also in a subtest.
    """

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


def known_failures() -> set[str]:
    """Returns the identifiers of the tests listed in KNOWN-RED.txt."""
    lines = _KNOWN_RED.read_text().splitlines() if _KNOWN_RED.exists() else []
    return {
        line.split(":", 1)[1].strip()
        for line in lines
        if line.startswith("test:")
    }


def run_in_process(names: list[str]) -> int:
    """Runs the named tests in this process and returns the exit code."""
    nose2.discover(
        exit=False,
        argv=["nose2", "-v", "-s", ".", "-t", ".", *names],
        plugins=["test.report"],
    )
    known = known_failures()
    for name in sorted(OutcomeCollector.failed & known):
        print(f"known red: {name}")
    for name in sorted(known & OutcomeCollector.passed):
        print(f"listed in KNOWN-RED.txt but passed: {name}")
    unexpected = OutcomeCollector.failed - known
    for name in sorted(unexpected):
        print(f"{FAILED}{name}")
    passed = OutcomeCollector.passed - OutcomeCollector.failed
    print(f"{len(passed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or not OutcomeCollector.passed else 0


def run_in_subprocess(name: str) -> tuple[int, list[str]]:
    """Runs one module in a process of its own.

    Returns:
        Number of passed tests, and the names of the failed ones.
    """
    completed = subprocess.run(
        [sys.executable, "-m", "test.report", name],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    lines = completed.stdout.rstrip().splitlines()
    if lines and SUMMARY_LINE.fullmatch(lines[-1]):
        # Only the whole run ends with a summary.
        lines.pop()
    print("\n".join(lines), flush=True)
    return outcome(name, completed.stdout, completed.returncode)


def outcome(name: str, output: str, exit_code: int) -> tuple[int, list[str]]:
    """Returns what the output of a module's process says.

    Args:
        name: Name of the module.
        output: What the process printed; its last line is the summary.
        exit_code: Exit code of the process, negative for a signal.

    Returns:
        Number of passed tests, and the names of the failed ones; the module
        itself if its process failed without a failed test.
    """
    lines = output.rstrip().splitlines()
    summary = SUMMARY_LINE.fullmatch(lines[-1]) if lines else None
    failed = [
        line.removeprefix(FAILED) for line in lines if line.startswith(FAILED)
    ]
    if not failed and (summary is None or exit_code != 0):
        failed = [f"{name}, exit code {exit_code}"]
    return int(summary[1]) if summary else 0, failed


def run_all() -> int:
    """Runs every module, a few in parallel, and returns the exit code."""
    folder = pathlib.Path(__file__).parent
    names = sorted(
        (path.stem for path in folder.glob("test_*.py")),
        key=lambda stem: (
            SLOW_MODULES.index(stem)
            if stem in SLOW_MODULES
            else len(SLOW_MODULES),
            stem,
        ),
    )
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_MODULES) as pool:
        counts = list(pool.map(run_in_subprocess, [f"test.{n}" for n in names]))
    passed = sum(count for count, _ in counts)
    failed = [name for _, names in counts for name in names]
    for name in failed:
        print(f"{FAILED}{name}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


def main() -> int:
    """Runs the tests named as arguments, or all; returns the exit code."""
    return run_in_process(sys.argv[1:]) if sys.argv[1:] else run_all()


if __name__ == "__main__":
    from test import report

    sys.exit(report.main())
