"""Tests of returns of the store in the middle of other changes, as processes.

What the store loses: the revocation of a key, a route, an evacuation and the
departure of an upstream. All hosts know them before the store returns.
"""

import contextlib
import signal
import threading
import time
from typing import NamedTuple
import unittest

from test import _common
from test import _front
from test.standins import threaded_upstream

# The platform's bound on a change of the configuration or an evacuation, and
# the longest time by which a disruption of the store may extend it.
APPLY_SECONDS = 2.5 + 5.0
# Longest time for which a host may be refused when the store was not away.
REFUSED_SECONDS = 1.0
EVACUATED_ZONE = "north-b"
SETTLE_SECONDS = 1.0
CALL_INTERVAL_SECONDS = 0.02


def revoking_configuration(*names):
    """Returns a configuration without key k2 and with routes `/NAME/`."""
    result = _front.configuration(tenants={"t1": {"apiKeys": ["k1"]}})
    for name in names:
        result["routes"][name] = {
            **result["routes"]["read"],
            "pathPrefix": f"/{name}/",
        }
    return result


class Call(NamedTuple):
    """One request and its answer.

    Attributes:
        host: Name of the host.
        path: Path of the request.
        key: API key of the request.
        sent_at: Monotonic time of the request, seconds.
        status: Status of the answer.
    """

    host: str
    path: str
    key: str
    sent_at: float
    status: int


class Callers:
    """Sends requests to each host in turn; a context manager.

    Attributes:
        hosts: Hosts that get requests.
        calls: Requests that were answered.
        failed: Names of the hosts and errors of requests without an answer.
    """

    def __init__(self, hosts):
        self.hosts = list(hosts)
        self.calls = []
        self.failed = []
        self.ended = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=arguments)
            for arguments in (("/lost/1", "k1"), ("/read/1", "k2"))
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.ended.set()
        for thread in self.threads:
            thread.join()

    def run(self, path, key):
        count = 0
        while not self.ended.wait(CALL_INTERVAL_SECONDS):
            count += 1
            for host in list(self.hosts):
                sent_at = time.monotonic()
                try:
                    status = _front.call(
                        host.address, path, key=key, Affinity_Key=str(count)
                    ).status
                except (OSError, AssertionError) as error:
                    if host in self.hosts:
                        self.failed.append((host.name, error))
                    continue
                self.calls.append(Call(host.name, path, key, sent_at, status))

    def refused_seconds(self):
        """Returns the longest time without a good answer, by host."""
        result = {}
        for name in {call.host for call in self.calls}:
            since = None
            longest = 0.0
            for call in self.calls:
                if call.host != name or call.key != "k1":
                    continue
                if call.status == 200:
                    since = None
                    continue
                since = call.sent_at if since is None else since
                longest = max(longest, call.sent_at - since)
            result[name] = longest
        return result


