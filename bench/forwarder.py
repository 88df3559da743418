"""Minimal HTTP forwarder that uses eventlet's WSGI server and urllib3.

Usage: python -m bench.forwarder IP:PORT. It is the baseline of bench.lookups:
it forwards every request to IP:PORT without any check, metric or log line.
"""

from collections.abc import Iterable
import sys
from typing import Any

import eventlet
from eventlet import wsgi

HOP_BY_HOP_HEADERS = frozenset({"connection", "transfer-encoding"})


def main() -> None:
    """Prints the port and serves until the process is killed."""
    import urllib3

    upstream = sys.argv[1]
    pool = urllib3.PoolManager(maxsize=64, retries=False)

    def application(
        environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        response = pool.request(
            environ["REQUEST_METHOD"],
            f"http://{upstream}{environ['PATH_INFO']}",
            headers=dict(environ["headers_raw"]),
            retries=False,
        )
        headers = [
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]
        start_response(f"{response.status} OK", headers)
        return [response.data]

    listener = eventlet.listen(("127.0.0.1", 0))
    print(f"ready port={listener.getsockname()[1]}", flush=True)
    wsgi.server(listener, application, log_output=False, max_size=2000)


if __name__ == "__main__":
    eventlet.monkey_patch()
    main()
