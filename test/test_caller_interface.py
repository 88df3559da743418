"""Keys, look-ups, routes, headers, logs and metrics, by real processes."""

import json
import re
import socket
import unittest

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from test import _common
from test import _declared
from test import _raw
from test.test_bodies import HostTest

PAIR = re.compile(r'[a-z_0-9]+=("(\\.|[^"\\])*"|[^\s"=]+)')
STAMP = re.compile(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3} ")
UNKNOWN_KEY = "unknown-key-of-nobody"
PIPELINED = 2000
LOOK_UP_SECONDS = 1.0


class InterfaceTest(HostTest):
    """Requests on connections of their own; no key ever passes on."""

    def ask(self, method, target, *lines, key="", body=b""):
        """Sends one request and returns its answer."""
        connection = self.connect()
        if body:
            lines = (*lines, f"Content-Length: {len(body)}")
        connection.send(_raw.head(method, target, *lines, key=key), body)
        return connection.answer(method)

    def check_refused(self, answer, code, ran="no"):
        document = answer.document()
        self.assertEqual(document["code"], code)
        self.assertEqual(document["ran"], ran)
        self.assertEqual(answer.headers["gooseberryweir-code"], str(code))
        self.assertEqual(answer.headers["gooseberryweir-ran"], ran)
        self.assertTrue(document["detail"])
        self.assertEqual(
            "retry_after" in document, "retry-after" in answer.headers
        )

    def starts(self):
        """Returns how many requests reached an upstream."""
        reports = self.running.reports().values()
        return sum(len(report["starts"]) for report in reports)

    def check_no_key_text(self):
        """Checks the logs of all processes and all that upstreams saw."""
        texts = [json.dumps(self.running.reports())]
        processes = (*self.running.hosts.values(), self.running.platform)
        texts += [process.text() for process in processes]
        for key in (*self.running.keys.values(), UNKNOWN_KEY):
            for text in texts:
                self.assertNotIn(key, text)


class KeysTest(InterfaceTest):
    """Which keys are taken, and where their text goes: nowhere."""

    def test_refused_keys_are_not_run(self):
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
        before = self.starts()
        for name, target, values, code in cases:
            with self.subTest(name):
                # Names of headers in every case are the same header.
                lines = [
                    f"{form}: {value}"
                    for form, value in zip(
                        ("AUTHORIZATION", "authorization"), values, strict=False
                    )
                ]
                self.check_refused(self.ask("GET", target, *lines), code)
        self.assertEqual(self.starts(), before)
        self.check_no_key_text()

    def test_key_in_the_target_is_refused(self):
        for target in (f"/contracts/{self.key}", f"/contracts?k={self.key}"):
            answer = self.ask("GET", target, key=self.key)
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
        echo = self.ask("GET", "/contracts", *lines, key=self.key).document()
        names = {name for name, _ in echo["headers"]}
        self.assertIn("X-Kept", names)
        self.assertNotIn("Authorization", names)
        self.assertNotIn(self.key, json.dumps(echo))
        answer = self.ask(
            "GET", "/contracts", f"aUTHORIZATION: bearer {self.key}"
        )
        self.assertEqual(answer.status, 200)
        self.check_no_key_text()

    def test_withdrawn_key(self):
        key = self.running.keys["ben"]
        digest = _common.hashlib.sha256(key.encode()).hexdigest()
        self.assertEqual(self.ask("GET", "/contracts", key=key).status, 200)
        spec = {"id": "w", "digests": {digest: "withdrawn"}}
        self.running.put("steeringobjects", "keys.ben", spec)
        _common.wait_until(
            lambda: self.ask("GET", "/contracts", key=key).status == 401
        )
        for target in ("/contracts", "/v1/hosts", "/contracts/open"):
            with self.subTest(target=target):
                self.check_refused(self.ask("GET", target, key=key), 204)
        spec = {"id": "i", "digests": {digest: "issued"}}
        self.running.put("steeringobjects", "keys.ben", spec)
        _common.wait_until(
            lambda: self.ask("GET", "/contracts", key=key).status == 200
        )

    def test_ticket_of_another_account(self):
        batch = _declared.look_up(self.running, self.host, "ada")["tickets"]
        line = f"Idempotency-Key: {batch['prefix']}0"
        key = self.running.keys["ben"]
        answer = self.ask("POST", "/contracts/orders", line, key=key)
        self.check_refused(answer, 205)

    def test_open_route_needs_no_key(self):
        echo = self.ask("GET", "/contracts/open").document()
        self.assertEqual(echo["path"], "/contracts/open")
        names = {name for name, _ in echo["headers"]}
        self.assertNotIn("Gooseberryweir-Account", names)


