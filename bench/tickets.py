"""Rate of non-idempotent requests, and the platform calls that they cause.

Usage: python -m bench.tickets [SECONDS]. Runs three hosts, and upstreams that
answer without delay. Each non-idempotent request carries a ticket from a
look-up, so that it runs at most once. Callers send the request either to the
host that issued the ticket, or to another host, which forwards it to the
issuer.
"""

import concurrent.futures
import sys
import time

from test import _deployments

CALLER_COUNT = 8
SLOTS_PER_UPSTREAM = 60
REQUEST_PATH = "/contracts/orders"


def send_with_tickets(running, receiver, issuer, seconds):
    """Sends requests with tickets one after another.

    Args:
        running: The deployment.
        receiver: Host that the requests are sent to.
        issuer: Host that issues the tickets.
        seconds: Time for which to send, seconds.

    Returns:
        The number of requests that succeeded.
    """
    succeeded = number = 0
    prefix = ""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        # A look-up returns a batch of 64 tickets.
        if number % 64 == 0:
            look_up = _deployments.look_up(running, issuer, "ada")
            prefix = look_up["tickets"]["prefix"]
        headers = {"Idempotency-Key": f"{prefix}{number % 64}"}
        answer = running.call(
            receiver, "POST", REQUEST_PATH, "ada", headers=headers
        )
        succeeded += answer.status == 200
        number += 1
    return succeeded


def count_platform_calls(running):
    """Returns the total number of calls that the platform has received."""
    counts = running.control()["calls"]
    return counts if isinstance(counts, int) else sum(counts.values())


def main() -> None:
    """Prints a row for requests to the issuer and one for forwarded ones."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0
    limits = dict.fromkeys(_deployments.ACCOUNTS, (100_000.0, 10_000))
    document = _deployments.declarations(limits)
    with _deployments.deployment(
        3, 3, SLOTS_PER_UPSTREAM, "--service-ms", "0", document=document
    ) as running:
        _deployments.wait_serving(running)
        issuer, other = list(running.host_specs)[:2]
        for name, receiver in (("issuer", issuer), ("forwarded", other)):
            calls_before, started_at = (
                count_platform_calls(running),
                time.monotonic(),
            )
            with concurrent.futures.ThreadPoolExecutor(CALLER_COUNT) as pool:
                futures = [
                    pool.submit(
                        send_with_tickets, running, receiver, issuer, seconds
                    )
                    for _ in range(CALLER_COUNT)
                ]
                total = sum(future.result() for future in futures)
            duration = time.monotonic() - started_at
            calls = count_platform_calls(running) - calls_before
            print(
                f"way={name} answered_per_second={total / duration:.0f}"
                f" platform_calls_per_second={calls / duration:.2f}"
            )


if __name__ == "__main__":
    main()
