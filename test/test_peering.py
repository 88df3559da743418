"""Tests messages between hosts that run in one process, over real sockets."""

import contextlib
import logging
import random
import time
import unittest

import eventlet
from eventlet import event as events

from gooseberryweir import clock as clocks
from gooseberryweir.connection import addresses
from gooseberryweir.connection import messages
from gooseberryweir.connection import peer_link
from gooseberryweir.connection import peer_server
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import membership as membership_module
from gooseberryweir.process.membership import peering as peering_module
from gooseberryweir.version import objects
from gooseberryweir.version import tables as tables_module

WAIT_TIMEOUT_SECONDS = 20.0
CALL_TIMEOUT_SECONDS = 5.0
CLOCK = clocks.Clock(time.monotonic, time.time, eventlet.sleep)
HELLO = messages.Hello(messages.PROTOCOL_VERSION, "stranger", 1)


def setUpModule():
    logging.getLogger("gooseberryweir").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("gooseberryweir").setLevel(logging.NOTSET)


class Host:
    """One host's membership and peering."""

    def __init__(self, name, seeds=(), address="127.0.0.1:0"):
        self.name = name
        self.store = objects.ObjectStore()
        self.tables = tables_module.Tables(self.store)
        self.facts = facts_module.Facts()
        self.membership = membership_module.Membership(
            name,
            int(time.time() * 1000),
            CLOCK,
            self.tables,
            self.facts,
            self.store,
        )
        self.peering = peering_module.Peering(
            address,
            seeds,
            self.membership,
            self.facts,
            self.store,
            CLOCK,
            random.Random(name),
        )

    def members(self):
        return [name for name, _ in self.membership.view().members]


def host_list(addresses):
    endpoints = [
        {
            "name": name,
            "region": "centro",
            "zone": "a",
            "caller": "127.0.0.1:1",
            "peer": address,
            "operator": "127.0.0.1:2",
            "leaving": False,
        }
        for name, address in addresses.items()
    ]
    return {"endpoints": endpoints}


