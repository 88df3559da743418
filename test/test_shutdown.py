"""A planned stop cuts off no request and refuses no caller."""

import concurrent.futures
import itertools
import threading
import time
import unittest

import urllib3

from test import _common
from test import _declared
from test import _load

LOOK_UP_SECONDS = 1.0
LONG_SECONDS = 10.0


class CachingCaller:
    """A caller that uses a look-up until it runs out, as clients may.

    Attributes:
        faults: What went wrong: refused connections, cut or broken answers.
        answers: Number of whole answers.
    """

    def __init__(self, running, first):
        self.running = running
        self.host = first
        self.until = 0.0
        self.address = ""
        self.faults = []
        self.answers = 0
        self.pool = urllib3.PoolManager(retries=False)

    def look_up(self):
        """Asks the host used so far, or any other, which host to use."""
        for name in [self.host, *self.running.host_specs]:
            asked_at = time.monotonic()
            try:
                answer = self.running.call(name, "GET", "/v1/hosts", "ada")
            except urllib3.exceptions.HTTPError:
                continue
            if answer.status != 200:
                continue
            document = answer.json()
            self.host = document["hosts"][0]["name"]
            self.address = document["hosts"][0]["address"]
            self.until = asked_at + document["ttl"]
            return
        raise AssertionError("no host answers a look-up")

    def run(self, stop):
        """Sends requests until told to stop."""
        while not stop.is_set():
            if time.monotonic() >= self.until:
                self.look_up()
            try:
                answer = self.pool.request(
                    "GET",
                    f"http://{self.address}/contracts?bytes=20000",
                    headers={
                        "Authorization": f"Bearer {self.running.keys['ada']}"
                    },
                    timeout=15.0,
                )
            except urllib3.exceptions.HTTPError as error:
                self.faults.append(f"{self.host}: {error!r}")
                continue
            if answer.status == 200 and len(answer.data) == 20000:
                self.answers += 1
            elif answer.headers.get("Gooseberryweir-Ran") != "no":
                self.faults.append(f"{self.host}: {answer.status}")


class ShutdownTest(unittest.TestCase):
    """Rolling restart of all hosts under load."""

    def start(self, hosts=3):
        self.running = self.enterContext(
            _declared.deployment(
                hosts,
                3,
                20,
                settings={
                    "look_up_seconds": LOOK_UP_SECONDS,
                    "drain_seconds": 30.0,
                },
            )
        )
        _declared.wait_serving(self.running)
        self.names = list(self.running.host_specs)

    def restart(self, name):
        """Stops a host gracefully and starts it again."""
        process = self.running.hosts[name]
        process.terminate()
        self.assertEqual(process.wait(60.0), 0)
        self.running.start_host(name)
        self.running.host_ready(name)
        self.running.write_lists()

    def long_request(self, name):
        """A request that takes ten seconds, sent to a given host."""
        path = f"/contracts?sleep_ms={int(LONG_SECONDS * 1000)}"
        stream = _load.Stream("ben", 1.0, lambda number: name, path)
        return _load.send(self.running, name, stream)

    def roll(self, names, outage=False):
        """Restarts hosts one after another under load of caching callers."""
        stop = threading.Event()
        callers = [
            CachingCaller(self.running, name)
            for name in itertools.islice(itertools.cycle(self.names), 6)
        ]
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            running = [pool.submit(caller.run, stop) for caller in callers]
            try:
                long = [pool.submit(self.long_request, name) for name in names]
                _common.wait_until(self.all_long_run)
                if outage:
                    self.running.control(outage=True)
                for name in names:
                    self.restart(name)
            finally:
                stop.set()
            for each in running:
                each.result()
            self.assertEqual({each.result().status for each in long}, {200})
        self.assertEqual([f for c in callers for f in c.faults], [])
        self.assertTrue(all(caller.answers for caller in callers))

    def all_long_run(self):
        reports = self.running.reports().values()
        return sum(r["accounts"].get("ben", 0) for r in reports) >= len(
            self.long_hosts
        )

    def test_rolling_restart_with_long_requests_and_cached_look_ups(self):
        self.start()
        self.long_hosts = self.names
        self.roll(self.names)

    def test_planned_stop_in_an_outage_of_the_platform(self):
        self.start()
        self.long_hosts = self.names[:1]
        self.roll(self.names[:1], outage=True)

    def test_a_second_signal_does_not_cut_off(self):
        self.start()
        name = self.names[0]
        process = self.running.hosts[name]
        self.long_hosts = [name]
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            long = pool.submit(self.long_request, name)
            _common.wait_until(self.all_long_run)
            process.terminate()
            _common.wait_until(lambda: "host-leaving" in process.text())
            process.terminate()
            self.assertEqual(long.result().status, 200)
        self.assertEqual(process.wait(60.0), 0)
