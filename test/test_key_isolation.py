"""Isolation of accounts: requests run for the account of their key only.

Also checks that the key itself does not leave the host that receives it.
"""

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
REQUESTS_PER_ACCOUNT = 80
LARGE_ANSWER_BYTES = 300_000
ACCOUNTS = tuple(f"union-{number}" for number in range(8))
CONNECTION_ERRORS = (urllib3.exceptions.HTTPError, OSError)


class IsolationTest(unittest.TestCase):
    """Answers reach only their caller; requests run for their key's account.

    Many accounts send concurrent requests over persistent connections; some
    answers are truncated by the upstream, and some callers disconnect.
    """

    def setUp(self):
        rates = dict.fromkeys(
            (*_deployments.ACCOUNTS, *ACCOUNTS), (1000.0, 1000)
        )
        document = _deployments.declarations(rates)
        self.running = self.enterContext(
            _deployments.deployment(3, 3, 9, document=document)
        )
        _deployments.wait_serving(self.running)
        self.host_names = list(self.running.host_specs)

    def test_each_answer_belongs_to_its_caller(self):
        with concurrent.futures.ThreadPoolExecutor(len(ACCOUNTS)) as pool:
            complete = list(pool.map(self.send_requests, ACCOUNTS))
        self.assertTrue(
            all(count >= REQUESTS_PER_ACCOUNT // 4 for count in complete),
            complete,
        )
        for report in self.running.reports().values():
            accounts = {*ACCOUNTS, *_deployments.ACCOUNTS}
            self.assertLessEqual(set(report["accounts"]), accounts)
            for _, account, _, identifier in report["starts"]:
                if identifier.startswith("union-"):
                    self.assertEqual(identifier.partition("/")[0], account)

    def send_requests(self, account):
        """Sends requests of an account; counts the complete answers."""
        rng = random.Random(f"{SEED} {account}")
        batch = _deployments.look_up(self.running, self.host_names[0], account)
        actions = (
            self.send_echo_request,
            self.send_echo_request,
            self.get_large_answer,
            self.send_order,
            self.get_truncated_answer,
            self.disconnect_early,
            self.disconnect_mid_answer,
        )
        complete = 0
        for number in range(REQUESTS_PER_ACCOUNT):
            host = rng.choice(self.host_names)
            ticket = f"{batch['tickets']['prefix']}{number}"
            nonce = f"{account}/{number}"
            action = rng.choice(actions)
            with contextlib.suppress(*CONNECTION_ERRORS):
                complete += action(host, account, nonce, ticket)
        return complete

    def send(self, host, account, method, path, nonce, **options):
        """Sends a request with a header that names the first account."""
        headers = {
            "Gooseberryweir-Account": ACCOUNTS[0],
            "Idempotency-Key": nonce,
            **options.pop("headers", {}),
        }
        return self.running.call(
            host, method, path, account, headers=headers, **options
        )

    def check_echo(self, answer, account, nonce, body):
        """Checks the request echoed by the upstream; returns True if it ran."""
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

    def send_echo_request(self, host, account, nonce, _ticket):
        body = nonce.encode() * 50
        path = f"/contracts?n={nonce}"
        answer = self.send(host, account, "PUT", path, nonce, body=body)
        return self.check_echo(answer, account, nonce, body)

    def send_order(self, host, account, nonce, ticket):
        """Sends a request with a ticket; every other request times out.

        A host that did not issue the ticket forwards the request to a peer.
        """
        body = nonce.encode() * 50
        times_out = int(nonce.rpartition("/")[2]) % 2
        path = f"/contracts/orders?n={nonce}&sleep_ms={150 if times_out else 5}"
        headers = {"Idempotency-Key": ticket}
        if times_out:
            headers["Request-Timeout"] = "0.1"
        answer = self.send(
            host, account, "POST", path, nonce, body=body, headers=headers
        )
        return self.check_echo(answer, account, nonce, body)

    def get_large_answer(self, host, account, nonce, _ticket):
        path = f"/contracts?bytes={LARGE_ANSWER_BYTES}"
        answer = self.send(host, account, "GET", path, nonce)
        if answer.status != 200:
            return False
        self.assertEqual(
            answer.data, serving.payload(nonce, LARGE_ANSWER_BYTES)
        )
        return True

    def get_truncated_answer(self, host, account, nonce, _ticket):
        path = f"/contracts?bytes={LARGE_ANSWER_BYTES}&short"
        answer = self.send(host, account, "GET", path, nonce)
        self.assertNotEqual(
            answer.status, 200, "a truncated answer was returned as complete"
        )
        return False

    def disconnect_early(self, host, account, nonce, _ticket):
        path = "/contracts?sleep_ms=200"
        self.send(host, account, "GET", path, nonce, timeout=0.05)
        return False

    def disconnect_mid_answer(self, host, account, nonce, _ticket):
        path = f"/contracts?bytes={LARGE_ANSWER_BYTES}"
        answer = self.send(
            host, account, "GET", path, nonce, preload_content=False
        )
        answer.read(1000)
        answer.close()
        return False


class RecordingProxy(socketserver.ThreadingTCPServer):
    """Forwards connections to an address and records all bytes.

    Attributes:
        target: IP address and port to which connections are forwarded.
        recorded: Bytes sent in both directions, over all connections.
    """

    allow_reuse_address = True
    daemon_threads = True

    def __init__(self, target):
        super().__init__(("127.0.0.1", 0), RecordedConnection)
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.recorded = bytearray()

    def __enter__(self):
        threading.Thread(target=self.serve_forever, daemon=True).start()
        return super().__enter__()

    def __exit__(self, *exception):
        self.shutdown()
        super().__exit__(*exception)


class RecordedConnection(socketserver.BaseRequestHandler):
    """Forwards and records one connection."""

    def handle(self):
        with socket.create_connection(self.server.target) as target:
            reverse = threading.Thread(
                target=self.copy, args=(target, self.request), daemon=True
            )
            reverse.start()
            self.copy(self.request, target)
            reverse.join(1)

    def copy(self, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                self.server.recorded += data
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)


class SecrecyTest(unittest.TestCase):
    """A key sent in any part of a request does not leave the receiving host.

    Upstreams, logs, metrics and peer links never contain its text.
    """

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
        self.host_names = list(self.running.host_specs)
        self.key = self.running.keys["ada"]

    def record_peer_traffic(self, host):
        """Routes new connections from peers of a host through a recorder."""
        target = self.running.hosts[host].address("peer")
        recorder = self.enterContext(RecordingProxy(target))
        port = recorder.server_address[1]
        self.running.register_address(f"peer:{host}", f"127.0.0.1:{port}")
        self.running.set_rules(f"*>peer:{host}", reset=True)
        _common.wait_until(lambda: len(recorder.recorded) > 1000)
        return recorder

    def send_raw(self, host, target, *headers, method="GET"):
        """Sends a request with these exact header lines; returns the status."""
        port = self.running.hosts[host].ports["caller"]
        start = [f"{method} {target} HTTP/1.1", "Host: weir"]
        head = "\r\n".join([*start, "Connection: close", *headers, "", ""])
        with socket.create_connection(("127.0.0.1", port), 10) as caller:
            caller.sendall(head.encode())
            answer = b""
            while data := caller.recv(65_536):
                answer += data
        self.assertNotIn(self.key.encode(), answer)
        return int(answer.split()[1])

    def test_the_key_does_not_leave_the_host(self):
        key = self.key
        authorization = f"Authorization: Bearer {key}"
        escaped = f"%{ord(key[0]):02X}{key[1:]}"
        accepted = [
            (f"authorization: bearer {key}",),
            (f"AUTHORIZATION: BEARER {key}",),
            (f"aUtHoRiZaTiOn:Bearer   {key}  ",),
            (authorization, f"Proxy-Authorization: Bearer {key}"),
            (authorization, f"Cookie: session={key}; b=1"),
            (authorization, f"X-Api-Key: {key}", f"x-api-key: {key.upper()}"),
            (authorization, f"X-Token: {escaped}"),
            (authorization, f"{key}: 1"),
            (authorization, f"{key.upper()}: 1"),
            (authorization, f"X-Listed: {key}", "Connection: X-Listed"),
            (authorization, f"Gooseberryweir-Account: {key}"),
            (authorization, f"Idempotency-Key: {key}"),
        ]
        refused = [
            (authorization, authorization),
            (authorization, authorization.lower()),
            (f"Authorization: Bearer {key}, Bearer {key}",),
            (f"Authorization: Basic {key}",),
            (f"Authorization : Bearer {key}",),
            (f"X-Folded: 1\r\n {authorization}",),
            (f"X-Api-Key: {key}",),
        ]
        recorder = self.record_peer_traffic(self.host_names[1])
        for host in self.host_names:
            self.assert_served(host, *accepted[0])
            for headers in accepted:
                status = self.send_raw(host, "/contracts", *headers)
                self.assertIn(status, (200, 429, 503), headers)
            for headers in refused:
                status = self.send_raw(host, "/contracts", *headers)
                self.assertIn(status, (400, 401), headers)
            for text in (key, key.upper(), escaped):
                for target in (f"/contracts/{text}", f"/contracts?k={text}"):
                    self.assertEqual(
                        self.send_raw(host, target, authorization), 401
                    )
            self.send_order(host, authorization)
        self.check_key_absent(recorder)

    def assert_served(self, host, *headers):
        _common.wait_until(
            lambda: self.send_raw(host, "/contracts", *headers) == 200
        )

    def send_order(self, host, authorization):
        """Sends an order whose ticket was issued by another host."""
        issuer = next(name for name in self.host_names if name != host)
        batch = _deployments.look_up(self.running, issuer, "ada")["tickets"]
        status = self.send_raw(
            host,
            "/contracts/orders",
            authorization,
            f"Idempotency-Key: {batch['prefix']}1",
            f"Cookie: {self.key}",
            "Content-Length: 0",
            method="POST",
        )
        self.assertIn(status, (200, 429, 503))

    def check_key_absent(self, recorder):
        texts = {
            name: process.output()
            for name, process in (
                *self.running.hosts.items(),
                *self.running.upstreams.items(),
                ("platform", self.running.platform),
            )
        }
        texts["peers"] = recorder.recorded.decode("latin-1")
        texts["metrics"] = self.read_metrics()
        for name, report in self.running.reports().items():
            texts[f"{name} saw"] = json.dumps(report)
        for name, text in texts.items():
            self.assertNotIn(self.key.lower(), text.lower(), name)
        self.assertIn("contracts/orders", texts["peers"])
        self.assertIn("latency", texts["metrics"])
        self.assertIn("request", texts[self.host_names[0]])

    def read_metrics(self):
        """Returns the text of the metrics received so far."""
        recorded = b""
        with contextlib.suppress(TimeoutError):
            while True:
                recorded += self.metrics.recv(65_536)
        return recorded.decode()


if __name__ == "__main__":
    unittest.main()
