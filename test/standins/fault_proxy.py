"""A TCP proxy on loopback that carries many links and injects faults.

A link is a listening port in front of a target. The name of a connection is
`SOURCE>LINK`; SOURCE is the name given to the connecting process by its pid,
or empty. A rule names connections by a pattern (`fnmatch`) and sets fields of
`Condition`; where several rules match, the later ones override.

Control, JSON over HTTP on its own port:

* `POST /_links` with a map of link name to target IP:PORT adds links or moves
  them to a new target, and returns the listening port of each;
* `POST /_sources` with a map of pid to name;
* `POST /_rules` with a list of maps, each with `match` and fields; a rule
  replaces the earlier one of the same `match`; without fields it is removed;
* `GET /_connections` returns the names of the open connections.
"""

import argparse
import collections
from collections.abc import Iterator
import contextlib
import fnmatch
import itertools
import json
import os
import pathlib
import random
import socket
import struct
import time
from typing import Any
from typing import NamedTuple

import eventlet
from eventlet import queue

from test.standins import serving

PIECE_BYTES = 65_536
MAX_PIECES_HELD = 1024
POLL_SECONDS = 0.02
# Numbers of sock_diag(7): protocol, message type, mask of all states, and where
# an answer holds the inode.
SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
ALL = 0xFFFFFFFF
INODE_OFFSET = 84
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Condition(NamedTuple):
    """What a connection goes through.

    Attributes:
        cut: Open connections are reset and new ones refused.
        reset: Open connections are reset, once, when the rule is set.
        blackhole: Bytes are held: "both", "out" (to the target), "in" or "".
        delay_ms: Delay each way, milliseconds.
        jitter_ms: Further delay, uniform from 0 to this.
        bits_per_second: Shared by all connections of one name and direction;
            0 is unlimited.
    """

    cut: bool = False
    reset: bool = False
    blackhole: str = ""
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bits_per_second: float = 0.0


class Connection(NamedTuple):
    """One carried connection: its name, its task and both sockets."""

    name: str
    task: Any
    sockets: tuple[Any, Any]


