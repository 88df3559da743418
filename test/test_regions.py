"""Regions are never overloaded, and requests to others stay under a cap.

The cap limits the rate of requests that hosts of one region send to upstreams
of another. Drained regions and leaving upstreams get no new requests.
"""

import time
import unittest

from test import _common
from test import _deployments
from test import _load

# Processing time of a request, and a slightly shorter time for which it
# certainly occupies its slot.
PROCESSING_SECONDS = 0.2
MIN_BUSY_SECONDS = 0.19
SLOTS_PER_UPSTREAM = 5
# Declared fraction of the slots of a region that hosts leave free.
HEADROOM_FRACTION = 0.1
# Required limit on the time for which a leaving upstream gets new requests.
MAX_LEAVING_SECONDS = 3.0
# Tolerance for the time that a request takes to reach its upstream.
MAX_TRANSIT_SECONDS = 0.2


def start_times(running, region, account=""):
    """Returns the sorted start times of requests at a region's upstreams."""
    return sorted(
        started_at
        for name, report in running.reports().items()
        if name.startswith(region)
        for started_at, sender, *_ in report["starts"]
        if not account or sender == account
    )


def max_concurrent(times):
    """Returns the largest number of requests that certainly ran concurrently.

    Args:
        times: Sorted start times of the requests, seconds.
    """
    maximum = oldest = 0
    for position, started_at in enumerate(times):
        while times[oldest] <= started_at - MIN_BUSY_SECONDS:
            oldest += 1
        maximum = max(maximum, position - oldest + 1)
    return maximum


