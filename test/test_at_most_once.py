"""A non-idempotent request runs at most once.

Callers send it with a ticket: an idempotency key issued by a host. Other hosts
forward the request to that host. If an answer says "not run", the request has
not run and never will.
"""

import concurrent.futures
import unittest

import urllib3

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir.request import tickets
from test import _common
from test import _deployments

PATH = "/contracts/orders"
# After this time a frozen host is not fresh (its data were not confirmed as
# current recently enough) and may not grant leases.
FROZEN_SECONDS = 5.0


class Attempt:
    """Result of one request as its caller sees it.

    Attributes:
        status: HTTP status code; 0 for a broken connection.
        ran: Value of Gooseberryweir-Ran; "yes" for an answer without it.
        body: Body of the answer.
    """

    def __init__(self, status: int, ran: str, body: bytes) -> None:
        self.status = status
        self.ran = ran
        self.body = body


def send_order(running, host, ticket, query="", body=b"deposit", timeout=10.0):
    """Sends a non-idempotent request and returns its result.

    After a broken connection the result says that the outcome is unknown.
    """
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


class AtMostOnceTest(unittest.TestCase):
    """Base of tests with real hosts behind the fault proxy.

    Upstreams count the runs of each ticket.
    """

    hosts = 3

    def setUp(self):
        self.running = self.enterContext(
            _deployments.deployment(self.hosts, 3, 9, proxied=True)
        )
        _deployments.wait_serving(self.running)
        self.host_names = list(self.running.host_specs)
        self.issuer = self.host_names[0]
        batch = _deployments.look_up(self.running, self.issuer, "ada")[
            "tickets"
        ]
        self.prefix = batch["prefix"]
        self.ended_runs = {}

    def ticket(self, number):
        return f"{self.prefix}{number}"

    def count_runs(self, ticket):
        """Returns how often the request of a ticket ran at live upstreams."""
        reports = self.running.reports()
        return sum(r["runs"].get(ticket, 0) for r in reports.values())

    def check_runs(self, ticket, attempts):
        """Checks that the request ran once if an attempt got status 200.

        In any case it ran at most once, and not at all if an answer says
        "not run".
        """
        runs = self.count_runs(ticket)
        self.assertLessEqual(runs, 1)
        if any(attempt.ran == "no" for attempt in attempts):
            self.assertEqual(runs, 0)
        if any(attempt.status == 200 for attempt in attempts):
            self.assertEqual(runs, 1)

    def run_concurrently(self, calls):
        """Runs calls concurrently and returns their results."""
        with concurrent.futures.ThreadPoolExecutor(len(calls)) as pool:
            futures = [pool.submit(call) for call in calls]
            return [future.result() for future in futures]

    def senders(self, ticket, hosts, query="", timeout=10.0):
        """Returns functions that send the request, one for each host."""
        return [
            lambda host=host: send_order(
                self.running, host, ticket, query, timeout=timeout
            )
            for host in hosts
        ]


class DuplicatesTest(AtMostOnceTest):
    """Requests with the same ticket, sent to several hosts, run once.

    This also holds while the platform is down. The ticket is refused with
    another body or account.
    """

    hosts = 9

    def test_duplicates_to_two_and_to_all_hosts_run_once(self):
        for number, count in enumerate((2, 9, 2, 9)):
            ticket = self.ticket(number)
            hosts = self.host_names[:count]
            attempts = self.run_concurrently(
                self.senders(ticket, hosts, "?sleep_ms=50")
            )
            self.check_runs(ticket, attempts)
            self.assertEqual({a.status for a in attempts}, {200})
            self.assertEqual(len({a.body for a in attempts}), 1)

    def test_duplicates_run_once_while_the_platform_is_down(self):
        self.running.control(outage=True)
        ticket = self.ticket(0)
        attempts = self.run_concurrently(self.senders(ticket, self.host_names))
        self.check_runs(ticket, attempts)
        self.assertEqual({a.status for a in attempts}, {200})
        self.assertIn(
            send_order(self.running, self.host_names[3], ticket).status, (200,)
        )
        self.check_runs(ticket, attempts)

    def test_another_body_or_account_with_the_same_ticket_is_refused(self):
        ticket = self.ticket(0)
        first = send_order(self.running, self.host_names[1], ticket)
        mismatched = send_order(
            self.running, self.host_names[2], ticket, body=b"other"
        )
        self.assertEqual((first.status, mismatched.status), (200, 422))
        answer = self.running.call(
            self.host_names[1],
            "POST",
            PATH,
            "ben",
            headers={"Idempotency-Key": ticket},
        )
        self.assertEqual(answer.status, 403)
        self.assertEqual(self.count_runs(ticket), 1)


