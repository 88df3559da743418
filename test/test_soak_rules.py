"""Tests of the rules that judge a soak, on hand-written records."""

import collections
import unittest

from test import _front
from test import _soak_breaks
from test import _soak_callers
from test import _soak_records
from test import _soak_rules
from test import _soak_schedule

# Long after the events of a case, so that its host is in touch.
AT = 100.0
ROOT = "/"
RULES = frozenset(
    [
        "LOST",
        "TWICE",
        "REFUSED",
        "MIXED",
        "UNASKED",
        "ROUTE",
        "CONFIG",
        "DRAIN",
        "EVAC",
        "GONE",
        "BUDGET",
        "SERVED",
        "END",
        "LIMIT",
    ]
)
LATER_KINDS = (
    *_soak_schedule.LATER_HOST_WEIGHTS,
    *_soak_schedule.LATER_UPSTREAM_WEIGHTS,
)
FIRST = _soak_records.Configuration(1, _front.configuration(), 0.0, 0.1)


def attempt(request_id="r1", **fields):
    """Returns an attempt that was sent at `AT` and answered 0.2 s later."""
    return _soak_records.Attempt(
        **{
            "request_id": request_id,
            "host": "h0",
            "connection": 1,
            "position": 0,
            "idempotent": True,
            "path": "/read/body-100-10",
            "key": "k1",
            "sent_at": AT,
            "ended_at": AT + 0.2,
            "status": 200,
            "server_stamp": "i-0",
            "body_ok": True,
            "end": _soak_records.ANSWER,
            "left_at": None,
            "deadline_seconds": 2.0,
            **fields,
        }
    )


def cut(request_id="r1", **fields):
    """Returns an attempt whose connection was reset after 0.8 s."""
    return attempt(
        request_id,
        **{
            "ended_at": AT + 0.8,
            "status": 0,
            "server_stamp": "",
            "end": _soak_records.RESET,
            **fields,
        },
    )


def run(request_id="r1", **fields):
    """Returns a run that was answered after 0.1 s."""
    return _soak_records.Run(
        **{
            "request_id": request_id,
            "upstream": "i-0",
            "service": "work",
            "at": AT + 0.05,
            "ended_at": AT + 0.15,
            "outcome": _soak_records.ANSWERED,
            "key_seen": False,
            "deadline_seconds": 1.9,
            **fields,
        }
    )


def span(kind, target="h0", begins=AT - 1.0, ends=AT + 3.0, detail=""):
    """Returns an event around `AT`."""
    return _soak_records.Span(kind, target, begins, ends, detail)


def stop(begins=AT - 1.0, ends=AT + 3.0):
    """Returns a planned stop of host h0 around `AT`."""
    return span(_soak_records.STOP, begins=begins, ends=ends, detail="7")


def process(**fields):
    """Returns the process of host h0."""
    return _soak_records.Process(
        **{
            "host": "h0",
            "pid": 7,
            "started_at": 0.0,
            "ended_at": None,
            "exit_code": None,
            "root": ROOT,
            **fields,
        }
    )


def records_of(attempts=(), runs=(), spans=(), **fields):
    """Returns records."""
    return _soak_records.Records(
        **{
            "started_at": 0.0,
            "ended_at": 2 * AT,
            "spans": list(spans),
            "attempts": list(attempts),
            "runs": list(runs),
            "processes": [process()],
            "samples": [],
            "configurations": [FIRST],
            "bounds": _soak_rules.USUAL_BOUNDS,
            **fields,
        }
    )


def judge(attempts=(), runs=(), spans=(), **fields):
    """Judges records."""
    return _soak_rules.judge(records_of(attempts, runs, spans, **fields))


