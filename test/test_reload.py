"""Tests of SIGHUP, by which the platform announces a changed settings file.

The hosts are real processes.
"""

import contextlib
import os
import pathlib
import signal
import tempfile
import time
import unittest

from test import _common
from test import _front

# Stands in for eventlet until the test lets the import go on.
WAITING_MODULE = """
import os
import sys

directory = os.path.dirname(os.path.dirname(__file__))
with open(os.path.join(directory, "import-gate")) as gate:
    gate.read()
sys.path.remove(directory)
del sys.modules["eventlet"]
import eventlet
"""
SIGNAL_INTERVAL_SECONDS = 0.001


class ReloadTest(unittest.TestCase):
    """Two hosts, one of which gets SIGHUP."""

    def setUp(self):
        stack = self.enterContext(contextlib.ExitStack())
        self.system = _front.System(stack, hosts=2)
        self.host = self.system.hosts[0]
        self.directory = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )

    def stop(self):
        self.host.process.send_signal(signal.SIGTERM)
        self.host.process.wait(_front.GRACE_SECONDS)

    def open_for_host(self, pipe_path):
        """Waits until the host reads a named pipe, and opens it for writing."""

        def open_pipe():
            self.assertIsNone(self.host.process.poll(), "the host has ended")
            with contextlib.suppress(OSError):
                # Fails while nobody reads the pipe.
                return open(
                    os.open(pipe_path, os.O_WRONLY | os.O_NONBLOCK), "w"
                )
            return None

        return _common.wait_until(open_pipe, description="the host reads")

    # Guards against processes that end by themselves: SIGHUP before the host
    # had set its handler ended it.
    def test_one_during_the_start_is_handled_once_the_host_runs(self):
        self.stop()
        path = self.directory / "eventlet" / "__init__.py"
        path.parent.mkdir()
        path.write_text(WAITING_MODULE)
        gate = self.directory / "import-gate"
        os.mkfifo(gate)
        self.host.environment["PYTHONPATH"] = str(self.directory)
        settings_path = self.host.settings_path
        settings = settings_path.read_text()
        settings_path.unlink()
        os.mkfifo(settings_path)
        self.host.start()
        with self.open_for_host(gate):
            self.host.process.send_signal(signal.SIGHUP)
        with self.open_for_host(settings_path) as first_settings:
            changed = self.directory / "changed"
            changed.write_text(settings.replace("revoke=5s", "revoke=4s"))
            changed.replace(settings_path)
            self.host.process.send_signal(signal.SIGHUP)
            first_settings.write(settings)
        _common.wait_until(self.host.ready, description="the host is ready")
        _common.wait_until(
            lambda: self.host.log_lines("event=settings-reloaded")
        )
        (line,) = self.host.log_lines("event=settings-reloaded")
        self.assertIn("changed=bounds", line)

    # Guards against a stop that looks like a crash: SIGHUP ended the process
    # while the interpreter shut down.
    def test_many_during_a_stop_do_not_end_the_host(self):
        self.host.process.send_signal(signal.SIGTERM)
        while self.host.process.poll() is None:
            self.host.process.send_signal(signal.SIGHUP)
            time.sleep(SIGNAL_INTERVAL_SECONDS)
        self.assertEqual(self.host.process.returncode, 0)


if __name__ == "__main__":
    unittest.main()
