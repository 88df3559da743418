"""Hosts go on sending to an upstream whose entry was removed."""

import pathlib
import threading
import time

import harness_2

ZONES = {"north-a": "north", "midlands-a": "midlands", "south-a": "south"}
# The store stands in the first region, 20 ms one way from the others, and takes
# 4 ms for an answer.
STORE_DELAY_MS = {"north": 4, "midlands": 44, "south": 44}
HOSTS = 9
# The share of the site's `herd_kill`, 0.55, of nine machines.
KILLED = 5
# Its `for_s`: the time for which the machines have no power.
DOWN_SECONDS = 5.0
STAYING_UPSTREAMS = 4
ROUNDS = 9
# The removal is acknowledged so long before the power is lost.
REMOVED_BEFORE_SECONDS = 0.15
ROUND_SECONDS = 10.0
DRAIN_SECONDS = 2.5
PAUSE_SECONDS = 0.02


class Clients:
    """A client of each host.

    Attributes:
        hosts: The hosts.
        ended: Set to end the clients.
        host_by_id: Number of the host that got a request, by its id.
    """

    def __init__(self, hosts):
        self.hosts = hosts
        self.ended = threading.Event()
        self.host_by_id = {}
        self.threads = [
            threading.Thread(target=self.run, args=(number,), daemon=True)
            for number in range(len(hosts))
        ]
        for each in self.threads:
            each.start()

    def run(self, number):
        """Sends requests for many objects to a host."""
        count = 0
        while not self.ended.wait(PAUSE_SECONDS):
            count += 1
            request_id = f"r{number}-{count}"
            self.host_by_id[request_id] = number
            harness_2.call(
                self.hosts[number].address,
                f"/read/{request_id}/work-5",
                request_id,
                headers={"Affinity-Key": str(count % 200)},
            )

    def end(self):
        """Ends the clients."""
        self.ended.set()
        for each in self.threads:
            each.join()


def polls(host):
    """Returns True if a host polls the store, by its log."""
    lines = host.log_lines("event=reading-")
    return bool(lines) and "reading-begins" in lines[-1]


def is_relay(host):
    """Returns True if a host is a relay of its region, by its log."""
    lines = host.log_lines("event=relays-changed")
    return bool(lines) and "is_relay=True" in lines[-1]


def play_round(system, leaving, record, trouble):
    """Cuts the power of hosts right after an upstream has left.

    Returns:
        Time of the acknowledgement of the removal, and the numbers of the
        hosts that were not cut.
    """
    hosts = list(enumerate(system.hosts))
    first = sorted(
        hosts,
        key=lambda each: (not polls(each[1]), not is_relay(each[1]), each[0]),
    )
    killed = first[:KILLED] if trouble else []
    system.store.delete("servers", leaving.name)
    acknowledged_at = time.monotonic()
    record.add(f"the removal of {leaving.name} is acknowledged")
    time.sleep(REMOVED_BEFORE_SECONDS)
    for _, host in killed:
        host.kill()
    if killed:
        names = ", ".join(host.name for _, host in killed)
        record.add(f"{names} lose power")
    time.sleep(DOWN_SECONDS)
    for _, host in killed:
        host.restart()
    if killed:
        record.add("they start again")
    time.sleep(ROUND_SECONDS - DOWN_SECONDS)
    return acknowledged_at, {number for number, _ in hosts} - {
        number for number, _ in killed
    }


def run(stack, record):
    """Runs the case and returns the faults found."""
    system = harness_2.System(
        stack,
        hosts=HOSTS,
        upstreams=STAYING_UPSTREAMS + ROUNDS,
        zones=ZONES,
    )
    regions = list(ZONES.values())
    for number in range(HOSTS):
        delay = STORE_DELAY_MS[regions[number % len(regions)]]
        system.store.control(number, delay_ms=delay)
    clients = Clients(system.hosts)
    time.sleep(harness_2.STABLE_WINDOW_SECONDS + 3.0)
    removals = {}
    for leaving in system.upstreams[STAYING_UPSTREAMS:]:
        removals[leaving.name] = play_round(
            system, leaving, record, harness_2.with_trouble()
        )
    clients.end()
    faults = []
    for name, (acknowledged_at, in_touch) in removals.items():
        late = [
            each
            for each in system.runs()
            if each["upstream"] == name
            and each["at"] > acknowledged_at + DRAIN_SECONDS
            and each["at"] < acknowledged_at + ROUND_SECONDS - 1.0
            and clients.host_by_id[each["id"]] in in_touch
        ]
        for each in late:
            host = system.hosts[clients.host_by_id[each["id"]]].name
            record.add(
                f"{each['id']} runs at {name}, "
                f"{each['at'] - acknowledged_at:.3f} s after its removal, "
                f"sent by {host}",
                each["at"],
            )
        if late:
            faults.append(
                f"{len(late)} requests to {name}, the last "
                f"{late[-1]['at'] - acknowledged_at:.1f} s after its removal"
            )
    return faults


if __name__ == "__main__":
    harness_2.main(pathlib.Path(__file__).parent, run)
