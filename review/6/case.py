"""A request that ran and failed is answered as one that has not run."""

import pathlib
import signal
import threading
import time

import harness_2

# One upstream of ten is grey: a share of 0.1.
UPSTREAMS = 10
CLIENTS = 8
SECONDS = 12.0
PAUSE_SECONDS = 0.08
PROMISES = (408, 421, 429, 503)


def send_orders(number, hosts, record, answers, ended):
    """Sends orders one after the other, each again after a promise."""
    count = 0
    while not ended.is_set():
        count += 1
        path = f"/write/order-{number}-{count}/work-20"
        for attempt in (1, 2):
            request_id = f"o{number}-{count}-{attempt}"
            host = hosts[(number + count + attempt) % len(hosts)]
            answer = harness_2.call(
                host.address,
                path,
                request_id,
                method="POST",
                body=b"order",
                headers={"Affinity-Key": f"{number}-{count}"},
            )
            record.add(f"{request_id} answered {answer.status} by {host.name}")
            answers[request_id] = answer.status
            if answer.status not in PROMISES:
                break
            time.sleep(min(float(answer.headers.get("retry-after", 0.1)), 0.8))
        time.sleep(PAUSE_SECONDS)


def run(stack, record):
    """Runs the case and returns the faults found."""
    system = harness_2.System(stack, upstreams=UPSTREAMS)
    answers = {}
    ended = threading.Event()
    clients = [
        threading.Thread(
            target=send_orders,
            args=(number, system.hosts, record, answers, ended),
            daemon=True,
        )
        for number in range(CLIENTS)
    ]
    for each in clients:
        each.start()
    time.sleep(3.0)
    if harness_2.with_trouble():
        system.upstreams[0].process.send_signal(signal.SIGUSR1)
        record.add(f"{system.upstreams[0].name} is grey from now on")
    time.sleep(SECONDS - 3.0)
    ended.set()
    for each in clients:
        each.join()
    runs = system.runs()
    for each in runs:
        record.add(f"{each['id']} runs at {each['upstream']}", each["at"])
    ran = {each["id"] for each in runs}
    faults = [
        f"{request_id} was answered {status} and has run"
        for request_id, status in sorted(answers.items())
        if status in PROMISES and request_id in ran
    ]
    paths = [each["path"] for each in runs]
    doubled = {path for path in paths if paths.count(path) > 1}
    record.add(
        f"{len(answers)} requests, {len(faults)} refused though they ran, "
        f"{len(doubled)} orders ran twice"
    )
    return faults


if __name__ == "__main__":
    harness_2.main(pathlib.Path(__file__).parent, run)
