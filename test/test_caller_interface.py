"""What callers and operators see of real hosts.

Tests keys, look-ups (requests for the list of hosts to use), routes, headers,
log lines and metrics.
"""

import json
import re
import socket
import unittest

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from test import _common
from test import _deployments
from test import _raw
from test.test_bodies import HostTest

PAIR_PATTERN = re.compile(r'[a-z_0-9]+=("(\\.|[^"\\])*"|[^\s"=]+)')
TIMESTAMP_PATTERN = re.compile(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3} ")
UNKNOWN_KEY = "unknown-key-of-nobody"
PIPELINED_REQUEST_COUNT = 2000
LOOK_UP_TTL_SECONDS = 1.0


class InterfaceTest(HostTest):
    """Base of tests that send each request on a new connection."""

    def request(self, method, target, *lines, key="", body=b""):
        """Sends one request and returns its answer."""
        connection = self.connect()
        if body:
            lines = (*lines, f"Content-Length: {len(body)}")
        connection.send(_raw.head(method, target, *lines, key=key), body)
        return connection.read_answer(method)

    def check_refused(self, answer, code, ran="no"):
        """Checks the body and the headers of a refusal (a host's error answer).

        `ran` states whether an upstream began to process the request.
        """
        document = answer.json()
        self.assertEqual(document["code"], code)
        self.assertEqual(document["ran"], ran)
        self.assertEqual(answer.headers["gooseberryweir-code"], str(code))
        self.assertEqual(answer.headers["gooseberryweir-ran"], ran)
        self.assertTrue(document["detail"])
        self.assertEqual(
            "retry_after" in document, "retry-after" in answer.headers
        )

    def count_started(self):
        """Returns the number of requests that reached an upstream."""
        reports = self.running.reports().values()
        return sum(len(report["starts"]) for report in reports)

    def check_no_key_leaked(self):
        """Checks that no key is in a log or in a request to an upstream."""
        texts = [json.dumps(self.running.reports())]
        processes = (*self.running.hosts.values(), self.running.platform)
        texts += [process.output() for process in processes]
        for key in (*self.running.keys.values(), UNKNOWN_KEY):
            for text in texts:
                self.assertNotIn(key, text)


class KeysTest(InterfaceTest):
    """Requests with refused keys are not run; no key is logged or forwarded."""

    def test_requests_with_refused_keys_are_not_run(self):
        other = self.running.keys["ben"]
        digest = _common.hashlib.sha256(other.encode()).hexdigest()
        cases = (
            ("missing", "/contracts", (), 201),
            ("no scheme", "/contracts", (self.key,), 202),
            ("other scheme", "/contracts", (f"Basic {self.key}",), 202),
            ("short", "/contracts", ("Bearer abc",), 202),
            ("spaces", "/contracts", (f"Bearer {self.key} x",), 202),
            ("list", "/contracts", (f"Bearer {self.key},{other}",), 202),
            ("twice", "/contracts", (f"Bearer {self.key}",) * 2, 202),
            ("two", "/contracts", (f"Bearer {self.key}", "Bearer x"), 202),
            ("unknown", "/contracts", (f"Bearer {UNKNOWN_KEY}",), 203),
            ("digest", "/contracts", (f"Bearer {digest}",), 203),
            ("other account", "/private", (f"Bearer {other}",), 205),
            ("unknown, open", "/contracts/open", (f"Bearer {digest}",), 203),
        )
        before = self.count_started()
        for name, target, values, code in cases:
            with self.subTest(name):
                # Header names are case-insensitive.
                lines = [
                    f"{header}: {value}"
                    for header, value in zip(
                        ("AUTHORIZATION", "authorization"), values, strict=False
                    )
                ]
                self.check_refused(self.request("GET", target, *lines), code)
        self.assertEqual(self.count_started(), before)
        self.check_no_key_leaked()

    def test_key_in_the_target_is_refused(self):
        for target in (f"/contracts/{self.key}", f"/contracts?k={self.key}"):
            answer = self.request("GET", target, key=self.key)
            self.check_refused(answer, 202)

    def test_key_never_reaches_an_upstream(self):
        lines = (
            f"X-Note: {self.key}",
            f"Cookie: session={self.key}; a=b",
            f"authorization-copy: Bearer {self.key}",
            f"X_Authorization: {self.key}",
            f"Proxy-Authorization: Bearer {self.key}",
            "X-Kept: yes",
        )
        echo = self.request("GET", "/contracts", *lines, key=self.key).json()
        names = {name for name, _ in echo["headers"]}
        self.assertIn("X-Kept", names)
        self.assertNotIn("Authorization", names)
        self.assertNotIn(self.key, json.dumps(echo))
        answer = self.request(
            "GET", "/contracts", f"aUTHORIZATION: bearer {self.key}"
        )
        self.assertEqual(answer.status, 200)
        self.check_no_key_leaked()

    def test_withdrawn_key_is_refused_until_it_is_issued_again(self):
        key = self.running.keys["ben"]
        digest = _common.hashlib.sha256(key.encode()).hexdigest()
        self.assertEqual(self.request("GET", "/contracts", key=key).status, 200)
        spec = {"id": "w", "digests": {digest: "withdrawn"}}
        self.running.put("steeringobjects", "keys.ben", spec)
        _common.wait_until(
            lambda: self.request("GET", "/contracts", key=key).status == 401
        )
        for target in ("/contracts", "/v1/hosts", "/contracts/open"):
            with self.subTest(target=target):
                self.check_refused(self.request("GET", target, key=key), 204)
        spec = {"id": "i", "digests": {digest: "issued"}}
        self.running.put("steeringobjects", "keys.ben", spec)
        _common.wait_until(
            lambda: self.request("GET", "/contracts", key=key).status == 200
        )

    def test_ticket_of_another_account_is_refused(self):
        batch = _deployments.look_up(self.running, self.host, "ada")["tickets"]
        line = f"Idempotency-Key: {batch['prefix']}0"
        key = self.running.keys["ben"]
        answer = self.request("POST", "/contracts/orders", line, key=key)
        self.check_refused(answer, 205)

    def test_open_route_needs_no_key(self):
        echo = self.request("GET", "/contracts/open").json()
        self.assertEqual(echo["path"], "/contracts/open")
        names = {name for name, _ in echo["headers"]}
        self.assertNotIn("Gooseberryweir-Account", names)


