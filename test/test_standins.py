"""Tests that the stand-ins behave as the integration tests assume."""

from concurrent import futures
import contextlib
import hashlib
import os
import pathlib
import socket
import tempfile
import unittest

from returns import pipeline
import urllib3

from gooseberryweir.version import declarations
from test import _common
from test import _fleet
from test import _raw
from test.standins import threaded_upstream

API_PREFIX = "/-/objects/"
CONNECTION_ERROR = urllib3.exceptions.HTTPError
RESET_TIMEOUT_SECONDS = 5.0


class StandinCase(unittest.TestCase):
    """Base of tests that start processes, killed at the end of each test."""

    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.stack = stack
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        self.directory = pathlib.Path(directory)

    def start(self, module, *arguments):
        name = f"test.standins.{module}"
        process = _common.Process(self.directory, module, name, *arguments)
        return self.stack.enter_context(process).wait_ready()


class PlatformTest(StandinCase):
    """The platform's stand-in stores objects and answers watches with changes.

    Its switches inject faults into the answers.
    """

    def setUp(self):
        super().setUp()
        self.platform = self.start("platform")

    def control(self, **switches):
        return _common.fetch_json(self.platform.url("/_control"), switches)

    def call(self, method, path, spec=None, version=None):
        name = path.partition("/")[2] or "config"
        metadata = {"name": name, "revision": version}
        body = {"metadata": metadata, "spec": spec} if spec else None
        url = self.platform.url(API_PREFIX + path)
        return _common.request(method, url, body=body, timeout=5)

    def test_conditional_writes_are_rejected_if_the_condition_fails(self):
        created = self.call("POST", "steeringobjects", {"id": "a"})
        self.assertEqual(created.status, 201)
        version = created.json()["metadata"]["revision"]
        path = "steeringobjects/config"
        expected = [
            (self.call("POST", "steeringobjects", {"id": "b"}), 409),
            (self.call("PUT", path, {"id": "c"}, version), 200),
            (self.call("PUT", path, {"id": "d"}, version), 409),
            (self.call("PUT", path, {"id": "x" * 1_000_000}, 2), 413),
            (self.call("GET", path), 200),
            (self.call("DELETE", path), 200),
            (self.call("GET", path), 404),
            (self.call("GET", "nothing"), 200),
            (self.call("GET", "nothing/there"), 404),
        ]
        for response, status in expected:
            self.assertEqual(response.status, status)
        self.assertEqual(expected[4][0].json()["spec"], {"id": "c"})

    def test_a_write_whose_answer_is_lost_is_applied(self):
        self.control(lose_answers=1)
        with self.assertRaises(CONNECTION_ERROR):
            self.call("POST", "steeringobjects", {"id": "a"})
        found = self.call("GET", "steeringobjects/config").json()
        self.assertEqual(found["spec"], {"id": "a"})

    def watch(self, version):
        url = self.platform.url(f"{API_PREFIX}steeringobjects")
        query = f"?watch={version}&waitMs=30000"
        return _common.request("GET", url + query)

    def put(self, name, spec):
        self.control(
            put={"kind": "steeringobjects", "name": name, "spec": spec}
        )

    def test_watch_events_are_reordered_repeated_and_end_at_an_outage(self):
        self.control(watch_shuffled=True, watch_twice=True)
        self.put("one", {})
        self.put("two", {})
        answer = self.watch(0).json()
        found = [event["object"]["metadata"] for event in answer["events"]]
        names = [metadata["name"] for metadata in found]
        self.assertEqual(names, ["two", "one", "two", "one"])
        pool = futures.ThreadPoolExecutor(1)
        self.addCleanup(pool.shutdown)
        watch = pool.submit(self.watch, answer["currentRev"])
        _common.wait_until(lambda: self.control()["open_watches"] == 1)
        counts = self.control(outage="refuse")
        self.assertEqual(counts["calls"], {"steeringobjects watch": 2})
        with self.assertRaises(CONNECTION_ERROR):
            watch.result()
        with self.assertRaises(CONNECTION_ERROR):
            self.call("GET", "steeringobjects")
        _common.wait_until(lambda: self.control()["open_watches"] == 0)
        self.control(outage="")
        self.assertEqual(self.call("GET", "steeringobjects").status, 200)

    def test_hanging_outage_leaves_requests_unanswered(self):
        self.control(outage="hang")
        url = self.platform.url(f"{API_PREFIX}steeringobjects")
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            _common.request("GET", url, timeout=0.2)
        self.assertEqual(self.control(outage="")["unanswered"], 1)

    def test_watch_from_before_the_compaction_gets_410(self):
        self.put("one", {})
        self.control(compact=True)
        self.assertEqual(self.watch(0).status, 410)

    def test_lists_lag_and_reads_are_stale(self):
        self.control(list_lag_ms=200, stale_reads=True)
        body = {"kind": "endpointslices", "name": "hosts", "spec": {}}
        self.control(put=body)
        self.assertEqual(self.control()["version"], 0)
        _common.wait_until(lambda: self.control()["version"] == 1)
        path = "endpointslices/hosts"
        self.assertEqual(self.call("GET", path).status, 404)
        self.control(stale_reads=False)
        self.assertEqual(self.call("GET", path).status, 200)


