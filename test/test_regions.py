"""No decision overloads a region; shifts keep to their cap; drains drain."""

import time
import unittest

from test import _common
from test import _declared
from test import _load

# Work time of a request; a start is known to be busy for almost this long.
WORK_SECONDS = 0.2
SURELY_BUSY_SECONDS = 0.19
SLOTS = 5
HEADROOM = 0.1
# Users' bound on new work for an upstream that leaves.
LEAVING_SECONDS = 3.0
TRANSIT_SECONDS = 0.2


def starts(running, region, account=""):
    """Returns the sorted starts at the upstreams of a region."""
    return sorted(
        at
        for name, report in running.reports().items()
        if name.startswith(region)
        for at, who, *_ in report["starts"]
        if not account or who == account
    )


def most_together(times):
    """Returns how many requests were surely busy at once."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - SURELY_BUSY_SECONDS:
            first += 1
        most = max(most, last - first + 1)
    return most


class RegionsTest(unittest.TestCase):
    """Real hosts, upstreams with few slots, counts taken at the upstreams."""

    def start(self, hosts=9, upstreams=6, **options):
        self.running = self.enterContext(
            _declared.deployment(
                hosts,
                upstreams,
                SLOTS,
                "--service-ms",
                int(WORK_SECONDS * 1000),
                **options,
            )
        )
        _declared.wait_serving(self.running)
        self.names = list(self.running.host_specs)

    def all_hosts(self, number):
        return self.names[number % len(self.names)]

    def stream(self, rate, path="/contracts", account="ada", hosts=None):
        hosts = hosts or self.names
        pick = lambda number: hosts[number % len(hosts)]  # noqa: E731
        return _load.Stream(account, rate, pick, path)

    def check_slots(self):
        """Checks every upstream and the headroom of every region."""
        for name, report in self.running.reports().items():
            self.assertLessEqual(report["max_busy"], SLOTS, name)
            self.assertEqual(report["shed"], 0, name)
        for region in _declared.REGIONS:
            slots = sum(
                spec.slots
                for spec in self.running.upstream_specs.values()
                if spec.region == region
            )
            most = most_together(starts(self.running, region))
            self.assertLessEqual(most, int(slots * (1 - HEADROOM)), region)

    def test_overload_by_nine_hosts_and_refusals_by_importance(self):
        self.start()
        capacity = 6 * SLOTS / WORK_SECONDS
        live = self.stream(capacity * 0.5)
        archive = self.stream(capacity, "/contracts/archive")
        seen = _load.run(self.running, [live, archive], 5.0)
        self.check_slots()
        refused = [each for each in seen if each.status != 200]
        self.assertTrue(refused)
        self.assertEqual({each.ran for each in refused}, {"no"})
        counts = {
            path: sum(each.path == path for each in refused)
            for path in (live.path, archive.path)
        }
        # Archive pulls give way before live work does.
        self.assertLess(counts[live.path], counts[archive.path] / 4)

    def test_upstreams_die_and_reports_lie(self):
        self.start()
        upstreams = list(self.running.upstreams.values())
        _common.fetch_json(upstreams[1].url("/_control"), {"lying": 0})
        _common.fetch_json(upstreams[2].url("/_control"), {"frozen": True})

        def faults():
            time.sleep(1.0)
            upstreams[0].kill()

        rate = 6 * SLOTS / WORK_SECONDS * 0.9
        _load.run(self.running, [self.stream(rate)], 4.0, faults=faults)
        self.check_slots()

    def test_a_region_fails_whole(self):
        self.start()

        def faults():
            time.sleep(1.0)
            processes = {**self.running.upstreams, **self.running.hosts}
            for name, process in processes.items():
                if name.startswith("mid"):
                    process.kill()

        left = [name for name in self.names if not name.startswith("mid")]
        rate = 6 * SLOTS / WORK_SECONDS * 0.8
        stream = self.stream(rate, hosts=left)
        _load.run(self.running, [stream], 5.0, faults=faults)
        self.check_slots()

    def test_a_drained_region_shifts_under_its_cap(self):
        cap = (10.0, 5)
        document = _declared.declarations(cap=cap)
        self.start(hosts=3, document=document)
        self.running.put(
            "steeringobjects", "drains", {"drains": {"region/north": True}}
        )
        north = [name for name in self.names if name.startswith("north")]
        streams = [self.stream(60.0, hosts=north, account="ben")]
        seen = _load.run(self.running, streams, 5.0)
        for region in ("mid", "south"):
            times = starts(self.running, region, "ben")
            excess = _load.worst_excess(times, *cap)
            self.assertLessEqual(excess, cap[0] * TRANSIT_SECONDS)
            self.assertGreater(len(times), 0)
        self.assertEqual(
            {each.ran for each in seen if each.status != 200}, {"no"}
        )

    def test_a_leaving_upstream_gets_nothing_new(self):
        self.start(hosts=3, upstreams=6)
        self.running.control(list_lag_ms=60_000)
        name = "north-1-contracts"
        process = self.running.upstreams[name]
        left_at = []

        def faults():
            time.sleep(1.0)
            _common.fetch_json(process.url("/_control"), {"leaving": True})
            left_at.append(time.monotonic())

        _load.run(self.running, [self.stream(40.0)], 6.0, faults=faults)
        report = _common.fetch_json(process.url("/_control/runs"))
        late = [
            at
            for at, *_ in report["starts"]
            if at > left_at[0] + LEAVING_SECONDS
        ]
        self.assertTrue(report["starts"])
        self.assertEqual(late, [])

    def test_a_cold_upstream_ramps(self):
        self.start(hosts=3, upstreams=4)
        cold = "north-2-contracts"
        self.running.upstreams[cold].kill()
        rate = 6 * SLOTS / WORK_SECONDS
        north = [name for name in self.names if name.startswith("north")]
        stream = self.stream(rate, hosts=north)
        _load.run(self.running, [stream], 4.0)
        self.running.start_upstream(cold)
        self.running.upstream_ready(cold)
        self.running.write_lists()
        _load.run(self.running, [stream], 4.0)
        report = self.running.reports()[cold]
        times = sorted(at for at, *_ in report["starts"])
        self.assertTrue(times)
        early = [at for at in times if at < times[0] + 1.0]
        self.assertLessEqual(most_together(early), int(SLOTS * 0.5))


class MostTogetherTest(unittest.TestCase):
    """The count itself."""

    def test_counts_what_overlaps(self):
        self.assertEqual(most_together([0.0, 0.1, 0.18, 0.3]), 3)
        self.assertEqual(most_together([0.0, 0.19, 0.4]), 1)