class RulesTest(unittest.TestCase):
    """Each rule on a case that breaks it and on cases that are allowed."""

    def assert_broken(self, rule, verdict, count=1):
        """Checks that only one rule was broken, and how often."""
        self.assertEqual(
            collections.Counter(each.rule for each in verdict.violations),
            {rule: count},
            verdict,
        )

    def assert_kept(self, verdict, *excuses):
        """Checks that no rule was broken, and what was excused."""
        self.assertEqual(verdict.violations, [])
        self.assertEqual(sorted(verdict.excused), sorted(excuses))

    def test_a_whole_answer_breaks_no_rule(self):
        self.assert_kept(judge([attempt()], [run()]))

    def test_lost_at_a_stop(self):
        self.assert_broken("LOST", judge([cut()], [run()], [stop()]))
        # Read for sure, though it did not run.
        self.assert_broken("LOST", judge([cut()], [], [stop()]))
        # It was delayed by a relay, which is no disruption.
        relay = span(_soak_records.LINK, ">front-*", 0, 200, "delay-callers")
        self.assert_broken("LOST", judge([cut()], [run()], [stop(), relay]))

    def test_a_request_that_crosses_the_close_is_not_lost(self):
        self.assert_kept(judge([cut(ended_at=AT + 0.1)], [], [stop()]))
        first = attempt("r0", ended_at=AT + 0.5)
        behind = cut("r1", position=1)
        self.assert_kept(judge([first, behind], [run("r0")], [stop()]))

    def test_excused_losses_at_a_stop(self):
        broken = run(outcome=_soak_records.BROKEN)
        self.assert_kept(
            judge([cut()], [broken], [stop()]), "LOST: upstream broke off"
        )
        self.assert_kept(
            judge([cut(ended_at=AT + 1.9)], [run()], [stop()]),
            "LOST: deadline or timeout",
        )
        harms = (
            span(_soak_records.KILL),
            span(_soak_records.FREEZE),
            span(_soak_records.LINK, ">front-h0", detail="reset-callers"),
            span(_soak_records.LINK, "h0>i-*", detail="cut-upstreams"),
        )
        for harm in harms:
            self.assert_kept(
                judge([cut()], [run()], [stop(), harm]),
                "LOST: unplanned disruption",
            )
        at_work = run(ended_at=AT + 4.5, outcome=_soak_records.CANCELLED)
        late = cut(ended_at=AT + 4.6, deadline_seconds=30.0)
        long = late._replace(path="/long/body-9000-10")
        self.assert_kept(
            judge([long], [at_work], [stop(ends=AT + 4.7)]),
            "LOST: at work at the end of the grace period",
        )

    def test_slow_readers_at_a_stop(self):
        unread = cut(
            path="/long/body-100-10",
            ended_at=AT + 9.0,
            deadline_seconds=30.0,
            kind="slow-reader",
        )
        self.assert_kept(
            judge([unread], [run()], [stop(ends=AT + 4.8)]),
            "LOST: unread at the end of the grace period",
        )
        # The process did not use its grace period.
        self.assert_broken("LOST", judge([unread], [run()], [stop()]))

    def test_faults_of_the_store_and_of_others_excuse_no_loss(self):
        for harm in (
            span(_soak_records.STORE, "*", detail="store-silent"),
            span(_soak_records.LINK, "*>store-h0", detail="cut-store"),
            span(_soak_records.KILL, "h1"),
        ):
            verdict = judge([cut()], [run()], [stop(), harm])
            self.assert_broken("LOST", verdict)

    def test_lost_at_a_reload(self):
        reload = span(_soak_records.RELOAD, ends=AT - 1.0)
        self.assert_broken("LOST", judge([cut()], [run()], [reload]))
        long_ago = span(_soak_records.RELOAD, begins=AT - 4.0, ends=AT - 4.0)
        self.assert_kept(
            judge([cut()], [run()], [long_ago]),
            "LOST: three at most without planned work",
        )

    def test_lost_beside_a_configuration(self):
        second = FIRST._replace(version=2, sent_at=AT - 1, acknowledged_at=AT)
        versions = [FIRST, second]
        self.assert_broken(
            "LOST", judge([cut()], [run()], configurations=versions)
        )
        usual = [
            cut(f"u{n}", sent_at=50.0, ended_at=50.8, connection=n)
            for n in range(2)
        ]
        ran = [run(), *(run(f"u{n}", at=50.1, ended_at=50.2) for n in range(2))]
        self.assert_kept(
            judge([cut(), *usual], ran, configurations=versions),
            "LOST: three at most without planned work",
        )

    def test_lost_at_any_time(self):
        cuts = [cut(f"r{n}", connection=n) for n in range(4)]
        runs = [run(f"r{n}") for n in range(4)]
        self.assert_broken("LOST", judge(cuts, runs), 4)
        self.assert_kept(
            judge(cuts[:3], runs[:3]),
            "LOST: three at most without planned work",
        )

    def test_own_answer_after_sigterm(self):
        own = attempt(status=502, server_stamp="")
        at_work = run(ended_at=AT + 0.2, outcome=_soak_records.CANCELLED)
        self.assert_broken("LOST", judge([own], [at_work], [stop()]))
        self.assert_kept(judge([own], [at_work]))
        self.assert_kept(judge([own], [run(outcome="broken")], [stop()]))

    def test_repeated_and_refused_requests(self):
        once = attempt(idempotent=False, path="/write/body-100-10")
        twice = [run(), run(upstream="i-1")]
        self.assert_broken("TWICE", judge([once], twice))
        self.assert_kept(judge([attempt()], twice))
        refused = once._replace(status=503, server_stamp="")
        self.assert_broken("REFUSED", judge([refused], [run()]))
        self.assert_kept(judge([refused]))
        failed = refused._replace(status=502)
        self.assert_kept(judge([failed], [run()]))

    def test_mixed_answers(self):
        for wrong in (
            attempt(body_ok=False),
            attempt(server_stamp=""),
            attempt(server_stamp="i-1"),
            attempt(status=500),
        ):
            self.assert_broken("MIXED", judge([wrong], [run()]))
        self.assert_kept(judge([attempt(status=502, server_stamp="")], [run()]))

    def test_unasked_runs(self):
        self.assert_broken("UNASKED", judge([], [run("other")]))
        self.assert_broken("UNASKED", judge([attempt()], [run(key_seen=True)]))
        self.assert_kept(judge([], [run("id-1")]))

    def test_wrong_routes(self):
        verdict = judge([attempt()], [run(service="other")])
        rules = {each.rule for each in verdict.violations}
        self.assertEqual(rules, {"ROUTE", "CONFIG"})
        verdict = judge([attempt(key="unknown")], [run()])
        self.assertIn("ROUTE", {each.rule for each in verdict.violations})

    def test_withdrawn_keys(self):
        without = _front.configuration(2, tenants={"t1": {"apiKeys": ["k2"]}})
        late, early = (
            _soak_records.Configuration(2, without, at - 0.1, at)
            for at in (AT - 5.5, AT - 3.5)
        )
        frozen = span(_soak_records.FREEZE, begins=AT - 1.0, ends=AT - 0.5)
        # Not excused by a disruption of the host.
        self.assert_broken(
            "CONFIG",
            judge([attempt()], [run()], [frozen], configurations=[FIRST, late]),
        )
        self.assert_kept(
            judge(
                [attempt()], [run()], [frozen], configurations=[FIRST, early]
            ),
            "CONFIG: host out of touch: freeze",
        )

    # Guards against a finding where a request that was held up on its way is
    # run by a later configuration, after its caller has left.
    def test_configuration_of_the_run_counts_after_the_caller_has_left(self):
        without = _front.configuration(2, tenants={"t1": {"apiKeys": ["k2"]}})
        taken = _soak_records.Configuration(2, without, AT - 7.6, AT - 7.5)
        back = _soak_records.Configuration(
            3, _front.configuration(3), AT + 0.11, AT + 0.13
        )
        versions = [FIRST, taken, back]
        left = cut(ended_at=AT + 0.05, left_at=AT + 0.05)
        self.assert_broken(
            "CONFIG",
            judge([left], [run(at=AT + 0.04)], configurations=versions),
            2,
        )
        late = run(at=AT + 0.28, ended_at=AT + 0.3)
        self.assert_kept(
            judge([left], [late], configurations=versions),
            "LOST: three at most without planned work",
        )

    def test_old_configurations(self):
        added = _front.configuration_with_route("extra", 2, service="other")
        second = _soak_records.Configuration(2, added, AT - 4.0, AT - 3.5)
        versions = [FIRST, second]
        unknown = attempt(path="/extra/body-1-10", status=404, server_stamp="")
        self.assert_broken("CONFIG", judge([unknown], configurations=versions))
        self.assert_kept(
            judge(
                [unknown],
                spans=[span(_soak_records.STORE, "*")],
                configurations=versions,
            ),
            "CONFIG: host out of touch: store",
        )
        recent = second._replace(sent_at=AT - 2.0, acknowledged_at=AT - 1.9)
        self.assert_kept(judge([unknown], configurations=[FIRST, recent]))

    def test_regressions(self):
        moved = _front.configuration_with_route("read", 2, service="other")
        second = _soak_records.Configuration(2, moved, AT - 2.0, AT - 1.9)
        versions = [FIRST, second]
        attempts = [
            attempt("r0", sent_at=AT - 1.0, ended_at=AT - 0.8, connection=2),
            attempt("r1"),
        ]
        runs = [run("r0", at=AT - 0.9, service="other"), run("r1")]
        self.assert_broken(
            "CONFIG", judge(attempts, runs, configurations=versions)
        )
        restarted = [process(ended_at=AT - 0.5), process(started_at=AT - 0.4)]
        stopped = stop(AT - 0.6, AT - 0.5)._replace(target="h1")
        verdict = judge(
            attempts,
            runs,
            [stopped],
            configurations=versions,
            processes=restarted,
        )
        self.assert_broken("END", verdict)

    def test_late_answers(self):
        slow = [
            attempt(f"r{n}", ended_at=AT + 3.5, kind="fresh", connection=n)
            for n in range(8)
        ]
        runs = [run(f"r{n}") for n in range(8)]
        self.assert_broken("CONFIG", judge(slow, runs), 8)
        self.assert_kept(judge(slow[:7], runs[:7]))

    def test_drained_upstreams(self):
        drain = span(_soak_records.DRAIN, "i-0", AT - 3.5, AT + 1.0)
        self.assert_broken("DRAIN", judge([attempt()], [run()], [drain]))
        self.assert_kept(
            judge([attempt()], [run()], [stop(), drain]),
            "DRAIN: host out of touch: stop",
        )
        early = span(_soak_records.DRAIN, "i-0", AT - 2.0, AT + 1.0)
        self.assert_kept(judge([attempt()], [run()], [early]))

    def test_evacuated_zones(self):
        evacuation = span(_soak_records.EVACUATE, "north-a", AT - 5.5, AT + 1.0)
        there, elsewhere = run(zone="north-a"), run(zone="north-b")
        self.assert_broken("EVAC", judge([attempt()], [there], [evacuation]))
        self.assert_kept(judge([attempt()], [elsewhere], [evacuation]))
        early = evacuation._replace(started_at=AT - 4.5)
        self.assert_kept(judge([attempt()], [there], [early]))

    def test_links_of_hosts(self):
        for pattern, hosts in (
            (">front-h0", ["h0"]),
            (">front-*", ["h0", "h1"]),
            ("h0>i-*", ["h0"]),
            ("*>store-h0", ["h0"]),
            ("h0>peer-*", ["h0"]),
        ):
            harm = span(_soak_records.LINK, pattern)
            met = [
                each for each in ("h0", "h1") if _soak_rules.meets(harm, each)
            ]
            self.assertEqual(met, hosts, pattern)

    def test_callers_that_left(self):
        gone = [
            attempt(
                f"r{n}",
                path="/long/body-3000-10",
                status=0,
                end=_soak_records.LEFT,
                left_at=AT + 0.2,
                connection=n,
            )
            for n in range(4)
        ]
        at_work = [run(f"r{n}", ended_at=AT + 3.0) for n in range(4)]
        self.assert_broken("GONE", judge(gone, at_work), 4)
        late = [run(f"r{n}", at=AT + 1.5, ended_at=AT + 1.6) for n in range(4)]
        self.assert_broken("GONE", judge(gone, late), 4)
        ended = [
            run(f"r{n}", ended_at=AT + 0.4, outcome=_soak_records.CANCELLED)
            for n in range(4)
        ]
        self.assert_kept(judge(gone, ended))

    def test_budgets(self):
        attempts = [attempt(f"r{n}", connection=n) for n in range(4)]
        upstreams = ("i-1", "i-2", "i-0")
        runs = [
            run(f"r{n}", upstream=each) for n in range(4) for each in upstreams
        ]
        self.assert_broken("BUDGET", judge(attempts, runs), 4)
        two = [each for each in runs if each.upstream != "i-1"]
        self.assert_kept(judge(attempts, two))
        many = [attempt(f"r{n}", connection=n) for n in range(90)]
        once = [run(f"r{n}") for n in range(90)]
        # 0.2 of the 90 requests and 58 more are allowed.
        repeats = [run(f"r{n}") for n in range(77)]
        self.assert_broken("BUDGET", judge(many, once + repeats))
        self.assert_kept(judge(many, once + repeats[:76]))

    def test_long_deadlines(self):
        attempts = [attempt(f"r{n}", connection=n) for n in range(30)]
        runs = [run(f"r{n}", deadline_seconds=None) for n in range(30)]
        self.assert_broken("BUDGET", judge(attempts, runs), 30)
        self.assert_kept(judge(attempts[:20], runs[:20]))

    def test_own_ends(self):
        ended = process(ended_at=AT + 4.0, exit_code=1)
        self.assert_broken("END", judge(processes=[ended]))
        reload = span(_soak_records.RELOAD, begins=AT - 0.1)
        hung_up = process(ended_at=AT, exit_code=-1)
        self.assert_broken("END", judge(spans=[reload], processes=[hung_up]))
        late = process(ended_at=AT + 5.0, exit_code=-9)
        self.assert_broken("END", judge(spans=[stop()], processes=[late]))
        planned = process(ended_at=AT + 3.0, exit_code=0)
        self.assert_kept(judge(spans=[stop()], processes=[planned]))
        killed = process(ended_at=AT, exit_code=-9)
        kill = span(_soak_records.KILL, detail="7")
        self.assert_kept(judge(spans=[kill], processes=[killed]))
        starved = span(_soak_records.STARVED, begins=AT + 3.0, ends=AT + 4.0)
        self.assert_kept(
            judge(spans=[stop(), starved], processes=[late]),
            "END: the machine was busy at the stop",
        )
        self.assert_broken(
            "END", judge(spans=[stop(), starved], processes=[ended])
        )
        starting = span(_soak_records.START, begins=AT - 2.0, ends=AT - 0.5)
        early = process(started_at=AT - 2.0, ended_at=AT - 0.9, exit_code=-15)
        self.assert_kept(
            judge(spans=[stop(), starting], processes=[early]),
            "END: SIGTERM before it was ready",
        )

    def test_resources(self):
        def samples(memory, descriptors):
            return [
                _soak_records.Sample(
                    "h0", 7, float(n), memory(n), descriptors(n)
                )
                for n in range(100)
            ]

        for broken in (
            samples(lambda n: 320_000, lambda n: 100),
            samples(lambda n: 50_000, lambda n: 4_100),
            samples(lambda n: 50_000 + 1_000 * n, lambda n: 100),
            samples(lambda n: 50_000, lambda n: 100 + 2 * n),
        ):
            self.assert_broken("LIMIT", judge(samples=broken))
        steady = samples(lambda n: 90_000 + n % 7, lambda n: 200 - n % 90)
        self.assert_kept(judge(samples=steady))


