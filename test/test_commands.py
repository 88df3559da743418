"""Tests of the operators' commands with a stand-in platform and fake hosts."""

import contextlib
import hashlib
import json
import pathlib
import re
import threading
from wsgiref import simple_server

import yaml

from gooseberryweir import codes
from gooseberryweir.commands import apply
from gooseberryweir.commands import drain
from gooseberryweir.commands import exit_codes
from gooseberryweir.commands import explain
from gooseberryweir.commands import key as keys
from gooseberryweir.commands import operator_client
from gooseberryweir.commands import status
from gooseberryweir.version import objects
from test import test_platform_client

KIND = objects.STEERING_OBJECTS
DOCUMENT = {
    "regions": {"centro": {"zones": ["a", "b"]}},
    "classes": {
        "live": {
            "importance": 1,
            "latency_ms": 100,
            "headroom": 0.1,
            "crash_limit": 2,
        }
    },
    "services": {"maps": {"work_ms": 20}},
    "routes": [
        {"path": "/maps", "methods": ["GET"], "service": "maps"}
        | {"class": "live", "idempotent": True, "open": False}
    ],
    "accounts": {"valle": {"rate": 10, "burst": 5}},
}


class SilentHandler(simple_server.WSGIRequestHandler):
    """Request handler that logs nothing."""

    def log_message(self, *arguments):
        pass


