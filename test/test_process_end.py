"""Test of the end of a host's process."""

import subprocess
import sys
import unittest

from test import _common

# Runs `front.main` with a host that stops at once, and clean-up of the
# interpreter that can be seen.
_PROGRAM = """
import atexit
from gooseberryweir import front
atexit.register(print, "clean-up")
front.run = lambda environ: print("host-stopped", flush=True)
front.main()
"""


class ProcessEndTest(unittest.TestCase):
    """A host whose requests have ended."""

    # Guards against a host that is killed at the end of its grace period: the
    # interpreter's own clean-up took longer than what was left of it.
    def test_process_ends_without_clean_up_of_the_interpreter(self):
        result = subprocess.run(
            [sys.executable, "-c", _PROGRAM],
            cwd=_common.ROOT,
            capture_output=True,
            check=False,
            text=True,
        )
        self.assertEqual(
            (result.returncode, result.stdout), (0, "host-stopped\n")
        )


if __name__ == "__main__":
    unittest.main()
