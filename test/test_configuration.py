"""Tests that a configuration is active within 9 s and never reverts.

A configuration that is invalid or incomplete must never become active.
"""

import copy
import itertools
import json
import subprocess
import sys
import time
import unittest

from test import _common
from test import _deployments
from test import _probe

# Required limit from acceptance until all hosts use a version.
ACTIVATION_BOUND_SECONDS = 9.0
CONFIG_PATH = "/-/objects/steeringobjects/config"
CONFLICT_EXIT_CODE = 3
# Requests that each of two hosts gets after they have the same objects; sending
# them takes longer than several heartbeats.
MIN_SAMPLES_AFTER_SYNC = 100
# Delay of watch events; longer than a host needs to find a version in a list.
WATCH_DELAY_SECONDS = 1.5


def marker_path(number):
    """Returns the path of the route that only one version declares."""
    return f"/marker-{number}"


class ConfigurationTest(unittest.TestCase):
    """Applies versions during faults and checks which one each host uses.

    Only version N declares the route `/marker-N`, so the answers of a host show
    which version it uses. Every host gets requests for all markers of the test
    without pause; after a newer version it must not serve an older one.
    """

    @classmethod
    def setUpClass(cls):
        cls.deployment = cls.enterClassContext(
            _deployments.deployment(3, 3, 9, proxied=True)
        )
        _deployments.wait_serving(cls.deployment)
        cls.host_names = list(cls.deployment.host_specs)
        cls.number = 0

    def setUp(self):
        self.addCleanup(_probe.remove_faults, self.deployment)
        self.markers = []
        self.prober = self.enterContext(
            _probe.Prober(self.deployment, self.deployment.keys["ada"], ())
        )
        self.write_next()
        self.prober.wait_accepted(self.markers[-1])

    def next_declaration(self):
        """Returns the next declaration; requests for its marker start now."""
        type(self).number += 1
        document = copy.deepcopy(self.deployment.declarations)
        path = marker_path(self.number)
        document["routes"].append({**document["routes"][0], "path": path})
        self.markers.append(path)
        self.prober.paths = tuple(self.markers)
        return document

    def write_next(self):
        """Writes the next version.

        Returns:
            Monotonic time just before the write, so not after its acceptance.
        """
        document = self.next_declaration()
        accepted_at = time.monotonic()
        spec = {"id": "test", "declarations": document}
        self.deployment.put("steeringobjects", "config", spec)
        return accepted_at

    def check_never_reverts(self):
        """Checks that no host served an older version after a newer one."""
        for host in self.host_names:
            served = [
                self.markers.index(sample.path)
                for sample in self.prober.samples_since(host, 0)
                if sample.admitted
            ]
            reverted = [
                (earlier, later)
                for earlier, later in itertools.pairwise(served)
                if later < earlier
            ]
            self.assertEqual(reverted, [], host)

    def check_activation(self, accepted_at):
        """Checks the activation of the newest version, and ends the fault.

        Checks the time limit during and after the fault, and then that no host
        reverted to an older version.
        """
        for path in self.markers[:-1]:
            self.prober.wait_refused(path)
        self.check_activation_bound(accepted_at)
        _probe.remove_faults(self.deployment)
        self.prober.wait_accepted(self.markers[-1])
        self.check_activation_bound(accepted_at)
        self.check_never_reverts()

    def check_activation_bound(self, accepted_at):
        last_admitted_at = [
            self.prober.last_admitted(path) for path in self.markers[:-1]
        ]
        self.assertLess(
            max(last_admitted_at) - accepted_at, ACTIVATION_BOUND_SECONDS
        )

    def restart(self, host):
        self.deployment.hosts[host].kill()
        self.deployment.start_host(host)
        self.deployment.wait_host_ready(host)

    def test_host_cut_off_from_platform(self):
        _probe.cut_from_platform(self.deployment, self.host_names[0])
        self.check_activation(self.write_next())

    def test_host_cut_off_from_peers(self):
        _probe.cut_from_peers(self.deployment, self.host_names[0])
        self.check_activation(self.write_next())

    def test_host_cut_off_from_both(self):
        _probe.cut_from_platform(self.deployment, self.host_names[0])
        _probe.cut_from_peers(self.deployment, self.host_names[0])
        self.check_activation(self.write_next())

    def test_late_duplicated_and_reordered_watch_events(self):
        self.deployment.control(
            watch_late_ms=1000 * WATCH_DELAY_SECONDS,
            watch_twice=True,
            watch_shuffled=True,
        )
        for _ in range(3):
            accepted_at = self.write_next()
        self.wait_probed_after(accepted_at + WATCH_DELAY_SECONDS + 1.5)
        self.check_activation(accepted_at)

    def wait_probed_after(self, instant):
        """Waits until each host got a request after a monotonic time."""
        for host in self.host_names:
            _common.wait_until(
                lambda host=host: self.prober.samples_since(host, instant)
            )

    def test_missing_watch_events(self):
        self.deployment.control(watch_late_ms=60_000)
        self.check_activation(self.write_next())

    def test_stale_reads(self):
        self.deployment.control(stale_reads=True)
        self.check_activation(self.write_next())

    def test_stale_full_list(self):
        """Hosts that list all objects again from a stale state do not revert.

        They list again because the platform deletes its history of changes.
        """
        self.deployment.control(stale_reads=True)
        self.write_next()
        self.prober.wait_accepted(self.markers[-1])
        self.deployment.control(watch_late_ms=60_000)
        lists = self.deployment.control()["calls"]["steeringobjects list"]
        self.deployment.put("steeringobjects", "drains", {"drains": {}})
        self.deployment.control(compact=True)
        self.deployment.set_rules("*>platform:*", reset=True)
        _common.wait_until(
            lambda: (
                self.deployment.control()["calls"]["steeringobjects list"]
                >= lists + len(self.host_names)
            )
        )
        self.wait_probed_after(time.monotonic() + 1.0)
        self.prober.wait_accepted(self.markers[-1])
        self.check_never_reverts()

    def test_delayed_lists(self):
        self.deployment.control(list_lag_ms=8000)
        self.deployment.write_lists()
        self.check_activation(self.write_next())

    def test_stale_reads_at_a_start(self):
        """A restarted host reads an older version from the platform first."""
        host = self.host_names[0]
        self.deployment.control(stale_reads=True)
        self.write_next()
        self.prober.wait_accepted(self.markers[-1])
        self.deployment.control(watch_late_ms=60_000)
        self.deployment.set_rules(
            f"{host}>peer:*", f"*>peer:{host}", delay_ms=100
        )
        self.restart(host)
        self.prober.wait_accepted(self.markers[-1])
        self.check_never_reverts()

    def test_restart_in_an_outage(self):
        host = self.host_names[0]
        self.write_next()
        self.prober.wait_accepted(self.markers[-1])
        self.deployment.control(outage="hang")
        self.restart(host)
        self.prober.wait_accepted(self.markers[-1])
        self.check_never_reverts()

    def test_restart_in_an_outage_beside_a_stale_host(self):
        """Two of three hosts served the newest version; one of them restarts.

        In the outage it can reach only the third host, which is stale. Neither
        may serve the older version.
        """
        stale_host, newest_host, host = self.host_names
        _probe.cut_from_platform(self.deployment, stale_host)
        _probe.cut_from_peers(self.deployment, stale_host)
        self.write_next()
        self.prober.wait_accepted(self.markers[-1], (newest_host, host))
        self.prober.wait_refused(self.markers[-2])
        self.deployment.control(outage="refuse")
        _probe.cut_from_peers(self.deployment, newest_host)
        self.restart(host)
        for first, second in ((stale_host, host), (host, stale_host)):
            self.deployment.set_rules(f"{first}>peer:{second}", blackhole="")
        self.wait_same_versions(stale_host, host)
        self.prober.wait_refused(self.markers[-2], (stale_host, host))
        self.check_never_reverts()
        _probe.remove_faults(self.deployment)
        self.deployment.set_rules(
            f"{stale_host}>peer:{host}", f"{host}>peer:{stale_host}"
        )
        self.prober.wait_accepted(self.markers[-1])
        self.check_never_reverts()

    def wait_same_versions(self, first, second):
        """Waits until two hosts have the same objects, then some heartbeats."""

        def versions(host):
            url = self.deployment.hosts[host].url("/v1/status", "operator")
            token = self.deployment.operator_token
            return _common.request("GET", url, key=token).json()["versions"]

        _common.wait_until(lambda: versions(first) == versions(second) != {})
        started_at = time.monotonic()
        for host in (first, second):
            _common.wait_until(
                lambda host=host: (
                    len(self.prober.samples_since(host, started_at))
                    > MIN_SAMPLES_AFTER_SYNC
                )
            )

    def test_a_malformed_declaration_is_never_active(self):
        last_good = len(self.markers) - 1
        document = self.next_declaration()
        incomplete = {
            key: document[key] for key in ("regions", "routes", "accounts")
        }
        invalid = self.next_declaration()
        invalid["routes"][-1]["service"] = "missing"
        for declared in (incomplete, invalid, None):
            spec = {"id": "test", "declarations": declared}
            self.deployment.put("steeringobjects", "config", spec)
            self.wait_reported_malformed()
            self.prober.wait_accepted(self.markers[last_good])
        bad_paths = self.markers[last_good + 1 :]
        self.write_next()
        self.prober.wait_accepted(self.markers[-1])
        for path in bad_paths:
            self.assertEqual(_probe.run_starts(self.deployment, path), [])

    def wait_reported_malformed(self):
        """Waits until every host reports the newest object as malformed."""
        version = self.deployment.control()["version"]

        def is_reported(host):
            url = self.deployment.hosts[host].url("/v1/status", "operator")
            token = self.deployment.operator_token
            status = _common.request("GET", url, key=token).json()
            return status["malformed"].get("steeringobjects/config") == version

        for host in self.host_names:
            _common.wait_until(lambda host=host: is_reported(host))

    def start_apply(self, *options):
        """Starts the `apply` command with the next declaration."""
        path = self.deployment.directory / f"{len(self.markers)}.yaml"
        path.write_text(json.dumps(self.next_declaration()), encoding="utf-8")
        operators = [
            word
            for host in self.host_names
            for word in (
                "--operator",
                self.deployment.hosts[host].address("operator"),
            )
        ]
        return subprocess.Popen(
            [
                *(sys.executable, "-m", "gooseberryweir", "apply", str(path)),
                *("--platform", self.deployment.platform_url),
                *("--token", self.deployment.operator_token),
                *operators,
                *options,
            ],
            cwd=_common.ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def newest_version(self):
        """Returns the version of the configuration in the platform."""
        url = self.deployment.platform.url(CONFIG_PATH)
        found = _common.fetch_json(url)
        return int(found["metadata"]["revision"])

    def race_to_apply(self):
        """Runs two `apply` commands at once.

        Returns:
            Exit code, output and errors of each command.
        """
        expected = ("--expect-version", str(self.newest_version()))
        self.deployment.control(delay_ms=200)
        processes = [self.start_apply(*expected), self.start_apply(*expected)]
        results = []
        for process in processes:
            output, errors = process.communicate(timeout=60)
            results.append((process.returncode, output, errors))
        return results

    def check_one_apply_wins(self):
        results = self.race_to_apply()
        exit_codes = [each[0] for each in results]
        self.assertEqual(sorted(exit_codes), [0, CONFLICT_EXIT_CODE], results)
        winner = exit_codes.index(0)
        version = str(self.newest_version())
        self.assertIn(f"accepted as version {version}", results[winner][1])
        self.assertIn(f"version {version}", results[1 - winner][2])
        paths = self.markers[-2:]
        self.prober.wait_accepted(paths[winner])
        self.assertEqual(
            _probe.run_starts(self.deployment, paths[1 - winner]), []
        )

    def test_one_of_two_racing_operators_wins(self):
        self.check_one_apply_wins()

    def test_one_of_two_racing_operators_wins_if_answers_are_lost(self):
        self.deployment.control(lose_answers=1)
        self.check_one_apply_wins()

    def test_apply_succeeds_if_the_answer_to_its_write_is_lost(self):
        before = self.deployment.control()["version"]
        self.deployment.control(lose_answers=1)
        output, errors = self.start_apply().communicate(timeout=60)
        self.assertIn(f"accepted as version {before + 1}", output, errors)
        self.assertEqual(self.newest_version(), before + 1)
        self.prober.wait_accepted(self.markers[-1])
        self.check_never_reverts()


if __name__ == "__main__":
    unittest.main()
