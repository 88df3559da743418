"""A non-idempotent request runs at most once, and "not run" is true."""

import concurrent.futures
import unittest

import urllib3

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir.request import tickets
from test import _common
from test import _declared

PATH = "/contracts/orders"
# Seconds by which a frozen host has lost its freshness and its standing.
FROZEN_SECONDS = 5.0


class Attempt:
    """What a caller saw of one attempt."""

    def __init__(self, status: int, ran: str, body: bytes) -> None:
        self.status = status
        self.ran = ran
        self.body = body


def sign(running, host, ticket, query="", body=b"deposit", timeout=10.0):
    """Sends one signing; a broken connection counts as unknown."""
    try:
        answer = running.call(
            host,
            "POST",
            PATH + query,
            "ada",
            body=body,
            headers={"Idempotency-Key": ticket},
            timeout=timeout,
        )
    except (urllib3.exceptions.HTTPError, OSError):
        return Attempt(0, "unknown", b"")
    ran = answer.headers.get("Gooseberryweir-Ran", "yes")
    return Attempt(answer.status, ran, answer.data)


class OnceTest(unittest.TestCase):
    """Real hosts behind the fault proxy; upstreams count runs by ticket."""

    hosts = 3

    def setUp(self):
        self.running = self.enterContext(
            _declared.deployment(self.hosts, 3, 9, proxied=True)
        )
        _declared.wait_serving(self.running)
        self.names = list(self.running.host_specs)
        self.owner = self.names[0]
        batch = _declared.look_up(self.running, self.owner, "ada")["tickets"]
        self.prefix = batch["prefix"]
        self.ended_runs = {}

    def ticket(self, number):
        return f"{self.prefix}{number}"

    def runs(self, ticket):
        """Returns how often a ticket ran, counting upstreams that ended."""
        reports = self.running.reports()
        return sum(r["runs"].get(ticket, 0) for r in reports.values())

    def check(self, ticket, attempts):
        """Checks at most one run, and none if any attempt said so."""
        runs = self.runs(ticket)
        self.assertLessEqual(runs, 1)
        if any(attempt.ran == "no" for attempt in attempts):
            self.assertEqual(runs, 0)
        if any(attempt.status == 200 for attempt in attempts):
            self.assertEqual(runs, 1)

    def together(self, calls):
        """Runs calls at the same moment and returns their results."""
        with concurrent.futures.ThreadPoolExecutor(len(calls)) as pool:
            futures = [pool.submit(call) for call in calls]
            return [future.result() for future in futures]

    def sends(self, ticket, hosts, query="", timeout=10.0):
        return [
            lambda host=host: sign(
                self.running, host, ticket, query, timeout=timeout
            )
            for host in hosts
        ]


class DuplicatesTest(OnceTest):
    """The same ticket to several hosts."""

    hosts = 9

    def test_same_moment_to_two_and_to_all_hosts(self):
        for number, count in enumerate((2, 9, 2, 9)):
            ticket = self.ticket(number)
            hosts = self.names[:count]
            attempts = self.together(self.sends(ticket, hosts, "?sleep_ms=50"))
            self.check(ticket, attempts)
            self.assertEqual({a.status for a in attempts}, {200})
            self.assertEqual(len({a.body for a in attempts}), 1)

    def test_platform_down_throughout(self):
        self.running.control(outage=True)
        ticket = self.ticket(0)
        attempts = self.together(self.sends(ticket, self.names))
        self.check(ticket, attempts)
        self.assertEqual({a.status for a in attempts}, {200})
        self.assertIn(sign(self.running, self.names[3], ticket).status, (200,))
        self.check(ticket, attempts)

    def test_other_request_and_other_account_with_the_same_ticket(self):
        ticket = self.ticket(0)
        first = sign(self.running, self.names[1], ticket)
        other = sign(self.running, self.names[2], ticket, body=b"other")
        self.assertEqual((first.status, other.status), (200, 422))
        answer = self.running.call(
            self.names[1],
            "POST",
            PATH,
            "ben",
            headers={"Idempotency-Key": ticket},
        )
        self.assertEqual(answer.status, 403)
        self.assertEqual(self.runs(ticket), 1)


class HostFaultsTest(OnceTest):
    """The issuing host is killed, cut off or frozen."""

    def test_killed_before_dispatch(self):
        ticket = self.ticket(0)
        self.running.hosts[self.owner].kill()
        attempts = [sign(self.running, h, ticket) for h in self.names[1:]]
        self.check(ticket, attempts)
        self.assertEqual({a.ran for a in attempts}, {"unknown"})

    def test_killed_during_and_after_dispatch(self):
        ticket = self.ticket(0)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            first = pool.submit(
                sign, self.running, self.names[1], ticket, "?sleep_ms=800"
            )
            _common.wait_until(lambda: self.runs(ticket) == 1)
            self.running.hosts[self.owner].kill()
            attempts = [first.result()]
        attempts += [
            sign(self.running, h, ticket, "?sleep_ms=800")
            for h in self.names[1:]
        ]
        self.check(ticket, attempts)
        self.assertNotIn("no", {a.ran for a in attempts})

    def test_frozen_past_its_lease_and_woken(self):
        ticket = self.ticket(0)
        owner = self.running.hosts[self.owner]
        owner.freeze()
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            direct = pool.submit(
                sign, self.running, self.owner, ticket, timeout=20.0
            )
            other = pool.submit(
                sign, self.running, self.names[1], ticket, timeout=20.0
            )
            running = self.running
            _common.wait_until(
                lambda: (
                    self.owner
                    not in [
                        host["name"]
                        for host in _declared.look_up(
                            running, self.names[1], "ada"
                        )["hosts"]
                    ]
                ),
                what="the frozen host is named no more",
            )
            owner.wake()
            attempts = [direct.result(), other.result()]
        attempts.append(sign(self.running, self.names[2], ticket))
        self.check(ticket, attempts)

    def test_owner_cut_off_from_its_peers(self):
        ticket = self.ticket(0)
        self.running.around(self.owner, blackhole="both")
        attempts = [sign(self.running, h, ticket) for h in self.names[1:]]
        self.assertEqual({a.ran for a in attempts}, {"unknown"})
        self.running.around(self.owner)
        self.check(ticket, attempts)


