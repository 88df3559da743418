"""Non-idempotent requests a second, and the platform calls that each costs.

Run by `python -m bench.tickets [SECONDS]`. Three hosts, upstreams without work
time; callers send to the issuing host or to another one, which forwards.
"""

import concurrent.futures
import sys
import time

from test import _deployments

CALLERS = 8
SLOTS = 60
PATH = "/contracts/orders"


def send_for(running, asked, owner, seconds):
    """Sends tickets one after another; returns how many were answered."""
    answered = number = 0
    prefix = ""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if number % 64 == 0:
            look_up = _deployments.look_up(running, owner, "ada")
            prefix = look_up["tickets"]["prefix"]
        headers = {"Idempotency-Key": f"{prefix}{number % 64}"}
        answer = running.call(asked, "POST", PATH, "ada", headers=headers)
        answered += answer.status == 200
        number += 1
    return answered


def calls(running):
    """Returns the platform's count of all calls."""
    counted = running.control()["calls"]
    return counted if isinstance(counted, int) else sum(counted.values())


def main() -> None:
    """Prints a row for each way."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0
    wide = dict.fromkeys(_deployments.ACCOUNTS, (100_000.0, 10_000))
    document = _deployments.declarations(wide)
    with _deployments.deployment(
        3, 3, SLOTS, "--service-ms", "0", document=document
    ) as running:
        _deployments.wait_serving(running)
        owner, other = list(running.host_specs)[:2]
        for way, asked in (("issuer", owner), ("forwarded", other)):
            before, began = calls(running), time.monotonic()
            with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
                futures = [
                    pool.submit(send_for, running, asked, owner, seconds)
                    for _ in range(CALLERS)
                ]
                total = sum(future.result() for future in futures)
            lasted = time.monotonic() - began
            spent = calls(running) - before
            print(
                f"way={way} answered_per_second={total / lasted:.0f}"
                f" platform_calls_per_second={spent / lasted:.2f}"
            )


if __name__ == "__main__":
    main()