class UpstreamTest(StandinCase):
    """The stand-in of an upstream, with one slot, runs and counts requests.

    Its switches and the query of a request inject faults.
    """

    def setUp(self):
        super().setUp()
        self.upstream = self.start("upstream", "--slots", 1, "--service-ms", 1)

    def get(self, path, method="GET", **options):
        return _common.request(method, self.upstream.url(path), **options)

    def report(self):
        return _common.fetch_json(self.upstream.url("/_control/runs"))

    def test_echoes_a_request_and_counts_its_run(self):
        headers = {"Idempotency-Key": "7", "Gooseberryweir-Account": "valle"}
        chunks = iter([b"ab", b"c"])
        echo = self.get("/x%20y", "POST", body=chunks, headers=headers).json()
        self.assertEqual(echo["path"], "/x%20y")
        digest = hashlib.sha256(b"abc").hexdigest()
        self.assertEqual(echo["body_sha256"], digest)
        report = self.report()
        self.assertEqual(report["runs"], {"7": 1})
        self.assertEqual(report["accounts"], {"valle": 1})
        self.assertEqual(report["headers_seen"]["idempotency-key"], ["7"])

    def test_cancellation_frees_the_slot_and_a_timeout_gives_504(self):
        options = {"preload_content": False, "timeout": 0.5}
        with self.assertRaises(CONNECTION_ERROR):
            self.get("/x?sleep_ms=60000", **options)
        _common.wait_until(lambda: self.report()["cancelled"] == 1)
        timed_out = self.get(
            "/x?sleep_ms=60000", headers={"Request-Timeout": ".1"}
        )
        self.assertEqual(timed_out.status, 504)
        self.assertEqual(self.report()["max_busy"], 1)

    def test_answers_of_a_requested_size(self):
        self.assertEqual(len(self.get("/x?bytes=200000").data), 200_000)
        chunked = self.get("/x?bytes=200000&chunked=1")
        self.assertEqual(len(chunked.data), 200_000)
        self.assertEqual(self.get("/x?bytes=5", "HEAD").data, b"")
        with self.assertRaises(CONNECTION_ERROR):
            self.get("/x?bytes=200000&short=1")

    def test_switches_end_the_process(self):
        for switch in ("crash_paths", "die_after_receive", "die_mid_answer"):
            with self.subTest(switch):
                upstream = self.start("upstream")
                switches = {switch: ["/x"]}
                _common.fetch_json(upstream.url("/_control"), switches)
                with self.assertRaises(CONNECTION_ERROR):
                    _common.request("GET", upstream.url("/x"))
                self.assertEqual(upstream.wait(), 1)

    def test_switches_set_the_load_report_or_hold_back_answers(self):
        control = self.upstream.url("/_control")
        _common.fetch_json(control, {"leaving": True, "reported_busy": 7})
        self.assertEqual(self.get("/healthz").status, 503)
        load = self.get("/load").json()
        expected = {"slots": 1, "busy": 7, "leaving": True, "cold": False}
        self.assertEqual(load, expected)
        _common.fetch_json(control, {"hang": True})
        with self.assertRaises(CONNECTION_ERROR):
            self.get("/x", timeout=0.2)


class ThreadedUpstreamTest(unittest.TestCase):
    """The upstream of soaks, in threads of the test."""

    # Guards against answers that were to be reset and that a crash beside them
    # ended in order, so that a soak took a part of an answer for MIXED.
    def test_crash_leaves_a_connection_that_will_be_reset(self):
        upstream = self.enterContext(
            threaded_upstream.ThreadedUpstream("i-1", "work", "north-a")
        )
        ended = []

        class Connection:
            def shutdown(self, _):
                ended.append(self)
                upstream.connections -= {first, second} - {self}

        first, second = Connection(), Connection()
        upstream.connections |= {first, second}
        upstream.end_connections()
        self.assertEqual(len(ended), 1)


