"""Runs `test._slow_soak` with further seeds and prints what each showed.

Usage: python -m bench.slow_callers FIRST_SEED COUNT [HOSTS [COMMIT]]. The hosts
are those of the commit, or of the working tree.
"""

import contextlib
import pathlib
import sys
import tempfile

from test import _common
from test import _slow_soak
from test import test_upgrade


def main() -> None:
    """Runs the seeds; the exit code is 1 if a condition was violated."""
    first_seed, count, *more = sys.argv[1:]
    hosts = int(more[0]) if more else 6
    violated = False
    with contextlib.ExitStack() as stack:
        root = _common.ROOT
        if more[1:]:
            root = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            if not test_upgrade.unpack_build(more[1], root):
                raise SystemExit(f"{more[1]} is not in the history")
        for seed in range(int(first_seed), int(first_seed) + int(count)):
            result = _slow_soak.run(seed, hosts, root=root)
            violated = violated or any(result[:2])
            counts = " ".join(f"{k}={v}" for k, v in result.counts.items())
            sys.stdout.write(
                f"seed={seed} violations={len(result.violations)}"
                f" late_stops={len(result.late_stops)} {counts}\n"
            )
            for violation in result.violations[:10]:
                sys.stdout.write(f"  {violation}\n")
            sys.stdout.flush()
    raise SystemExit(int(violated))


if __name__ == "__main__":
    main()
