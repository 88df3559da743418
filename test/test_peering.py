"""Hosts in one process find one another over real sockets."""

import contextlib
import logging
import random
import time
import unittest

import eventlet
from eventlet import event as events

from gooseberryweir import clock as clocks
from gooseberryweir.connection import messages
from gooseberryweir.connection import peer_link
from gooseberryweir.connection import peer_server
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import membership as membership_module
from gooseberryweir.process.membership import peering as peering_module
from gooseberryweir.version import objects
from gooseberryweir.version import tables as tables_module

WAIT_SECONDS = 20.0
CALL_SECONDS = 5.0
CLOCK = clocks.Clock(time.monotonic, time.time, eventlet.sleep)
HELLO = messages.Hello(messages.PROTOCOL_VERSION, "stranger", 1)


def setUpModule():
    logging.getLogger("gooseberryweir").setLevel(logging.CRITICAL)


def tearDownModule():
    logging.getLogger("gooseberryweir").setLevel(logging.NOTSET)


class Host:
    """One host's membership and links."""

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
    """Links between hosts."""

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
        self.until(lambda: all(h.membership.stands() for h in hosts))
        return hosts

    def until(self, condition):
        with eventlet.Timeout(WAIT_SECONDS, AssertionError("not reached")):
            while not condition():
                eventlet.sleep(0.01)

    def test_hosts_learn_state_view_and_freshness_from_a_seed(self):
        hosts = self.start_listed("c1", "c2", "c3")
        views = {host.membership.view() for host in hosts}
        self.assertEqual(len(views), 1)
        self.assertEqual(hosts[2].members(), ["c1", "c2", "c3"])
        hosts[0].membership.platform_answered(CLOCK.monotonic())
        last = hosts[2].membership
        self.until(lambda: last.freshness().source == "relayed")
        self.until(last.may_exercise)

    def test_a_call_in_progress_survives_missed_pings(self):
        first, second = self.start_listed("c1", "c2")
        answer = messages.Answer(200, (), b"done", 0, "yes", -1.0, "")
        began, go_on = events.Event(), events.Event()

        def slow(_):
            began.send()
            go_on.wait()
            return answer

        second.peering.handlers[messages.Forward] = slow
        question = messages.Forward("t", "a", "", "GET", "/", (), b"", 9.0, 0)
        call = eventlet.spawn(first.peering.call, "c2", question, WAIT_SECONDS)
        began.wait()
        link = first.peering.links.find("c2")
        pong = second.membership.pong
        second.membership.pong = lambda: eventlet.sleep(WAIT_SECONDS)
        self.until(lambda: first.peering.links.find("c2") is not link)
        second.membership.pong = pong
        self.until(lambda: first.peering.links.find("c2"))
        go_on.send()
        self.assertEqual(call.wait(), answer)
        self.until(lambda: link.closed)

    def test_new_facts_are_pushed_to_all_neighbours(self):
        hosts = self.start_listed("c1", "c2", "c3")
        pushed = []
        for host in hosts[1:]:
            host.peering.server.handle = self.record(host, pushed)
        hosts[0].facts.add("withdrawn/ab", 1)
        self.until(lambda: len(pushed) == 2)
        self.until(lambda: all(h.facts.get("withdrawn/ab") for h in hosts))

    def record(self, host, pushed):
        handle = host.peering.server.handle

        def handle_and_record(peer, message):
            if message == messages.Facts({"withdrawn/ab": 1}):
                pushed.append(host.name)
                host.peering.server.handle = handle
            return handle(peer, message)

        return handle_and_record

    def test_a_slow_forward_does_not_hold_up_pings(self):
        first, second = self.start_listed("c1", "c2")
        entered, release = events.Event(), events.Event()
        answer = messages.Answer(200, (), b"map", 0, "", 0.0, "")

        def forward(message):
            entered.send(message.ticket)
            release.wait()
            return answer

        second.peering.handlers[messages.Forward] = forward
        message = messages.Forward("t", "", "", "GET", "/", (), b"", 1.0, 0)
        task = eventlet.spawn(first.peering.call, "c2", message, WAIT_SECONDS)
        self.assertEqual(entered.wait(), "t")
        ping = messages.Ping("c1", first.membership.incarnation)
        pong = first.peering.call("c2", ping, CALL_SECONDS)
        self.assertEqual(pong.host, "c2")
        release.send()
        self.assertEqual(task.wait(), answer)

    def test_a_failing_handler_costs_one_reply_and_no_link(self):
        first, second = self.start_listed("c1", "c2")
        second.peering.handlers[messages.Draw] = lambda message: 1 / 0
        draw = messages.Draw("account/a", "c1", 1, 0, 1, 0, 1)
        with self.assertRaises(peer_link.PeerTimeoutError):
            first.peering.call("c2", draw, 0.2)
        ping = messages.Ping("c1", first.membership.incarnation)
        link = first.peering.links.find("c2")
        self.assertEqual(link.call(ping, CALL_SECONDS).host, "c2")

    def test_a_host_started_anew_at_its_address_is_found_again(self):
        first, second, third = self.start_listed("c1", "c2", "c3")
        before = dict(first.membership.view().members)["c3"]
        third.peering.__exit__(None, None, None)
        self.until(lambda: first.members() == ["c1", "c2"])
        seeds = (first.peering.address,)
        again = self.start("c3", seeds, third.peering.address)
        self.until(lambda: "c3" in second.members())
        self.until(again.membership.stands)
        after = dict(first.membership.view().members)["c3"]
        self.assertGreater(after, before)
        with self.assertRaises(peer_link.PeerError):
            first.peering.call("c9", HELLO, CALL_SECONDS)

    def test_a_peer_that_stops_answering_is_dialled_again(self):
        greetings, silence = [], events.Event()

        def hello():
            greetings.append(1)
            return HELLO

        server = peer_server.PeerServer(
            "127.0.0.1:0", hello, lambda peer, message: silence.wait()
        )
        with server:
            self.start("c1", (server.address,))
            self.until(lambda: len(greetings) == 2)

    def test_a_host_of_another_name_is_not_taken_for_the_listed(self):
        stranger = self.start("stranger")
        first = self.start("c1")
        addresses = {
            "c1": first.peering.address,
            "c2": stranger.peering.address,
        }
        first.store.apply(objects.HOSTS, 1, host_list(addresses))
        with self.assertRaises(peer_link.PeerError):
            first.peering.call("c2", HELLO, CALL_SECONDS)
        self.assertEqual(first.members(), ["c1"])

    def test_what_is_no_message_ends_the_connection(self):
        first = self.start("c1")
        hello = messages.encode(HELLO, 1)
        address = peer_link.parse_address(first.peering.address)
        for data in (b"GET / HTTP/1.1\r\n", hello + b"\xc1", hello + b"\x91a"):
            connection = eventlet.connect(address)
            connection.sendall(data)
            with eventlet.Timeout(CALL_SECONDS):
                while connection.recv(4096):
                    pass
            connection.close()
        self.assertEqual(len(first.peering.server.tasks), 1)


