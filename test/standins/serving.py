"""Serves JSON with eventlet's WSGI server, for the stand-ins."""

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

LOOPBACK = "127.0.0.1"


def listen(port: int, ip: str = LOOPBACK) -> Any:
    """Returns a listening socket on loopback; port 0 selects a free port."""
    listener = eventlet.listen((ip, port), backlog=1024)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


class TracebackLog(wsgi.LoggerNull):
    """Prints the server's tracebacks, and no line for each request."""

    def info(self, msg: str, *args: Any, **kwargs: Any) -> None:
        """Prints a message if it is a traceback."""
        if msg.startswith("Traceback"):
            print_error(msg)


def serve(listener: Any, application: Any, protocol: Any = None) -> None:
    """Serves a WSGI application until the process ends.

    Args:
        listener: The listening socket.
        application: The WSGI application.
        protocol: Handler class of connections; eventlet's if None.
    """
    wsgi.server(
        listener,
        application,
        protocol=protocol or wsgi.HttpProtocol,
        log=TracebackLog(),
        debug=False,
        minimum_chunk_size=0,
        max_size=8192,
    )


def print_ready(**ports: Any) -> None:
    """Prints the `ready` line, from which the parent reads the ports."""
    words = [f"{key}={value}" for key, value in ports.items()]
    print("ready", *words, flush=True)


def json_answer(
    start_response: Callable,
    status: str,
    document: Any,
    extra_headers: Sequence[tuple[str, str]] = (),
) -> list[bytes]:
    """Starts a response with a JSON body and returns the body.

    Args:
        start_response: WSGI function that sends status and headers.
        status: HTTP status line.
        document: JSON document of the body.
        extra_headers: Additional headers.
    """
    body = json.dumps(document).encode()
    headers = [
        *extra_headers,
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response(status, headers)
    return [body]


def query(environ: Environ) -> dict[str, str]:
    """Returns the query parameters, with the last value of a repeated name."""
    text = environ.get("QUERY_STRING", "")
    return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))


def requested_headers(environ: Environ) -> list[tuple[str, str]]:
    """Returns the answer headers requested by `header=NAME:VALUE` queries."""
    pairs = urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))
    texts = [value for name, value in pairs if name == "header"]
    return [(text.partition(":")[0], text.partition(":")[2]) for text in texts]


def json_body(environ: Environ) -> Any:
    """Reads the JSON body of a request; {} if it is empty."""
    return json.loads(environ["wsgi.input"].read() or b"{}")


def set_switch(switches: Any, name: str, value: Any) -> None:
    """Sets one switch.

    Raises:
        KeyError: There is no switch of that name.
    """
    if name not in vars(switches):
        raise KeyError(name)
    setattr(switches, name, value)


def client_socket(environ: Environ) -> Any:
    """Returns the client's socket."""
    return environ["eventlet.input"].get_socket()


def drop_connection(environ: Environ) -> list[bytes]:
    """Closes the client's connection without a further answer."""
    wsgi.WSGI_LOCAL.already_handled = True
    with contextlib.suppress(OSError):
        client_socket(environ).shutdown(socket.SHUT_RDWR)
    return []


def wait_disconnect(environ: Environ, seconds: float) -> bool:
    """Waits some seconds; returns True at once if the client disconnects."""
    if seconds <= 0:
        return False
    sock = client_socket(environ)
    old_timeout = sock.gettimeout()
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
        sock.settimeout(old_timeout)


def payload(seed: str, size: int) -> bytes:
    """Returns bytes that differ between seeds.

    A test can thus detect that it received the answer to another request.
    """
    block = hashlib.sha256(seed.encode()).digest()
    return (block * (size // len(block) + 1))[:size]


def print_error(text: str) -> None:
    """Prints one line to standard error."""
    print(text, file=sys.stderr, flush=True)