class HostFaultsTest(AtMostOnceTest):
    """A request runs at most once if its ticket's issuer fails.

    The issuer, the host that issued the ticket, is killed, cut off or frozen.
    """

    def test_outcome_is_unknown_if_the_issuer_was_killed_before(self):
        ticket = self.ticket(0)
        self.running.hosts[self.issuer].kill()
        attempts = [
            send_order(self.running, host, ticket)
            for host in self.host_names[1:]
        ]
        self.check_runs(ticket, attempts)
        self.assertEqual({a.ran for a in attempts}, {"unknown"})

    def test_runs_once_if_the_issuer_is_killed_during_the_run(self):
        ticket = self.ticket(0)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            first = pool.submit(
                send_order,
                self.running,
                self.host_names[1],
                ticket,
                "?sleep_ms=800",
            )
            _common.wait_until(lambda: self.count_runs(ticket) == 1)
            self.running.hosts[self.issuer].kill()
            attempts = [first.result()]
        attempts += [
            send_order(self.running, host, ticket, "?sleep_ms=800")
            for host in self.host_names[1:]
        ]
        self.check_runs(ticket, attempts)
        self.assertNotIn("no", {a.ran for a in attempts})

    def test_runs_at_most_once_if_the_issuer_freezes_past_its_lease(self):
        ticket = self.ticket(0)
        issuer = self.running.hosts[self.issuer]
        issuer.freeze()
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            to_issuer = pool.submit(
                send_order, self.running, self.issuer, ticket, timeout=20.0
            )
            to_peer = pool.submit(
                send_order,
                self.running,
                self.host_names[1],
                ticket,
                timeout=20.0,
            )
            running = self.running
            _common.wait_until(
                lambda: (
                    self.issuer
                    not in [
                        host["name"]
                        for host in _deployments.look_up(
                            running, self.host_names[1], "ada"
                        )["hosts"]
                    ]
                ),
                description="look-ups omit the frozen host",
            )
            issuer.unfreeze()
            attempts = [to_issuer.result(), to_peer.result()]
        attempts.append(send_order(self.running, self.host_names[2], ticket))
        self.check_runs(ticket, attempts)

    def test_outcome_is_unknown_if_the_issuer_is_cut_off(self):
        ticket = self.ticket(0)
        self.running.set_process_rules(self.issuer, blackhole="both")
        attempts = [
            send_order(self.running, host, ticket)
            for host in self.host_names[1:]
        ]
        self.assertEqual({a.ran for a in attempts}, {"unknown"})
        self.running.set_process_rules(self.issuer)
        self.check_runs(ticket, attempts)


