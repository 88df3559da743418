"""What the commands share: the listed hosts and their operator ports."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import json
from typing import Any
from typing import NamedTuple

import eventlet
import urllib3

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.upkeep import settled
from gooseberryweir.version import objects

CONNECT_SECONDS = 1.0
ANSWER_SECONDS = 5.0
IN_FORCE_SECONDS = 9.0
PAUSE_SECONDS = 0.25
_MAX_CALLS = 64

Out = Callable[[str], None]


class ListedHost(NamedTuple):
    """A host as the platform lists it.

    Attributes:
        name: Its name.
        operator: Address of its operator port, `IP:PORT`.
        leaving: Whether it is shutting down.
    """

    name: str
    operator: str
    leaving: bool


class Operator(NamedTuple):
    """How a command reaches the system.

    Attributes:
        api: The platform.
        addresses: Operator ports given by hand, for an outage.
        token: The operator token.
        out: Prints one line.
        clock: Source of time.
    """

    api: platform_store.Store
    addresses: Sequence[str]
    token: str
    out: Out
    clock: clocks.Clock


def ask(
    operator: Operator,
    address: str,
    method: str,
    path: str,
    document: Any = None,
) -> dict[str, Any]:
    """Makes one call to an operator port.

    Raises:
        codes.UserError: The host does not answer, or what it refused with.
    """
    headers = {
        "Authorization": f"Bearer {operator.token}",
        "Content-Type": "application/json",
        "User-Agent": "gooseberryweir/operator",
    }
    timeout = urllib3.Timeout(connect=CONNECT_SECONDS, read=ANSWER_SECONDS)
    try:
        with urllib3.PoolManager() as pool:
            response = pool.request(
                method,
                f"http://{address}{path}",
                body=None if document is None else json.dumps(document),
                headers=headers,
                retries=False,
                timeout=timeout,
            )
            answer = json.loads(response.data)
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        raise codes.UserError(
            codes.Code.HOST_UNREACHABLE, f"no answer from {address}: {error}"
        ) from error
    if response.status != 200 or not isinstance(answer, dict):
        raise _refused(address, response.status, answer)
    return answer


def platform_hosts(operator: Operator) -> list[ListedHost]:
    """Returns the hosts that the platform lists.

    Raises:
        codes.UserError: The platform does not answer.
    """
    found = settled.read(operator.api, objects.ENDPOINT_SLICES, "hosts")
    endpoints = settled.content(found).get("endpoints", ())
    return [
        ListedHost(each["name"], each["operator"], bool(each.get("leaving")))
        for each in endpoints
    ]


def find_hosts(operator: Operator) -> list[ListedHost]:
    """Returns all hosts, also while the platform is out.

    The operator ports given by hand are asked first, then the platform.

    Raises:
        codes.UserError: Nobody answers.
    """
    refusal: codes.UserError | None = None
    for address in operator.addresses:
        try:
            answer = ask(operator, address, "GET", "/v1/status")
        except codes.UserError as error:
            refusal = error
            continue
        listed = answer.get("operators", {})
        if listed:
            return [
                ListedHost(name, at["operator"], bool(at["leaving"]))
                for name, at in sorted(listed.items())
            ]
    try:
        return platform_hosts(operator)
    except codes.UserError as error:
        raise _nobody_answers(error, refusal) from error


def ask_all(
    call: Callable[[ListedHost], dict[str, Any]], hosts: Iterable[ListedHost]
) -> dict[str, dict[str, Any] | codes.UserError]:
    """Asks hosts side by side; returns each one's answer or refusal."""

    def guarded(host: ListedHost) -> dict[str, Any] | codes.UserError:
        try:
            return call(host)
        except codes.UserError as error:
            return error

    asked = list(hosts)
    pool = eventlet.GreenPool(_MAX_CALLS)
    answers = pool.imap(guarded, asked)
    return {
        host.name: answer for host, answer in zip(asked, answers, strict=True)
    }


def wait_in_force(operator: Operator, name: str, version: int) -> None:
    """Waits until every listed host has an object in force.

    Args:
        operator: How the system is reached.
        name: Full name of the object, such as `steeringobjects/config`.
        version: The version wanted; a newer one will do.

    Raises:
        codes.UserError: NOT_IN_FORCE names the hosts that did not report it.
    """
    deadline = operator.clock.monotonic() + IN_FORCE_SECONDS
    try:
        waiting = platform_hosts(operator)
    except codes.UserError as error:
        raise codes.UserError(
            codes.Code.NOT_IN_FORCE,
            f"version {version} is accepted; which hosts have it in force is"
            f" not known: {error.message}",
        ) from error
    total = len(waiting)
    while True:
        answers = ask_all(
            lambda host: ask(operator, host.operator, "GET", "/v1/status"),
            waiting,
        )
        lacking = {
            host: _lack(host, answers[host.name], name, version)
            for host in waiting
        }
        waiting = [host for host in waiting if lacking[host]]
        if not waiting:
            operator.out(f"in force at version {version} on {total} hosts")
            return
        if operator.clock.monotonic() >= deadline:
            break
        operator.clock.sleep(PAUSE_SECONDS)
    named = ", ".join(f"{host.name} ({lacking[host]})" for host in waiting)
    raise codes.UserError(
        codes.Code.NOT_IN_FORCE,
        f"version {version} is accepted, but was not seen in force on {named}",
    )


def _nobody_answers(
    error: codes.UserError, refusal: codes.UserError | None
) -> codes.UserError:
    """Joins the platform's failure and that of the hosts given by hand."""
    if refusal is None:
        hint = "name the operator port of a host instead"
        return codes.UserError(error.code, f"{error.message}; {hint}")
    if refusal.code == codes.Code.FORBIDDEN:
        return refusal
    return codes.UserError(
        codes.Code.HOST_UNREACHABLE, f"{error.message}; {refusal.message}"
    )


def _lack(
    host: ListedHost,
    answer: dict[str, Any] | codes.UserError,
    name: str,
    version: int,
) -> str:
    """Says what a host lacks to have an object in force; empty if nothing."""
    if isinstance(answer, codes.UserError):
        gone = answer.code == codes.Code.HOST_UNREACHABLE and host.leaving
        return "" if gone else answer.message
    held = answer.get("versions", {}).get(name, 0)
    if name == objects.CONFIG:
        held = answer.get("config_version", 0)
    elif name in answer.get("malformed", {}):
        return "holds it as malformed"
    return "" if held >= version else f"at version {held}"


def _refused(address: str, status: int, answer: Any) -> codes.UserError:
    try:
        code = codes.Code(answer["code"])
        detail = str(answer["detail"])
    except (KeyError, TypeError, ValueError):
        code = codes.Code.HOST_UNREACHABLE
        detail = f"answered {status} without a result code"
    return codes.UserError(code, f"{address}: {detail}")
