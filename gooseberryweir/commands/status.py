"""`status`: what each host knows and does."""

from typing import Any

from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.commands import fleet

_SHOWN = ("region", "zone", "fresh", "config_version", "view_digest", "stands")


def show_status(operator: fleet.Operator) -> None:
    """Prints one line for each listed host.

    Raises:
        codes.UserError: HOST_UNREACHABLE if no host answers, FORBIDDEN if
            the token is refused.
    """
    hosts = fleet.find_hosts(operator)
    answers = fleet.ask_all(
        lambda host: fleet.ask(operator, host.operator, "GET", "/v1/status"),
        hosts,
    )
    for host in hosts:
        operator.out(render(host, answers[host.name]))
    refusals = [
        each for each in answers.values() if isinstance(each, codes.UserError)
    ]
    if hosts and len(refusals) == len(hosts):
        raise refusals[0]
    if not hosts:
        operator.out("no host is listed")


def render(
    host: fleet.ListedHost, answer: dict[str, Any] | codes.UserError
) -> str:
    """Renders one host's line of key=value pairs."""
    pairs: dict[str, Any] = {"host": host.name, "leaving": host.leaving}
    if isinstance(answer, codes.UserError):
        pairs["error"] = answer.message
    else:
        pairs.update((name, answer.get(name)) for name in _SHOWN)
        pairs["source"] = answer.get("freshness_source")
        pairs["age_seconds"] = answer.get("freshness_age_seconds")
        pairs["suspects"] = ",".join(answer.get("suspects", ())) or "-"
        pairs["drains"] = ",".join(answer.get("drains", ())) or "-"
        pairs["malformed"] = ",".join(answer.get("malformed", ())) or "-"
        pairs.update(answer.get("counters", {}))
    return " ".join(
        f"{key}={logs.format_value(value)}" for key, value in pairs.items()
    )
