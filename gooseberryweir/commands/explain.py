"""`explain`: why a request would be routed as it would be now."""

from collections.abc import Iterator
from typing import Any
from urllib import parse

from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.commands import fleet


def explain(
    operator: fleet.Operator, method: str, path: str, account: str = ""
) -> None:
    """Asks the first host that answers and prints its reasons.

    Args:
        operator: How the system is reached; addresses given by hand are
            asked in their order, else the listed hosts are.
        method: HTTP method.
        path: Path of the request.
        account: Client account, or empty.

    Raises:
        codes.UserError: HOST_UNREACHABLE, or what the host refused with.
    """
    query = parse.urlencode(
        {"method": method, "path": path, "account": account}
    )
    addresses = list(operator.addresses)
    if not addresses:
        addresses = [host.operator for host in fleet.platform_hosts(operator)]
    refusal = codes.UserError(codes.Code.HOST_UNREACHABLE, "no host is listed")
    for address in addresses:
        try:
            answer = fleet.ask(operator, address, "GET", f"/v1/explain?{query}")
        except codes.UserError as error:
            if error.code != codes.Code.HOST_UNREACHABLE:
                raise
            refusal = error
            continue
        for line in lines(answer.get("lines", answer)):
            operator.out(line)
        return
    raise refusal


def lines(value: Any, path: str = "") -> Iterator[str]:
    """Yields `path=value` for each plain value; lines stay as they are."""
    if isinstance(value, list) and all(isinstance(at, str) for at in value):
        yield from value
    elif isinstance(value, dict):
        for key, each in value.items():
            yield from lines(each, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list):
        for index, each in enumerate(value):
            yield from lines(each, f"{path}[{index}]")
    else:
        yield f"{path}={logs.format_value(value)}"
