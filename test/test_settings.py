"""Tests of the settings: precedence of sources and reports of all errors."""

import pathlib
import tempfile
import unittest

from gooseberryweir import codes
from gooseberryweir.process import settings
from gooseberryweir.version import validation

_REFERENCE = pathlib.Path(__file__).parent.parent / "docs/reference/settings.md"
_REQUIRED = {
    "host": "c1",
    "region": "centro",
    "zone": "centro-a",
    "platform": "http://127.0.0.1:8000",
}


def _load(text="", environ=None, **flags):
    with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
        file.write(text)
        file.flush()
        return settings.load_settings(
            file.name if text else None, environ or {}, flags
        )


class SettingsTest(unittest.TestCase):
    """Valid and invalid settings from defaults, file, environment and flags."""

    def test_later_sources_override_earlier_ones(self):
        loaded = _load(
            "log_level: debug\nmax_body_bytes: 1\nmax_open_requests: 1\n",
            {
                "GOOSEBERRYWEIR_MAX_BODY_BYTES": "2",
                "GOOSEBERRYWEIR_MAX_OPEN_REQUESTS": "2",
                "GOOSEBERRYWEIR_PEERS": "127.0.0.1:1, [::1]:2",
                "OTHER": "x",
            },
            **_REQUIRED,
            max_open_requests=3,
            drain_seconds=None,
        )
        self.assertEqual(loaded.log_level, "debug")
        self.assertEqual(loaded.max_body_bytes, 2)
        self.assertEqual(loaded.max_open_requests, 3)
        self.assertEqual(loaded.peers, ("127.0.0.1:1", "[::1]:2"))
        self.assertEqual(loaded.drain_seconds, 60.0)

    def test_every_error_is_reported_with_its_source(self):
        with self.assertRaises(codes.UserError) as caught:
            _load(
                "log_level: loud\nhots: c1\npeers: [localhost:1]\n",
                {"GOOSEBERRYWEIR_LOOK_UP_SECONDS": "0"},
                operator_token_digest="hush",
                max_body_bytes=True,
            )
        message = caught.exception.message
        self.assertEqual(caught.exception.code, codes.Code.BAD_SETTINGS)
        for expected_text in (
            "hots: unknown; did you mean 'host'?",
            "log_level: 'loud'",
            "peers[0]: 'localhost:1'",
            "environment: GOOSEBERRYWEIR_LOOK_UP_SECONDS: '0'",
            "flags: --max-body-bytes: True",
            "defaults: zone: '': is required",
        ):
            self.assertIn(expected_text, message)
        self.assertNotIn("hush", message)

    def test_an_address_needs_a_numeric_ip_and_a_port(self):
        for text in (
            "localhost:1", "1.2.3.4", "1.2.3.4:65536", "1.2.3.4:-1",
            "1.2.3.4:٣", "::1:2", "[1.2.3.4]:1", "[fe80::1%lo]:1",
            "01.2.3.4:1", ":1", "1.2.3.4:", "1.2.3.4:1 ",
        ):  # fmt: skip
            with self.subTest(text), self.assertRaises(ValueError):
                validation.parse_address(text)
        self.assertEqual(validation.parse_address("[::1]:0"), ("::1", 0))

    def test_the_platform_url_needs_a_numeric_ip_and_a_port(self):
        for text in ("127.0.0.1:1", "http://a:1", "http://127.0.0.1:1/x"):
            with self.subTest(text), self.assertRaises(codes.UserError):
                _load(**{**_REQUIRED, "platform": text})

    def test_the_reference_lists_every_setting(self):
        rows = _REFERENCE.read_text().splitlines()
        listed = [row.split("`")[1] for row in rows if row.startswith("| `")]
        self.assertEqual(listed, list(settings.Settings._fields))
