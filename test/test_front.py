"""Tests of hosts as real processes, with stand-ins of the platform.

Each test is named after the guarantee that it checks. The time limits are
requirements of the users of this system.
"""

import contextlib
import functools
import json
import signal
import time
import unittest

from gooseberryweir import codes
from test import _common
from test import _front
from test import _raw


class FrontTest(unittest.TestCase):
    """Answers, logs and metrics of three hosts with two upstreams and a store.

    Each host has its own port of the store, so that a test can let the store
    fail for some hosts only.
    """

    def setUp(self):
        self.stack = self.enterContext(contextlib.ExitStack())
        self.system = _front.System(self.stack)
        self.hosts = self.system.hosts

    def test_a_request_is_forwarded_with_the_right_headers(self):
        answer = _front.call(
            self.hosts[0].address,
            "/read/1?q=%20x",
            Tenant_Id="another",
            Connection="X-Hop",
            connection="close, X-Hop2",
            X_Hop="1",
            X_Hop2="1",
            X_Kept="2",
            Affinity_Key="7",
        )
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        (run,) = self.system.runs()
        self.assertEqual(answer.headers["server-stamp"][:2], "i-")
        self.assertEqual((run.request_id, run.path), ("id-1", "/read/1?q=%20x"))
        self.assertEqual(run.headers["tenant-id"], "t1")
        self.assertEqual(run.headers["x-kept"], "2")
        self.assertNotIn("authorization", run.headers)
        self.assertNotIn("x-hop", run.headers)
        self.assertNotIn("x-hop2", run.headers)
        self.assertLessEqual(int(run.headers["deadline-ms"]), 2000)

    def test_a_request_that_is_not_allowed_is_not_run(self):
        address = self.hosts[0].address
        for path, key, status in (
            ("/read/1", "", 401),
            ("/read/1", "k9", 401),
            ("/readx/1", "k1", 404),
            ("/none/1", "k1", 404),
        ):
            self.assertEqual(
                _front.call(address, path, key=key).status, status, path
            )
        self.assertEqual(self.system.runs(), [])
        self.assertEqual(_front.call(address, "/open/1", key="").status, 200)

    def test_a_look_up_returns_the_live_hosts_of_the_region(self):
        def listed_addresses():
            answer = _front.look_up(self.hosts[2], "north", "north-a")
            return set(json.loads(answer.body)["addresses"])

        north = {self.hosts[0].address, self.hosts[1].address}
        _common.wait_until(lambda: listed_addresses() == north)
        self.hosts[0].process.send_signal(signal.SIGKILL)
        _common.wait_until(
            lambda: listed_addresses() == {self.hosts[1].address}
        )
        self.hosts[1].process.send_signal(signal.SIGKILL)
        # If the region has no host, those of other regions are returned.
        _common.wait_until(
            lambda: listed_addresses() == {self.hosts[2].address}
        )

    def test_pipelined_requests_run_concurrently_and_are_answered_in_order(
        self,
    ):
        with _raw.Connection(self.hosts[0].address) as connection:
            connection.send(
                _front.request_bytes("/read/wait", request_id="a"),
                _front.request_bytes("/read/b", request_id="b"),
            )
            _common.wait_until(lambda: len(self.system.runs()) == 2)
            for upstream in self.system.upstreams:
                upstream.release.set()
            answers = [connection.read_answer(), connection.read_answer()]
        self.assertEqual(
            [each.headers["request-id"] for each in answers], ["a", "b"]
        )

    def test_a_caller_that_disconnects_cancels_its_request(self):
        # The request has a long timeout, so that only the caller can end it.
        request = _front.request_bytes("/long/wait", deadline_ms=600_000)
        with _raw.Connection(self.hosts[0].address) as connection:
            connection.send(request)
            _common.wait_until(self.system.runs)
        _common.wait_until(
            lambda: any(u.cancelled.is_set() for u in self.system.upstreams)
        )

    def test_a_request_that_may_have_run_is_not_retried(self):
        answer = _front.call(
            self.hosts[0].address, "/write/break", method="POST", body=b"x"
        )
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(self.system.runs()), 1)

    def test_an_idempotent_request_is_retried_on_another_upstream(self):
        answer = _front.call(self.hosts[0].address, "/read/break")
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(self.system.runs()), 2)
        runs_per_upstream = {len(each.runs) for each in self.system.upstreams}
        self.assertEqual(runs_per_upstream, {1})

    def test_a_request_that_crashes_upstreams_is_refused_by_all_hosts(self):
        def restart(upstream, old_name):
            self.system.store.delete("servers", old_name)
            self.system.store.put("servers", upstream.name, upstream.entry())

        for upstream in self.system.upstreams:
            upstream.on_crash = functools.partial(restart, upstream)
        suspect = str(int(codes.Code.SUSPECT_REQUEST))
        result_codes = []
        for number in range(40):
            host = self.hosts[number % 3]
            answer = _front.call(
                host.address, "/write/crash", method="POST", body=b"x"
            )
            result_codes.append(answer.headers["gooseberryweir-code"])
            if result_codes[-5:] == [suspect] * 5:
                break
            time.sleep(0.2)
        self.assertEqual(result_codes[-5:], [suspect] * 5)
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        crashes = sum(each.crashes for each in self.system.upstreams)
        # Three crashes are the limit; before they know of them, the two other
        # hosts may cause one more each.
        self.assertGreaterEqual(crashes, 3)
        self.assertLessEqual(crashes, 5)
        self.assertTrue(
            any(
                host.log_lines("event=request-suspected") for host in self.hosts
            )
        )
        _common.wait_until(
            lambda: _front.call(self.hosts[0].address, "/read/1").status == 200
        )

    def test_a_request_that_the_upstream_sheds_is_not_run(self):
        answer = _front.call(
            self.hosts[0].address, "/write/shed", method="POST", body=b"x"
        )
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(self.system.runs(), [])

    def test_the_route_timeout_ends_a_request_with_504(self):
        answer = _front.call(
            self.hosts[0].address, "/read/wait", deadline_ms=60000
        )
        self.assertEqual(answer.status, 504)
        self.assertEqual(len(self.system.runs()), 1)

    def test_no_request_runs_at_an_address_reused_by_another_upstream(self):
        for upstream in self.system.upstreams:
            upstream.name = "i-other"
        answer = _front.call(self.hosts[0].address, "/read/1")
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.system.runs(), [])

    def test_a_withdrawn_key_is_refused_even_without_the_store(self):
        # Two of three hosts lose the store when the key is withdrawn.
        store = self.system.store
        store.set_outage("hang", store.port_names[:2])
        new_configuration = _front.configuration(
            2, tenants={"t1": {"apiKeys": ["k2"]}}
        )
        self.system.store.put("config", "main", new_configuration)
        withdrawn_at = time.monotonic()
        while time.monotonic() < withdrawn_at + _front.KEY_REVOCATION_SECONDS:
            time.sleep(0.2)
        for host in self.hosts:
            _front.call(host.address, "/read/late", key="k1")
        runs_after_limit = [
            r for r in self.system.runs() if r.path == "/read/late"
        ]
        self.assertEqual(runs_after_limit, [])
        # The others receive the change from the host that reaches the store.
        for host in self.hosts:
            _common.wait_until(
                lambda host=host: (
                    _front.call(host.address, "/read/1", key="k2").status == 200
                )
            )

    def test_hosts_without_the_store_refuse_authenticated_requests(self):
        store = self.system.store
        store.set_outage("busy", store.port_names)
        for host in self.hosts:
            _common.wait_until(
                lambda host=host: (
                    _front.call(host.address, "/read/1").status == 503
                )
            )
            self.assertEqual(
                _front.call(host.address, "/open/1", key="").status, 200
            )
        runs_before = len(self.system.runs())
        self.assertEqual(
            _front.call(self.hosts[0].address, "/read/1").status, 503
        )
        self.assertEqual(len(self.system.runs()), runs_before)
        store.set_outage("", store.port_names)
        for host in self.hosts:
            _common.wait_until(
                lambda host=host: (
                    _front.call(host.address, "/read/1").status == 200
                )
            )

    def test_a_draining_upstream_gets_no_requests_after_the_time_limit(self):
        draining, ready = self.system.upstreams
        draining.state = "draining"
        self.system.store.put("servers", draining.name, draining.entry())
        drained_at = time.monotonic()
        while time.monotonic() < drained_at + 2 * _front.DRAIN_SECONDS:
            for host in self.hosts:
                _front.call(
                    host.address, "/read/1", Affinity_Key=str(time.time())
                )
        runs_after_limit = [
            run
            for run in draining.runs
            if run.at > drained_at + _front.DRAIN_SECONDS
        ]
        self.assertEqual(runs_after_limit, [])
        self.assertTrue(ready.runs)

    def test_an_evacuated_zone_gets_no_requests_until_the_evacuation_ends(self):
        self.system.store.put("evacuations", "north-a", {})
        for host in self.hosts:
            _common.wait_until(
                lambda host=host: (
                    _front.call(host.address, "/read/1").status == 503
                )
            )
        self.system.store.delete("evacuations", "north-a")
        for host in self.hosts:
            _common.wait_until(
                lambda host=host: (
                    _front.call(host.address, "/read/1").status == 200
                )
            )

    def test_malformed_upstream_entries_are_ignored(self):
        entry = self.system.upstreams[0].entry
        self.system.store.put("servers", "x1", entry(slots="8"))
        self.system.store.put("servers", "x2", entry(state="asleep"))
        self.system.store.put("servers", "x3", [1])
        # The host that polls the store skips them; which host polls depends on
        # their latencies to the store.
        _common.wait_until(
            lambda: any(host.log_lines("object=x3") for host in self.hosts)
        )
        for host in self.hosts:
            for _ in range(20):
                self.assertEqual(
                    _front.call(host.address, "/read/1").status, 200
                )

    def test_a_host_starts_if_the_response_to_its_registration_is_lost(self):
        store = self.system.store
        store.control(store.port_names[0], lose_answers=1)
        self.hosts[0].process.send_signal(signal.SIGKILL)
        self.hosts[0].process.wait()
        self.hosts[0].start()
        _common.wait_until(self.hosts[0].ready)
        self.assertEqual(
            _front.call(self.hosts[0].address, "/read/1").status, 200
        )

    def test_sigterm_lets_open_requests_end_and_exits_in_time(self):
        host = self.hosts[0]
        with _raw.Connection(host.address) as connection:
            connection.send(_front.request_bytes("/read/wait"))
            _common.wait_until(self.system.runs)
            signalled_at = time.monotonic()
            host.process.send_signal(signal.SIGTERM)
            _common.wait_until(lambda: not host.ready())
            for upstream in self.system.upstreams:
                upstream.release.set()
            answer = connection.read_answer()
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        self.assertEqual(answer.headers["connection"], "close")
        self.assertEqual(host.process.wait(_front.GRACE_SECONDS), 0)
        self.assertLess(time.monotonic() - signalled_at, _front.GRACE_SECONDS)
        response = _front.look_up(self.hosts[1], "north", "north-a")
        self.assertNotIn(host.address, json.loads(response.body)["addresses"])

    def test_sighup_says_what_changed_and_cuts_nothing_off(self):
        host = self.hosts[0]
        settings = host.settings_path.read_text()
        with _raw.Connection(host.address) as connection:
            connection.send(_front.request_bytes("/read/wait"))
            _common.wait_until(self.system.runs)
            for text, line in (
                (settings.replace("grace=6s", "grace=7s"), "changed=bounds"),
                ("zone = 3", "event=settings-rejected"),
                (settings, "changed=none"),
            ):
                host.settings_path.write_text(text)
                host.process.send_signal(signal.SIGHUP)
                _common.wait_until(lambda line=line: host.log_lines(line))
            for upstream in self.system.upstreams:
                upstream.release.set()
            self.assertEqual(connection.read_answer().status, 200)

    def test_store_calls_do_not_grow_with_the_number_of_hosts(self):
        before = self.system.store.calls
        time.sleep(4)
        calls = self.system.store.calls - before
        # One host polls twice a second; for a moment a second one may poll too.
        self.assertLessEqual(calls, 4 * 2 * 2)

    def test_metrics_are_served(self):
        _front.call(self.hosts[0].address, "/read/1")
        _front.call(self.hosts[0].address, "/read/1", key="k9")
        answer = _front.call(f"{self.hosts[0].ip}:9464", "/metrics")
        text = answer.body.decode()
        for line in (
            'gooseberryweir_request_seconds_count{route="read"} 1.0',
            'gooseberryweir_refusals_total{code="203",route=""} 1.0',
        ):
            self.assertIn(line, text)

    def test_logs_show_the_cause_of_a_failure_by_request_id(self):
        """Follows the steps of docs/OPERATIONS.md for three failures."""
        address = self.hosts[0].address
        _front.call(address, "/read/1", key="k9", request_id="refused-1")
        _front.call(address, "/read/wait", request_id="late-1")
        _front.call(address, "/write/break", method="POST", request_id="lost-1")
        for request, expected_words in (
            ("refused-1", ("event=request-refused", "code=203", "ran=no")),
            ("late-1", ("event=request-refused", "code=403", "ran=unknown")),
            ("late-1", ("event=request-placed", "upstream=i-", "wait=")),
            ("lost-1", ("event=request-refused", "code=402", "broken")),
            ("lost-1", ("event=request-placed", "attempt=1", "confirmed_age=")),
        ):
            lines = self.hosts[0].log_lines(f"request={request}")
            self.assertTrue(
                any(
                    all(word in line for word in expected_words)
                    for line in lines
                ),
                (request, expected_words, lines),
            )


class StartTest(unittest.TestCase):
    """Exit of a host that is started with an invalid settings file."""

    def test_bad_settings_exit_with_code_2_and_name_the_field(self):
        with contextlib.ExitStack() as stack:
            system = _front.System(stack, hosts=1)
            host = system.hosts[0]
            host.process.kill()
            host.process.wait()
            path = host.environment["GOOSEBERRYWEIR_BOOT"]
            with open(path, encoding="utf-8") as file:
                text = file.read()
            with open(path, "w", encoding="utf-8") as file:
                file.write(text.replace('zone = "north-a"', "zone = 3"))
            host.start()
            self.assertEqual(host.process.wait(20), 2)
            self.assertTrue(host.log_lines("$.zone"))


if __name__ == "__main__":
    unittest.main()
