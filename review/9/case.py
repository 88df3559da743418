"""A request that crashes upstreams amid their answers is sent on and on."""

import pathlib
import threading
import time

import harness_2

UPSTREAMS = 10
SECONDS = 60.0
PAUSE_SECONDS = 4.0
OTHER_CLIENTS = 3
MAX_RETRIES = 3
CRASHES = 3


def send_others(number, hosts, record, ended):
    """Sends other requests."""
    count = 0
    while not ended.is_set():
        count += 1
        request_id = f"b{number}-{count}"
        answer = harness_2.call(
            hosts[number].address,
            f"/read/{request_id}/work-30",
            request_id,
            headers={"Affinity-Key": str(count)},
        )
        if answer.status != 200:
            record.add(f"{request_id} answered {answer.status}")
        time.sleep(0.05)


def run(stack, record):
    """Runs the case and returns the faults found."""
    system = harness_2.System(stack, upstreams=UPSTREAMS)
    crashes = harness_2.with_trouble()
    path = "/read/report/crash" if crashes else "/read/report/work-20"
    ended = threading.Event()
    clients = [
        threading.Thread(
            target=send_others,
            args=(number, system.hosts, record, ended),
            daemon=True,
        )
        for number in range(OTHER_CLIENTS)
    ]
    for each in clients:
        each.start()
    time.sleep(1.0)
    ends_at = time.monotonic() + SECONDS
    count = 0
    while time.monotonic() < ends_at:
        # The client tries once more at another host.
        for _ in range(2):
            host = system.hosts[count % len(system.hosts)]
            request_id = f"c{count}"
            answer = harness_2.call(host.address, path, request_id)
            record.add(f"{request_id} answered {answer.status} by {host.name}")
            count += 1
            if answer.status == 200:
                break
        time.sleep(PAUSE_SECONDS)
    ended.set()
    for each in clients:
        each.join()
    arrivals = [each for each in system.runs() if each["path"] == path]
    for each in arrivals:
        record.add(f"{each['id']} runs at {each['upstream']}", each["at"])
    if not crashes or len(arrivals) < CRASHES:
        return []
    counted_from = arrivals[CRASHES - 1]["at"] + harness_2.STABLE_WINDOW_SECONDS
    late = [each for each in arrivals if each["at"] > counted_from]
    record.add(
        f"{len(arrivals)} crashes, {len(late)} later than stableWindow "
        "after the third"
    )
    if len(late) <= MAX_RETRIES:
        return []
    return [
        f"{len(late)} retries reached upstreams later than stableWindow after "
        "the third crash"
    ]


if __name__ == "__main__":
    harness_2.main(pathlib.Path(__file__).parent, run)