class AnswerFaultsTest(AtMostOnceTest):
    """Repeating a request with its ticket on another host does not run it.

    The first attempt loses its answer, loses its upstream or is refused.
    """

    def test_retry_after_a_lost_answer_does_not_run_again(self):
        ticket = self.ticket(0)
        host = self.host_names[1]
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            first = pool.submit(
                send_order, self.running, host, ticket, "?sleep_ms=500"
            )
            _common.wait_until(lambda: self.count_runs(ticket) == 1)
            self.running.set_rules(f">caller:{host}", cut=True)
            self.assertEqual(first.result().status, 0)
        repeat = send_order(
            self.running, self.host_names[2], ticket, "?sleep_ms=500"
        )
        self.assertEqual(repeat.status, 200)
        self.check_runs(ticket, [repeat])

    def test_retry_reaches_no_upstream_after_the_first_one_died(self):
        ticket = self.ticket(0)
        for upstream in self.running.upstreams.values():
            _common.fetch_json(
                upstream.url("/_control"), {"die_after_receive": True}
            )
        first = send_order(self.running, self.host_names[1], ticket)
        repeat = send_order(self.running, self.host_names[2], ticket)
        self.assertEqual((first.ran, repeat.ran), ("unknown", "unknown"))
        ended = [
            name
            for name, upstream in self.running.upstreams.items()
            if not upstream.alive()
        ]
        self.assertEqual(len(ended), 1)

    def test_a_request_refused_as_not_run_never_runs(self):
        ticket = self.ticket(0)
        drains = {f"region/{name}": True for name in _deployments.REGIONS}
        self.set_drains(drains)
        first = send_order(self.running, self.host_names[1], ticket)
        self.set_drains({})
        repeat = send_order(self.running, self.host_names[2], ticket)
        self.assertEqual((first.ran, repeat.ran), ("no", "no"))
        self.check_runs(ticket, [first, repeat])

    def set_drains(self, drains):
        """Replaces the drains, and waits until the issuing host has them.

        A drained region gets no requests.
        """
        self.running.put("steeringobjects", "drains", {"drains": drains})
        url = f"http://{self.running.addresses[f'operator:{self.issuer}']}"

        def drains_applied():
            answer = _common.request(
                "GET", url + "/v1/status", key=self.running.operator_token
            )
            return sorted(answer.json()["drains"]) == sorted(drains)

        _common.wait_until(drains_applied)


class LedgerTest(unittest.TestCase):
    """The ledger, a host's records of its tickets, never runs a request twice.

    Repeats come after minutes, after the deletion of the record, after a
    restart and after a large answer; without processes, with a manual clock.
    """

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

    def test_request_with_a_deleted_record_is_not_run_again(self):
        self.assertIsNone(self.ledger.begin(self.ticket, "ada", "f"))
        self.ledger.finish(self.ticket, tickets.StoredAnswer(201, (), b""))
        self.clock.advance(tickets.RECORD_RETENTION_SECONDS + 1)
        self.ledger.begin(self.ledger.issue("ben").prefix + "1", "ben", "g")
        repeat = self.ledger.begin(self.ticket, "ada", "f")
        self.assertEqual(repeat.code, codes.Code.TICKET_EXPIRED)
        self.assertEqual(repeat.ran, codes.ExecutionState.UNKNOWN)

    def test_ticket_of_an_earlier_process_is_unknown(self):
        restarted = tickets.TicketLedger("h1", self.clock.interface())
        refused = restarted.begin(self.ticket, "ada", "f")
        self.assertEqual(refused.code, codes.Code.OUTCOME_UNKNOWN)

    def test_the_state_of_a_ticket_of_an_earlier_process_is_unknown(self):
        """Guards against repeats refused as not run though the request had run.

        The restarted host had no record of the ticket and answered "no".
        """
        self.ledger.begin(self.ticket, "ada", "f")
        self.ledger.finish(self.ticket, tickets.StoredAnswer(201, (), b""))
        restarted = tickets.TicketLedger("h1", self.clock.interface())
        for ledger, state in (
            (self.ledger, codes.ExecutionState.YES),
            (restarted, codes.ExecutionState.UNKNOWN),
        ):
            self.assertEqual(ledger.execution_state(self.ticket), state)
        unused = self.ledger.issue("ada").prefix + "1"
        self.assertEqual(
            self.ledger.execution_state(unused), codes.ExecutionState.NO
        )

    def test_large_answer_is_returned_once_and_marked_as_run(self):
        body = b"x" * (tickets.MAX_STORED_ANSWER_BYTES + 1)
        self.ledger.begin(self.ticket, "ada", "f")
        self.ledger.finish(self.ticket, tickets.StoredAnswer(200, (), body))
        repeat = self.ledger.begin(self.ticket, "ada", "f")
        self.assertEqual(repeat.code, codes.Code.ANSWER_NOT_KEPT)
        self.assertEqual(repeat.ran, codes.ExecutionState.YES)