class AnswersTest(unittest.TestCase):
    """Parsing of answers by the callers."""

    def test_answers_with_a_length(self):
        data = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP"
        answer = _soak_callers.parse_answer(data, False)
        self.assertEqual((answer.body, answer.size), (b"abc", len(data) - 4))
        self.assertIsNone(_soak_callers.parse_answer(data[:-5], True))

    def test_answers_in_chunks(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        data = head + b"2\r\nab\r\n1;x\r\nc\r\n0\r\n\r\n"
        answer = _soak_callers.parse_answer(data, False)
        self.assertEqual((answer.body, answer.size), (b"abc", len(data)))
        self.assertIsNone(_soak_callers.parse_answer(data[:-3], True))

    def test_answers_without_a_length(self):
        data = b"HTTP/1.1 200 OK\r\n\r\nabc"
        self.assertIsNone(_soak_callers.parse_answer(data, False))
        self.assertEqual(_soak_callers.parse_answer(data, True).body, b"abc")


class ServedTest(unittest.TestCase):
    """What a soak should have achieved."""

    def judge(self, statuses, spans=(), more_runs=(), **fields):
        """Judges attempts with these statuses, one a 10 ms."""
        records = self.records_of_statuses(statuses, spans, more_runs, **fields)
        return _soak_rules.judge(records)

    def judge_shares(self, statuses, **fields):
        """Judges such attempts by the share that is served only."""
        records = self.records_of_statuses(statuses, **fields)
        return _soak_rules.judge(records, (_soak_rules.find_unserved,))

    def records_of_statuses(self, statuses, spans=(), more_runs=(), **fields):
        """Returns records of attempts with these statuses, one a 10 ms."""
        return records_of(
            [
                attempt(
                    f"r{number}",
                    kind="kept",
                    status=status,
                    server_stamp="i-0" if status == 200 else "",
                    sent_at=AT + number / 100,
                    ended_at=AT + 0.2 + number / 100,
                    **fields,
                )
                for number, status in enumerate(statuses)
            ],
            [
                run(f"r{number}")
                for number, status in enumerate(statuses)
                if status == 200
            ]
            + list(more_runs),
            spans,
        )

    # Guards against a soak that passes a system that serves nothing.
    def test_nothing_served_in_calm(self):
        violations = self.judge([503] * 30).violations
        self.assertEqual({each.rule for each in violations}, {"SERVED"})
        texts = [each.text for each in violations]
        for name in ("host h0", "route read", "callers kept"):
            self.assertIn(f"{name}: 0 of 30 served in calm", texts)

    def test_events_explain_that_nothing_is_served(self):
        for each in (
            span(_soak_records.KILL),
            span(_soak_records.STORE, "*"),
            span(_soak_records.UPSTREAM, "i-0"),
            span(_soak_records.DRAIN, "i-0", ends=AT - 1.0),
        ):
            with self.subTest(each):
                self.assertEqual(self.judge([503] * 30, [each]).violations, [])

    # Guards against a soak that passes a system that serves nothing while one
    # of several upstreams is away.
    def test_remaining_upstreams_serve_beside_events(self):
        others = [
            run(f"other-{number}", upstream=f"i-{number}", at=AT - 10.0)
            for number in range(4)
        ]
        crash = span(_soak_records.UPSTREAM, "i-1.1")
        for statuses, broken in (
            # Three of four remain, of which the Gate wants 40 in 100.
            ([200] * 12 + [503] * 28, False),
            ([200] * 11 + [503] * 29, True),
        ):
            with self.subTest(statuses):
                found = self.judge(statuses, [crash], more_runs=others)
                served = [
                    each.text
                    for each in found.violations
                    if each.rule == "SERVED"
                ]
                self.assertEqual(bool(served), broken, served)

    def test_events_count_the_requests_that_met_them(self):
        records = [
            attempt("r1", path="/read/torn-10-10"),
            attempt("r2", left_at=AT + 0.1, host="h1"),
        ]
        events = [
            span(_soak_records.LINK, ">front-h0", detail="delay-callers"),
            span(_soak_records.DRAIN, "i-9"),
        ]
        met = _soak_rules.count_met(
            _soak_rules.gather(
                records_of(records, [run("r1"), run("r2")], events)
            )
        )
        self.assertEqual(
            met,
            {
                "link:delay-callers": 1,
                "drain": 0,
                "answer reset without a length": 1,
                "caller left": 1,
            },
        )

    # Guards against faults that excuse requests that they must not harm.
    def test_bytes_without_end_explain_nothing(self):
        for detail in ("endless-answers", "tiny-chunks"):
            each = span(_soak_records.LINK, ">front-h0", detail=detail)
            self.assertTrue(self.judge([503] * 30, [each]).violations)

    def test_the_gate_of_the_pages_is_the_bound(self):
        self.assertEqual(
            self.judge_shares([200] * 12 + [503] * 18).violations, []
        )
        self.assertTrue(self.judge_shares([200] * 11 + [503] * 19).violations)

    def test_few_requests_and_those_of_callers_that_leave_do_not_count(self):
        self.assertEqual(self.judge_shares([503] * 19).violations, [])
        leaving = self.judge_shares([503] * 30, path="/read/short-10-10")
        self.assertEqual(leaving.violations, [])

    def judge_single(self, answered, runs=(), spans=()):
        """Judges a request with the rule on each single one."""
        return _soak_rules.judge(
            records_of([answered], runs, spans), _soak_rules.STRICT_RULES
        )

    # Guards against a soak that passes a system that leaves one request in 333
    # unanswered, or refuses a third of them.
    def test_each_request_in_calm_is_answered(self):
        for end in (
            _soak_records.RESET,
            _soak_records.END,
            _soak_records.TIMEOUT,
        ):
            unanswered = attempt(
                kind="kept", status=0, server_stamp="", end=end
            )
            (found,) = self.judge_single(unanswered).violations
            self.assertEqual(found.rule, "SERVED")
            beside = self.judge_single(unanswered, spans=[stop()])
            self.assertEqual(beside.violations, [])

    def test_requests_that_the_end_of_the_soak_meets_are_not_due(self):
        for open_seconds, violations in ((2.0, 0), (2.6, 1)):
            left = attempt(
                kind="kept",
                status=0,
                server_stamp="",
                end=_soak_records.LEFT,
                ended_at=AT + open_seconds,
                left_at=AT + open_seconds,
            )
            found = self.judge_single(left).violations
            served = [each for each in found if each.rule == "SERVED"]
            self.assertEqual(len(served), violations, open_seconds)

    def test_refusal_in_calm_needs_a_recorded_reason(self):
        refused = attempt(kind="kept", status=503, server_stamp="")
        (found,) = self.judge_single(refused).violations
        self.assertEqual(found.rule, "SERVED")
        broken = run(outcome=_soak_records.BROKEN)
        failed = refused._replace(status=502)
        late = refused._replace(status=504, ended_at=AT + 2.0)
        at_work = run(outcome=_soak_records.CANCELLED, ended_at=AT + 2.0)
        for answered, runs in ((failed, [broken]), (late, [at_work])):
            verdict = self.judge_single(answered, runs)
            self.assertEqual(verdict.violations, [])
            self.assertEqual(verdict.excused.total(), 1)
        early = late._replace(ended_at=AT + 1.0)
        for answered, runs in ((late, []), (late, [run()]), (early, [at_work])):
            self.assertEqual(
                len(self.judge_single(answered, runs).violations), 1
            )

    def test_two_failed_probes_in_a_row(self):
        def probes(*answers):
            return [
                _soak_records.Probe("h0", AT + number, ready, listed)
                for number, (ready, listed) in enumerate(answers)
            ]

        good, unready, unlisted = (
            (True, ("a",)),
            (False, ("a",)),
            (True, ()),
        )
        for bad in (unready, unlisted):
            self.assertEqual(
                judge(probes=probes(good, bad, good, bad)).violations, []
            )
            (found,) = judge(probes=probes(good, bad, bad, bad)).violations
            self.assertEqual(found.rule, "SERVED")
        stopped = judge(
            spans=[stop()], probes=probes(unready, unready, unready)
        )
        self.assertEqual(stopped.violations, [])


class UpstreamLimitTest(unittest.TestCase):
    """The limit on requests that an upstream names."""

    def judge(self, count, seconds):
        """Judges runs spread over some seconds beside a limit of 4."""
        times = [AT + number * seconds / count for number in range(count)]
        return judge(
            [
                attempt(f"r{number}", sent_at=at, ended_at=at + 0.1)
                for number, at in enumerate(times)
            ],
            [
                run(f"r{number}", at=at, ended_at=at + 0.05)
                for number, at in enumerate(times)
            ],
            [
                span(
                    _soak_records.UPSTREAM,
                    "i-0",
                    ends=AT + 20,
                    detail=_soak_rules.LIMIT_DETAIL,
                )
            ],
        ).violations

    def test_more_requests_than_the_limit_allows(self):
        self.assertEqual(self.judge(40, 10.0), [])
        (found,) = self.judge(400, 10.0)
        self.assertEqual(found.rule, "LIMIT")


class BreaksTest(unittest.TestCase):
    """The copies of the package that a soak has to find."""

    def test_every_rule_has_one_that_can_be_made(self):
        for name in _soak_breaks.BREAKS:
            with self.subTest(name), _soak_breaks.broken_copy(name) as root:
                for edit in _soak_breaks.BREAKS[name].edits:
                    path = root / _soak_breaks.PACKAGE / edit.path
                    compile(path.read_text(), edit.path, "exec")
        self.assertEqual(
            {each.rule for each in _soak_breaks.BREAKS.values()}, RULES
        )


class ScheduleTest(unittest.TestCase):
    """The schedule of a seed."""

    # Guards against new kinds that change the schedules of seeds that failed.
    def test_later_kinds_leave_the_other_events_as_they_were(self):
        hosts, upstreams = ["h0", "h1"], ["i-0", "i-1"]
        for seed in range(20):
            events = _soak_schedule.draw_schedule(seed, hosts, upstreams, 12.0)
            others = [each for each in events if each.kind not in LATER_KINDS]
            self.assertLess(len(others), len(events))
            self.assertGreaterEqual(
                len(others), _soak_schedule.EVENTS_PER_SECOND * 12.0
            )


if __name__ == "__main__":
    unittest.main()
