"""Tests of hosts of earlier builds beside hosts of this one, as processes.

The earlier builds are the last three that users have run. They are taken from
the history of the repository; in a clone without it the tests are skipped.
"""

import contextlib
import io
import itertools
import pathlib
import signal
import subprocess
import tarfile
import tempfile
import threading
import time
import unittest

from test import _common
from test import _front

EARLIER_BUILDS = ("9d4ded2", "89fa984", "106b4a1")
# The last one that knows no era of the store and checks entries less.
BUILD_WITHOUT_ERAS = "9d4ded2"
HOSTS = 4
# Longest allowed time from the acknowledgement of a configuration until it is
# in force on all hosts.
CONFIGURATION_SECONDS = 2.5
# Changes of the configuration that the store loses, and their greatest age.
LOST_CHANGES = 20
LOST_SECONDS = 1.5
EXIT_SECONDS = _front.GRACE_SECONDS + 1.0
REQUEST_INTERVAL_SECONDS = 0.05
# Requests that may fail while one host of four restarts: those that crossed the
# end of their connection.
ALLOWED_FAILURES = 2


def unpack_build(commit, directory):
    """Unpacks the package of a commit; returns False if it is not there."""
    archive = subprocess.run(
        ["git", "archive", commit, "gooseberryweir"],
        cwd=_common.ROOT,
        capture_output=True,
        check=False,
    )
    if archive.returncode:
        return False
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(directory, filter="data")
    return True


class Load:
    """A caller that sends requests to the hosts in turn; a context manager.

    Attributes:
        statuses: Status of each answer, 0 if there was none.
        served: Names of the hosts that served a request.
    """

    def __init__(self, hosts):
        self.hosts = list(hosts)
        self.statuses = []
        self.served = set()
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.call_forever)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.ended.set()
        self.thread.join()

    def call_forever(self):
        for count in itertools.count():
            if self.ended.wait(REQUEST_INTERVAL_SECONDS):
                return
            hosts = list(self.hosts)
            host = hosts[count % len(hosts)]
            status = 0
            with contextlib.suppress(OSError, AssertionError):
                status = _front.call(
                    host.address,
                    "/read/x",
                    request_id=f"load-{count}",
                    Affinity_Key=str(count % 50),
                ).status
            self.statuses.append(status)
            if status == 200:
                self.served.add(host.name)


class UpgradeTest(unittest.TestCase):
    """Four hosts that are replaced one after the other under load."""

    def setUp(self):
        self.stack = self.enterContext(contextlib.ExitStack())
        self.directory = pathlib.Path(
            self.stack.enter_context(tempfile.TemporaryDirectory())
        )

    def start_earlier_build(self, commit):
        if not unpack_build(commit, self.directory):
            self.skipTest(f"the history lacks {commit}")
        self.system = _front.System(
            self.stack, hosts=HOSTS, upstreams=4, root=self.directory
        )

    def replace(self, host, load, root):
        """Stops a host as planned and starts it with another build."""
        load.hosts.remove(host)
        host.process.send_signal(signal.SIGTERM)
        host.process.wait(timeout=EXIT_SECONDS)
        host.root = root
        host.start()
        _common.wait_until(host.ready, description=f"{host.name} is ready")
        load.hosts.append(host)

    def assert_change_in_force(self, version, keys):
        """Checks that a change of the keys is in force on each host in time."""
        self.system.store.put(
            "config",
            "main",
            _front.configuration(version, tenants={"t1": {"apiKeys": keys}}),
        )
        time.sleep(CONFIGURATION_SECONDS)
        for host in self.system.hosts:
            statuses = [
                _front.call(host.address, "/read/x", key=key).status
                for key in ("k1", "k2", "k3")
            ]
            expected = [
                200 if key in keys else 401 for key in ("k1", "k2", "k3")
            ]
            self.assertEqual(statuses, expected, host.name)

    def check_upgrade(self, commit):
        self.start_earlier_build(commit)
        with Load(self.system.hosts) as load:
            for host in self.system.hosts[: HOSTS // 2]:
                self.replace(host, load, _common.ROOT)
            # Hosts of both builds are in service.
            self.assert_change_in_force(2, ["k1", "k3"])
            leaving = self.system.upstreams[0]
            leaving.state = "draining"
            self.system.store.put("servers", leaving.name, leaving.entry())
            time.sleep(_front.DRAIN_SECONDS)
            runs = len(leaving.runs)
            time.sleep(1.0)
            self.assertEqual(len(leaving.runs), runs)
            for host in self.system.hosts[HOSTS // 2 :]:
                self.replace(host, load, _common.ROOT)
            # One host goes back to the earlier build.
            self.replace(self.system.hosts[0], load, self.directory)
            self.assert_change_in_force(3, ["k1", "k2"])
            load.served.clear()
            time.sleep(1.0)
        failed = [each for each in load.statuses if each != 200]
        self.assertLessEqual(len(failed), ALLOWED_FAILURES, failed)
        self.assertEqual(len(load.served), HOSTS)
        rejected = [
            line
            for host in self.system.hosts
            for line in host.log_lines("event=knowledge-rejected")
        ]
        self.assertEqual(rejected, [])

    def test_hosts_of_the_build_before_last_but_one_are_replaced(self):
        self.check_upgrade(EARLIER_BUILDS[0])

    def test_hosts_of_the_build_before_last_are_replaced(self):
        self.check_upgrade(EARLIER_BUILDS[1])

    def test_hosts_of_the_last_build_are_replaced(self):
        self.check_upgrade(EARLIER_BUILDS[2])

    # Guards against hosts that take the word of earlier builds, which do not
    # notice that the store has returned from an older copy.
    def test_hosts_of_this_build_follow_the_store_after_a_return(self):
        self.start_earlier_build(BUILD_WITHOUT_ERAS)
        store = self.system.store
        with Load(self.system.hosts) as load:
            for host in self.system.hosts[: HOSTS // 2]:
                self.replace(host, load, _common.ROOT)
            for number in range(LOST_CHANGES):
                store.put("config", "main", _front.configuration(number + 2))
            time.sleep(1.0)
            store.control(store.port_names[0], return_from_copy=LOST_SECONDS)
            store.put(
                "config",
                "main",
                _front.configuration(
                    LOST_CHANGES + 2, tenants={"t1": {"apiKeys": ["k1"]}}
                ),
            )
            time.sleep(_front.KEY_REVOCATION_SECONDS)
            for host in self.system.hosts[: HOSTS // 2]:
                answer = _front.call(host.address, "/read/x", key="k2")
                self.assertEqual(answer.status, 401, host.name)
            # Hosts of the earlier build follow as soon as they are replaced.
            for host in self.system.hosts[HOSTS // 2 :]:
                self.replace(host, load, _common.ROOT)
                answer = _front.call(host.address, "/read/x", key="k2")
                self.assertEqual(answer.status, 401, host.name)


if __name__ == "__main__":
    unittest.main()
