"""The single-file executable can be built, and serves as one process."""

import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

import yaml

from test import _common

SETTINGS = {
    "host": "alone",
    "region": "north",
    "zone": "north-a",
    "platform": "http://127.0.0.1:9",
    "look_up_seconds": 0.1,
}


def session_members(leader: int) -> list[int]:
    """Returns the ids of the processes in the session of a leader process."""
    members = []
    for path in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(")")[2].split()
        except OSError:
            continue  # The process has just ended.
        if int(fields[3]) == leader:
            members.append(int(path.parent.name))
    return members


class ExecutableTest(unittest.TestCase):
    """Builds the executable and starts it twice; the first start unpacks it."""

    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.directory = pathlib.Path(directory)
        self.settings = self.directory / "host.yaml"
        self.settings.write_text(yaml.safe_dump(SETTINGS))
        self.environment = {
            **os.environ,
            "PYTHON": sys.executable,
            "PEX_ROOT": str(self.directory / "unpacked"),
        }
        self.file = self.directory / "gooseberryweir"
        subprocess.run(
            ["bash", _common.ROOT / "packaging" / "build", self.file],
            check=True,
            env=self.environment,
            stdout=subprocess.DEVNULL,
        )

    def serve(self) -> tuple[int, list[int], str]:
        """Starts a host and stops it once it is ready.

        Returns:
            The process id, the ids of the processes in its session, and the
            contents of its `children` file in /proc.
        """
        with subprocess.Popen(
            [self.file, "serve", "--settings", self.settings],
            cwd=self.directory,
            env=self.environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            start_new_session=True,
        ) as process:
            try:
                assert process.stdout
                self.assertRegex(process.stdout.readline(), r"^ready caller=\d")
                children = pathlib.Path(
                    f"/proc/{process.pid}/task/{process.pid}/children"
                )
                processes = session_members(process.pid), children.read_text()
            finally:
                process.terminate()
            self.assertEqual(process.wait(_common.WAIT_TIMEOUT_SECONDS), 0)
            return process.pid, *processes

    def test_is_one_process_at_the_first_and_at_later_starts(self):
        for _ in ("unpacks", "is already unpacked"):
            process, session, children = self.serve()
            self.assertEqual(session, [process])
            self.assertEqual(children, "")


if __name__ == "__main__":
    unittest.main()
