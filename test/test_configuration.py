"""Configuration: in force within 9 s, never reverting, whole or not at all."""

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

# The users' bound from acceptance to in force everywhere, seconds.
BOUND_SECONDS = 9.0
CONFIG = "/-/objects/steeringobjects/config"
CONFLICT_EXIT = 3
# Requests to each of two hosts, long enough for several of their heartbeats.
SAMPLES_OF_A_PAIR = 100
# Delay of watch events, longer than it takes to find the newest otherwise.
LATE_SECONDS = 1.5


def marker(number):
    """Returns the path that only one version of the declarations has."""
    return f"/marker-{number}"


class ConfigurationTest(unittest.TestCase):
    """Version N alone has the route `/marker-N`, so callers see who serves it.

    Every host is asked for all markers of its case without pause, and the
    order of what it served is checked against a return to an older version.
    """

    @classmethod
    def setUpClass(cls):
        cls.running = cls.enterClassContext(
            _deployments.deployment(3, 3, 9, proxied=True)
        )
        _deployments.wait_serving(cls.running)
        cls.names = list(cls.running.host_specs)
        cls.number = 0

    def setUp(self):
        self.addCleanup(_probe.remove_faults, self.running)
        self.markers = []
        self.prober = self.enterContext(
            _probe.Prober(self.running, self.running.keys["ada"], ())
        )
        self.put()
        self.prober.wait_accepted(self.markers[-1])

    def declare(self):
        """Returns the next declaration; the prober asks for its marker too."""
        type(self).number += 1
        document = copy.deepcopy(self.running.declarations)
        path = marker(self.number)
        document["routes"].append({**document["routes"][0], "path": path})
        self.markers.append(path)
        self.prober.paths = tuple(self.markers)
        return document

    def put(self):
        """Has the platform accept the next version; returns when, at most."""
        document = self.declare()
        accepted_at = time.monotonic()
        spec = {"id": "test", "declarations": document}
        self.running.put("steeringobjects", "config", spec)
        return accepted_at

    def check_never_reverts(self):
        """Checks that no host served an older version after a newer one."""
        for host in self.names:
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

    def check(self, accepted_at):
        """Checks the bound under the fault and the order also after it."""
        for path in self.markers[:-1]:
            self.prober.wait_refused(path)
        self.check_bound(accepted_at)
        _probe.remove_faults(self.running)
        self.prober.wait_accepted(self.markers[-1])
        self.check_bound(accepted_at)
        self.check_never_reverts()

    def check_bound(self, accepted_at):
        older = [self.prober.last_admitted(p) for p in self.markers[:-1]]
        self.assertLess(max(older) - accepted_at, BOUND_SECONDS)

    def restart(self, host):
        self.running.hosts[host].kill()
        self.running.start_host(host)
        self.running.wait_host_ready(host)

    def test_host_cut_off_from_platform(self):
        _probe.cut_from_platform(self.running, self.names[0])
        self.check(self.put())

    def test_host_cut_off_from_peers(self):
        _probe.cut_from_peers(self.running, self.names[0])
        self.check(self.put())

    def test_host_cut_off_from_both(self):
        _probe.cut_from_platform(self.running, self.names[0])
        _probe.cut_from_peers(self.running, self.names[0])
        self.check(self.put())

    def test_watch_late_twice_and_shuffled(self):
        self.running.control(
            watch_late_ms=1000 * LATE_SECONDS,
            watch_twice=True,
            watch_shuffled=True,
        )
        for _ in range(3):
            accepted_at = self.put()
        self.sample_until(accepted_at + LATE_SECONDS + 1.5)
        self.check(accepted_at)

    def sample_until(self, instant):
        """Goes on until each host was asked after a monotonic instant."""
        for host in self.names:
            _common.wait_until(
                lambda host=host: self.prober.samples_since(host, instant)
            )

    def test_watch_silent(self):
        self.running.control(watch_late_ms=60_000)
        self.check(self.put())

    def test_old_reads(self):
        self.running.control(stale_reads=True)
        self.check(self.put())

    def test_old_full_list(self):
        """Watches end and their history is gone, so hosts list again."""
        self.running.control(stale_reads=True)
        self.put()
        self.prober.wait_accepted(self.markers[-1])
        self.running.control(watch_late_ms=60_000)
        lists = self.running.control()["calls"]["steeringobjects list"]
        self.running.put("steeringobjects", "drains", {"drains": {}})
        self.running.control(compact=True)
        self.running.set_rules("*>platform:*", reset=True)
        _common.wait_until(
            lambda: (
                self.running.control()["calls"]["steeringobjects list"]
                >= lists + len(self.names)
            )
        )
        self.sample_until(time.monotonic() + 1.0)
        self.prober.wait_accepted(self.markers[-1])
        self.check_never_reverts()

    def test_list_lag(self):
        self.running.control(list_lag_ms=8000)
        self.running.write_lists()
        self.check(self.put())

    def test_old_reads_at_a_start(self):
        """The platform shows the new process an older version first."""
        host = self.names[0]
        self.running.control(stale_reads=True)
        self.put()
        self.prober.wait_accepted(self.markers[-1])
        self.running.control(watch_late_ms=60_000)
        self.running.set_rules(f"{host}>peer:*", f"*>peer:{host}", delay_ms=100)
        self.restart(host)
        self.prober.wait_accepted(self.markers[-1])
        self.check_never_reverts()

    def test_started_again_in_an_outage(self):
        host = self.names[0]
        self.put()
        self.prober.wait_accepted(self.markers[-1])
        self.running.control(outage="hang")
        self.restart(host)
        self.prober.wait_accepted(self.markers[-1])
        self.check_never_reverts()

    def test_started_again_in_an_outage_beside_a_stale_host(self):
        """Two of three served the newest version; one of them starts anew."""
        stale, holder, host = self.names
        _probe.cut_from_platform(self.running, stale)
        _probe.cut_from_peers(self.running, stale)
        self.put()
        self.prober.wait_accepted(self.markers[-1], (holder, host))
        self.prober.wait_refused(self.markers[-2])
        self.running.control(outage="refuse")
        _probe.cut_from_peers(self.running, holder)
        self.restart(host)
        for one, other in ((stale, host), (host, stale)):
            self.running.set_rules(f"{one}>peer:{other}", blackhole="")
        self.wait_acquainted(stale, host)
        self.prober.wait_refused(self.markers[-2], (stale, host))
        self.check_never_reverts()
        _probe.remove_faults(self.running)
        self.running.set_rules(f"{stale}>peer:{host}", f"{host}>peer:{stale}")
        self.prober.wait_accepted(self.markers[-1])
        self.check_never_reverts()

    def wait_acquainted(self, one, other):
        """Waits until two hosts hold the same objects for some heartbeats."""

        def versions(host):
            url = self.running.hosts[host].url("/v1/status", "operator")
            token = self.running.operator_token
            return _common.request("GET", url, key=token).json()["versions"]

        _common.wait_until(lambda: versions(one) == versions(other) != {})
        began = time.monotonic()
        for host in (one, other):
            _common.wait_until(
                lambda host=host: (
                    len(self.prober.samples_since(host, began))
                    > SAMPLES_OF_A_PAIR
                )
            )

    def test_malformed_is_never_in_force(self):
        good = len(self.markers) - 1
        document = self.declare()
        half = {key: document[key] for key in ("regions", "routes", "accounts")}
        wrong = self.declare()
        wrong["routes"][-1]["service"] = "missing"
        for declared in (half, wrong, None):
            spec = {"id": "test", "declarations": declared}
            self.running.put("steeringobjects", "config", spec)
            self.wait_noticed()
            self.prober.wait_accepted(self.markers[good])
        bad = self.markers[good + 1 :]
        self.put()
        self.prober.wait_accepted(self.markers[-1])
        for path in bad:
            self.assertEqual(_probe.run_starts(self.running, path), [])

    def wait_noticed(self):
        """Waits until every host holds the newest object as malformed."""
        version = self.running.control()["version"]

        def noticed(host):
            url = self.running.hosts[host].url("/v1/status", "operator")
            token = self.running.operator_token
            status = _common.request("GET", url, key=token).json()
            return status["malformed"].get("steeringobjects/config") == version

        for host in self.names:
            _common.wait_until(lambda host=host: noticed(host))

    def apply(self, *options):
        """Starts `apply` of the next declaration."""
        path = self.running.directory / f"{len(self.markers)}.yaml"
        path.write_text(json.dumps(self.declare()), encoding="utf-8")
        operators = [
            word
            for host in self.names
            for word in (
                "--operator",
                self.running.hosts[host].address("operator"),
            )
        ]
        return subprocess.Popen(
            [
                *(sys.executable, "-m", "gooseberryweir", "apply", str(path)),
                *("--platform", self.running.platform_url),
                *("--token", self.running.operator_token),
                *operators,
                *options,
            ],
            cwd=_common.ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def newest(self):
        """Returns the version of the configuration in the platform."""
        url = self.running.platform.url(CONFIG)
        found = _common.fetch_json(url)
        return int(found["metadata"]["revision"])

    def race(self):
        """Races two operators; returns (exit code, output, errors) of each."""
        expected = ("--expect-version", str(self.newest()))
        self.running.control(delay_ms=200)
        racers = [self.apply(*expected), self.apply(*expected)]
        results = []
        for racer in racers:
            output, errors = racer.communicate(timeout=60)
            results.append((racer.returncode, output, errors))
        return results

    def check_race(self):
        results = self.race()
        exits = [each[0] for each in results]
        self.assertEqual(sorted(exits), [0, CONFLICT_EXIT], results)
        winner = exits.index(0)
        version = str(self.newest())
        self.assertIn(f"accepted as version {version}", results[winner][1])
        self.assertIn(f"version {version}", results[1 - winner][2])
        paths = self.markers[-2:]
        self.prober.wait_accepted(paths[winner])
        self.assertEqual(_probe.run_starts(self.running, paths[1 - winner]), [])

    def test_of_two_operators_one_wins(self):
        self.check_race()

    def test_of_two_operators_one_wins_although_answers_are_lost(self):
        self.running.control(lose_answers=1)
        self.check_race()

    def test_answer_lost_after_the_write(self):
        before = self.running.control()["version"]
        self.running.control(lose_answers=1)
        output, errors = self.apply().communicate(timeout=60)
        self.assertIn(f"accepted as version {before + 1}", output, errors)
        self.assertEqual(self.newest(), before + 1)
        self.prober.wait_accepted(self.markers[-1])
        self.check_never_reverts()


if __name__ == "__main__":
    unittest.main()
