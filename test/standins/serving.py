"""What the stand-ins share: JSON over eventlet's WSGI server."""

from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import hashlib
import json
import socket
import sys
from typing import Any
import urllib.parse

import eventlet
from eventlet import wsgi

Environ = dict[str, Any]


def listen(port: int) -> Any:
    """Returns a green listening socket on loopback; port 0 takes any."""
    listener = eventlet.listen(("127.0.0.1", port), backlog=1024)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


class FaultLog(wsgi.LoggerNull):
    """Prints the tracebacks of the server and no line for each request."""

    def info(self, msg: str, *args: Any, **kwargs: Any) -> None:
        """Prints a message if it is a traceback."""
        if msg.startswith("Traceback"):
            complain(msg)


def serve(listener: Any, application: Any, protocol: Any = None) -> None:
    """Serves until the process ends."""
    wsgi.server(
        listener,
        application,
        protocol=protocol or wsgi.HttpProtocol,
        log=FaultLog(),
        debug=False,
        minimum_chunk_size=0,
        max_size=8192,
    )


def ready(**pairs: Any) -> None:
    """Prints the line that tells the parent where this process listens."""
    words = [f"{key}={value}" for key, value in pairs.items()]
    print("ready", *words, flush=True)


def json_answer(
    start_response: Callable,
    status: str,
    document: Any,
    extra: Sequence[tuple[str, str]] = (),
) -> list[bytes]:
    """Answers with a JSON document, with extra headers."""
    body = json.dumps(document).encode()
    headers = [
        *extra,
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response(status, headers)
    return [body]


def query(environ: Environ) -> dict[str, str]:
    """Returns the query as a dict; of repeated names the last."""
    text = environ.get("QUERY_STRING", "")
    return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))


def asked_headers(environ: Environ) -> list[tuple[str, str]]:
    """Returns the answer headers that `header=NAME:VALUE` asks for."""
    pairs = urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))
    texts = [value for name, value in pairs if name == "header"]
    return [(text.partition(":")[0], text.partition(":")[2]) for text in texts]


def json_body(environ: Environ) -> Any:
    """Reads a JSON request body."""
    return json.loads(environ["wsgi.input"].read() or b"{}")


def set_switch(switches: Any, name: str, value: Any) -> None:
    """Sets one switch, which must be there."""
    if name not in vars(switches):
        raise KeyError(name)
    setattr(switches, name, value)


def connection(environ: Environ) -> Any:
    """Returns the caller's socket."""
    return environ["eventlet.input"].get_socket()


def drop(environ: Environ) -> list[bytes]:
    """Closes the caller's connection; nothing more is answered."""
    wsgi.WSGI_LOCAL.already_handled = True
    with contextlib.suppress(OSError):
        connection(environ).shutdown(socket.SHUT_RDWR)
    return []


def caller_left(environ: Environ, seconds: float) -> bool:
    """Waits some seconds; returns True at once if the caller disconnects."""
    if seconds <= 0:
        return False
    sock = connection(environ)
    earlier = sock.gettimeout()
    sock.settimeout(seconds)
    try:
        if sock.recv(1, socket.MSG_PEEK) == b"":
            return True
        eventlet.sleep(seconds)
        return False
    except TimeoutError:
        return False
    except OSError:
        return True
    finally:
        sock.settimeout(earlier)


def payload(seed: str, size: int) -> bytes:
    """Returns bytes that differ between seeds, so that mix-ups show."""
    block = hashlib.sha256(seed.encode()).digest()
    return (block * (size // len(block) + 1))[:size]


def complain(text: str) -> None:
    """Prints one line to standard error."""
    print(text, file=sys.stderr, flush=True)
