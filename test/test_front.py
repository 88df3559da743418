"""Hosts on the users' platform: real processes, the project's own stand-ins.

Each test names the promise that it keeps. Bounds in seconds are the users'.
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
    """Three hosts, two upstreams, one store with a door for each host."""

    def setUp(self):
        self.stack = self.enterContext(contextlib.ExitStack())
        self.world = _front.World(self.stack)
        self.hosts = self.world.hosts

    def test_a_request_reaches_an_upstream_as_it_should(self):
        answer = _front.call(
            self.hosts[0].front,
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
        (run,) = self.world.runs()
        self.assertEqual(answer.headers["server-stamp"][:2], "i-")
        self.assertEqual((run.request_id, run.path), ("id-1", "/read/1?q=%20x"))
        self.assertEqual(run.headers["tenant-id"], "t1")
        self.assertEqual(run.headers["x-kept"], "2")
        self.assertNotIn("authorization", run.headers)
        self.assertNotIn("x-hop", run.headers)
        self.assertNotIn("x-hop2", run.headers)
        self.assertLessEqual(int(run.headers["deadline-ms"]), 2000)

    def test_what_is_not_allowed_runs_nowhere(self):
        front = self.hosts[0].front
        for path, key, status in (
            ("/read/1", "", 401),
            ("/read/1", "k9", 401),
            ("/readx/1", "k1", 404),
            ("/none/1", "k1", 404),
        ):
            self.assertEqual(
                _front.call(front, path, key=key).status, status, path
            )
        self.assertEqual(self.world.runs(), [])
        self.assertEqual(_front.call(front, "/open/1", key="").status, 200)

    def test_a_look_up_names_hosts_of_the_region_that_live(self):
        def named():
            answer = _front.look_up(self.hosts[2], "north", "north-a")
            return set(json.loads(answer.body)["addresses"])

        north = {self.hosts[0].front, self.hosts[1].front}
        _common.wait_until(lambda: named() == north)
        self.hosts[0].process.send_signal(signal.SIGKILL)
        _common.wait_until(lambda: named() == {self.hosts[1].front})
        self.hosts[1].process.send_signal(signal.SIGKILL)
        # Without a host in the region, others are named.
        _common.wait_until(lambda: named() == {self.hosts[2].front})

    def test_pipelined_requests_run_at_once_and_are_answered_in_order(self):
        with _raw.Connection(self.hosts[0].front) as connection:
            connection.send(
                _front.request_bytes("/read/wait", request_id="a"),
                _front.request_bytes("/read/b", request_id="b"),
            )
            _common.wait_until(lambda: len(self.world.runs()) == 2)
            for upstream in self.world.upstreams:
                upstream.release.set()
            answers = [connection.read_answer(), connection.read_answer()]
        self.assertEqual(
            [each.headers["request-id"] for each in answers], ["a", "b"]
        )

    def test_a_caller_that_leaves_cancels_its_work(self):
        # No timeout ends the work before the caller does.
        request = _front.request_bytes("/long/wait", deadline_ms=600_000)
        with _raw.Connection(self.hosts[0].front) as connection:
            connection.send(request)
            _common.wait_until(self.world.runs)
        _common.wait_until(
            lambda: any(u.cancelled.is_set() for u in self.world.upstreams)
        )

    def test_what_may_have_run_is_not_sent_again_and_says_so(self):
        answer = _front.call(
            self.hosts[0].front, "/write/break", method="POST", body=b"x"
        )
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(self.world.runs()), 1)

    def test_an_idempotent_request_goes_to_another_upstream(self):
        answer = _front.call(self.hosts[0].front, "/read/break")
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(self.world.runs()), 2)
        ran = {len(each.runs) for each in self.world.upstreams}
        self.assertEqual(ran, {1})

    def test_a_request_that_ends_upstreams_is_stopped_by_all_hosts(self):
        def begin_again(upstream, ended):
            self.world.store.delete("servers", ended)
            self.world.store.put("servers", upstream.name, upstream.entry())

        for upstream in self.world.upstreams:
            upstream.on_crash = functools.partial(begin_again, upstream)
        suspect = str(int(codes.Code.SUSPECT_REQUEST))
        told = []
        for number in range(40):
            host = self.hosts[number % 3]
            answer = _front.call(
                host.front, "/write/crash", method="POST", body=b"x"
            )
            told.append(answer.headers["gooseberryweir-code"])
            if told[-5:] == [suspect] * 5:
                break
            time.sleep(0.2)
        self.assertEqual(told[-5:], [suspect] * 5)
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        crashes = sum(each.crashes for each in self.world.upstreams)
        # The limit, and one more for each host that had not heard yet.
        self.assertGreaterEqual(crashes, 3)
        self.assertLessEqual(crashes, 5)
        self.assertTrue(
            any(
                host.log_lines("event=request-suspected") for host in self.hosts
            )
        )
        _common.wait_until(
            lambda: _front.call(self.hosts[0].front, "/read/1").status == 200
        )

    def test_a_refusal_that_says_not_run_is_true(self):
        answer = _front.call(
            self.hosts[0].front, "/write/shed", method="POST", body=b"x"
        )
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(self.world.runs(), [])

    def test_the_route_timeout_ends_a_request_with_504(self):
        answer = _front.call(
            self.hosts[0].front, "/read/wait", deadline_ms=60000
        )
        self.assertEqual(answer.status, 504)
        self.assertEqual(len(self.world.runs()), 1)

    def test_an_address_that_another_upstream_has_runs_nothing(self):
        for upstream in self.world.upstreams:
            upstream.name = "i-other"
        answer = _front.call(self.hosts[0].front, "/read/1")
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.world.runs(), [])

    def test_a_key_taken_away_stops_also_where_the_store_is_silent(self):
        # Two of three hosts lose the store; the key goes at that moment.
        store = self.world.store
        store.fail("hang", store.doors[:2])
        changed = _front.configuration(2, tenants={"t1": {"apiKeys": ["k2"]}})
        self.world.store.put("config", "main", changed)
        taken_at = time.monotonic()
        while time.monotonic() < taken_at + _front.REVOKE_SECONDS:
            time.sleep(0.2)
        for host in self.hosts:
            _front.call(host.front, "/read/late", key="k1")
        late = [r for r in self.world.runs() if r.path == "/read/late"]
        self.assertEqual(late, [])
        # The others learn of the change from the host that has the store.
        for host in self.hosts:
            _common.wait_until(
                lambda host=host: (
                    _front.call(host.front, "/read/1", key="k2").status == 200
                )
            )

    def test_all_hosts_cut_off_from_the_store_refuse_keyed_work(self):
        store = self.world.store
        store.fail("busy", store.doors)
        for host in self.hosts:
            _common.wait_until(
                lambda host=host: (
                    _front.call(host.front, "/read/1").status == 503
                )
            )
            self.assertEqual(
                _front.call(host.front, "/open/1", key="").status, 200
            )
        ran = len(self.world.runs())
        self.assertEqual(
            _front.call(self.hosts[0].front, "/read/1").status, 503
        )
        self.assertEqual(len(self.world.runs()), ran)
        store.fail("", store.doors)
        for host in self.hosts:
            _common.wait_until(
                lambda host=host: (
                    _front.call(host.front, "/read/1").status == 200
                )
            )

    def test_an_upstream_that_drains_gets_nothing_after_the_bound(self):
        leaving, staying = self.world.upstreams
        leaving.state = "draining"
        self.world.store.put("servers", leaving.name, leaving.entry())
        told_at = time.monotonic()
        while time.monotonic() < told_at + 2 * _front.DRAIN_SECONDS:
            for host in self.hosts:
                _front.call(
                    host.front, "/read/1", Affinity_Key=str(time.time())
                )
        late = [
            run
            for run in leaving.runs
            if run.at > told_at + _front.DRAIN_SECONDS
        ]
        self.assertEqual(late, [])
        self.assertTrue(staying.runs)

    def test_an_evacuated_zone_gets_nothing_until_it_is_taken_back(self):
        self.world.store.put("evacuations", "north-a", {})
        for host in self.hosts:
            _common.wait_until(
                lambda host=host: (
                    _front.call(host.front, "/read/1").status == 503
                )
            )
        self.world.store.delete("evacuations", "north-a")
        for host in self.hosts:
            _common.wait_until(
                lambda host=host: (
                    _front.call(host.front, "/read/1").status == 200
                )
            )

    def test_entries_of_foreign_writers_name_no_upstream(self):
        entry = self.world.upstreams[0].entry
        self.world.store.put("servers", "x1", entry(slots="8"))
        self.world.store.put("servers", "x2", entry(state="asleep"))
        self.world.store.put("servers", "x3", [1])
        # The host that polls the store skips them; which one that is depends
        # on how soon the store answered each.
        _common.wait_until(
            lambda: any(host.log_lines("object=x3") for host in self.hosts)
        )
        for host in self.hosts:
            for _ in range(20):
                self.assertEqual(_front.call(host.front, "/read/1").status, 200)

    def test_a_lost_answer_to_the_registration_is_settled(self):
        store = self.world.store
        store.control(store.doors[0], lose_answers=1)
        self.hosts[0].process.send_signal(signal.SIGKILL)
        self.hosts[0].process.wait()
        self.hosts[0].start()
        _common.wait_until(self.hosts[0].ready)
        self.assertEqual(
            _front.call(self.hosts[0].front, "/read/1").status, 200
        )

    def test_sigterm_lets_open_requests_end_and_exits_in_time(self):
        host = self.hosts[0]
        with _raw.Connection(host.front) as connection:
            connection.send(_front.request_bytes("/read/wait"))
            _common.wait_until(self.world.runs)
            told_at = time.monotonic()
            host.process.send_signal(signal.SIGTERM)
            _common.wait_until(lambda: not host.ready())
            for upstream in self.world.upstreams:
                upstream.release.set()
            answer = connection.read_answer()
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        self.assertEqual(answer.headers["connection"], "close")
        self.assertEqual(host.process.wait(_front.GRACE_SECONDS), 0)
        self.assertLess(time.monotonic() - told_at, _front.GRACE_SECONDS)
        found = _front.look_up(self.hosts[1], "north", "north-a")
        self.assertNotIn(host.front, json.loads(found.body)["addresses"])

    def test_sighup_says_what_changed_and_cuts_nothing_off(self):
        host = self.hosts[0]
        settings = host.settings_path.read_text()
        with _raw.Connection(host.front) as connection:
            connection.send(_front.request_bytes("/read/wait"))
            _common.wait_until(self.world.runs)
            for text, line in (
                (settings.replace("grace=6s", "grace=7s"), "changed=bounds"),
                ("zone = 3", "event=settings-rejected"),
                (settings, "changed=none"),
            ):
                host.settings_path.write_text(text)
                host.process.send_signal(signal.SIGHUP)
                _common.wait_until(lambda line=line: host.log_lines(line))
            for upstream in self.world.upstreams:
                upstream.release.set()
            self.assertEqual(connection.read_answer().status, 200)

    def test_the_calls_to_the_store_do_not_grow_with_the_hosts(self):
        before = self.world.store.calls
        time.sleep(4)
        calls = self.world.store.calls - before
        # One host polls twice a second; a second one may for a moment.
        self.assertLessEqual(calls, 4 * 2 * 2)

    def test_counters_and_histograms_are_served(self):
        _front.call(self.hosts[0].front, "/read/1")
        _front.call(self.hosts[0].front, "/read/1", key="k9")
        answer = _front.call(f"{self.hosts[0].ip}:9464", "/metrics")
        text = answer.body.decode()
        for line in (
            'gooseberryweir_request_seconds_count{route="read"} 1.0',
            'gooseberryweir_refusals_total{code="203",route=""} 1.0',
        ):
            self.assertIn(line, text)

    def test_from_the_id_of_a_request_to_its_cause(self):
        """The way that docs/OPERATIONS.md describes, for three failures."""
        front = self.hosts[0].front
        _front.call(front, "/read/1", key="k9", request_id="refused-1")
        _front.call(front, "/read/wait", request_id="late-1")
        _front.call(front, "/write/break", method="POST", request_id="lost-1")
        for request, words in (
            ("refused-1", ("event=request-refused", "code=203", "ran=no")),
            ("late-1", ("event=request-refused", "code=403", "ran=unknown")),
            ("late-1", ("event=request-placed", "upstream=i-", "wait=")),
            ("lost-1", ("event=request-refused", "code=402", "broken")),
            ("lost-1", ("event=request-placed", "attempt=1", "confirmed_age=")),
        ):
            lines = self.hosts[0].log_lines(f"request={request}")
            self.assertTrue(
                any(all(word in line for word in words) for line in lines),
                (request, words, lines),
            )


class StartTest(unittest.TestCase):
    """Starts without what a host needs."""

    def test_bad_settings_end_with_code_2_and_name_the_field(self):
        with contextlib.ExitStack() as stack:
            world = _front.World(stack, hosts=1)
            host = world.hosts[0]
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