class PeeringTest(unittest.TestCase):
    """Heartbeats, calls and facts exchanged by up to three running hosts.

    Facts are small key-value entries that all hosts replicate and merge.
    """

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)

    def start(self, *args, **kwargs):
        host = Host(*args, **kwargs)
        self.stack.enter_context(host.peering)
        return host

    def start_listed(self, *names):
        first = self.start(names[0])
        seeds = (first.peering.address,)
        hosts = [first] + [self.start(name, seeds) for name in names[1:]]
        addresses = {host.name: host.peering.address for host in hosts}
        first.store.apply(objects.HOSTS, 1, host_list(addresses))
        self.wait_until(lambda: all(h.membership.has_majority() for h in hosts))
        return hosts

    def wait_until(self, condition):
        with eventlet.Timeout(
            WAIT_TIMEOUT_SECONDS, AssertionError("condition not met in time")
        ):
            while not condition():
                eventlet.sleep(0.01)

    def test_hosts_learn_state_view_and_freshness_from_a_seed(self):
        hosts = self.start_listed("c1", "c2", "c3")
        views = {host.membership.view() for host in hosts}
        self.assertEqual(len(views), 1)
        self.assertEqual(hosts[2].members(), ["c1", "c2", "c3"])
        hosts[0].membership.platform_answered(CLOCK.monotonic())
        last = hosts[2].membership
        self.wait_until(lambda: last.freshness().source == "relayed")
        self.wait_until(last.may_grant)

    def test_a_call_in_progress_survives_missed_pings(self):
        first, second = self.start_listed("c1", "c2")
        answer = messages.Answer(200, (), b"done", 0, "yes", -1.0, "")
        started, proceed = events.Event(), events.Event()

        def slow_handler(_):
            started.send()
            proceed.wait()
            return answer

        second.peering.handlers[messages.Forward] = slow_handler
        request = messages.Forward("t", "a", "", "GET", "/", (), b"", 9.0, 0)
        call = eventlet.spawn(
            first.peering.call, "c2", request, WAIT_TIMEOUT_SECONDS
        )
        started.wait()
        link = first.peering.links.find("c2")
        original_pong = second.membership.pong
        second.membership.pong = lambda: eventlet.sleep(WAIT_TIMEOUT_SECONDS)
        self.wait_until(lambda: first.peering.links.find("c2") is not link)
        second.membership.pong = original_pong
        self.wait_until(lambda: first.peering.links.find("c2"))
        proceed.send()
        self.assertEqual(call.wait(), answer)
        self.wait_until(lambda: link.closed)

    def test_new_facts_are_pushed_to_all_neighbours(self):
        hosts = self.start_listed("c1", "c2", "c3")
        pushed = []
        for host in hosts[1:]:
            host.peering.server.handle = self.recording_handler(host, pushed)
        hosts[0].facts.add("withdrawn/ab", 1)
        self.wait_until(lambda: len(pushed) == 2)
        self.wait_until(lambda: all(h.facts.get("withdrawn/ab") for h in hosts))

    def recording_handler(self, host, pushed):
        handle = host.peering.server.handle

        def handle_and_record(peer, message):
            if message == messages.Facts({"withdrawn/ab": 1}):
                pushed.append(host.name)
                host.peering.server.handle = handle
            return handle(peer, message)

        return handle_and_record

    def test_a_slow_forward_does_not_delay_pings(self):
        first, second = self.start_listed("c1", "c2")
        entered, release = events.Event(), events.Event()
        answer = messages.Answer(200, (), b"map", 0, "", 0.0, "")

        def forward(message):
            entered.send(message.ticket)
            release.wait()
            return answer

        second.peering.handlers[messages.Forward] = forward
        message = messages.Forward("t", "", "", "GET", "/", (), b"", 1.0, 0)
        task = eventlet.spawn(
            first.peering.call, "c2", message, WAIT_TIMEOUT_SECONDS
        )
        self.assertEqual(entered.wait(), "t")
        ping = messages.Ping("c1", first.membership.incarnation)
        pong = first.peering.call("c2", ping, CALL_TIMEOUT_SECONDS)
        self.assertEqual(pong.host, "c2")
        release.send()
        self.assertEqual(task.wait(), answer)

    def test_a_failing_handler_loses_one_reply_and_keeps_the_link(self):
        first, second = self.start_listed("c1", "c2")
        second.peering.handlers[messages.Draw] = lambda message: 1 / 0
        draw = messages.Draw("account/a", "c1", 1, 0, 1, 0, 1)
        with self.assertRaises(peer_link.PeerTimeoutError):
            first.peering.call("c2", draw, 0.2)
        ping = messages.Ping("c1", first.membership.incarnation)
        link = first.peering.links.find("c2")
        self.assertEqual(link.call(ping, CALL_TIMEOUT_SECONDS).host, "c2")

    def test_a_restarted_host_rejoins_at_its_address(self):
        first, second, third = self.start_listed("c1", "c2", "c3")
        before = dict(first.membership.view().members)["c3"]
        third.peering.__exit__(None, None, None)
        self.wait_until(lambda: first.members() == ["c1", "c2"])
        seeds = (first.peering.address,)
        restarted = self.start("c3", seeds, third.peering.address)
        self.wait_until(lambda: "c3" in second.members())
        self.wait_until(restarted.membership.has_majority)
        after = dict(first.membership.view().members)["c3"]
        self.assertGreater(after, before)
        with self.assertRaises(peer_link.PeerError):
            first.peering.call("c9", HELLO, CALL_TIMEOUT_SECONDS)

    def test_a_host_reconnects_to_a_peer_that_stops_answering(self):
        hellos, never = [], events.Event()

        def hello():
            hellos.append(1)
            return HELLO

        server = peer_server.PeerServer(
            "127.0.0.1:0", hello, lambda peer, message: never.wait()
        )
        with server:
            self.start("c1", (server.address,))
            self.wait_until(lambda: len(hellos) == 2)

    def test_a_host_with_another_name_than_listed_is_rejected(self):
        stranger = self.start("stranger")
        first = self.start("c1")
        addresses = {
            "c1": first.peering.address,
            "c2": stranger.peering.address,
        }
        first.store.apply(objects.HOSTS, 1, host_list(addresses))
        with self.assertRaises(peer_link.PeerError):
            first.peering.call("c2", HELLO, CALL_TIMEOUT_SECONDS)
        self.assertEqual(first.members(), ["c1"])

    def test_invalid_data_closes_the_connection(self):
        first = self.start("c1")
        hello = messages.encode(HELLO, 1)
        address = addresses.parse(first.peering.address)
        for data in (b"GET / HTTP/1.1\r\n", hello + b"\xc1", hello + b"\x91a"):
            connection = eventlet.connect(address)
            connection.sendall(data)
            with eventlet.Timeout(CALL_TIMEOUT_SECONDS):
                while connection.recv(4096):
                    pass
            connection.close()
        self.assertEqual(len(first.peering.server.tasks), 1)


