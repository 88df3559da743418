"""A small declaration and ready-made deployments for integration tests."""

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
    """Returns the declaration, with top-level sections replaced.

    Args:
        accounts: Rate and burst of each client account; two wide ones if
            left out.
        cap: Rate and burst of the cap on each shift.
        changes: Sections that replace those of the declaration.
    """
    wide = dict.fromkeys(ACCOUNTS, (1000.0, 1000))
    document = _fleet.declare(REGIONS, (SERVICE,), accounts or wide, 35.0, cap)
    document["routes"][0]["methods"] = ["GET", "HEAD", "PUT"]
    private = {**document["routes"][0], "path": "/private"}
    document["routes"].append({**private, "accounts": [ACCOUNTS[0]]})
    return {**document, **changes}


def deployment(
    hosts: int = 3,
    upstreams: int = 3,
    slots: int = 9,
    *arguments: Any,
    document: dict[str, Any] | None = None,
    **options: Any,
) -> _common.Deployment:
    """Returns a deployment of the contracts service, not yet started."""
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
    """Returns the answer of a look-up once the host is ready for it."""

    def attempt() -> Any:
        try:
            answer = running.call(host, "GET", "/v1/hosts", account)
        except _common.urllib3.exceptions.HTTPError:
            return None
        return answer.json() if answer.status == 200 else None

    return _common.wait_until(attempt, description=f"{host} answers look-ups")


def wait_acquainted(running: _common.Deployment) -> None:
    """Waits until every host names every listed host in its look-ups."""
    listed = set(running.host_specs)
    for host in listed:
        _common.wait_until(
            lambda name=host: (
                {
                    each["name"]
                    for each in look_up(running, name, ACCOUNTS[0])["hosts"]
                }
                == listed
            ),
            description=f"{host} knows all hosts",
        )


def wait_serving(running: _common.Deployment, path: str = "/contracts") -> None:
    """Waits until every host serves a request."""

    def served(host: str) -> bool:
        answer = running.call(host, "GET", path, ACCOUNTS[0])
        return answer.status == 200

    for host in running.host_specs:
        _common.wait_until(
            lambda host=host: served(host), description=f"{host} serves"
        )
    wait_acquainted(running)
