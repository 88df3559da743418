"""The least that passes a request on: eventlet's WSGI server and urllib3.

Usage: python -m bench.forwarder IP:PORT. The baseline of bench.lookups; it
checks, counts and logs nothing.
"""

from collections.abc import Iterable
import sys
from typing import Any

import eventlet
from eventlet import wsgi

DROPPED = frozenset({"connection", "transfer-encoding"})


def main() -> None:
    """Serves until it is ended."""
    import urllib3

    target = sys.argv[1]
    pool = urllib3.PoolManager(maxsize=64, retries=False)

    def application(
        environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        answer = pool.request(
            environ["REQUEST_METHOD"],
            f"http://{target}{environ['PATH_INFO']}",
            headers=dict(environ["headers_raw"]),
            retries=False,
        )
        headers = [
            (name, value)
            for name, value in answer.headers.items()
            if name.lower() not in DROPPED
        ]
        start_response(f"{answer.status} OK", headers)
        return [answer.data]

    listener = eventlet.listen(("127.0.0.1", 0))
    print(f"ready port={listener.getsockname()[1]}", flush=True)
    wsgi.server(listener, application, log_output=False, max_size=2000)


if __name__ == "__main__":
    eventlet.monkey_patch()
    main()
