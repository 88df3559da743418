"""Client of the hosts' operator ports, shared by the commands."""

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
from gooseberryweir.process.upkeep import idempotent_writes
from gooseberryweir.version import objects

CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 5.0
ACTIVATION_TIMEOUT_SECONDS = 9.0
POLL_INTERVAL_SECONDS = 0.25
_MAX_CONCURRENT_CALLS = 64

PrintLine = Callable[[str], None]


class ListedHost(NamedTuple):
    """A host in the platform's list of hosts.

    Attributes:
        name: Name of the host.
        operator_address: Address of its operator port, `IP:PORT`.
        leaving: True while the host is shutting down.
    """

    name: str
    operator_address: str
    leaving: bool


class CommandContext(NamedTuple):
    """Clients and options of a command.

    Attributes:
        api: Client of the platform's object API.
        operator_addresses: Operator ports given on the command line, for use
            during a platform outage.
        token: The operator token.
        print_line: Prints one line of output.
        clock: Source of time.
    """

    api: platform_store.Store
    operator_addresses: Sequence[str]
    token: str
    print_line: PrintLine
    clock: clocks.Clock


def call_host(
    context: CommandContext,
    address: str,
    method: str,
    path: str,
    document: Any = None,
) -> dict[str, Any]:
    """Sends one request to an operator port and returns its JSON document.

    Raises:
        codes.UserError: HOST_UNREACHABLE if the host does not answer, or the
            code with which it refused the request.
    """
    headers = {
        "Authorization": f"Bearer {context.token}",
        "Content-Type": "application/json",
        "User-Agent": "gooseberryweir/operator",
    }
    timeout = urllib3.Timeout(
        connect=CONNECT_TIMEOUT_SECONDS, read=READ_TIMEOUT_SECONDS
    )
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
        raise _error_from_response(address, response.status, answer)
    return answer


def fetch_listed_hosts(context: CommandContext) -> list[ListedHost]:
    """Reads the list of hosts from the platform.

    Raises:
        codes.UserError: PLATFORM_UNREACHABLE if the platform does not
            answer, or another code if it refuses the request.
    """
    stored = idempotent_writes.read_object(
        context.api, objects.ENDPOINT_SLICES, "hosts"
    )
    endpoints = idempotent_writes.spec_of(stored).get("endpoints", ())
    return [
        ListedHost(each["name"], each["operator"], bool(each.get("leaving")))
        for each in endpoints
    ]


def discover_hosts(context: CommandContext) -> list[ListedHost]:
    """Returns the listed hosts, also during a platform outage.

    The operator ports given on the command line are tried first, then the
    platform.

    Raises:
        codes.UserError: Neither a host nor the platform returned the list.
    """
    host_error: codes.UserError | None = None
    for address in context.operator_addresses:
        try:
            answer = call_host(context, address, "GET", "/v1/status")
        except codes.UserError as error:
            host_error = error
            continue
        listed = answer.get("operators", {})
        if listed:
            return [
                ListedHost(name, entry["operator"], bool(entry["leaving"]))
                for name, entry in sorted(listed.items())
            ]
    try:
        return fetch_listed_hosts(context)
    except codes.UserError as error:
        raise _all_unreachable_error(error, host_error) from error


def call_all(
    call: Callable[[ListedHost], dict[str, Any]], hosts: Iterable[ListedHost]
) -> dict[str, dict[str, Any] | codes.UserError]:
    """Calls hosts concurrently; returns the answer or the error of each."""

    def call_or_error(host: ListedHost) -> dict[str, Any] | codes.UserError:
        try:
            return call(host)
        except codes.UserError as error:
            return error

    targets = list(hosts)
    pool = eventlet.GreenPool(_MAX_CONCURRENT_CALLS)
    answers = pool.imap(call_or_error, targets)
    return {
        host.name: answer for host, answer in zip(targets, answers, strict=True)
    }


def wait_until_active(context: CommandContext, name: str, version: int) -> None:
    """Waits until an object is active ("in force") on every listed host.

    Args:
        context: Clients and options of the command.
        name: Full name of the object, such as `steeringobjects/config`.
        version: Lowest version that counts as active.

    Raises:
        codes.UserError: NOT_IN_FORCE if a host does not report the version
            within ACTIVATION_TIMEOUT_SECONDS; the message names the hosts.
    """
    deadline = context.clock.monotonic() + ACTIVATION_TIMEOUT_SECONDS
    try:
        pending = fetch_listed_hosts(context)
    except codes.UserError as error:
        raise codes.UserError(
            codes.Code.NOT_IN_FORCE,
            f"version {version} is accepted; the hosts that have it in force"
            f" are not known: {error.message}",
        ) from error
    host_count = len(pending)
    while True:
        answers = call_all(
            lambda host: call_host(
                context, host.operator_address, "GET", "/v1/status"
            ),
            pending,
        )
        reasons = {
            host: _inactive_reason(host, answers[host.name], name, version)
            for host in pending
        }
        pending = [host for host in pending if reasons[host]]
        if not pending:
            context.print_line(
                f"in force at version {version} on {host_count} hosts"
            )
            return
        if context.clock.monotonic() >= deadline:
            break
        context.clock.sleep(POLL_INTERVAL_SECONDS)
    inactive_hosts = ", ".join(
        f"{host.name} ({reasons[host]})" for host in pending
    )
    raise codes.UserError(
        codes.Code.NOT_IN_FORCE,
        f"version {version} is accepted, but was not seen in force on"
        f" {inactive_hosts}",
    )


def _all_unreachable_error(
    error: codes.UserError, host_error: codes.UserError | None
) -> codes.UserError:
    """Combines the errors of the platform and of the given operator ports."""
    if host_error is None:
        hint = "give the operator port of a host with --operator"
        return codes.UserError(error.code, f"{error.message}; {hint}")
    if host_error.code == codes.Code.FORBIDDEN:
        return host_error
    return codes.UserError(
        codes.Code.HOST_UNREACHABLE, f"{error.message}; {host_error.message}"
    )


def _inactive_reason(
    host: ListedHost,
    answer: dict[str, Any] | codes.UserError,
    name: str,
    version: int,
) -> str:
    """Returns why an object is not active on a host, or empty if it is.

    A host that is shutting down and no longer answers is not waited for.
    """
    if isinstance(answer, codes.UserError):
        left_already = (
            answer.code == codes.Code.HOST_UNREACHABLE and host.leaving
        )
        return "" if left_already else answer.message
    active_version = answer.get("versions", {}).get(name, 0)
    if name == objects.CONFIG:
        active_version = answer.get("config_version", 0)
    elif name in answer.get("malformed", {}):
        return "reports it as malformed"
    # Hosts order versions by the era of the store first.
    active_version = objects.decode_version(active_version).revision
    return "" if active_version >= version else f"at version {active_version}"


def _error_from_response(
    address: str, status: int, answer: Any
) -> codes.UserError:
    try:
        code = codes.Code(answer["code"])
        detail = str(answer["detail"])
    except (KeyError, TypeError, ValueError):
        code = codes.Code.HOST_UNREACHABLE
        detail = f"answered {status} without a result code"
    return codes.UserError(code, f"{address}: {detail}")
