"""The one-file executable is built, serves, and is one process."""

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


def session_of(identifier: int) -> list[int]:
    """Returns the processes of the session that a process leads."""
    found = []
    for path in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(")")[2].split()
        except OSError:
            continue  # It has just ended.
        if int(fields[3]) == identifier:
            found.append(int(path.parent.name))
    return found


class ExecutableTest(unittest.TestCase):
    """Builds the file once and starts it two times."""

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
        """Serves until ready; returns its id, its session, its children."""
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
                found = session_of(process.pid), children.read_text()
            finally:
                process.terminate()
            self.assertEqual(process.wait(_common.WAIT_TIMEOUT_SECONDS), 0)
            return process.pid, *found

    def test_is_one_process_when_it_unpacks_and_later(self):
        for _ in ("unpacks", "finds itself unpacked"):
            process, session, children = self.serve()
            self.assertEqual(session, [process])
            self.assertEqual(children, "")


if __name__ == "__main__":
    unittest.main()
