"""Kept connections go on with the limits of an earlier configuration."""

import contextlib
import pathlib
import time

import harness_2

CONNECTIONS_PER_HOST = 8
EARLIER_BODY_BYTES = 100_000
BODY_BYTES = 1_000_000
LARGE_BODY = b"b" * 200_000
SMALL_ROUNDS = 4
# Requests are sent later than `configApply` after the acknowledgement.
WAIT_SECONDS = harness_2.CONFIG_APPLY_SECONDS + 1.0
ALLOWED_DENIALS = 5
ALLOWED_SHARE = 1 / 500


class Sender:
    """Sends requests over kept and new connections and counts denials.

    Attributes:
        record: Record of the case.
        total: Number of requests sent.
        denied: Ids of requests that were answered with 3xx or 4xx.
    """

    def __init__(self, record):
        self.record = record
        self.total = 0
        self.denied = []

    def send(self, host, connection, request_id, body):
        """Sends a request over a connection to a host."""
        self.total += 1
        answer = connection.call(
            f"/write/{request_id}",
            request_id,
            method="POST",
            body=body,
            headers={"Affinity-Key": request_id},
        )
        self.record.add(
            f"{request_id}, {len(body)} bytes, answered {answer.status} by "
            f"{host.name}"
        )
        if 300 <= answer.status < 500:
            self.denied.append(request_id)

    def send_all(self, name, kept, body):
        """Sends a request over each kept connection."""
        for number, (host, connection) in enumerate(kept):
            self.send(host, connection, f"{name}-{number}", body)


def run(stack, record):
    """Runs the case and returns the faults found."""
    trouble = harness_2.with_trouble()
    first = EARLIER_BODY_BYTES if trouble else BODY_BYTES
    system = harness_2.System(
        stack, document=harness_2.configuration(1, maxBodyBytes=first)
    )
    sender = Sender(record)
    with contextlib.ExitStack() as connections:
        kept = [
            (
                host,
                connections.enter_context(harness_2.Connection(host.address)),
            )
            for host in system.hosts
            for _ in range(CONNECTIONS_PER_HOST)
        ]
        for number in range(SMALL_ROUNDS):
            sender.send_all(f"before{number}", kept, b"small")
        if trouble:
            later = harness_2.configuration(2, maxBodyBytes=BODY_BYTES)
            system.store.put("config", "main", later)
            record.add(f"a limit of {BODY_BYTES} bytes is acknowledged")
        time.sleep(WAIT_SECONDS)
        for number in range(SMALL_ROUNDS):
            sender.send_all(f"after{number}", kept, b"small")
        sender.send_all("large", kept, LARGE_BODY)
    for number, host in enumerate(system.hosts):
        with harness_2.Connection(host.address) as connection:
            sender.send(host, connection, f"new-{number}", LARGE_BODY)
    for each in system.runs():
        record.add(f"{each['id']} runs at {each['upstream']}", each["at"])
    denied, total = len(sender.denied), sender.total
    record.add(f"{denied} of {total} requests denied")
    if denied <= ALLOWED_DENIALS + ALLOWED_SHARE * total:
        return []
    return [f"{denied} of {total} proper requests denied"]


if __name__ == "__main__":
    harness_2.main(pathlib.Path(__file__).parent, run)
