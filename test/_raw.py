"""HTTP as bytes on a socket: one connection, whatever is sent on it."""

import http.client
import io
import json
import socket
from typing import Any
from typing import NamedTuple

TIMEOUT_SECONDS = 20.0


class Answer(NamedTuple):
    """An answer as read from the connection."""

    status: int
    headers: dict[str, str]
    body: bytes

    def document(self) -> Any:
        """Returns the JSON body."""
        return json.loads(self.body)


class Reader(io.BufferedReader):
    """A reader that http.client can't close between two answers."""

    def close(self) -> None:
        """Does nothing."""


class Connection:
    """One connection to a host."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection(
            (host, int(port)), timeout=TIMEOUT_SECONDS
        )
        self.reader = Reader(self.socket.makefile("rb", buffering=0))

    def __enter__(self) -> "Connection":
        return self

    def __exit__(self, *exception: Any) -> None:
        self.socket.close()
        self.reader.raw.close()

    def makefile(self, *_: Any) -> Reader:
        """Gives http.client the one reader of the connection."""
        return self.reader

    def send(self, *parts: bytes) -> None:
        """Sends bytes."""
        self.socket.sendall(b"".join(parts))

    def answer(self, method: str = "GET") -> Answer:
        """Reads one answer whole.

        Raises:
            http.client.HTTPException: It is malformed or was cut short.
        """
        response = http.client.HTTPResponse(self, method=method)  # type: ignore[arg-type]
        response.begin()
        headers = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, headers, response.read())

    def rest(self) -> bytes:
        """Reads all that comes until the other side closes."""
        try:
            return self.reader.read()
        except ConnectionResetError:
            return b""


def head(method: str, target: str, *lines: str, key: str = "") -> bytes:
    """Returns a request head; lines are header lines without their ends."""
    if key:
        lines = (f"Authorization: Bearer {key}", *lines)
    text = "\r\n".join([f"{method} {target} HTTP/1.1", "Host: x", *lines])
    return text.encode("latin-1") + b"\r\n\r\n"


def chunked(content: bytes, size: int) -> bytes:
    """Returns content in chunks of a size, with the last one."""
    chunks = [content[at : at + size] for at in range(0, len(content), size)]
    parts = [b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks]
    return b"".join([*parts, b"0\r\n\r\n"])
