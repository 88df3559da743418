"""Tests of reading the platform's settings file."""

import pathlib
import tempfile
import unittest

from gooseberryweir import codes
from gooseberryweir.platform import settings

SETTINGS_TEXT = """
nodeName = "front-a-1"
ip = "10.1.0.37"
zone = "a"
region = "north"
internalPortRange = [7560, 7575]
bounds = ["revoke=5000ms", "grace=6s", "budgetMargin=58", "strictRevoke=true"]
later = "a field that is not known"
[zones]
a = "north"
[listen]
front = "10.1.0.37:8388"
ready = "10.1.0.37:8384"
directory = "10.1.0.37:8383"
[platform]
address = "10.200.1.7:8382"
writesPerS = 400
"""


class SettingsTest(unittest.TestCase):
    """Reading of a valid, an invalid and a missing settings file."""

    def load(self, text):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory, "settings.toml")
        path.write_text(text)
        return settings.load_settings({settings.PATH_VARIABLE: str(path)})

    def load_error(self, text):
        with self.assertRaises(codes.UserError) as caught:
            self.load(text)
        self.assertEqual(caught.exception.code, codes.Code.BAD_SETTINGS)
        return caught.exception.message

    def test_a_valid_file_is_read(self):
        loaded = self.load(SETTINGS_TEXT)
        self.assertEqual(loaded.host, "front-a-1")
        self.assertEqual(loaded.peer_address, "10.1.0.37:7560")
        self.assertEqual(loaded.store_address, "10.200.1.7:8382")
        self.assertEqual(loaded.bounds.key_revocation, 5.0)
        self.assertEqual(loaded.bounds.retry_margin, 58.0)
        # The file does not set it, so the default applies.
        self.assertEqual(loaded.bounds.max_look_up_ttl, 5.0)

    def test_an_error_names_the_field(self):
        for old, new, expected in (
            ('zone = "a"', "zone = 5", "$.zone"),
            ('nodeName = "front-a-1"', "", "nodeName"),
            ('ready = "10.1.0.37:8384"', 'ready = "here"', "$.listen.ready"),
            ("revoke=5000ms", "revoke=soon", "bounds"),
            ('region = "north"', 'region = "south"', "zone"),
            ("[zones]", "[zones", "settings.toml"),
        ):
            with self.subTest(expected):
                self.assertIn(
                    expected, self.load_error(SETTINGS_TEXT.replace(old, new))
                )

    def test_a_missing_variable_or_file_is_an_error(self):
        with self.assertRaises(codes.UserError):
            settings.load_settings({})
        with self.assertRaises(codes.UserError):
            settings.load_settings({settings.PATH_VARIABLE: "/nonexistent"})


if __name__ == "__main__":
    unittest.main()
