"""A planned stop of a host interrupts no request and refuses no caller."""

import concurrent.futures
import contextlib
import http.client
import itertools
import json
import socket
import threading
import time
import unittest

import urllib3

from gooseberryweir import codes
from test import _common
from test import _deployments
from test import _load
from test import test_at_most_once

LOOK_UP_TTL_SECONDS = 1.0
LONG_REQUEST_SECONDS = 10.0
# Longer than a host without open requests takes to stop.
FORWARDED_REQUEST_SECONDS = 5.0
# A host without open requests ends in less than this after it has closed its
# port.
END_SECONDS = 1.0


class CachingCaller:
    """A caller that uses the first host of a look-up until the look-up expires.

    Callers may use the hosts of a look-up for its time to live.

    Attributes:
        running: Deployment that serves the caller.
        host: Name of the host in use.
        expires_at: Monotonic time at which the look-up expires, seconds.
        address: Address of the host in use.
        errors: Descriptions of failed connections and of truncated or
            unexpected answers. Answers that say that the request did not run
            are not errors.
        answer_count: Number of complete answers.
        pool: HTTP connections.
    """

    def __init__(self, running, first_host):
        self.running = running
        self.host = first_host
        self.expires_at = 0.0
        self.address = ""
        self.errors = []
        self.answer_count = 0
        self.pool = urllib3.PoolManager(retries=False)

    def look_up(self):
        """Sends a look-up to the current host, or else to any other."""
        for name in [self.host, *self.running.host_specs]:
            requested_at = time.monotonic()
            try:
                answer = self.running.call(name, "GET", "/v1/hosts", "ada")
            except urllib3.exceptions.HTTPError:
                continue
            if answer.status != 200:
                continue
            document = answer.json()
            self.host = document["hosts"][0]["name"]
            self.address = document["hosts"][0]["address"]
            self.expires_at = requested_at + document["ttl"]
            return
        raise AssertionError("no host answers a look-up")

    def run(self, stop):
        """Sends requests until the stop event is set."""
        while not stop.is_set():
            if time.monotonic() >= self.expires_at:
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
                self.errors.append(f"{self.host}: {error!r}")
                continue
            if answer.status == 200 and len(answer.data) == 20000:
                self.answer_count += 1
            elif answer.headers.get("Gooseberryweir-Ran") != "no":
                self.errors.append(f"{self.host}: {answer.status}")


