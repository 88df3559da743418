"""Tests of connecting to addresses that others wrote.

Hosts of earlier builds pass on entries whose port they did not check.
"""

import unittest

from gooseberryweir import clock as clocks
from gooseberryweir.connection import addresses
from gooseberryweir.connection import byte_budget
from gooseberryweir.connection import messages
from gooseberryweir.connection import peer_link
from gooseberryweir.connection import upstream_pool
from gooseberryweir.process.fleet import fleet_view
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.request import dispatch
from test import _odd_entries
from test import test_fleet_knowledge

# Port 0 is no address to connect to, but one to listen at.
ODD_ADDRESSES = (
    *(each for each in _odd_entries.ADDRESSES if not each.endswith(":0")),
    # Where a host whose last port is 65535 would take forwarded requests.
    "127.0.0.1:65536",
)


class AddressesTest(unittest.TestCase):
    """Addresses with a port out of range, without one, or without a host."""

    def assert_all(self, error, connect):
        for address in ODD_ADDRESSES:
            with self.subTest(address[:30]), self.assertRaises(error):
                connect(address)

    def test_only_an_address_is_parsed(self):
        self.assertEqual(addresses.parse("10.0.0.1:65535")[1], 65535)
        self.assert_all(OSError, addresses.connect)

    # Guards against a request without an answer: an exception that nobody
    # foresaw for the address of an upstream.
    def test_a_request_to_an_upstream_is_not_sent(self):
        clock = clocks.ManualClock().interface()
        with upstream_pool.UpstreamPool(
            clock, byte_budget.receiving_budget()
        ) as pool:
            self.assert_all(
                upstream_pool.ConnectError,
                lambda address: pool.exchange(
                    upstream_pool.Endpoint("u1", address),
                    b"GET / HTTP/1.1\r\n\r\n",
                    1.0,
                    lambda _: True,
                    lambda _: None,
                ),
            )

    # Guards against the same for the address of a host.
    def test_there_is_no_address_for_forwarded_requests(self):
        self.assert_all(
            OSError,
            lambda address: addresses.connect(
                host_settings.forward_address(address)
            ),
        )
        self.assert_all(
            OSError,
            lambda _: addresses.connect(
                host_settings.forward_address("127.0.0.1:65535")
            ),
        )

    # Guards against a task that fails again and again.
    def test_a_link_to_a_host_is_lost(self):
        host = test_fleet_knowledge.Host()
        entry = test_fleet_knowledge.entry("h2")
        self.assert_all(
            OSError,
            lambda address: host.mesh._connect(
                fleet_view.Peer(entry._replace(peer=address))
            ),
        )

    def test_a_link_of_serve_is_an_error_of_the_peer(self):
        hello = messages.Hello(messages.PROTOCOL_VERSION, "h1", 1)
        self.assert_all(
            peer_link.PeerError,
            lambda address: peer_link.PeerLink(address, hello, 1.0),
        )

    def test_an_upstream_of_serve_does_not_count_as_down(self):
        for address in ODD_ADDRESSES:
            with self.subTest(address[:30]):
                self.assertFalse(dispatch.refuses_connections(address))


if __name__ == "__main__":
    unittest.main()
