"""HTTP client for tests that sends raw bytes, also malformed requests."""

import http.client
import io
import json
import socket
import struct
from typing import Any
from typing import NamedTuple

TIMEOUT_SECONDS = 20.0
# Value of SO_LINGER with which closing a socket sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Answer(NamedTuple):
    """An answer (HTTP response).

    Attributes:
        status: HTTP status code.
        headers: Values by lower-case header name.
        body: Complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the JSON body."""
        return json.loads(self.body)


class UnclosableReader(io.BufferedReader):
    """A reader that stays open when http.client closes it after an answer."""

    def close(self) -> None:
        """Does nothing."""


class Connection:
    """One connection to a host."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection(
            (host, int(port)), timeout=TIMEOUT_SECONDS
        )
        self.reader = UnclosableReader(self.socket.makefile("rb", buffering=0))

    def __enter__(self) -> "Connection":
        return self

    def __exit__(self, *exception: Any) -> None:
        self.socket.close()
        self.reader.raw.close()

    def makefile(self, *_: Any) -> UnclosableReader:
        """Returns the reader of the connection; called by http.client."""
        return self.reader

    def send(self, *parts: bytes) -> None:
        """Sends bytes."""
        self.socket.sendall(b"".join(parts))

    def read_answer(self, method: str = "GET") -> Answer:
        """Reads one complete answer.

        Args:
            method: Method of the request; an answer to HEAD has no body.

        Raises:
            http.client.HTTPException: The answer is malformed or truncated.
        """
        response = http.client.HTTPResponse(self, method=method)  # type: ignore[arg-type]
        response.begin()
        headers = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, headers, response.read())

    def read_to_end(self) -> bytes:
        """Returns all bytes until the host closes the connection."""
        try:
            return self.reader.read()
        except ConnectionResetError:
            return b""


def head(method: str, target: str, *lines: str, key: str = "") -> bytes:
    """Returns the bytes of a request head.

    Args:
        method: HTTP method.
        target: Path and query.
        lines: Further header lines, without line ends.
        key: Key for an Authorization header; empty for none.
    """
    if key:
        lines = (f"Authorization: Bearer {key}", *lines)
    text = "\r\n".join([f"{method} {target} HTTP/1.1", "Host: x", *lines])
    return text.encode("latin-1") + b"\r\n\r\n"


def chunked(content: bytes, size: int) -> bytes:
    """Returns content in chunked encoding, with chunks of a size in bytes."""
    chunks = [
        content[start : start + size] for start in range(0, len(content), size)
    ]
    parts = [b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks]
    return b"".join([*parts, b"0\r\n\r\n"])