class Proxy:
    """Links, rules and open connections."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.targets: dict[str, tuple[str, int]] = {}
        self.ports: dict[str, int] = {}
        self.sources: dict[str, str] = {}
        self.rules: dict[str, dict[str, Any]] = {}
        self.connections: dict[int, Connection] = {}
        self.numbers = itertools.count()
        self.conditions: dict[str, Condition] = {}
        self.free_at: dict[tuple[str, str], float] = collections.defaultdict(
            float
        )

    def __call__(self, environ: serving.Environ, start_response: Any) -> Any:
        """Answers one control request."""
        path = environ["PATH_INFO"]
        document: Any = None
        if path == "/_links":
            for name, target in serving.json_body(environ).items():
                self.add_link(name, target)
            document = self.ports
        elif path == "/_sources":
            self.sources.update(serving.json_body(environ))
            document = self.sources
        elif path == "/_rules":
            self.set_rules(serving.json_body(environ))
            document = self.rules
        elif path == "/_connections":
            document = sorted(link.name for link in self.connections.values())
        status = "404 Not Found" if document is None else "200 OK"
        return serving.json_answer(start_response, status, document)

    def add_link(self, name: str, target: str) -> None:
        """Opens a link, or moves an open one to a new target."""
        address, _, port = target.rpartition(":")
        self.targets[name] = (address, int(port))
        if name not in self.ports:
            listener = serving.listen(0)
            self.ports[name] = listener.getsockname()[1]
            eventlet.spawn(self.accept, name, listener)

    def set_rules(self, rules: list[dict[str, Any]]) -> None:
        """Sets rules and applies cuts and resets to open connections."""
        for rule in rules:
            fields = dict(rule)
            match = fields.pop("match")
            self.rules.pop(match, None)
            if fields:
                Condition(**fields)
                self.rules[match] = fields
        self.conditions.clear()
        for link in list(self.connections.values()):
            condition = self.condition(link.name)
            if condition.cut or condition.reset:
                reset_on_close(link.sockets)
                link.task.kill()
        for fields in self.rules.values():
            fields.pop("reset", None)
        self.conditions.clear()

    def condition(self, name: str) -> Condition:
        """Returns what a connection of this name goes through now."""
        if name not in self.conditions:
            fields: dict[str, Any] = {}
            for match, rule in self.rules.items():
                if fnmatch.fnmatchcase(name, match):
                    fields.update(rule)
            self.conditions[name] = Condition(**fields)
        return self.conditions[name]

    def accept(self, link: str, listener: Any) -> None:
        """Accepts the connections of one link."""
        while True:
            near, caller = listener.accept()
            eventlet.spawn(self.carry, link, near, caller)

    def carry(self, link: str, near: Any, caller: tuple[str, int]) -> None:
        """Carries one connection until both sides have ended."""
        port = self.ports[link]
        name = f"{source_of(caller[1], port, self.sources)}>{link}"
        with contextlib.closing(near):
            try:
                if self.condition(name).cut:
                    raise ConnectionRefusedError
                far = eventlet.connect(self.targets[link])
            except OSError:
                reset_on_close((near,))
                return
            with contextlib.closing(far):
                self.exchange(name, near, far)

    def exchange(self, name: str, near: Any, far: Any) -> None:
        """Carries bytes both ways until both ways have ended."""
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        number = next(self.numbers)
        task = eventlet.getcurrent()
        self.connections[number] = Connection(name, task, (near, far))
        ends: queue.LightQueue = queue.LightQueue()
        tasks = []
        for way, source, sink in (("out", near, far), ("in", far, near)):
            pieces: queue.LightQueue = queue.LightQueue(MAX_PIECES_HELD)
            tasks += [
                eventlet.spawn(self.read, name, way, source, pieces),
                eventlet.spawn(self.write, name, way, pieces, sink, ends),
            ]
        try:
            if not (ends.get() and ends.get()):
                reset_on_close((near, far))
        finally:
            del self.connections[number]
            for task in tasks:
                task.kill()

    def read(self, name: str, way: str, source: Any, pieces: Any) -> None:
        """Queues what comes one way; b"" is its end and None a reset."""
        due = 0.0
        piece: bytes | None = b"-"
        while piece:
            try:
                piece = source.recv(PIECE_BYTES)
            except OSError:
                piece = None
            due = max(due, self.due_at(name, way, len(piece or b"")))
            pieces.put((due, piece))

    def due_at(self, name: str, way: str, size: int) -> float:
        """Returns when a piece that came now is to be written, monotonic."""
        condition = self.condition(name)
        start = time.monotonic()
        if condition.bits_per_second:
            start = max(start, self.free_at[name, way])
            start += size * 8 / condition.bits_per_second
            self.free_at[name, way] = start
        jitter = self.random.uniform(0, condition.jitter_ms)
        return start + (condition.delay_ms + jitter) / 1000

    def write(
        self, name: str, way: str, pieces: Any, sink: Any, ends: Any
    ) -> None:
        """Writes the pieces of one way in order, each when due."""
        piece = b"-"
        try:
            while piece:
                due, piece = pieces.get()
                eventlet.sleep(max(0.0, due - time.monotonic()))
                while self.condition(name).blackhole in ("both", way):
                    eventlet.sleep(POLL_SECONDS)
                if piece:
                    sink.sendall(piece)
            if piece == b"":
                sink.shutdown(socket.SHUT_WR)
            ends.put(piece == b"")
        except OSError:
            ends.put(False)


def reset_on_close(sockets: tuple[Any, ...]) -> None:
    """Makes the closing of these sockets a reset, if they are still open."""
    for sock in sockets:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def sockets_of(pid: str) -> Iterator[str]:
    """Yields the inodes of the sockets that a process holds."""
    with contextlib.suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                target = os.readlink(entry.path)
                if target.startswith("socket:["):
                    yield target[8:-1]


def inode_of(near_port: int, far_port: int) -> str:
    """Returns the inode of one end of a loopback connection.

    Asks the kernel for just this socket (sock_diag(7)); a look through the
    whole table of sockets takes milliseconds once there are thousands.
    """
    loopback = socket.inet_aton("127.0.0.1") + bytes(12)
    ports = struct.pack("!HH", near_port, far_port)
    identity = ports + loopback + loopback + bytes(4) + b"\xff" * 8
    family = struct.pack("=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, ALL)
    body = family + identity
    head = struct.pack("=IHHII", 16 + len(body), SOCK_DIAG_BY_FAMILY, 1, 1, 0)
    kernel = socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, SOCK_DIAG)
    with contextlib.closing(kernel):
        kernel.sendto(head + body, (0, 0))
        answer = kernel.recv(4096)
    kind = struct.unpack_from("=H", answer, 4)[0]
    if kind != SOCK_DIAG_BY_FAMILY:
        return ""
    return str(struct.unpack_from("=I", answer, INODE_OFFSET)[0])


def source_of(near_port: int, far_port: int, sources: dict[str, str]) -> str:
    """Returns the name of the process that opened a loopback connection."""
    if not sources:
        return ""
    inode = inode_of(near_port, far_port)
    for pid, name in sources.items():
        if inode in sockets_of(pid):
            return name
    return ""


def main() -> None:
    """Parses the arguments and serves."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0, help="control port")
    parser.add_argument("--links", help="JSON file of name to IP:PORT")
    parser.add_argument("--seed", type=int, default=1, help="for jitter")
    arguments = parser.parse_args()
    proxy = Proxy(arguments.seed)
    if arguments.links:
        text = pathlib.Path(arguments.links).read_text(encoding="utf-8")
        for name, target in json.loads(text).items():
            proxy.add_link(name, target)
    listener = serving.listen(arguments.port)
    serving.ready(port=listener.getsockname()[1])
    serving.serve(listener, proxy)


if __name__ == "__main__":
    eventlet.monkey_patch()
    main()
