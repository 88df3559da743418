"""Client of the demonstration: looks up hosts, sends requests, prints results.

A refusal is an error answer that a host gives itself, not an upstream.

Usage: python -m demo.caller COMMAND ARGUMENT ... (see `COMMANDS`). Each command
exits with an error if the result is not the one that it demonstrates.
"""

import collections
import json
import pathlib
import sys
import time
from typing import Any

import urllib3

# Time for which a refused request is retried, and within which a withdrawn key
# must be refused.
TIMEOUT_SECONDS = 20.0
MIN_DELAY_SECONDS = 0.1
REQUEST_COUNT = 40
HTTP_POOL = urllib3.PoolManager(retries=False)


def send(
    address: str, key: str, method: str, path: str, ticket: str = ""
) -> Any:
    """Sends one request and returns urllib3's response.

    Args:
        address: Address of a host, `IP:PORT`.
        key: Key of the client account.
        method: HTTP method.
        path: Path of the request.
        ticket: Ticket that makes the request run at most once, or empty.
    """
    headers = {"Authorization": f"Bearer {key}"}
    if ticket:
        headers["Idempotency-Key"] = ticket
    body = b"a bulletin" if method == "POST" else None
    return HTTP_POOL.request(
        method, f"http://{address}{path}", headers=headers, body=body
    )


def is_retryable(answer: Any) -> bool:
    """Returns True if the request was not run and may be sent again later."""
    if "Gooseberryweir-Code" not in answer.headers:
        return False
    refusal = answer.json()
    return "retry_after" in refusal and refusal["ran"] == "no"


def send_with_retries(address: str, key: str, method: str, path: str) -> Any:
    """Sends a request, and retries it while its refusal allows that.

    Returns:
        The first answer that allows no retry, or the last one when
        `TIMEOUT_SECONDS` have passed.
    """
    ends_at = time.monotonic() + TIMEOUT_SECONDS
    while True:
        answer = send(address, key, method, path)
        if not is_retryable(answer) or time.monotonic() > ends_at:
            return answer
        time.sleep(max(MIN_DELAY_SECONDS, answer.json()["retry_after"]))


def upstream_name(answer: Any) -> str:
    """Returns the name of the upstream; exits if the status is not 200."""
    if answer.status != 200:
        sys.exit(f"unexpected answer: {answer.status} {answer.data!r}")
    return answer.json()["name"]


def look_up(address: str, key: str) -> dict[str, Any]:
    """Returns a host's answer to a look-up of the hosts to use."""
    answer = send_with_retries(address, key, "GET", "/v1/hosts")
    if answer.status != 200:
        sys.exit(f"unexpected answer: {answer.status} {answer.data!r}")
    return answer.json()


def show_look_up(address: str, key: str) -> None:
    """Prints the answer to a look-up."""
    result = look_up(address, key)
    for host in result["hosts"]:
        print(f"{host['name']} in {host['region']} at {host['address']}")
    tickets = result["tickets"]
    print(f"valid for {result['ttl']:g} s; {tickets['count']} tickets")


def show_send(address: str, key: str, path: str) -> None:
    """Prints the status of a request and the upstream that served it."""
    answer = send_with_retries(address, key, "GET", path)
    print(f"GET {path}: {answer.status}, served by {upstream_name(answer)}")


def publish(result: dict[str, Any], key: str, path: str) -> tuple[str, Any]:
    """Sends a POST request with the first ticket that is not refused.

    A refusal uses up its ticket, so each retry takes another one.

    Args:
        result: Answer to a look-up.
        key: Key of the client account.
        path: Path of the request.

    Returns:
        The ticket and the answer.
    """
    address = result["hosts"][1]["address"]
    tickets = result["tickets"]
    for number in range(tickets["count"]):
        ticket = f"{tickets['prefix']}{number}"
        answer = send(address, key, "POST", path, ticket)
        if not is_retryable(answer):
            return ticket, answer
        time.sleep(max(MIN_DELAY_SECONDS, answer.json()["retry_after"]))
    sys.exit("every ticket was refused")


def show_twice(address: str, key: str, path: str, processes_file: str) -> None:
    """Sends a request with one ticket to two hosts; it must run only once.

    Args:
        address: Address of a host, `IP:PORT`.
        key: Key of the client account.
        path: Path of the request.
        processes_file: File that lists the ports of the upstreams.
    """
    result = look_up(address, key)
    ticket, answer = publish(result, key, path)
    first, second = result["hosts"][1], result["hosts"][0]
    print(f"POST to {first['name']}: run by {upstream_name(answer)}")
    repeated = send(second["address"], key, "POST", path, ticket)
    print(f"POST to {second['name']}: run by {upstream_name(repeated)}")
    same = answer.data == repeated.data
    runs = count_runs(processes_file, ticket)
    print(f"same answer: {same}; runs at all upstreams: {runs}")
    if not same or runs != 1:
        sys.exit("a request with a ticket should run once, with one answer")


def count_runs(processes_file: str, ticket: str) -> int:
    """Returns how many times the upstreams ran the request of a ticket.

    Args:
        processes_file: File with one line per process; the line of an upstream
            ends with ` port=PORT`.
        ticket: Ticket of the request.
    """
    runs = 0
    for line in pathlib.Path(processes_file).read_text().splitlines():
        _, _, port = line.rpartition(" port=")
        if port.isdigit():
            url = f"http://127.0.0.1:{port}/_control/runs"
            runs += HTTP_POOL.request("GET", url).json()["runs"].get(ticket, 0)
    return runs


def show_until_refused(address: str, key: str, path: str) -> None:
    """Sends requests until the key is refused, and prints that refusal."""
    served = 0
    started_at = time.monotonic()
    while time.monotonic() < started_at + TIMEOUT_SECONDS:
        answer = send_with_retries(address, key, "GET", path)
        if answer.status == 401:
            seconds = time.monotonic() - started_at
            print(f"after {served} maps in {seconds:.1f} s: {answer.status}")
            print(json.dumps(answer.json()))
            return
        upstream_name(answer)
        served += 1
        time.sleep(MIN_DELAY_SECONDS)
    sys.exit("the withdrawn key is still accepted")


def show_spread(address: str, key: str, path: str, drained: str) -> None:
    """Prints how many requests each upstream served.

    Args:
        address: Address of a host, `IP:PORT`.
        key: Key of the client account.
        path: Path of the requests.
        drained: Upstream that must not serve any, or empty.
    """
    served: collections.Counter[str] = collections.Counter()
    for _ in range(REQUEST_COUNT):
        served[upstream_name(send_with_retries(address, key, "GET", path))] += 1
    counts = ", ".join(f"{name}: {n}" for name, n in served.most_common())
    print(f"{REQUEST_COUNT} maps served by {counts}")
    if drained in served:
        sys.exit(f"{drained} is drained but served requests")


COMMANDS = {
    "look-up": show_look_up,
    "send": show_send,
    "twice": show_twice,
    "until-refused": show_until_refused,
    "spread": show_spread,
}


if __name__ == "__main__":
    COMMANDS[sys.argv[1]](*sys.argv[2:])
