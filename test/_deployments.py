"""The default declaration and deployment of integration tests."""

from typing import Any

from test import _common
from test import _fleet

REGIONS: _fleet.Regions = {
    "north": ("north-a", "north-b"),
    "mid": ("mid-a", "mid-b"),
    "south": ("south-a", "south-b"),
}
ACCOUNTS = ("ada", "ben")
SERVICE = "contracts"


def declarations(
    accounts: dict[str, tuple[float, int]] | None = None,
    cap: tuple[float, int] = (200.0, 200),
    **changes: Any,
) -> dict[str, Any]:
    """Returns the default declaration, with changes.

    It has the service `contracts` and a route `/private` for the first account
    only.

    Args:
        accounts: Rate (requests per second) and burst of each client account;
            by default two accounts with high limits.
        cap: Limit on the requests that hosts of one region send to upstreams
            of another: rate (requests per second) and burst.
        changes: Top-level sections that replace those of the declaration.
    """
    default_accounts = dict.fromkeys(ACCOUNTS, (1000.0, 1000))
    document = _fleet.declare(
        REGIONS, (SERVICE,), accounts or default_accounts, 35.0, cap
    )
    document["routes"][0]["methods"] = ["GET", "HEAD", "PUT"]
    private_route = {**document["routes"][0], "path": "/private"}
    document["routes"].append({**private_route, "accounts": [ACCOUNTS[0]]})
    return {**document, **changes}


def deployment(
    hosts: int = 3,
    upstreams: int = 3,
    slots: int = 9,
    *arguments: Any,
    document: dict[str, Any] | None = None,
    **options: Any,
) -> _common.Deployment:
    """Returns a deployment of the service `contracts`, not yet started.

    Args:
        hosts: Number of hosts.
        upstreams: Number of upstreams.
        slots: Slots of each upstream: number of requests that it runs at the
            same time.
        arguments: Further command-line arguments of the upstreams.
        document: Declaration; the default one if None.
        options: Further arguments of the deployment.
    """
    return _common.Deployment(
        REGIONS,
        document or declarations(),
        _fleet.place_upstreams(REGIONS, SERVICE, upstreams, slots, *arguments),
        hosts=hosts,
        **options,
    )


def look_up(
    running: _common.Deployment, host: str, account: str
) -> dict[str, Any]:
    """Sends look-ups to a host until it answers one; returns the answer."""

    def attempt() -> Any:
        try:
            answer = running.call(host, "GET", "/v1/hosts", account)
        except _common.urllib3.exceptions.HTTPError:
            return None
        return answer.json() if answer.status == 200 else None

    return _common.wait_until(attempt, description=f"{host} answers look-ups")


def wait_hosts_listed(running: _common.Deployment) -> None:
    """Waits until the look-ups of every host list all hosts."""
    all_hosts = set(running.host_specs)
    for host in all_hosts:
        _common.wait_until(
            lambda name=host: (
                {
                    each["name"]
                    for each in look_up(running, name, ACCOUNTS[0])["hosts"]
                }
                == all_hosts
            ),
            description=f"look-ups of {host} list all hosts",
        )


def wait_serving(running: _common.Deployment, path: str = "/contracts") -> None:
    """Waits until each host serves a request and its look-ups list all hosts.

    Args:
        running: The running deployment.
        path: Path of the requests.
    """

    def served(host: str) -> bool:
        answer = running.call(host, "GET", path, ACCOUNTS[0])
        return answer.status == 200

    for host in running.host_specs:
        _common.wait_until(
            lambda host=host: served(host), description=f"{host} serves"
        )
    wait_hosts_listed(running)