class FakeHost:
    """Operator port of a host, with answers that the test sets.

    Attributes:
        name: Name of the host.
        answers: Answer for each path, or a function that returns it for the
            document of the request.
        requests: Path and document of each request received.
        status: HTTP status of all answers.
        operator_address: Address of the port, `IP:PORT`.
    """

    def __init__(self, name):
        self.name = name
        self.answers = {"/v1/status": {"config_version": 10**6, "versions": {}}}
        self.requests = []
        self.status = 200
        self.server = simple_server.make_server(
            "127.0.0.1", 0, self, handler_class=SilentHandler
        )
        self.operator_address = f"127.0.0.1:{self.server.server_port}"
        self.thread = threading.Thread(target=self.server.serve_forever)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *error):
        self.server.shutdown()
        self.server.server_close()
        self.thread.join()

    def __call__(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        document = json.loads(environ["wsgi.input"].read(length) or b"{}")
        self.requests.append((environ["PATH_INFO"], document))
        answer = self.answers[environ["PATH_INFO"]]
        answer = answer(document) if callable(answer) else answer
        start_response(f"{self.status} X", [])
        return [json.dumps(answer).encode()]


class CommandCase(test_platform_client.PlatformCase):
    """Base class: lists two fake hosts and records the printed lines."""

    def setUp(self):
        super().setUp()
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.hosts = [
            stack.enter_context(FakeHost(name)) for name in ("c1", "c2")
        ]
        self.write_host_list()
        self.lines = []
        self.context = operator_client.CommandContext(
            self.api, (), "token", self.lines.append, self.clock.interface()
        )
        self.file = str(self.directory / "declaration.yaml")

    def write_host_list(self):
        endpoints = [
            {
                "name": host.name,
                "operator": host.operator_address,
                "leaving": False,
            }
            for host in self.hosts
        ]
        listed = {"endpoints": endpoints}
        self.put("hosts", listed, objects.ENDPOINT_SLICES)
        operators = {each["name"]: each for each in endpoints}
        for host in self.hosts:
            host.answers["/v1/status"]["operators"] = operators

    def apply(self, document, expect_version=None):
        pathlib.Path(self.file).write_text(yaml.safe_dump(document))
        return apply.apply_file(self.context, self.file, expect_version)

    def spec(self, name):
        return self.api.get(KIND, name).spec


class ApplyTest(CommandCase):
    """The `apply` command with valid, invalid and conflicting declarations."""

    def test_changes_are_printed_by_path(self):
        first = self.apply(DOCUMENT)
        changed = json.loads(json.dumps(DOCUMENT))
        changed["accounts"]["valle"]["rate"] = 20
        changed["accounts"]["norte"] = {"rate": 1, "burst": 1}
        changed["routes"][0]["path"] = "/radar"
        del self.lines[:]
        self.assertGreater(self.apply(changed, first), first)
        text = "\n".join(self.lines)
        self.assertIn("changed accounts.valle.rate: 10.0 -> 20.0", text)
        self.assertIn("added accounts.norte:", text)
        self.assertIn("added routes.[/radar]:", text)
        self.assertIn("removed routes.[/maps]:", text)
        self.assertRegex(text, r"in force at version \d+ on 2 hosts")

    def test_an_invalid_file_is_not_written(self):
        self.assert_fails(
            codes.Code.INVALID_DECLARATION, self.apply, {"regions": {}}
        )
        self.assertIsNone(self.api.get(KIND, "config"))

    def test_a_wrong_expected_version_is_a_conflict(self):
        version = self.apply(DOCUMENT, 0)
        message = self.assert_fails(
            codes.Code.CONFLICT, self.apply, DOCUMENT, 0
        )
        self.assertIn(f"version {version} now", message)

    def test_applying_the_same_declaration_again_writes_nothing(self):
        version = self.apply(DOCUMENT)
        self.assertEqual(self.apply(DOCUMENT), version)

    def test_hosts_that_lag_or_do_not_answer_are_named(self):
        self.hosts[1].answers["/v1/status"]["config_version"] = 1
        started_at = self.clock.now
        message = self.assert_fails(
            codes.Code.NOT_IN_FORCE, self.apply, DOCUMENT
        )
        self.assertIn("c2 (at version 1)", message)
        self.assertNotIn("c1", message)
        waited_seconds = self.clock.now - started_at
        self.assertGreaterEqual(
            waited_seconds, operator_client.ACTIVATION_TIMEOUT_SECONDS
        )
        self.hosts[1].operator_address = "127.0.0.1:1"
        self.write_host_list()
        message = self.assert_fails(
            codes.Code.NOT_IN_FORCE, self.apply, DOCUMENT
        )
        self.assertIn("c2 (no answer", message)


class KeyTest(CommandCase):
    """The commands `key issue` and `key withdraw`, also in an outage."""

    def setUp(self):
        super().setUp()
        self.put("config", {"declarations": DOCUMENT})
        for host in self.hosts:
            host.answers["/v1/status"]["versions"] = {
                f"{KIND}/keys.valle": 10**6
            }
        self.key = keys.issue(self.context, "valle")
        self.digest = hashlib.sha256(self.key.encode()).hexdigest()
        self.set_withdraw_answer(["c1", "c2"], [])

    def set_withdraw_answer(self, confirmed, missing):
        answer = {"confirmed": confirmed, "missing": missing}
        for host in self.hosts:
            host.answers["/v1/withdraw"] = lambda document: {
                **answer,
                "known": document["digest"] == self.digest,
            }

    def test_an_issued_key_is_printed_once_and_stored_as_digest(self):
        self.assertEqual(
            self.spec("keys.valle")["digests"], {self.digest: "issued"}
        )
        text = "\n".join(self.lines)
        self.assertEqual(text.count(self.key), 1)
        self.assertNotIn(self.key, json.dumps(self.spec("keys.valle")))
        self.assert_fails(
            codes.Code.INVALID_DECLARATION, keys.issue, self.context, "none"
        )

    def test_a_key_or_its_digest_is_withdrawn(self):
        for text in (f" {self.key}\n", self.digest):
            del self.lines[:]
            keys.withdraw(self.context, text)
            self.assertEqual(
                self.spec("keys.valle")["digests"], {self.digest: "withdrawn"}
            )
            self.assertIn("host c2: confirmed", "\n".join(self.lines))
            self.assertNotIn(self.key, "\n".join(self.lines))
        sent = json.dumps([host.requests for host in self.hosts])
        self.assertNotIn(self.key, sent)

    def test_a_key_in_the_form_of_a_digest_is_not_sent(self):
        key = "ab" * 32
        self.digest = hashlib.sha256(key.encode()).hexdigest()
        self.put("keys.valle", {"digests": {self.digest: "issued"}})
        keys.withdraw(self.context, key)
        self.assertEqual(
            self.spec("keys.valle")["digests"], {self.digest: "withdrawn"}
        )
        sent = json.dumps([host.requests for host in self.hosts])
        self.assertNotIn(key, sent)

    def test_a_key_withdrawal_in_an_outage_prints_the_confirmations(self):
        self.control(outage="refuse")
        context_with_address = self.context._replace(
            operator_addresses=[self.hosts[0].operator_address]
        )
        keys.withdraw(context_with_address, self.key)
        text = "\n".join(self.lines)
        self.assertIn("host c1: confirmed", text)
        self.assertIn("platform: not written", text)
        message = self.assert_fails(
            codes.Code.HOST_UNREACHABLE,
            keys.withdraw,
            self.context,
            self.key,
        )
        self.assertIn("not withdrawn anywhere", message)

    def test_hosts_that_did_not_confirm_are_named(self):
        self.set_withdraw_answer(["c1"], ["c2"])
        self.hosts[1].status = 503
        message = self.assert_fails(
            codes.Code.NOT_IN_FORCE, keys.withdraw, self.context, self.key
        )
        self.assertIn("c2", message)
        self.assertIn("platform: written", "\n".join(self.lines))

    def test_an_unknown_key_is_an_error(self):
        for text, code in (
            ("nonsense", codes.Code.UNKNOWN_KEY),
            ("two words", codes.Code.MALFORMED_KEY),
        ):
            self.assert_fails(code, keys.withdraw, self.context, text)


class DrainStatusExplainTest(CommandCase):
    """The commands `drain`, `status` and `explain`, and the exit codes."""

    def test_a_drain_is_set_once_and_removed(self):
        self.put("config", {"declarations": DOCUMENT})
        name = f"{KIND}/drains"
        for host in self.hosts:
            host.answers["/v1/status"]["versions"] = {name: 10**6}
        drain.drain(self.context, "region/centro")
        drain.drain(self.context, "region/centro")
        drains = self.api.get(KIND, "drains")
        self.assertEqual(drains.spec["drains"], {"region/centro": True})
        drain.undrain(self.context, "region/centro")
        self.assertEqual(self.spec("drains")["drains"], {})
        for target in ("region/none", "upstream/none", "centro"):
            self.assert_fails(
                codes.Code.BAD_PATH, drain.drain, self.context, target
            )

    def test_status_prints_a_line_for_each_host(self):
        self.hosts[1].status = 503
        status.show_status(self.context)
        self.assertIn("host=c1 leaving=False", self.lines[0])
        self.assertIn("host=c2 leaving=False error=", self.lines[1])

    def test_a_refused_token_is_reported(self):
        for host in self.hosts:
            host.status = 403
            host.answers["/v1/status"] = {"code": 505, "detail": "no"}
        self.assert_fails(
            codes.Code.FORBIDDEN, status.show_status, self.context
        )

    def test_explain_prints_each_reason(self):
        reasons = {"route": "/maps", "regions": [{"name": "centro"}]}
        self.hosts[0].answers["/v1/explain"] = reasons
        explain.explain(self.context, "GET", "/maps", "valle")
        self.assertEqual(self.lines, ["route=/maps", "regions[0].name=centro"])

    def test_exit_codes_match_the_reference(self):
        reference = pathlib.Path("docs/reference/commands.md").read_text()
        listed = dict(
            re.findall(
                r"^\| (\d) \| .* \| ([A-Z0-9_, x-]+) \|$", reference, re.M
            )
        )
        for number, names in listed.items():
            for name in filter(codes.Code.__members__.get, names.split(", ")):
                code = codes.Code[name]
                self.assertEqual(exit_codes.exit_code(code), int(number))
        self.assertEqual(sorted(listed), list("0123456"))
