"""Tests of the command that says from logs why requests lost their credit."""

import unittest

from gooseberryweir import codes
from gooseberryweir.commands import losses

START = "2026-01-01 00:00:00,000 level=INFO host=h1 event=host-started zone=a"
SERVED = (
    "2026-01-01 00:00:03,500 level=INFO host=h1 event=request-served"
    " request=x route=r upstream=u status=200 attempt={attempt}"
    " seconds={seconds} objective=0.4 attempt_seconds={attempt_seconds}"
    " round_trip={round_trip} remote={remote} waiting={waiting} warm={warm}"
)
REFUSED = (
    "2026-01-01 00:00:04,000 level=INFO host=h1 event=request-refused"
    " request=y route=r code={code} ran={ran} detail={detail}"
)


def served(seconds, **changes):
    values = {
        "attempt": 1,
        "attempt_seconds": seconds,
        "round_trip": 0,
        "remote": changes.get("round_trip", 0) > 0,
        "waiting": 0,
        "warm": True,
    }
    return SERVED.format(seconds=seconds, **{**values, **changes})


class LossesTest(unittest.TestCase):
    """Reasons, groups and the ranking, from lines as hosts write them."""

    def reason(self, line):
        (outcome,) = losses.LogReader().read([START, line])
        return outcome.reason

    def test_reason_of_each_outcome(self):
        for line, reason in (
            (served(0.3), losses.SERVED_IN_TIME),
            (served(0.5, attempt=2), "late: further attempt"),
            (served(0.5, attempt_seconds=0.2), "late: held at the host"),
            (served(0.5, waiting=3), "late: queue at the upstream"),
            (served(0.5, warm=False), "late: cold object in this region"),
            (
                served(0.5, warm=False, round_trip=0.1),
                "late: cold object in another region",
            ),
            (served(0.45, round_trip=0.1), "late: round trip"),
            (served(0.6, round_trip=0.1), "late: slow upstream"),
            (
                REFUSED.format(
                    code=302, ran="no", detail='"expected wait is 0.42 s"'
                ),
                "refused 302: expected wait is N s",
            ),
            (
                REFUSED.format(code=402, ran="unknown", detail="timeout"),
                "failed 402: timeout",
            ),
        ):
            self.assertEqual(self.reason(line), reason)

    def test_losses_by_zone_and_second_with_a_ranking(self):
        printed = []
        losses.show_losses(
            [START, served(0.3), served(0.5, waiting=1), "no log line"],
            ["zone", "second"],
            {"r": 2.0},
            printed.append,
        )
        row = next(line for line in printed if " a " in line)
        self.assertIn("1.6", row)
        self.assertIn("0.4000", row)
        self.assertIn(
            "without 'late: queue at the upstream': 0.4000 more credit",
            printed,
        )

    def test_malformed_line_is_counted_and_the_others_are_read(self):
        printed = []
        cut_off = served(0.5)[:-12]
        quoted = REFUSED.format(code=302, ran="no", detail='"cut')
        losses.show_losses(
            [START, cut_off, quoted, served(0.3)],
            ["reason"],
            {},
            printed.append,
        )
        self.assertIn("log lines omitted: 0, malformed: 2", printed)
        self.assertTrue(any(losses.SERVED_IN_TIME in each for each in printed))

    def test_unknown_group_and_malformed_worth_are_refused(self):
        with self.assertRaises(codes.UserError):
            losses.show_losses([], ["host"], {}, print)
        for text in ("r", "=2", "r=x"):
            with self.assertRaises(codes.UserError):
                losses.parse_worth(text)
        self.assertEqual(losses.parse_worth("r=2.5"), ("r", 2.5))


if __name__ == "__main__":
    unittest.main()
