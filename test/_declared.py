"""A small declaration and ready-made deployments for integration tests."""

from typing import Any

from test import _common

REGIONS: _common.Regions = {
    "north": ("north-a", "north-b"),
    "mid": ("mid-a", "mid-b"),
    "south": ("south-a", "south-b"),
}
ACCOUNTS = ("ada", "ben")


def declarations(**changes: Any) -> dict[str, Any]:
    """Returns the declaration, with top-level sections replaced."""
    names = list(REGIONS)
    pairs = [(one, other) for one in names for other in names if one != other]
    document: dict[str, Any] = {
        "regions": {name: {"zones": list(REGIONS[name])} for name in names},
        "links": [
            {"between": [one, other], "latency_ms": 35, "gbit_per_second": 4}
            for one, other in pairs
            if one < other
        ],
        "shift_caps": [
            {
                "from": one,
                "to": other,
                "requests_per_second": 200,
                "burst": 200,
            }
            for one, other in pairs
        ],
        "classes": {
            "live": {
                "importance": 1,
                "latency_ms": 500,
                "headroom": 0.1,
                "crash_limit": 2,
            },
            "signing": {
                "importance": 1,
                "latency_ms": 2000,
                "headroom": 0.1,
                "crash_limit": 2,
            },
            "archive": {
                "importance": 3,
                "latency_ms": 5000,
                "headroom": 0.3,
                "crash_limit": 2,
            },
        },
        "services": {"contracts": {"work_ms": 10}},
        "routes": [
            {
                "path": "/status",
                "methods": ["GET", "HEAD", "PUT"],
                "service": "contracts",
                "class": "live",
                "idempotent": True,
            },
            {
                "path": "/signings",
                "methods": ["POST"],
                "service": "contracts",
                "class": "signing",
                "idempotent": False,
            },
            {
                "path": "/archive",
                "methods": ["GET"],
                "service": "contracts",
                "class": "archive",
                "idempotent": True,
            },
            {
                "path": "/private",
                "methods": ["GET"],
                "service": "contracts",
                "class": "live",
                "idempotent": True,
                "accounts": ["ada"],
            },
            {
                "path": "/public",
                "methods": ["GET"],
                "service": "contracts",
                "class": "live",
                "idempotent": True,
                "open": True,
            },
        ],
        "accounts": {name: {"rate": 1000, "burst": 1000} for name in ACCOUNTS},
    }
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
        _common.spread(REGIONS, "contracts", upstreams, slots, *arguments),
        hosts=hosts,
        accounts=tuple((document or declarations())["accounts"]),
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

    return _common.wait_until(attempt, what=f"{host} answers look-ups")


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
            what=f"{host} knows all hosts",
        )


def wait_serving(running: _common.Deployment, path: str = "/status") -> None:
    """Waits until every host serves a request."""

    def served(host: str) -> bool:
        answer = running.call(host, "GET", path, ACCOUNTS[0])
        return answer.status == 200

    for host in running.host_specs:
        _common.wait_until(
            lambda host=host: served(host), what=f"{host} serves"
        )
    wait_acquainted(running)