class RoutesTest(InterfaceTest):
    """Look-ups list all hosts; hosts forward only requests that a route allows.

    A POST request to `/contracts/orders` also needs a ticket (an idempotency
    key that a host issues with a look-up).
    """

    def test_unknown_routes_methods_and_tickets_are_refused(self):
        batch = _deployments.look_up(self.running, self.host, "ada")["tickets"]
        ticket = f"Idempotency-Key: {batch['prefix']}0"
        cases = (
            ("GET", "/", (), 206),
            ("GET", "/contract", (), 206),
            ("GET", "/contractsx", (), 206),
            ("GET", "/v1/hosts/x", (), 206),
            ("DELETE", "/contracts", (), 218),
            ("get", "/contracts", (), 218),
            ("POST", "/v1/hosts", (), 218),
            ("PUT", "/v1/hosts", (), 218),
            ("POST", "/contracts/orders", (), 212),
            ("POST", "/contracts/orders", ("Idempotency-Key: x",), 213),
            ("POST", "/contracts/orders", (ticket, ticket), 213),
        )
        before = self.count_started()
        for method, target, lines, code in cases:
            with self.subTest(method=method, target=target):
                answer = self.request(method, target, *lines, key=self.key)
                self.check_refused(answer, code)
        self.assertEqual(self.count_started(), before)

    def test_look_up_lists_a_host_of_the_requested_region_first(self):
        answer = self.request("GET", "/v1/hosts?region=south", key=self.key)
        document = answer.json()
        names = [host["name"] for host in document["hosts"]]
        self.assertEqual(names[0], "south-1")
        self.assertEqual(set(names), set(self.running.host_specs))
        self.assertIn("tickets", document)
        self.assertNotIn("tickets", self.request("GET", "/v1/hosts").json())

    def test_escapes_are_forwarded_unchanged(self):
        for path in ("/contracts/a%20b", "/contracts/%C3%A9", "/contracts/a;b"):
            with self.subTest(path=path):
                answer = self.request("GET", f"{path}?q=%2F%26", key=self.key)
                echo = answer.json()
                self.assertEqual(echo["path"], path)
                self.assertEqual(echo["query"], "q=%2F%26")

    def test_refusal_with_all_regions_drained_has_retry_after(self):
        drains = {f"region/{name}": True for name in _deployments.REGIONS}
        self.running.put("steeringobjects", "drains", {"drains": drains})
        _common.wait_until(
            lambda: (
                self.request("GET", "/contracts", key=self.key).status == 503
            )
        )
        answer = self.request("GET", "/contracts", key=self.key)
        self.running.put("steeringobjects", "drains", {"drains": {}})
        self.check_refused(answer, 302)
        self.assertGreaterEqual(int(answer.headers["retry-after"]), 1)
        _common.wait_until(
            lambda: (
                self.request("GET", "/contracts", key=self.key).status == 200
            )
        )

    def test_first_request_to_another_region_is_served(self):
        drains = {"region/north": True}
        self.running.put("steeringobjects", "drains", {"drains": drains})
        target = "/contracts"
        north_upstream = self.running.upstreams["north-1-contracts"]

        def served_elsewhere():
            answer = self.request("GET", target, key=self.key)
            self.assertEqual(answer.status, 200, answer.body)
            return answer.json()["name"] != north_upstream.name

        _common.wait_until(served_elsewhere)
        self.running.put("steeringobjects", "drains", {"drains": {}})


