"""A caller: looks up hosts, sends requests and prints what it sees.

Each command exits with an error if it sees something else than it shows.
"""

import collections
import json
import pathlib
import sys
import time
from typing import Any

import urllib3

# Seconds within which a request that is refused as not run is sent again.
PATIENCE_SECONDS = 20.0
PAUSE_SECONDS = 0.1
REQUESTS = 40
HTTP = urllib3.PoolManager(retries=False)


def send(
    address: str, key: str, method: str, path: str, ticket: str = ""
) -> Any:
    """Sends one request and returns urllib3's response."""
    headers = {"Authorization": f"Bearer {key}"}
    if ticket:
        headers["Idempotency-Key"] = ticket
    body = b"a bulletin" if method == "POST" else None
    return HTTP.request(
        method, f"http://{address}{path}", headers=headers, body=body
    )


def may_come_back(answer: Any) -> bool:
    """Returns whether an answer is a refusal, not run, with a time to wait."""
    if "Gooseberryweir-Code" not in answer.headers:
        return False
    refusal = answer.json()
    return "retry_after" in refusal and refusal["ran"] == "no"


def send_patiently(address: str, key: str, method: str, path: str) -> Any:
    """Sends a request, and again while the answer says when to come back."""
    ends_at = time.monotonic() + PATIENCE_SECONDS
    while True:
        answer = send(address, key, method, path)
        if not may_come_back(answer) or time.monotonic() > ends_at:
            return answer
        time.sleep(max(PAUSE_SECONDS, answer.json()["retry_after"]))


def served_by(answer: Any) -> str:
    """Returns the upstream that answered, or ends the program."""
    if answer.status != 200:
        sys.exit(f"unexpected answer: {answer.status} {answer.data!r}")
    return answer.json()["name"]


def look_up(address: str, key: str) -> dict[str, Any]:
    """Asks a host which hosts to use."""
    answer = send_patiently(address, key, "GET", "/v1/hosts")
    if answer.status != 200:
        sys.exit(f"unexpected answer: {answer.status} {answer.data!r}")
    return answer.json()


def show_look_up(address: str, key: str) -> None:
    """Prints the answer of a look-up."""
    found = look_up(address, key)
    for host in found["hosts"]:
        print(f"{host['name']} in {host['region']} at {host['address']}")
    tickets = found["tickets"]
    print(f"good for {found['ttl']:g} s; {tickets['count']} tickets")


def show_send(address: str, key: str, path: str) -> None:
    """Prints which upstream served a request."""
    answer = send_patiently(address, key, "GET", path)
    print(f"GET {path}: {answer.status}, served by {served_by(answer)}")


def publish(found: dict[str, Any], key: str, path: str) -> tuple[str, Any]:
    """Publishes with the first ticket that is not refused.

    A refusal uses its ticket up, so the next attempt takes another one.

    Returns:
        The ticket and the answer.
    """
    address = found["hosts"][1]["address"]
    tickets = found["tickets"]
    for number in range(tickets["count"]):
        ticket = f"{tickets['prefix']}{number}"
        answer = send(address, key, "POST", path, ticket)
        if not may_come_back(answer):
            return ticket, answer
        time.sleep(max(PAUSE_SECONDS, answer.json()["retry_after"]))
    sys.exit("every ticket was refused")


def show_twice(address: str, key: str, path: str, started: str) -> None:
    """Sends one ticket to two hosts and counts the runs at the upstreams."""
    found = look_up(address, key)
    ticket, answer = publish(found, key, path)
    first, second = found["hosts"][1], found["hosts"][0]
    print(f"POST to {first['name']}: run by {served_by(answer)}")
    repeat = send(second["address"], key, "POST", path, ticket)
    print(f"POST to {second['name']}: run by {served_by(repeat)}")
    same = answer.data == repeat.data
    runs = count_runs(started, ticket)
    print(f"same answer: {same}; runs at all upstreams: {runs}")
    if not same or runs != 1:
        sys.exit("a ticket should run once, with one answer")


def count_runs(started: str, ticket: str) -> int:
    """Returns how often all upstreams together ran a ticket's request."""
    runs = 0
    for line in pathlib.Path(started).read_text().splitlines():
        _, _, port = line.rpartition(" port=")
        if port.isdigit():
            url = f"http://127.0.0.1:{port}/_control/runs"
            runs += HTTP.request("GET", url).json()["runs"].get(ticket, 0)
    return runs


def show_until_refused(address: str, key: str, path: str) -> None:
    """Sends requests until one is refused, and prints that refusal."""
    served = 0
    began = time.monotonic()
    while time.monotonic() < began + PATIENCE_SECONDS:
        answer = send_patiently(address, key, "GET", path)
        if answer.status == 401:
            seconds = time.monotonic() - began
            print(f"after {served} maps in {seconds:.1f} s: {answer.status}")
            print(json.dumps(answer.json()))
            return
        served_by(answer)
        served += 1
        time.sleep(PAUSE_SECONDS)
    sys.exit("the withdrawn key still works")


def show_spread(address: str, key: str, path: str, drained: str) -> None:
    """Prints which upstreams served some requests; the drained one must not."""
    served: collections.Counter[str] = collections.Counter()
    for _ in range(REQUESTS):
        served[served_by(send_patiently(address, key, "GET", path))] += 1
    counts = ", ".join(f"{name}: {n}" for name, n in served.most_common())
    print(f"{REQUESTS} maps served by {counts}")
    if drained in served:
        sys.exit(f"{drained} is drained but got work")


COMMANDS = {
    "look-up": show_look_up,
    "send": show_send,
    "twice": show_twice,
    "until-refused": show_until_refused,
    "spread": show_spread,
}


if __name__ == "__main__":
    COMMANDS[sys.argv[1]](*sys.argv[2:])