class PeerLinkTest(unittest.TestCase):
    """One dialled link."""

    def test_late_and_crossed_replies_reach_their_own_calls(self):
        held = events.Event()

        def handle(peer, message):
            if message.view == 1:
                held.wait()
            return messages.Grant(message.view, 0.0, 0.0, True, 0.0)

        server = peer_server.PeerServer(
            "127.0.0.1:0",
            lambda: HELLO,
            handle,
            slow_types=frozenset({messages.Draw}),
        )
        draw = messages.Draw("account/a", "c1", 1, 1, 1, 0, 1)
        with (
            server,
            peer_link.PeerLink(server.address, HELLO, CALL_SECONDS) as link,
        ):
            with self.assertRaises(peer_link.PeerTimeoutError):
                link.call(draw, 0.05)
            slow = eventlet.spawn(link.call, draw, CALL_SECONDS)
            fast = link.call(draw._replace(view=2), CALL_SECONDS)
            self.assertEqual(fast.granted, 2)
            held.send()
            self.assertEqual(slow.wait().granted, 1)
            self.assertEqual(link.pending, {})

    def test_the_end_of_the_peer_fails_waiting_calls_at_once(self):
        server = peer_server.PeerServer(
            "127.0.0.1:0", lambda: HELLO, lambda peer, message: 1 / 0
        )
        with server:
            link = peer_link.PeerLink(server.address, HELLO, CALL_SECONDS)
            draw = messages.Draw("account/a", "c1", 1, 1, 1, 0, 1)
            waiting = eventlet.spawn(self.failure, link, draw)
            self.assertTrue(self.until_pending(link))
        self.assertIs(waiting.wait(), peer_link.PeerError)
        self.assertTrue(link.closed)

    def failure(self, link, message):
        try:
            return link.call(message, WAIT_SECONDS)
        except peer_link.PeerError as error:
            return type(error)

    def until_pending(self, link):
        with eventlet.Timeout(WAIT_SECONDS):
            while not link.pending:
                eventlet.sleep(0.01)
        return True
