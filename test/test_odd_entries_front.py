"""Tests of odd entries of another writer in the store, with real processes.

Each is very deeply nested, or has a number that is too large or a port out of
range. Hosts have to go on serving and following the store.
"""

import contextlib
import pathlib
import signal
import socket
import struct
import tempfile
import time
import tomllib
import unittest

from test import _common
from test import _front
from test import _odd_entries
from test import test_upgrade
from test.standins import threaded_upstream

# The platform's bound on a change of the configuration or of the upstreams.
APPLY_SECONDS = 2.5
# The platform's bound on an evacuation.
EVACUATION_SECONDS = 5.0


class OddEntriesTest(unittest.TestCase):
    """Three hosts and one odd entry in each kind of objects of the store."""

    def setUp(self):
        self.stack = self.enterContext(contextlib.ExitStack())
        self.system = _front.System(self.stack)
        self.store = self.system.store
        other = self.stack.enter_context(
            threaded_upstream.ThreadedUpstream("i-b", "work", "south-a")
        )
        self.store.put("servers", other.name, other.entry())
        self.pids = [each.process.pid for each in self.system.hosts]

    def put_all(self, odd_value, odd_address="127.0.0.1:80"):
        """Writes an odd entry of each kind.

        Args:
            odd_value: JSON of a value, in the place of a number.
            odd_address: Address of the upstream and the host.
        """
        upstream = {
            **self.system.upstreams[0].entry(),
            "address": odd_address,
            "zone": "south-a",
        }
        host = ["odd", "1", odd_address, odd_address, "south-a", "south"]
        configuration = _front.configuration(2)
        cases = [
            ("servers", "odd", upstream, "slots"),
            # Valid apart from an unknown field, but in the evacuated zone.
            ("servers", "odd-2", {**upstream, "zone": "north-a"}, "other"),
            ("gooseberryweir-hosts", "odd", [*host, 0], len(host)),
            ("evacuations", "north-a", {"other": 0}, "other"),
            ("config", "odd", configuration, "other"),
        ]
        for kind, name, spec, place in cases:
            document = _odd_entries.stored(name, spec, "@revision@")
            text = _odd_entries.with_value(
                document, ("spec", place), odd_value
            ).replace('"@revision@"', "@revision@")
            self.store.put_raw(kind, name, text)
        self.put_configuration(odd_value)

    def put_configuration(self, odd_value):
        """Writes a configuration with an odd value in an unknown field."""
        document = _odd_entries.stored("main", _front.configuration(2))
        text = _odd_entries.with_value(document, ("spec", "other"), odd_value)
        self.store.put_raw("config", "main", text)

    def call_all(self, path, count):
        """Returns the statuses of requests to each host."""
        return [
            _front.call(host.address, path).status
            for host in self.system.hosts
            for _ in range(count)
        ]

    def check(self, odd_value, odd_address="127.0.0.1:80"):
        """Checks that hosts serve and follow the store beside odd entries."""
        self.put_all(odd_value, odd_address)
        time.sleep(EVACUATION_SECONDS)
        # The configuration in force stays.
        self.assertEqual(set(self.call_all("/open/1", 10)), {200})
        before = [len(each.runs) for each in self.system.upstreams]
        self.assertEqual(set(self.call_all("/open/1", 10)), {200})
        after = [len(each.runs) for each in self.system.upstreams]
        self.assertEqual(before, after, "the zone is evacuated")
        configuration = _front.configuration_with_route("new", 3, "new")
        self.store.put("config", "main", configuration)
        upstream = self.stack.enter_context(
            threaded_upstream.ThreadedUpstream("i-new", "new", "south-a")
        )
        self.store.put("servers", upstream.name, upstream.entry())
        _front.wait_until_served(self.system.hosts, "/new/1", APPLY_SECONDS)
        self.assertEqual(set(self.call_all("/read/1", 10)), {200})
        self.assert_nothing_failed()

    def assert_nothing_failed(self):
        """Checks that no process or task of one has ended."""
        for host, pid in zip(self.system.hosts, self.pids, strict=True):
            self.assertIsNone(host.process.poll(), host.name)
            self.assertEqual(host.process.pid, pid)
            self.assertEqual(len(host.log_lines("event=host-started")), 1)
            self.assertEqual(host.log_lines("task-failed"), [], host.name)
            self.assertEqual(host.log_lines("Traceback"), [], host.name)

    # Each guards against hosts that end, stop following the store or leave
    # requests without an answer after such an entry.
    def test_an_entry_that_is_deeply_nested(self):
        self.put_all(_odd_entries.nested_lists(1_000))
        self.put_all(_odd_entries.nested_objects(100_000))
        self.check(_odd_entries.nested_lists(300_000))

    def test_an_entry_with_a_huge_number(self):
        for value in (str(2**63), "9" * 400, "1e400"):
            self.put_all(value)
        self.check(str(2**64))

    def test_an_entry_with_a_port_out_of_range(self):
        for address in _odd_entries.ADDRESSES:
            self.put_all("8", address)
        self.check("8", "127.0.0.1:99999")

    # Guards against hosts that end or lose each other after garbage.
    def test_garbage_at_the_port_for_heartbeats(self):
        deep = b"\x91" * 100_000
        contents = [b"", b"\xc1", b"GET / HTTP/1.1\r\n\r\n", deep, b"\xdf" * 9]
        for host in self.system.hosts:
            settings = tomllib.loads(host.settings_path.read_text())
            port = settings["internalPortRange"][0]
            for content in contents:
                for flag in (0, 1 << 30, 1 << 31):
                    with socket.create_connection((host.ip, port)) as peer:
                        length = struct.pack("!I", len(content) | flag)
                        peer.sendall(length + content)
            for frame in (b"\x00", b"\x3f\xff\xff\xff", b"\xff" * 9):
                with socket.create_connection((host.ip, port)) as peer:
                    peer.sendall(frame)
        time.sleep(APPLY_SECONDS)
        self.assertEqual(set(self.call_all("/read/1", 10)), {200})
        self.assert_nothing_failed()


class EarlierBuildTest(unittest.TestCase):
    """Two hosts of an earlier build, which check less, and one of this."""

    # Guards against requests that are answered 500 for an address that a host
    # of an earlier build passed on.
    def test_requests_are_served_beside_a_port_out_of_range(self):
        stack = self.enterContext(contextlib.ExitStack())
        directory = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        commit = test_upgrade.BUILD_WITHOUT_ERAS
        if not test_upgrade.unpack_build(commit, directory):
            self.skipTest(f"the history lacks {commit}")
        system = _front.System(stack, root=directory)
        host = system.hosts[2]
        host.process.send_signal(signal.SIGTERM)
        host.process.wait(timeout=test_upgrade.EXIT_SECONDS)
        host.root = _common.ROOT
        host.start()
        _common.wait_until(host.ready, description=f"{host.name} is ready")
        entry = system.upstreams[0].entry()
        entry["address"] = "127.0.0.1:99999"
        system.store.put("servers", "odd", entry)
        time.sleep(APPLY_SECONDS)
        statuses = [
            _front.call(
                host.address, f"/{route}/{number}", Affinity_Key=str(number)
            ).status
            for route in ("read", "write")
            for number in range(60)
        ]
        self.assertEqual(set(statuses), {200})
        self.assertEqual(host.log_lines("Traceback"), [])


if __name__ == "__main__":
    unittest.main()
