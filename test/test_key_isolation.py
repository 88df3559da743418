"""Requests run for the account of their key, and nobody else sees the key."""

import concurrent.futures
import contextlib
import hashlib
import json
import random
import socket
import socketserver
import threading
import unittest

import urllib3

from test import _common
from test import _deployments
from test.standins import serving

SEED = 3
REQUESTS = 80
LARGE_BYTES = 300_000
ACCOUNTS = tuple(f"union-{number}" for number in range(8))
FAULTS = (urllib3.exceptions.HTTPError, OSError)


class IsolationTest(unittest.TestCase):
    """Many accounts at once, on kept connections, with answers cut short."""

    def setUp(self):
        wide = dict.fromkeys(
            (*_deployments.ACCOUNTS, *ACCOUNTS), (1000.0, 1000)
        )
        document = _deployments.declarations(wide)
        self.running = self.enterContext(
            _deployments.deployment(3, 3, 9, document=document)
        )
        _deployments.wait_serving(self.running)
        self.names = list(self.running.host_specs)

    def test_each_answer_is_for_its_caller(self):
        with concurrent.futures.ThreadPoolExecutor(len(ACCOUNTS)) as pool:
            whole = list(pool.map(self.converse, ACCOUNTS))
        self.assertTrue(all(count >= REQUESTS // 4 for count in whole), whole)
        for report in self.running.reports().values():
            known = {*ACCOUNTS, *_deployments.ACCOUNTS}
            self.assertLessEqual(set(report["accounts"]), known)
            for _, account, _, identifier in report["starts"]:
                if identifier.startswith("union-"):
                    self.assertEqual(identifier.partition("/")[0], account)

    def converse(self, account):
        """Sends an account's requests; returns how many answers were whole."""
        source = random.Random(f"{SEED} {account}")
        batch = _deployments.look_up(self.running, self.names[0], account)
        actions = (
            self.echo,
            self.echo,
            self.large,
            self.order,
            self.short,
            self.leave_early,
            self.leave_mid_answer,
        )
        whole = 0
        for number in range(REQUESTS):
            host = source.choice(self.names)
            ticket = f"{batch['tickets']['prefix']}{number}"
            nonce = f"{account}/{number}"
            action = source.choice(actions)
            with contextlib.suppress(*FAULTS):
                whole += action(host, account, nonce, ticket)
        return whole

    def send(self, host, account, method, path, nonce, **options):
        """Sends a request that claims another account in a header."""
        headers = {
            "Gooseberryweir-Account": ACCOUNTS[0],
            "Idempotency-Key": nonce,
            **options.pop("headers", {}),
        }
        return self.running.call(
            host, method, path, account, headers=headers, **options
        )

    def check_echo(self, answer, account, nonce, body):
        """Checks what the upstream says it got; returns whether it ran."""
        if answer.status != 200:
            return False
        echo = answer.json()
        accounts = [
            value
            for name, value in echo["headers"]
            if name.lower() == "gooseberryweir-account"
        ]
        self.assertEqual(accounts, [account])
        self.assertEqual(echo["query"].partition("&")[0], f"n={nonce}")
        digest = hashlib.sha256(body).hexdigest()
        self.assertEqual(echo["body_sha256"], digest)
        return True

    def echo(self, host, account, nonce, _ticket):
        body = nonce.encode() * 50
        path = f"/contracts?n={nonce}"
        answer = self.send(host, account, "PUT", path, nonce, body=body)
        return self.check_echo(answer, account, nonce, body)

    def order(self, host, account, nonce, ticket):
        """Goes through the peers; one in two has a deadline too short."""
        body = nonce.encode() * 50
        late = int(nonce.rpartition("/")[2]) % 2
        path = f"/contracts/orders?n={nonce}&sleep_ms={150 if late else 5}"
        headers = {"Idempotency-Key": ticket}
        if late:
            headers["Request-Timeout"] = "0.1"
        answer = self.send(
            host, account, "POST", path, nonce, body=body, headers=headers
        )
        return self.check_echo(answer, account, nonce, body)

    def large(self, host, account, nonce, _ticket):
        path = f"/contracts?bytes={LARGE_BYTES}"
        answer = self.send(host, account, "GET", path, nonce)
        if answer.status != 200:
            return False
        self.assertEqual(answer.data, serving.payload(nonce, LARGE_BYTES))
        return True

    def short(self, host, account, nonce, _ticket):
        path = f"/contracts?bytes={LARGE_BYTES}&short"
        answer = self.send(host, account, "GET", path, nonce)
        self.assertNotEqual(answer.status, 200, "a short answer came as whole")
        return False

    def leave_early(self, host, account, nonce, _ticket):
        path = "/contracts?sleep_ms=200"
        self.send(host, account, "GET", path, nonce, timeout=0.05)
        return False

    def leave_mid_answer(self, host, account, nonce, _ticket):
        path = f"/contracts?bytes={LARGE_BYTES}"
        answer = self.send(
            host, account, "GET", path, nonce, preload_content=False
        )
        answer.read(1000)
        answer.close()
        return False


class Recorder(socketserver.ThreadingTCPServer):
    """Carries connections to an address and keeps the bytes of both ways."""

    allow_reuse_address = True
    daemon_threads = True

    def __init__(self, target):
        super().__init__(("127.0.0.1", 0), Recording)
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.kept = bytearray()

    def __enter__(self):
        threading.Thread(target=self.serve_forever, daemon=True).start()
        return super().__enter__()

    def __exit__(self, *exception):
        self.shutdown()
        super().__exit__(*exception)


class Recording(socketserver.BaseRequestHandler):
    """One recorded connection."""

    def handle(self):
        with socket.create_connection(self.server.target) as far:
            back = threading.Thread(
                target=self.copy, args=(far, self.request), daemon=True
            )
            back.start()
            self.copy(self.request, far)
            back.join(1)

    def copy(self, source, sink):
        with contextlib.suppress(OSError):
            while piece := source.recv(65_536):
                self.server.kept += piece
                sink.sendall(piece)
            sink.shutdown(socket.SHUT_WR)


class SecrecyTest(unittest.TestCase):
    """No upstream, log, metric or peer link holds a key's text."""

    def setUp(self):
        self.metrics = self.enterContext(
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        )
        self.metrics.bind(("127.0.0.1", 0))
        self.metrics.settimeout(0.5)
        settings = {
            "statsd": f"127.0.0.1:{self.metrics.getsockname()[1]}",
            "log_level": "debug",
        }
        self.running = self.enterContext(
            _deployments.deployment(2, 3, 9, proxied=True, settings=settings)
        )
        _deployments.wait_serving(self.running)
        self.names = list(self.running.host_specs)
        self.key = self.running.keys["ada"]

    def record(self, host):
        """Leads new connections of a host's peers through a recorder."""
        target = self.running.hosts[host].address("peer")
        recorder = self.enterContext(Recorder(target))
        port = recorder.server_address[1]
        self.running.link(f"peer:{host}", f"127.0.0.1:{port}")
        self.running.set_rules(f"*>peer:{host}", reset=True)
        _common.wait_until(lambda: len(recorder.kept) > 1000)
        return recorder

    def ask(self, host, target, *headers, method="GET"):
        """Sends a request as it stands here; returns the status."""
        port = self.running.hosts[host].ports["caller"]
        start = [f"{method} {target} HTTP/1.1", "Host: weir"]
        head = "\r\n".join([*start, "Connection: close", *headers, "", ""])
        with socket.create_connection(("127.0.0.1", port), 10) as caller:
            caller.sendall(head.encode())
            answer = b""
            while piece := caller.recv(65_536):
                answer += piece
        self.assertNotIn(self.key.encode(), answer)
        return int(answer.split()[1])

    def test_the_key_stays_with_the_host(self):
        key = self.key
        good = f"Authorization: Bearer {key}"
        escaped = f"%{ord(key[0]):02X}{key[1:]}"
        accepted = [
            (f"authorization: bearer {key}",),
            (f"AUTHORIZATION: BEARER {key}",),
            (f"aUtHoRiZaTiOn:Bearer   {key}  ",),
            (good, f"Proxy-Authorization: Bearer {key}"),
            (good, f"Cookie: session={key}; b=1"),
            (good, f"X-Api-Key: {key}", f"x-api-key: {key.upper()}"),
            (good, f"X-Token: {escaped}"),
            (good, f"{key}: 1"),
            (good, f"{key.upper()}: 1"),
            (good, f"X-Listed: {key}", "Connection: X-Listed"),
            (good, f"Gooseberryweir-Account: {key}"),
            (good, f"Idempotency-Key: {key}"),
        ]
        refused = [
            (good, good),
            (good, good.lower()),
            (f"Authorization: Bearer {key}, Bearer {key}",),
            (f"Authorization: Basic {key}",),
            (f"Authorization : Bearer {key}",),
            (f"X-Folded: 1\r\n {good}",),
            (f"X-Api-Key: {key}",),
        ]
        recorder = self.record(self.names[1])
        for host in self.names:
            self.assert_served(host, *accepted[0])
            for headers in accepted:
                status = self.ask(host, "/contracts", *headers)
                self.assertIn(status, (200, 429, 503), headers)
            for headers in refused:
                status = self.ask(host, "/contracts", *headers)
                self.assertIn(status, (400, 401), headers)
            for text in (key, key.upper(), escaped):
                for target in (f"/contracts/{text}", f"/contracts?k={text}"):
                    self.assertEqual(self.ask(host, target, good), 401)
            self.order(host, good)
        self.check_nowhere(recorder)

    def assert_served(self, host, *headers):
        _common.wait_until(
            lambda: self.ask(host, "/contracts", *headers) == 200
        )

    def order(self, host, good):
        """Sends an order whose ticket the other host issued."""
        other = next(name for name in self.names if name != host)
        batch = _deployments.look_up(self.running, other, "ada")["tickets"]
        status = self.ask(
            host,
            "/contracts/orders",
            good,
            f"Idempotency-Key: {batch['prefix']}1",
            f"Cookie: {self.key}",
            "Content-Length: 0",
            method="POST",
        )
        self.assertIn(status, (200, 429, 503))

    def check_nowhere(self, recorder):
        places = {
            name: process.output()
            for name, process in (
                *self.running.hosts.items(),
                *self.running.upstreams.items(),
                ("platform", self.running.platform),
            )
        }
        places["peers"] = recorder.kept.decode("latin-1")
        places["metrics"] = self.datagrams()
        for name, report in self.running.reports().items():
            places[f"{name} saw"] = json.dumps(report)
        for name, text in places.items():
            self.assertNotIn(self.key.lower(), text.lower(), name)
        self.assertIn("contracts/orders", places["peers"])
        self.assertIn("latency", places["metrics"])
        self.assertIn("request", places[self.names[0]])

    def datagrams(self):
        """Returns the metrics that have come."""
        kept = b""
        with contextlib.suppress(TimeoutError):
            while True:
                kept += self.metrics.recv(65_536)
        return kept.decode()


if __name__ == "__main__":
    unittest.main()
