"""The `status` command: shows the state of each host."""

from typing import Any

from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.commands import operator_client

# Fields of a host's status that are shown under the same name. `stands` is true
# if a majority of the voters has the host's view.
_STATUS_FIELDS = (
    "region",
    "zone",
    "fresh",
    "config_version",
    "view_digest",
    "stands",
)


def show_status(context: operator_client.CommandContext) -> None:
    """Prints one line for each listed host.

    Raises:
        codes.UserError: HOST_UNREACHABLE if no host answers, FORBIDDEN if
            the token is refused.
    """
    hosts = operator_client.discover_hosts(context)
    answers = operator_client.call_all(
        lambda host: operator_client.call_host(
            context, host.operator_address, "GET", "/v1/status"
        ),
        hosts,
    )
    for host in hosts:
        context.print_line(status_line(host, answers[host.name]))
    errors = [
        each for each in answers.values() if isinstance(each, codes.UserError)
    ]
    if hosts and len(errors) == len(hosts):
        raise errors[0]
    if not hosts:
        context.print_line("no host is listed")


def status_line(
    host: operator_client.ListedHost, answer: dict[str, Any] | codes.UserError
) -> str:
    """Returns the key=value pairs that describe one host, as one line."""
    pairs: dict[str, Any] = {"host": host.name, "leaving": host.leaving}
    if isinstance(answer, codes.UserError):
        pairs["error"] = answer.message
    else:
        pairs.update((name, answer.get(name)) for name in _STATUS_FIELDS)
        pairs["source"] = answer.get("freshness_source")
        pairs["age_seconds"] = answer.get("freshness_age_seconds")
        pairs["suspects"] = ",".join(answer.get("suspects", ())) or "-"
        pairs["drains"] = ",".join(answer.get("drains", ())) or "-"
        pairs["malformed"] = ",".join(answer.get("malformed", ())) or "-"
        pairs.update(answer.get("counters", {}))
    return " ".join(
        f"{key}={logs.format_value(value)}" for key, value in pairs.items()
    )