class ReturnAmidChangesTest(unittest.TestCase):
    """Three hosts whose store loses the last changes."""

    @classmethod
    def setUpClass(cls):
        stack = contextlib.ExitStack()
        cls.addClassCleanup(stack.close)
        cls.system = _front.System(stack)
        cls.hosts = cls.system.hosts
        cls.store = cls.system.store
        # Number of the last configuration; it rises from test to test.
        cls.number = 1

    def setUp(self):
        self.stack = self.enterContext(contextlib.ExitStack())
        self.store.delete("evacuations", EVACUATED_ZONE)
        self.write_configuration(_front.configuration())
        self.gone = self.add_upstream("i-gone", "north-a")
        self.evacuated = self.add_upstream("i-evacuated", EVACUATED_ZONE)
        for upstream in (self.gone, self.evacuated):
            for host in self.hosts:
                self.wait_until_used(upstream, host)
        self.copied_at = time.monotonic()
        time.sleep(0.1)
        self.write_again()
        time.sleep(_front.DRAIN_SECONDS)
        _front.wait_until_served(self.hosts, "/lost/1", APPLY_SECONDS)
        self.known_at = time.monotonic()
        self.callers = self.stack.enter_context(Callers(self.hosts))

    def write_configuration(self, document, same_number=False):
        """Operators write a configuration, with the next number or the last."""
        type(self).number += not same_number
        self.store.put(
            "config", "main", {**document, "version": f"r{self.number}"}
        )

    def add_upstream(self, name, zone):
        name = f"{name}-{self.number}"
        upstream = self.stack.enter_context(
            threaded_upstream.ThreadedUpstream(name, "work", zone)
        )
        self.store.put("servers", name, upstream.entry())
        self.stack.callback(self.store.delete, "servers", name)
        return upstream

    def wait_until_used(self, upstream, host):
        """Waits until a host sends requests to an upstream."""
        count = 0

        def is_used():
            nonlocal count
            count += 1
            path = f"/read/{host.name}-{count}"
            _front.call(host.address, path, Affinity_Key=str(count))
            return any(run.path == path for run in upstream.runs)

        _common.wait_until(
            is_used,
            timeout=APPLY_SECONDS,
            description=f"{upstream.name} is used by {host.name}",
        )

    def return_from_copy(self):
        """The store returns without the last changes."""
        age = time.monotonic() - self.copied_at
        self.store.control(self.store.port_names[0], return_from_copy=age)

    def write_again(self, *more_routes, same_number=False):
        """Writes what is lost, with further routes."""
        document = revoking_configuration("lost", *more_routes)
        self.write_configuration(document, same_number)
        self.store.put("evacuations", EVACUATED_ZONE, {})
        self.store.delete("servers", self.gone.name)

    def restart(self, host, between=lambda: None):
        """Stops a host as planned, calls `between` and starts it again."""
        self.callers.hosts.remove(host)
        host.process.send_signal(signal.SIGTERM)
        host.process.wait(timeout=_front.GRACE_SECONDS + 1.0)
        between()
        host.start()
        _common.wait_until(host.ready, description=f"{host.name} is ready")
        self.callers.hosts.append(host)

    def polling_host(self):
        """Returns the host that polls the store."""

        def find():
            for host in self.hosts:
                lines = host.log_lines("event=reading-")
                if lines and "reading-begins" in lines[-1]:
                    return host
            return None

        return _common.wait_until(find, description="a host polls")

    def assert_changes_stand(self):
        """Checks that no host went back behind what was lost."""
        # A call that is being answered was sent before.
        time.sleep(0.1)
        calls = list(self.callers.calls)
        faults = {
            "accepted with the revoked key": [
                (call.host, call.sent_at - self.known_at)
                for call in calls
                if call.key == "k2" and call.status not in (401, 503)
            ],
            "without an answer": self.callers.failed,
            "to the upstream that had left": [
                run.path for run in self.gone.runs if run.at > self.known_at
            ],
            "into the evacuated zone": [
                run.path
                for run in self.evacuated.runs
                if run.at > self.known_at
            ],
            "refused for too long": [
                (host, seconds)
                for host, seconds in self.callers.refused_seconds().items()
                if seconds > REFUSED_SECONDS
            ],
        }
        for text, found in faults.items():
            with self.subTest(text):
                self.assertEqual((len(found), found[:3]), (0, []))
        self.assertEqual(
            {call.host for call in calls}, {host.name for host in self.hosts}
        )

    # Guards against hosts that start from the copy and serve what it says.
    def test_hosts_that_restart_before_and_after_the_return(self):
        self.restart(self.hosts[0], between=self.return_from_copy)
        self.restart(self.hosts[1])
        self.write_again(same_number=True)
        time.sleep(SETTLE_SECONDS)
        self.assert_changes_stand()

    # Guards against a newer configuration that is not taken, and an older one
    # that is.
    def test_configuration_right_before_and_right_after_the_return(self):
        self.write_configuration(revoking_configuration("lost", "before"))
        self.return_from_copy()
        self.write_configuration(
            revoking_configuration("lost", "before", "after")
        )
        for path in ("/after/1", "/before/1"):
            _front.wait_until_served(self.hosts, path, APPLY_SECONDS)
        self.write_again(same_number=True)
        time.sleep(SETTLE_SECONDS)
        self.assert_changes_stand()

    # Guards against EVAC: an evacuation that ends since the copy lacks it, and
    # one that does not end when it is taken back.
    def test_evacuation_stands_until_it_is_taken_back(self):
        self.return_from_copy()
        time.sleep(3 * SETTLE_SECONDS)
        self.write_again(same_number=True)
        time.sleep(2 * SETTLE_SECONDS)
        self.assert_changes_stand()
        self.store.delete("evacuations", EVACUATED_ZONE)
        for host in self.hosts:
            self.wait_until_used(self.evacuated, host)

    # Guards against a host that stays in the earlier era, or is refused, since
    # it can't reach the store.
    def test_each_host_that_is_cut_off_from_the_store(self):
        polling = self.polling_host()
        other = next(host for host in self.hosts if host is not polling)
        eras = {
            host: len(host.log_lines("store-era-changed"))
            for host in self.hosts
        }
        for name, host in (("first", other), ("second", polling)):
            port_name = self.store.port_names[self.hosts.index(host)]
            self.store.control(port_name, outage="refuse")
            time.sleep(SETTLE_SECONDS / 2)
            self.return_from_copy()
            time.sleep(SETTLE_SECONDS)
            self.write_again(name)
            _front.wait_until_served(self.hosts, f"/{name}/1", APPLY_SECONDS)
            self.store.control(port_name, outage="")
        time.sleep(SETTLE_SECONDS)
        self.assert_changes_stand()
        for host, count in eras.items():
            lines = host.log_lines("store-era-changed")
            self.assertEqual(len(lines) - count, 2, host.name)

    # Guards against what stands only since the last return and not since the
    # ones before it.
    def test_three_returns_within_three_seconds(self):
        self.return_from_copy()
        self.return_from_copy()
        time.sleep(SETTLE_SECONDS)
        self.write_again()
        time.sleep(SETTLE_SECONDS / 2)
        self.return_from_copy()
        time.sleep(2 * SETTLE_SECONDS)
        self.assert_changes_stand()
        self.write_again(same_number=True)
        time.sleep(SETTLE_SECONDS)
        self.assert_changes_stand()


if __name__ == "__main__":
    unittest.main()
