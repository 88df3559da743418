"""Runs all tests with nose2 and prints the verdict as one line.

A test named in KNOWN-RED.txt may fail without failing the run; it is printed.
"""

import pathlib
import sys

import nose2
from nose2 import events
from nose2 import result

_KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


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


def main() -> int:
    """Runs the tests named, or all, and returns the exit code."""
    nose2.discover(
        exit=False,
        argv=["nose2", "-v", "-s", ".", "-t", ".", *(sys.argv[1:] or ["test"])],
        plugins=["test.report"],
    )
    red = known_red()
    for name in sorted(Verdict.failed & red):
        print(f"known red: {name}")
    for name in sorted(red & Verdict.passed):
        print(f"listed in KNOWN-RED.txt but passed: {name}")
    decisive = Verdict.failed - red
    print(
        f"{len(Verdict.passed - Verdict.failed)} passed, {len(decisive)} failed"
    )
    return 1 if decisive or not Verdict.passed else 0


if __name__ == "__main__":
    from test import report

    sys.exit(report.main())