class ShutdownTest(unittest.TestCase):
    """Hosts stopped by SIGTERM under load finish their long requests.

    Callers with a valid look-up see no error in a rolling restart, nor in a
    planned stop while the platform is down. A second SIGTERM cuts off nothing.
    """

    def start(self, hosts=3):
        self.running = self.enterContext(
            _deployments.deployment(
                hosts,
                3,
                20,
                settings={
                    "look_up_seconds": LOOK_UP_TTL_SECONDS,
                    "drain_seconds": 30.0,
                },
            )
        )
        _deployments.wait_serving(self.running)
        self.host_names = list(self.running.host_specs)

    def restart(self, name):
        """Stops a host gracefully and starts it again."""
        process = self.running.hosts[name]
        process.terminate()
        self.assertEqual(process.wait(60.0), 0)
        self.running.start_host(name)
        self.running.wait_host_ready(name)
        self.running.write_lists()

    def send_long_request(self, name):
        """Sends a host a request that takes ten seconds."""
        path = f"/contracts?sleep_ms={int(LONG_REQUEST_SECONDS * 1000)}"
        stream = _load.Stream("ben", 1.0, lambda number: name, path)
        return _load.send(self.running, name, stream)

    def restart_one_by_one(self, names, outage=False):
        """Restarts hosts one after another while callers send requests.

        Checks that the long requests that were sent before the restarts succeed
        and that no caller sees an error. With `outage`, the platform is down
        during the restarts.
        """
        stop = threading.Event()
        callers = [
            CachingCaller(self.running, name)
            for name in itertools.islice(itertools.cycle(self.host_names), 6)
        ]
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            loops = [pool.submit(caller.run, stop) for caller in callers]
            try:
                long_requests = [
                    pool.submit(self.send_long_request, name) for name in names
                ]
                _common.wait_until(self.all_long_requests_started)
                if outage:
                    self.running.control(outage=True)
                for name in names:
                    self.restart(name)
            finally:
                stop.set()
            for future in loops:
                future.result()
            self.assertEqual(
                {future.result().status for future in long_requests}, {200}
            )
        self.assertEqual(
            [error for each in callers for error in each.errors], []
        )
        self.assertTrue(all(caller.answer_count for caller in callers))

    def all_long_requests_started(self):
        """Returns True once all long requests have reached upstreams."""
        reports = self.running.reports().values()
        return sum(r["accounts"].get("ben", 0) for r in reports) >= len(
            self.long_request_hosts
        )

    def test_rolling_restart_with_long_requests_and_cached_look_ups(self):
        self.start()
        self.long_request_hosts = self.host_names
        self.restart_one_by_one(self.host_names)

    def test_planned_stop_in_a_platform_outage_causes_no_error(self):
        self.start()
        self.long_request_hosts = self.host_names[:1]
        self.restart_one_by_one(self.host_names[:1], outage=True)

    def test_second_signal_interrupts_no_request(self):
        self.start()
        name = self.host_names[0]
        process = self.running.hosts[name]
        self.long_request_hosts = [name]
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            long_request = pool.submit(self.send_long_request, name)
            _common.wait_until(self.all_long_requests_started)
            process.terminate()
            _common.wait_until(lambda: "host-leaving" in process.output())
            process.terminate()
            self.assertEqual(long_request.result().status, 200)
        self.assertEqual(process.wait(60.0), 0)

    # Guards against an unknown outcome of issue 35: a request that another host
    # had forwarded ran, and the host ended before its answer.
    def test_forwarded_request_is_answered_by_a_host_that_stops(self):
        self.start()
        name, forwarder = self.host_names[:2]
        batch = _deployments.look_up(self.running, name, "ada")["tickets"]
        ticket = f"{batch['prefix']}0"
        milliseconds = int(FORWARDED_REQUEST_SECONDS * 1000)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            order = pool.submit(
                test_at_most_once.send_order,
                self.running,
                forwarder,
                ticket,
                f"?sleep_ms={milliseconds}",
            )
            _common.wait_until(
                lambda: any(
                    each["accounts"].get("ada")
                    for each in self.running.reports().values()
                )
            )
            process = self.running.hosts[name]
            process.terminate()
            attempt = order.result()
        self.assertEqual((attempt.status, attempt.ran), (200, "yes"))
        self.assertEqual(process.wait(60.0), 0)

    # Guards against operators' requests of issue 35 that a stopping host cut
    # off although they were open.
    def test_open_request_of_an_operator_is_answered_by_a_host_that_stops(self):
        self.start(1)
        (name,) = self.host_names
        connection = http.client.HTTPConnection(
            self.running.addresses[f"operator:{name}"], timeout=10.0
        )
        self.enterContext(contextlib.closing(connection))
        body = b"not a digest"
        connection.putrequest("POST", "/v1/withdraw")
        connection.putheader(
            "Authorization", f"Bearer {self.running.operator_token}"
        )
        connection.putheader("Content-Length", str(len(body)))
        connection.endheaders()
        process = self.running.hosts[name]
        process.terminate()
        _common.wait_until(lambda: not self.accepts_callers(name))
        time.sleep(END_SECONDS)
        connection.send(body)
        answer = json.loads(connection.getresponse().read())
        self.assertEqual(answer["code"], int(codes.Code.MALFORMED_KEY))
        connection.close()
        self.assertEqual(process.wait(60.0), 0)

    def accepts_callers(self, name):
        """Returns True if a host accepts connections of callers."""
        host, _, port = self.running.addresses[f"caller:{name}"].rpartition(":")
        try:
            with socket.create_connection((host, int(port)), timeout=1.0):
                return True
        except OSError:
            return False