class RoutesTest(InterfaceTest):
    """Look-ups, routes and methods."""

    def test_unknown_routes_and_methods(self):
        batch = _declared.look_up(self.running, self.host, "ada")["tickets"]
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
        before = self.starts()
        for method, target, lines, code in cases:
            with self.subTest(method=method, target=target):
                answer = self.ask(method, target, *lines, key=self.key)
                self.check_refused(answer, code)
        self.assertEqual(self.starts(), before)

    def test_look_up(self):
        answer = self.ask("GET", "/v1/hosts?region=south", key=self.key)
        document = answer.document()
        names = [host["name"] for host in document["hosts"]]
        self.assertEqual(names[0], "south-1")
        self.assertEqual(set(names), set(self.running.host_specs))
        self.assertIn("tickets", document)
        self.assertNotIn("tickets", self.ask("GET", "/v1/hosts").document())

    def test_escapes_pass_as_sent(self):
        for path in ("/contracts/a%20b", "/contracts/%C3%A9", "/contracts/a;b"):
            with self.subTest(path=path):
                answer = self.ask("GET", f"{path}?q=%2F%26", key=self.key)
                echo = answer.document()
                self.assertEqual(echo["path"], path)
                self.assertEqual(echo["query"], "q=%2F%26")

    def test_drained_everywhere_says_when_to_come_back(self):
        drains = {f"region/{name}": True for name in _declared.REGIONS}
        self.running.put("steeringobjects", "drains", {"drains": drains})
        _common.wait_until(
            lambda: self.ask("GET", "/contracts", key=self.key).status == 503
        )
        answer = self.ask("GET", "/contracts", key=self.key)
        self.running.put("steeringobjects", "drains", {"drains": {}})
        self.check_refused(answer, 302)
        self.assertGreaterEqual(int(answer.headers["retry-after"]), 1)
        _common.wait_until(
            lambda: self.ask("GET", "/contracts", key=self.key).status == 200
        )

    def test_first_shift_is_served(self):
        drains = {"region/north": True}
        self.running.put("steeringobjects", "drains", {"drains": drains})
        target = "/contracts"
        home = self.running.upstreams["north-1-contracts"]

        def served_elsewhere():
            answer = self.ask("GET", target, key=self.key)
            self.assertEqual(answer.status, 200, answer.body)
            return answer.document()["name"] != home.name

        _common.wait_until(served_elsewhere)
        self.running.put("steeringobjects", "drains", {"drains": {}})


class EmptyListTest(InterfaceTest):
    """A look-up names a host or says that it can't yet."""

    def test_no_host_listed(self):
        self.running.unlisted = set(self.running.host_specs)
        self.running.write_lists()

        def without_hosts():
            answer = self.ask("GET", "/v1/hosts", key=self.key)
            return answer if not answer.document().get("hosts") else None

        self.check_refused(_common.wait_until(without_hosts), 306)


class HeadersTest(InterfaceTest):
    """Headers that concern one connection, or us, end here."""

    def test_towards_the_upstream(self):
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
        echo = self.ask("GET", "/contracts", *lines, key=self.key).document()
        headers = [(name.lower(), value) for name, value in echo["headers"]]
        account = ("gooseberryweir-account", "ada")
        kept = {("x-kept", "1"), ("x-kept", "2"), account}
        self.assertEqual(
            {name for name, _ in headers},
            {"host", "request-timeout", *(name for name, _ in kept)},
        )
        self.assertLessEqual(kept, set(headers))

    def test_own_user_agent_is_kept_and_none_is_made_up(self):
        lines = ("User-Agent: mine/1", "Accept-Encoding: br")
        echo = self.ask("GET", "/contracts", *lines, key=self.key).document()
        for line in lines:
            self.assertIn(line.split(": "), echo["headers"])

    def test_towards_the_caller(self):
        asked = (
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
        query = "&".join(f"header={text}" for text in asked)
        for target in (f"/contracts?{query}", f"/contracts?bytes=9&{query}"):
            with self.subTest(target=target):
                headers = self.ask("GET", target, key=self.key).headers
                self.assertEqual(headers["x-kept"], "1")
                dropped = {text.partition(":")[0].lower() for text in asked}
                seen = dropped - {"x-kept"} & headers.keys()
                self.assertEqual(seen, set())


class Reporting(InterfaceTest):
    """Hosts that send figures to a listener of the test."""

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
            "look_up_seconds": LOOK_UP_SECONDS,
            "log_level": "debug",
        }
        super().setUpClass()

    def seen(self, part):
        """Returns the datagrams with a text in them, of all so far."""
        while True:
            try:
                self.datagrams.append(self.statsd.recv(65536).decode())
            except BlockingIOError:
                break
        return [text for text in self.datagrams if part in text]

    def wait_seen(self, part):
        return _common.wait_until(lambda: self.seen(part), what=part)

    def lines(self):
        text = self.running.hosts[self.host].text()
        return [line for line in text.splitlines() if "event=" in line]


