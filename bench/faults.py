"""The random fault schedule over many seeds, one line each.

`python -m bench.faults FIRST COUNT` prints for each seed the number of
violations, what was done, and then the violations.
"""

import sys
import time

from test import _faults


def main(first: int, count: int) -> int:
    """Runs the seeds one after another; returns how many had violations."""
    failed = 0
    for seed in range(first, first + count):
        began = time.monotonic()
        try:
            verdict = _faults.run(seed)
        except AssertionError as error:
            print(f"seed={seed} not run: {error}", flush=True)
            failed += 1
            continue
        done = " ".join(f"{k}={v}" for k, v in verdict.counts.items())
        print(
            f"seed={seed} violations={len(verdict.violations)} {done}"
            f" seconds={time.monotonic() - began:.0f}",
            flush=True,
        )
        for violation in verdict.violations:
            print(f"  {violation}", flush=True)
        if verdict.violations:
            kinds = [f"{s.kind}({s.target})" for s in verdict.spans]
            print(f"  faults: {' '.join(kinds)}", flush=True)
            print(f"  logs: {verdict.directory}", flush=True)
        failed += bool(verdict.violations)
    return failed


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]))))