class FaultProxyTest(StandinCase):
    """The fault proxy forwards connections and applies its rules to them."""

    def setUp(self):
        super().setUp()
        self.upstream = self.start("upstream", "--service-ms", 0)
        self.proxy = self.start("fault_proxy")
        links = {"upstream:a-1": self.upstream.address()}
        self.ports = self.post("/_links", links)

    def post(self, path, document):
        return _common.fetch_json(self.proxy.url(path), document)

    def get(self, path="/x", **options):
        url = f"http://127.0.0.1:{self.ports['upstream:a-1']}{path}"
        return _common.request("GET", url, **options)

    def test_forwards_bytes_in_both_directions(self):
        self.post("/_rules", [{"match": "*", "delay_ms": 1, "jitter_ms": 2}])
        self.assertEqual(len(self.get("/x?bytes=3000000").data), 3_000_000)

    def test_a_rule_cuts_a_named_source_until_it_is_removed(self):
        self.post("/_sources", {str(os.getpid()): "b-1"})
        self.assertEqual(self.get().status, 200)
        open_names = _common.fetch_json(self.proxy.url("/_connections"))
        self.assertEqual(open_names, ["b-1>upstream:a-1"])
        self.post("/_rules", [{"match": "b-*>*:a-*", "cut": True}])
        with self.assertRaises(CONNECTION_ERROR):
            self.get()
        self.post("/_rules", [{"match": "b-*>*:a-*"}])
        self.assertEqual(self.get().status, 200)

    def test_reset_ends_open_connections_once(self):
        names = self.proxy.url("/_connections")
        self.assertEqual(self.get().status, 200)
        self.assertEqual(_common.fetch_json(names), [">upstream:a-1"])
        self.post("/_rules", [{"match": "*", "reset": True}])
        _common.wait_until(lambda: not _common.fetch_json(names))
        self.assertEqual(self.get().status, 200)

    def test_blackhole_holds_back_bytes_to_the_upstream(self):
        self.post("/_rules", [{"match": "*", "blackhole": "out"}])
        with self.assertRaises(CONNECTION_ERROR):
            self.get(timeout=0.2)
        report = _common.fetch_json(self.upstream.url("/_control/runs"))
        self.assertEqual(report["starts"], [])
        self.post("/_rules", [{"match": "*"}])
        self.assertEqual(self.get().status, 200)

    # Guards against a soak that can't see answers that are reset: eventlet
    # reads a reset as the end of the stream.
    def test_reset_by_the_target_passes_as_a_reset(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = "{}:{}".format(*server.getsockname())
            ports = self.post("/_links", {"resetting": address})
            with socket.create_connection(
                ("127.0.0.1", ports["resetting"]), RESET_TIMEOUT_SECONDS
            ) as caller:
                accepted, _ = server.accept()
                accepted.sendall(b"x")
                self.assertEqual(caller.recv(1), b"x")
                accepted.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _raw.RESET_ON_CLOSE
                )
                accepted.close()
                with self.assertRaises(ConnectionResetError):
                    caller.recv(1)

    def test_crash_of_the_target_closes_the_connection(self):
        with self.assertRaises(CONNECTION_ERROR):
            self.get("/x?crash=1")


class DeploymentTest(unittest.TestCase):
    """A deployment with a fault proxy lists upstreams at proxy addresses."""

    def test_lists_contain_the_addresses_of_proxy_links(self):
        regions = {"centro": ("a", "b"), "norte": ("a",)}
        upstreams = _fleet.place_upstreams(
            regions, "maps", 2, 8, "--service-ms", 0
        )
        document = _fleet.declare(regions, ("maps",), {"valle": (9.0, 9)})
        self.assertTrue(pipeline.is_successful(declarations.parse(document)))
        with _common.Deployment(
            regions, document, upstreams, hosts=0, proxied=True
        ) as deployment:
            deployment.set_latencies(1, 2, 3)
            path = f"{API_PREFIX}endpointslices/service.maps"
            listed = _common.fetch_json(deployment.platform_url + path)
            entries = listed["spec"]["endpoints"]
            names = [entry["name"] for entry in entries]
            self.assertEqual(names, ["centro-1-maps", "norte-1-maps"])
            for entry in entries:
                url = f"http://{entry['address']}/load"
                self.assertEqual(_common.fetch_json(url)["slots"], 8)
            deployment.set_process_rules("norte-1-maps", cut=True)
            with self.assertRaises(CONNECTION_ERROR):
                _common.fetch_json(url)
            self.assertEqual(deployment.control()["version"], 5)