class AnswerFaultsTest(OnceTest):
    """Upstreams and answers are lost."""

    def test_answer_lost_then_sent_again_elsewhere(self):
        ticket = self.ticket(0)
        host = self.names[1]
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            first = pool.submit(
                sign, self.running, host, ticket, "?sleep_ms=500"
            )
            _common.wait_until(lambda: self.runs(ticket) == 1)
            self.running.rules(f">caller:{host}", cut=True)
            self.assertEqual(first.result().status, 0)
        again = sign(self.running, self.names[2], ticket, "?sleep_ms=500")
        self.assertEqual(again.status, 200)
        self.check(ticket, [again])

    def test_upstream_killed_after_receiving(self):
        ticket = self.ticket(0)
        for upstream in self.running.upstreams.values():
            _common.fetch_json(
                upstream.url("/_control"), {"die_after_receive": True}
            )
        first = sign(self.running, self.names[1], ticket)
        again = sign(self.running, self.names[2], ticket)
        self.assertEqual((first.ran, again.ran), ("unknown", "unknown"))
        ended = [
            name
            for name, upstream in self.running.upstreams.items()
            if not upstream.alive()
        ]
        self.assertEqual(len(ended), 1)

    def test_refused_as_not_run_stays_not_run(self):
        ticket = self.ticket(0)
        drains = {f"region/{name}": True for name in _declared.REGIONS}
        self.drain(drains)
        first = sign(self.running, self.names[1], ticket)
        self.drain({})
        again = sign(self.running, self.names[2], ticket)
        self.assertEqual((first.ran, again.ran), ("no", "no"))
        self.check(ticket, [first, again])

    def drain(self, drains):
        """Sets the drains and waits until the issuing host knows them."""
        self.running.put("steeringobjects", "drains", {"drains": drains})
        url = f"http://{self.running.addresses[f'operator:{self.owner}']}"

        def known():
            answer = _common.request(
                "GET", url + "/v1/status", key=self.running.operator_token
            )
            return sorted(answer.json()["drains"]) == sorted(drains)

        _common.wait_until(known)


class LedgerTest(unittest.TestCase):
    """The ledger alone, with a clock passed in."""

    def setUp(self):
        self.clock = clocks.ManualClock()
        self.ledger = tickets.TicketLedger("h1", self.clock.interface())
        self.ticket = self.ledger.issue("ada").prefix + "0"

    def test_repeat_after_minutes_gets_the_first_answer(self):
        self.assertIsNone(self.ledger.begin(self.ticket, "ada", "f"))
        stored = tickets.StoredAnswer(201, (), b"signed")
        self.ledger.finish(self.ticket, stored)
        self.clock.advance(tickets.TICKET_LIFETIME_SECONDS + 60)
        self.assertEqual(self.ledger.begin(self.ticket, "ada", "f"), stored)

    def test_a_forgotten_ticket_is_never_begun_again(self):
        self.assertIsNone(self.ledger.begin(self.ticket, "ada", "f"))
        self.ledger.finish(self.ticket, tickets.StoredAnswer(201, (), b""))
        self.clock.advance(tickets.RECORD_RETENTION_SECONDS + 1)
        self.ledger.begin(self.ledger.issue("ben").prefix + "1", "ben", "g")
        again = self.ledger.begin(self.ticket, "ada", "f")
        self.assertEqual(again.code, codes.Code.TICKET_EXPIRED)
        self.assertEqual(again.ran, codes.Ran.UNKNOWN)

    def test_ticket_of_an_earlier_process_is_unknown(self):
        later = tickets.TicketLedger("h1", self.clock.interface())
        refused = later.begin(self.ticket, "ada", "f")
        self.assertEqual(refused.code, codes.Code.OUTCOME_UNKNOWN)

    def test_a_large_answer_is_told_once_and_marked_as_run(self):
        body = b"x" * (tickets.MAX_STORED_ANSWER_BYTES + 1)
        self.ledger.begin(self.ticket, "ada", "f")
        self.ledger.finish(self.ticket, tickets.StoredAnswer(200, (), body))
        again = self.ledger.begin(self.ticket, "ada", "f")
        self.assertEqual(again.code, codes.Code.ANSWER_NOT_KEPT)
        self.assertEqual(again.ran, codes.Ran.YES)
