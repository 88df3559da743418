"""The `explain` command: shows how a request would be routed and why."""

from collections.abc import Iterator
from typing import Any
from urllib import parse

from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.commands import operator_client


def explain(
    context: operator_client.CommandContext,
    method: str,
    path: str,
    account: str = "",
) -> None:
    """Prints how the first host that answers would route a request.

    Args:
        context: Clients and options of the command. Its operator addresses are
            tried in order; if it has none, the listed hosts are tried.
        method: HTTP method.
        path: Path of the request.
        account: Client account that sends the request, or empty for none.

    Raises:
        codes.UserError: HOST_UNREACHABLE if no host answers, or the code
            with which a host refused the request.
    """
    query = parse.urlencode(
        {"method": method, "path": path, "account": account}
    )
    addresses = list(context.operator_addresses)
    if not addresses:
        addresses = [
            host.operator_address
            for host in operator_client.fetch_listed_hosts(context)
        ]
    last_error = codes.UserError(
        codes.Code.HOST_UNREACHABLE, "no host is listed"
    )
    for address in addresses:
        try:
            answer = operator_client.call_host(
                context, address, "GET", f"/v1/explain?{query}"
            )
        except codes.UserError as error:
            if error.code != codes.Code.HOST_UNREACHABLE:
                raise
            last_error = error
            continue
        for line in explanation_lines(answer.get("lines", answer)):
            context.print_line(line)
        return
    raise last_error


def explanation_lines(value: Any, path: str = "") -> Iterator[str]:
    """Yields a line `path=value` for each leaf of a document.

    The strings of a list of strings are lines already and are yielded
    unchanged.
    """
    if isinstance(value, list) and all(isinstance(item, str) for item in value):
        yield from value
    elif isinstance(value, dict):
        for key, each in value.items():
            yield from explanation_lines(
                each, f"{path}.{key}" if path else str(key)
            )
    elif isinstance(value, list):
        for index, each in enumerate(value):
            yield from explanation_lines(each, f"{path}[{index}]")
    else:
        yield f"{path}={logs.format_value(value)}"
