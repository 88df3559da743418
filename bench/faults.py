"""Runs the test under random faults for many seeds.

Usage: python -m bench.faults FIRST_SEED COUNT. Prints one line per seed with
the number of violations, the counts of `_faults.count_records` and the duration
in seconds. If there are violations, prints them, the injected faults and the
directory of the logs.
"""

import sys
import time

from test import _faults


def main(first_seed: int, count: int) -> int:
    """Runs the test with consecutive seeds; returns how many failed.

    A seed fails if it has violations or its run can't be completed.
    """
    failed = 0
    for seed in range(first_seed, first_seed + count):
        started_at = time.monotonic()
        try:
            result = _faults.run(seed)
        except AssertionError as error:
            print(f"seed={seed} not run: {error}", flush=True)
            failed += 1
            continue
        counts = " ".join(f"{k}={v}" for k, v in result.counts.items())
        print(
            f"seed={seed} violations={len(result.violations)} {counts}"
            f" seconds={time.monotonic() - started_at:.0f}",
            flush=True,
        )
        for violation in result.violations:
            print(f"  {violation}", flush=True)
        if result.violations:
            faults = [f"{s.kind}({s.target})" for s in result.spans]
            print(f"  faults: {' '.join(faults)}", flush=True)
            print(f"  logs: {result.directory}", flush=True)
        failed += bool(result.violations)
    return failed


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]))))