class EmptyListTest(InterfaceTest):
    """A look-up returns at least one host or is refused."""

    def test_a_look_up_without_any_host_is_refused(self):
        self.running.unlisted = set(self.running.host_specs)
        self.running.write_lists()

        def refused_look_up():
            answer = self.request("GET", "/v1/hosts", key=self.key)
            return answer if not answer.json().get("hosts") else None

        self.check_refused(_common.wait_until(refused_look_up), 306)


class HeadersTest(InterfaceTest):
    """Hop-by-hop headers and headers of this system are not forwarded."""

    def test_headers_to_the_upstream(self):
        lines = (
            "Connection: X-Private, close",
            "X-Private: 1",
            "Keep-Alive: timeout=9",
            "TE: trailers",
            "Trailer: X-Sum",
            "Upgrade: websocket",
            "Proxy-Connection: keep-alive",
            "Gooseberryweir-Account: ben",
            "Gooseberryweir-Shed: 1",
            "Expect: nothing",
            "X_Under: 1",
            "X-Kept: 1",
            "X-Kept: 2",
        )
        echo = self.request("GET", "/contracts", *lines, key=self.key).json()
        headers = [(name.lower(), value) for name, value in echo["headers"]]
        account = ("gooseberryweir-account", "ada")
        kept = {("x-kept", "1"), ("x-kept", "2"), account}
        self.assertEqual(
            {name for name, _ in headers},
            {"host", "request-timeout", *(name for name, _ in kept)},
        )
        self.assertLessEqual(kept, set(headers))

    def test_user_agent_and_accept_encoding_are_forwarded(self):
        lines = ("User-Agent: mine/1", "Accept-Encoding: br")
        echo = self.request("GET", "/contracts", *lines, key=self.key).json()
        for line in lines:
            self.assertIn(line.split(": "), echo["headers"])

    def test_headers_to_the_caller(self):
        upstream_headers = (
            "Connection:X-Inner",
            "X-Inner:1",
            "Keep-Alive:timeout%3D9",
            "Proxy-Authenticate:Basic",
            "Trailer:X-Sum",
            "Upgrade:h2c",
            "Gooseberryweir-Code:301",
            "Gooseberryweir-Ran:no",
            "Gooseberryweir-Shed:1",
            "X-Kept:1",
        )
        query = "&".join(f"header={text}" for text in upstream_headers)
        for target in (f"/contracts?{query}", f"/contracts?bytes=9&{query}"):
            with self.subTest(target=target):
                headers = self.request("GET", target, key=self.key).headers
                self.assertEqual(headers["x-kept"], "1")
                dropped = {
                    text.partition(":")[0].lower() for text in upstream_headers
                }
                leaked = dropped - {"x-kept"} & headers.keys()
                self.assertEqual(leaked, set())


class StatsdHostTest(InterfaceTest):
    """Base of tests whose hosts send metrics to a socket of the test."""

    @classmethod
    def setUpClass(cls):
        cls.statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        cls.addClassCleanup(cls.statsd.close)
        cls.statsd.bind(("127.0.0.1", 0))
        cls.statsd.setblocking(False)
        cls.datagrams = []
        port = cls.statsd.getsockname()[1]
        cls.settings = {
            "statsd": f"127.0.0.1:{port}",
            "look_up_seconds": LOOK_UP_TTL_SECONDS,
            "log_level": "debug",
        }
        super().setUpClass()

    def datagrams_with(self, fragment):
        """Returns the datagrams received so far that contain a fragment."""
        while True:
            try:
                self.datagrams.append(self.statsd.recv(65536).decode())
            except BlockingIOError:
                break
        return [text for text in self.datagrams if fragment in text]

    def wait_for_datagram(self, text):
        return _common.wait_until(
            lambda: self.datagrams_with(text), description=text
        )

    def event_lines(self):
        """Returns the host's log lines that record events."""
        text = self.running.hosts[self.host].output()
        return [line for line in text.splitlines() if "event=" in line]