class RegionsTest(unittest.TestCase):
    """Real hosts respect the slots of upstreams and the caps between regions.

    Upstreams with few slots report their requests. Faults are overload, dead or
    misreporting upstreams, the loss or drain of a region, a leaving upstream
    and a cold one (just restarted, so its cache is not filled yet).
    """

    def start(self, hosts=9, upstreams=6, **options):
        self.running = self.enterContext(
            _deployments.deployment(
                hosts,
                upstreams,
                SLOTS_PER_UPSTREAM,
                "--service-ms",
                int(PROCESSING_SECONDS * 1000),
                **options,
            )
        )
        _deployments.wait_serving(self.running)
        self.host_names = list(self.running.host_specs)

    def any_host(self, number):
        return self.host_names[number % len(self.host_names)]

    def stream(self, rate, path="/contracts", account="ada", hosts=None):
        hosts = hosts or self.host_names
        pick_host = lambda number: hosts[number % len(hosts)]  # noqa: E731
        return _load.Stream(account, rate, pick_host, path)

    def check_slots(self):
        """Checks that requests fit the slots of each upstream and region.

        In a region, the fraction HEADROOM_FRACTION of the slots must stay free.
        """
        for name, report in self.running.reports().items():
            self.assertLessEqual(report["max_busy"], SLOTS_PER_UPSTREAM, name)
            self.assertEqual(report["shed"], 0, name)
        for region in _deployments.REGIONS:
            slots = sum(
                spec.slots
                for spec in self.running.upstream_specs.values()
                if spec.region == region
            )
            maximum = max_concurrent(start_times(self.running, region))
            self.assertLessEqual(
                maximum, int(slots * (1 - HEADROOM_FRACTION)), region
            )

    def test_slots_hold_in_overload_and_importance_decides_refusals(self):
        self.start()
        capacity = 6 * SLOTS_PER_UPSTREAM / PROCESSING_SECONDS
        live = self.stream(capacity * 0.5)
        archive = self.stream(capacity, "/contracts/archive")
        results = _load.run(self.running, [live, archive], 5.0)
        self.check_slots()
        refused = [result for result in results if result.status != 200]
        self.assertTrue(refused)
        self.assertEqual({result.ran for result in refused}, {"no"})
        counts = {
            path: sum(result.path == path for result in refused)
            for path in (live.path, archive.path)
        }
        # Archive requests are less important, so they are refused first.
        self.assertLess(counts[live.path], counts[archive.path] / 4)

    def test_slots_hold_when_upstreams_die_and_report_wrong_load(self):
        self.start()
        upstreams = list(self.running.upstreams.values())
        _common.fetch_json(upstreams[1].url("/_control"), {"reported_busy": 0})
        _common.fetch_json(upstreams[2].url("/_control"), {"frozen": True})

        def inject_faults():
            time.sleep(1.0)
            upstreams[0].kill()

        rate = 6 * SLOTS_PER_UPSTREAM / PROCESSING_SECONDS * 0.9
        _load.run(self.running, [self.stream(rate)], 4.0, faults=inject_faults)
        self.check_slots()

    def test_slots_hold_when_all_processes_of_a_region_fail(self):
        self.start()

        def inject_faults():
            time.sleep(1.0)
            processes = {**self.running.upstreams, **self.running.hosts}
            for name, process in processes.items():
                if name.startswith("mid"):
                    process.kill()

        remaining = [
            name for name in self.host_names if not name.startswith("mid")
        ]
        rate = 6 * SLOTS_PER_UPSTREAM / PROCESSING_SECONDS * 0.8
        stream = self.stream(rate, hosts=remaining)
        _load.run(self.running, [stream], 5.0, faults=inject_faults)
        self.check_slots()

    def test_shifts_from_a_drained_region_stay_under_the_cap(self):
        cap = (10.0, 5)
        document = _deployments.declarations(cap=cap)
        self.start(hosts=3, document=document)
        self.running.put(
            "steeringobjects", "drains", {"drains": {"region/north": True}}
        )
        north = [name for name in self.host_names if name.startswith("north")]
        streams = [self.stream(60.0, hosts=north, account="ben")]
        results = _load.run(self.running, streams, 5.0)
        for region in ("mid", "south"):
            times = start_times(self.running, region, "ben")
            excess = _load.worst_excess(times, *cap)
            self.assertLessEqual(excess, cap[0] * MAX_TRANSIT_SECONDS)
            self.assertGreater(len(times), 0)
        self.assertEqual(
            {result.ran for result in results if result.status != 200}, {"no"}
        )

    def test_leaving_upstream_gets_no_new_requests(self):
        self.start(hosts=3, upstreams=6)
        self.running.control(list_lag_ms=60_000)
        name = "north-1-contracts"
        process = self.running.upstreams[name]
        leaving_at = []

        def inject_faults():
            time.sleep(1.0)
            _common.fetch_json(process.url("/_control"), {"leaving": True})
            leaving_at.append(time.monotonic())

        _load.run(self.running, [self.stream(40.0)], 6.0, faults=inject_faults)
        report = _common.fetch_json(process.url("/_control/runs"))
        late_starts = [
            started_at
            for started_at, *_ in report["starts"]
            if started_at > leaving_at[0] + MAX_LEAVING_SECONDS
        ]
        self.assertTrue(report["starts"])
        self.assertEqual(late_starts, [])

    def test_cold_upstream_gets_limited_load(self):
        self.start(hosts=3, upstreams=4)
        cold_upstream = "north-2-contracts"
        self.running.upstreams[cold_upstream].kill()
        rate = 6 * SLOTS_PER_UPSTREAM / PROCESSING_SECONDS
        north = [name for name in self.host_names if name.startswith("north")]
        stream = self.stream(rate, hosts=north)
        _load.run(self.running, [stream], 4.0)
        self.running.start_upstream(cold_upstream)
        self.running.wait_upstream_ready(cold_upstream)
        self.running.write_lists()
        _load.run(self.running, [stream], 4.0)
        report = self.running.reports()[cold_upstream]
        times = sorted(started_at for started_at, *_ in report["starts"])
        self.assertTrue(times)
        early_starts = [
            started_at for started_at in times if started_at < times[0] + 1.0
        ]
        self.assertLessEqual(
            max_concurrent(early_starts), int(SLOTS_PER_UPSTREAM * 0.5)
        )


class MaxConcurrentTest(unittest.TestCase):
    """The function that counts concurrent requests."""

    def test_counts_overlapping_requests(self):
        self.assertEqual(max_concurrent([0.0, 0.1, 0.18, 0.3]), 3)
        self.assertEqual(max_concurrent([0.0, 0.19, 0.4]), 1)
