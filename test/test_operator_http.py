"""Tests of the operator port, the choice of relays and key withdrawals.

Relays are the hosts that watch the platform themselves.
"""

import hashlib
import io
import json
import types
import unittest
import unittest.mock

from gooseberryweir import clock as clocks
from gooseberryweir.connection import messages
from gooseberryweir.connection import peer_link
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import freshness
from gooseberryweir.process.operators import operator_http
from gooseberryweir.process.upkeep import relay
from gooseberryweir.process.upkeep import withdrawals
from gooseberryweir.version import objects
from gooseberryweir.version import tables as tables_module
from test import test_platform_client

DIGEST = "ab" * 32
KEY_WITHDRAWAL_FACT = f"withdrawn/{DIGEST}"


def host_entry(name, region="centro"):
    address = "127.0.0.1:1"
    return tables_module.HostEntry(
        name, region, "a", address, address, address, False
    )


class FakePeering:
    """Peers that confirm a fact, answer without it or don't answer."""

    def __init__(self, confirming, unconfirming):
        self.confirming = confirming
        self.unconfirming = unconfirming

    def call(self, host, message, timeout):
        if host in self.confirming:
            return messages.Facts(message.facts)
        if host in self.unconfirming:
            return messages.Facts({})
        raise peer_link.PeerError("silent")


class OperatorPortTest(unittest.TestCase):
    """Answers of the operator port to valid, invalid and refused requests."""

    def setUp(self):
        self.facts = facts_module.Facts()
        token = hashlib.sha256(b"token").hexdigest()
        self.settings = types.SimpleNamespace(operator_token_digest=token)
        hosts = {name: host_entry(name) for name in ("c1", "c2", "c3", "c4")}
        self.context = operator_http.OperatorContext(
            settings=self.settings,
            membership=types.SimpleNamespace(host="c1"),
            tables=types.SimpleNamespace(hosts=hosts, keys={}),
            facts=self.facts,
            peering=FakePeering({"c2"}, {"c3"}),
            counters=dict,
            explain=lambda method, path, account: {"lines": [method + path]},
            clock=clocks.ManualClock().interface(),
        )

    def call(self, method, path, body=b"", token="token", query=""):
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(body)),
            "HTTP_AUTHORIZATION": f"Bearer {token}",
            "wsgi.input": io.BytesIO(body),
        }
        start_response = unittest.mock.Mock()
        application = operator_http.build_application(self.context)
        answer = json.loads(b"".join(application(environ, start_response)))
        return int(start_response.call_args.args[0].split()[0]), answer

    def test_requests_without_the_token_are_refused(self):
        for token in ("", "other", "tokén"):
            self.assertEqual(
                self.call("GET", "/v1/explain", token=token)[0], 403
            )
        self.settings.operator_token_digest = ""
        for token in ("", "token"):
            status, answer = self.call("GET", "/v1/status", token=token)
            self.assertEqual((status, answer["code"]), (403, 505))

    def test_a_key_withdrawal_lists_the_confirming_hosts(self):
        body = json.dumps({"digest": DIGEST}).encode()
        status, answer = self.call("POST", "/v1/withdraw", body)
        self.assertEqual(status, 200)
        self.assertEqual(answer["confirmed"], ["c1", "c2"])
        self.assertEqual(answer["missing"], ["c3", "c4"])
        self.assertEqual(self.facts.get(KEY_WITHDRAWAL_FACT), 1)

    def test_a_bad_digest_changes_nothing(self):
        for body in (b"", b"{}", b"[]", b'{"digest": "AB"}', b"x" * 5000):
            self.assertEqual(
                self.call("POST", "/v1/withdraw", body)[0] // 100, 4
            )
        self.assertEqual(self.facts.snapshot(), {})

    def test_explain_needs_a_path_and_unknown_routes_are_refused(self):
        _, answer = self.call("GET", "/v1/explain", query="path=/maps")
        self.assertEqual(answer, {"lines": ["GET/maps"]})
        self.assertEqual(self.call("GET", "/v1/explain")[0], 400)
        self.assertEqual(self.call("DELETE", "/v1/status")[0], 404)


class WithdrawalsTest(test_platform_client.PlatformCase):
    """Key withdrawals made in a platform outage are written when it ends.

    Only one host, the home of the resource `withdrawals`, writes them.
    """

    def test_the_home_writes_key_withdrawals_after_an_outage(self):
        facts = facts_module.Facts()
        facts.merge(
            {KEY_WITHDRAWAL_FACT: 1, "withdrawn/unknown": 1, "dead/c1": 1}
        )
        keys = {DIGEST: tables_module.KeyEntry("valle", False)}
        tables = types.SimpleNamespace(keys=keys)
        self.put("keys.valle", {"digests": {DIGEST: "issued", "x": "issued"}})
        self.control(outage="refuse")

        def write(home):
            membership = types.SimpleNamespace(
                host="c1", home_of=lambda resource: home
            )
            withdrawals.write_withdrawals(
                self.api, facts, tables, membership, self.clock.interface()
            )
            if self.control()["switches"]["outage"]:
                return None
            stored = self.api.get(objects.STEERING_OBJECTS, "keys.valle")
            return stored.version, stored.spec["digests"]

        self.assertIsNone(write("c1"))
        self.control(outage="")
        self.assertEqual(write("c2")[0], 1)
        expected = 2, {DIGEST: "withdrawn", "x": "issued"}
        self.assertEqual(write("c1"), expected)
        self.assertEqual(write("c1"), expected)


class RelayTest(unittest.TestCase):
    """Three hosts of a region are relays.

    A host without a recent confirmation that its objects are current becomes
    one too.
    """

    def test_the_number_of_relays_depends_on_confirmations(self):
        hosts = {f"c{number}": host_entry(f"c{number}") for number in range(12)}
        tables = types.SimpleNamespace(hosts=hosts)
        clock = clocks.ManualClock()
        current_freshness = freshness.Freshness(True, "relayed", 1.0)
        membership = types.SimpleNamespace(
            facts=facts_module.Facts(), freshness=lambda: current_freshness
        )
        predicates = [
            relay.relay_predicate(
                name, "centro", tables, membership, clock.interface()
            )
            for name in hosts
        ]

        def count_relays():
            return sum(is_relay() for is_relay in predicates)

        self.assertEqual(count_relays(), 3)
        current_freshness = freshness.Freshness(True, "relayed", 2.5)
        self.assertEqual(count_relays(), 12)
        current_freshness = freshness.Freshness(True, "relayed", 1.0)
        self.assertEqual(count_relays(), 12)
        clock.advance(relay.TEMPORARY_RELAY_SECONDS)
        self.assertEqual(count_relays(), 3)
        current_freshness = freshness.Freshness(True, "outage", 2.5)
        self.assertEqual(count_relays(), 3)
        current_freshness = freshness.Freshness(False, "none", 9.0)
        self.assertEqual(count_relays(), 12)