class ReportsTest(StatsdHostTest):
    """A host logs requests as key=value pairs and sends metrics to statsd."""

    def test_statsd_gets_latency_refusals_headroom_and_worst_account(self):
        self.request("GET", "/contracts", key=self.key)
        self.wait_for_datagram("gooseberryweir.latency.live:")
        batch = _deployments.look_up(self.running, self.host, "ada")["tickets"]
        ticket = f"Idempotency-Key: {batch['prefix']}0"
        self.request(
            "POST", "/contracts/orders", ticket, key=self.key, body=b"x"
        )
        self.wait_for_datagram("gooseberryweir.latency.signing:")
        self.request("GET", "/nowhere", key=self.key)
        self.wait_for_datagram("gooseberryweir.refused.206:1|c")
        self.request("POST", "/v1/hosts")
        self.wait_for_datagram("gooseberryweir.refused.218:1|c")
        self.request("GET", "/contracts", "Content-Length: -1")
        self.wait_for_datagram("gooseberryweir.refused.208:1|c")
        for region in _deployments.REGIONS:
            self.wait_for_datagram(
                f"gooseberryweir.headroom.contracts.{region}:"
            )
        self.wait_for_datagram("gooseberryweir.worst_account.p99_ms:")
        self.wait_for_datagram("gooseberryweir.worst_account.refused_share:0")
        for key in self.running.keys.values():
            self.assertEqual(self.datagrams_with(key), [])

    def test_refusals_within_the_rate_are_counted(self):
        drains = {f"region/{name}": True for name in _deployments.REGIONS}
        self.running.put("steeringobjects", "drains", {"drains": drains})
        _common.wait_until(
            lambda: (
                self.request("GET", "/contracts", key=self.key).status == 503
            )
        )
        self.running.put("steeringobjects", "drains", {"drains": {}})
        self.wait_for_datagram("gooseberryweir.refused_within_rate.ada:1|c")
        _common.wait_until(
            lambda: (
                self.request("GET", "/contracts", key=self.key).status == 200
            )
        )

    def test_log_lines_are_pairs_and_each_request_is_logged(self):
        before = len(self.event_lines())
        for target in ("/contracts?line=1", "/nowhere", "/contracts/%2f"):
            self.request("GET", target, key=self.key)
        self.request("GET", "/contracts", "Content-Length: 1, 1")
        new = "\n".join(self.event_lines()[before:])
        self.assertEqual(new.count("event=route-chosen "), 1)
        self.assertEqual(new.count("event=request-refused "), 3)
        text = self.running.hosts[self.host].output()
        for line in text.splitlines():
            if line.startswith("ready "):
                continue
            timestamp = TIMESTAMP_PATTERN.match(line)
            self.assertIsNotNone(timestamp, line)
            pairs = line[timestamp.end() :]
            unmatched = PAIR_PATTERN.sub("", pairs).strip()
            self.assertEqual(unmatched, "", line)
        self.check_no_key_leaked()

    def test_repeated_lines_are_limited_and_counted(self):
        event = "event=request-refused "

        def count_logged():
            """Returns the numbers of logged and of omitted events."""
            lines = [line for line in self.event_lines() if event in line]
            counts = [re.search(r" omitted=(\d+)", line) for line in lines]
            return len(lines), sum(int(found[1]) for found in counts if found)

        before = sum(count_logged())
        connection = self.connect()
        connection.send(_raw.head("GET", "/nowhere") * PIPELINED_REQUEST_COUNT)
        for _ in range(PIPELINED_REQUEST_COUNT):
            self.assertEqual(connection.read_answer().status, 404)
        sent = PIPELINED_REQUEST_COUNT

        def all_logged():
            nonlocal sent
            sent += 1
            self.request("GET", "/nowhere")
            return sum(count_logged()) - before == sent

        _common.wait_until(all_logged)
        lines, omitted = count_logged()
        self.assertGreater(omitted, 0)
        self.assertLess(lines, before + PIPELINED_REQUEST_COUNT)


class DrainReportTest(StatsdHostTest):
    """A host that shuts down reports how long its shutdown took."""

    def test_the_drain_is_reported(self):
        self.running.hosts[self.host].terminate()
        self.running.hosts[self.host].wait()
        self.wait_for_datagram("gooseberryweir.drain:")
        self.assertIn(
            "event=host-drained ", self.running.hosts[self.host].output()
        )


class RepeatLimitTest(unittest.TestCase):
    """Repeated log lines over the limit are omitted and counted.

    The clock is manual.
    """

    def test_omitted_lines_are_counted(self):
        clock = clocks.ManualClock()
        limit = logs.EventRateLimit(clock.interface())

        def filtered_text():
            event = logs.Event("again", {})
            record = logs.logging.LogRecord(
                "x", logs.logging.INFO, "", 0, "%s", (event,), None
            )
            return str(event) if limit.filter(record) else ""

        burst = int(logs.MAX_BURST_LINES)
        lines = [filtered_text() for _ in range(burst + 7)]
        self.assertEqual(sum(map(bool, lines)), burst)
        clock.advance(1.0)
        self.assertEqual(filtered_text(), "event=again omitted=7")


if __name__ == "__main__":
    unittest.main()