class PeerLinkTest(unittest.TestCase):
    """Calls over one link to a peer that replies late, reordered or never."""

    @contextlib.contextmanager
    def open_link(self, handle):
        """Opens a link to a server whose handler of `Draw` may be slow."""
        server = peer_server.PeerServer(
            "127.0.0.1:0",
            lambda: HELLO,
            handle,
            slow_types=frozenset({messages.Draw}),
        )
        with (
            server,
            peer_link.PeerLink(
                server.address, HELLO, CALL_TIMEOUT_SECONDS
            ) as link,
        ):
            yield server, link

    def test_late_and_reordered_replies_reach_their_calls(self):
        release = events.Event()

        def handle(peer, message):
            if message.view == 1:
                release.wait()
            return messages.Grant(message.view, 0.0, 0.0, True, 0.0)

        draw = messages.Draw("account/a", "c1", 1, 1, 1, 0, 1)
        with self.open_link(handle) as (_, link):
            with self.assertRaises(peer_link.PeerTimeoutError):
                link.call(draw, 0.05)
            slow = eventlet.spawn(link.call, draw, CALL_TIMEOUT_SECONDS)
            fast = link.call(draw._replace(view=2), CALL_TIMEOUT_SECONDS)
            self.assertEqual(fast.granted, 2)
            release.send()
            self.assertEqual(slow.wait().granted, 1)
            self.assertEqual(link.pending, {})

    def test_pending_calls_fail_at_once_when_the_peer_closes(self):
        server = peer_server.PeerServer(
            "127.0.0.1:0", lambda: HELLO, lambda peer, message: 1 / 0
        )
        with server:
            link = peer_link.PeerLink(
                server.address, HELLO, CALL_TIMEOUT_SECONDS
            )
            draw = messages.Draw("account/a", "c1", 1, 1, 1, 0, 1)
            waiting = eventlet.spawn(self.call_error, link, draw)
            self.assertTrue(self.wait_until_pending(link))
        self.assertIs(waiting.wait(), peer_link.PeerError)
        self.assertTrue(link.closed)

    # Guards against a stop that lasts as long as peers go on forwarding.
    def test_end_waits_only_for_slow_messages_received_before(self):
        releases = {1: events.Event(), 2: events.Event()}

        def handle(peer, message):
            releases[message.view].wait()
            return messages.Grant(message.view, 0.0, 0.0, True, 0.0)

        draw = messages.Draw("account/a", "c1", 1, 1, 1, 0, 1)
        with (
            self.open_link(handle) as (server, link),
            eventlet.Timeout(WAIT_TIMEOUT_SECONDS),
        ):
            first = eventlet.spawn(link.call, draw, WAIT_TIMEOUT_SECONDS)
            self.wait_for_slow_tasks(server, 1)
            end = eventlet.spawn(server.finish_slow_messages)
            eventlet.sleep(0)
            late = draw._replace(view=2)
            second = eventlet.spawn(link.call, late, WAIT_TIMEOUT_SECONDS)
            self.wait_for_slow_tasks(server, 2)
            self.assertFalse(end.dead)
            releases[1].send()
            self.assertEqual(first.wait().granted, 1)
            end.wait()
            self.assertEqual(len(server.slow_tasks), 1)
            releases[2].send()
            self.assertEqual(second.wait().granted, 2)

    def wait_for_slow_tasks(self, server, count):
        while len(server.slow_tasks) < count:
            eventlet.sleep(0.01)

    def call_error(self, link, message):
        try:
            return link.call(message, WAIT_TIMEOUT_SECONDS)
        except peer_link.PeerError as error:
            return type(error)

    def wait_until_pending(self, link):
        with eventlet.Timeout(WAIT_TIMEOUT_SECONDS):
            while not link.pending:
                eventlet.sleep(0.01)
        return True