class ReportsTest(Reporting):
    """Log lines and statsd of one host."""

    def test_statsd_gets_what_users_measure(self):
        self.ask("GET", "/contracts", key=self.key)
        self.wait_seen("gooseberryweir.latency.live:")
        batch = _declared.look_up(self.running, self.host, "ada")["tickets"]
        ticket = f"Idempotency-Key: {batch['prefix']}0"
        self.ask("POST", "/contracts/orders", ticket, key=self.key, body=b"x")
        self.wait_seen("gooseberryweir.latency.signing:")
        self.ask("GET", "/nowhere", key=self.key)
        self.wait_seen("gooseberryweir.refused.206:1|c")
        self.ask("POST", "/v1/hosts")
        self.wait_seen("gooseberryweir.refused.218:1|c")
        self.ask("GET", "/contracts", "Content-Length: -1")
        self.wait_seen("gooseberryweir.refused.208:1|c")
        for region in _declared.REGIONS:
            self.wait_seen(f"gooseberryweir.headroom.contracts.{region}:")
        self.wait_seen("gooseberryweir.worst_account.p99_ms:")
        self.wait_seen("gooseberryweir.worst_account.refused_share:0")
        for key in self.running.keys.values():
            self.assertEqual(self.seen(key), [])

    def test_refusals_within_rate(self):
        drains = {f"region/{name}": True for name in _declared.REGIONS}
        self.running.put("steeringobjects", "drains", {"drains": drains})
        _common.wait_until(
            lambda: self.ask("GET", "/contracts", key=self.key).status == 503
        )
        self.running.put("steeringobjects", "drains", {"drains": {}})
        self.wait_seen("gooseberryweir.refused_within_rate.ada:1|c")
        _common.wait_until(
            lambda: self.ask("GET", "/contracts", key=self.key).status == 200
        )

    def test_every_line_is_pairs_and_every_request_has_one(self):
        before = len(self.lines())
        for target in ("/contracts?line=1", "/nowhere", "/contracts/%2f"):
            self.ask("GET", target, key=self.key)
        self.ask("GET", "/contracts", "Content-Length: 1, 1")
        new = "\n".join(self.lines()[before:])
        self.assertEqual(new.count("event=route-chosen "), 1)
        self.assertEqual(new.count("event=request-refused "), 3)
        text = self.running.hosts[self.host].text()
        for line in text.splitlines():
            if line.startswith("ready "):
                continue
            stamp = STAMP.match(line)
            self.assertIsNotNone(stamp, line)
            pairs = line[stamp.end() :]
            left = PAIR.sub("", pairs).strip()
            self.assertEqual(left, "", line)
        self.check_no_key_text()

    def test_repeated_lines_are_limited_and_counted(self):
        event = "event=request-refused "

        def told():
            lines = [line for line in self.lines() if event in line]
            counts = [re.search(r" omitted=(\d+)", line) for line in lines]
            return len(lines), sum(int(found[1]) for found in counts if found)

        before = sum(told())
        connection = self.connect()
        connection.send(_raw.head("GET", "/nowhere") * PIPELINED)
        for _ in range(PIPELINED):
            self.assertEqual(connection.answer().status, 404)
        asked = PIPELINED

        def all_told():
            nonlocal asked
            asked += 1
            self.ask("GET", "/nowhere")
            return sum(told()) - before == asked

        _common.wait_until(all_told)
        lines, omitted = told()
        self.assertGreater(omitted, 0)
        self.assertLess(lines, before + PIPELINED)


class DrainReportTest(Reporting):
    """A host that leaves reports how long it took."""

    def test_drain(self):
        self.running.hosts[self.host].terminate()
        self.running.hosts[self.host].wait()
        self.wait_seen("gooseberryweir.drain:")
        self.assertIn(
            "event=host-drained ", self.running.hosts[self.host].text()
        )


class RepeatLimitTest(unittest.TestCase):
    """The limit on repeated lines, with a clock passed in."""

    def test_omitted_lines_are_counted(self):
        clock = clocks.ManualClock()
        limit = logs.RepeatLimit(clock.interface())

        def kept():
            event = logs.Event("again", {})
            record = logs.logging.LogRecord(
                "x", logs.logging.INFO, "", 0, "%s", (event,), None
            )
            return str(event) if limit.filter(record) else ""

        burst = int(logs.LINES_BURST)
        lines = [kept() for _ in range(burst + 7)]
        self.assertEqual(sum(map(bool, lines)), burst)
        clock.advance(1.0)
        self.assertEqual(kept(), "event=again omitted=7")


if __name__ == "__main__":
    unittest.main()
