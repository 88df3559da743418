"""TCP proxy on loopback that injects faults into connections.

A link is a listening port that forwards connections to a target. The name of a
connection is `SOURCE>LINK`; SOURCE is the name registered for the IP address or
the pid of the connecting process, or empty. A rule selects connections by a
pattern of their name (`fnmatch`) and sets fields of `ConnectionFaults`; if
several rules match, later rules override earlier ones.

The control port accepts JSON over HTTP:

* `POST /_links` with a map of link name to target IP:PORT adds links or changes
  their targets, and returns the listening port of each; a target written as
  `IP:PORT at IP:PORT` also has the address at which a new link listens;
* `POST /_sources` with a map of pid or IP address to name registers names of
  processes;
* `POST /_rules` with a list of maps, each with `match` and fields, sets rules;
  a rule replaces the one with the same `match`, and without fields only
  removes it;
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
from eventlet import hubs
from eventlet import queue

from test import _raw
from test.standins import serving

CHUNK_BYTES = 65_536
MAX_QUEUED_CHUNKS = 1024
POLL_SECONDS = 0.02
# Constants of sock_diag(7): netlink protocol, message type, mask of all socket
# states, and offset of the inode in an answer.
SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
ALL_STATES = 0xFFFFFFFF
INODE_OFFSET = 84


class ConnectionFaults(NamedTuple):
    """Faults injected into a connection.

    Attributes:
        cut: True to reset open connections and refuse new ones.
        reset: True to reset open connections once, when the rule is set.
        refuse: True to refuse new connections; open ones go on.
        blackhole: Directions in which bytes are held back: "both", "out" (to
            the target), "in" or "" for none.
        delay_ms: Delay in each direction, milliseconds.
        jitter_ms: Largest additional delay, milliseconds; the delay is uniform
            from 0.
        bits_per_second: Bandwidth shared by all connections of one name and
            direction, bits per second; 0 for no limit.
    """

    cut: bool = False
    reset: bool = False
    refuse: bool = False
    blackhole: str = ""
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bits_per_second: float = 0.0


class Connection(NamedTuple):
    """One proxied connection.

    Attributes:
        name: Name `SOURCE>LINK`.
        task: Green thread that serves the connection.
        sockets: Sockets of the client and of the target.
    """

    name: str
    task: Any
    sockets: tuple[Any, Any]


class Proxy:
    """The proxy, and the WSGI application of its control port.

    Attributes:
        rng: Source of jitter.
        targets: IP address and port of the target of each link.
        ports: Listening port of each link.
        sources: Registered names of processes by pid.
        rules: Fields of each rule by its pattern.
        connections: Open connections by number.
        numbers: Source of unique connection numbers.
        faults_by_name: Cached faults by name of the connection.
        free_at: Monotonic time from which more bytes can be sent within the
            bandwidth, seconds, by name of the connection and direction.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.targets: dict[str, tuple[str, int]] = {}
        self.ports: dict[str, int] = {}
        self.sources: dict[str, str] = {}
        self.rules: dict[str, dict[str, Any]] = {}
        self.connections: dict[int, Connection] = {}
        self.numbers = itertools.count()
        self.faults_by_name: dict[str, ConnectionFaults] = {}
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
            document = sorted(each.name for each in self.connections.values())
        status = "404 Not Found" if document is None else "200 OK"
        return serving.json_answer(start_response, status, document)

    def add_link(self, name: str, target: str) -> None:
        """Opens a link, or changes the target of an open one."""
        target, _, own_address = target.partition(" at ")
        host, _, port = target.rpartition(":")
        self.targets[name] = (host, int(port))
        if name not in self.ports:
            own_host, _, own_port = own_address.rpartition(":")
            listener = serving.listen(
                int(own_port or 0), own_host or serving.LOOPBACK
            )
            self.ports[name] = listener.getsockname()[1]
            eventlet.spawn(self.accept, name, listener)

    def set_rules(self, rules: list[dict[str, Any]]) -> None:
        """Sets rules and applies cuts and resets to open connections."""
        for rule in rules:
            fields = dict(rule)
            match = fields.pop("match")
            self.rules.pop(match, None)
            if fields:
                ConnectionFaults(**fields)
                self.rules[match] = fields
        self.faults_by_name.clear()
        for connection in list(self.connections.values()):
            faults = self.faults_of(connection.name)
            if faults.cut or faults.reset:
                reset_on_close(connection.sockets)
                connection.task.kill()
        for fields in self.rules.values():
            fields.pop("reset", None)
        self.faults_by_name.clear()

    def faults_of(self, name: str) -> ConnectionFaults:
        """Returns the current faults of the connections of a name."""
        if name not in self.faults_by_name:
            fields: dict[str, Any] = {}
            for match, rule in self.rules.items():
                if fnmatch.fnmatchcase(name, match):
                    fields.update(rule)
            self.faults_by_name[name] = ConnectionFaults(**fields)
        return self.faults_by_name[name]

    def accept(self, link: str, listener: Any) -> None:
        """Accepts the connections of one link."""
        while True:
            client, client_address = listener.accept()
            eventlet.spawn(self.forward, link, client, client_address)

    def forward(
        self, link: str, client: Any, client_address: tuple[str, int]
    ) -> None:
        """Connects to the target and forwards one connection until its end."""
        source = source_name(client_address, client.getsockname(), self.sources)
        name = f"{source}>{link}"
        number = next(self.numbers)
        try:
            self.connect(number, name, link, client)
        finally:
            # Only now, so that a connection that is no longer listed is closed.
            self.connections.pop(number, None)

    def connect(self, number: int, name: str, link: str, client: Any) -> None:
        """Connects to the target and forwards; closes both sockets at the end.

        Args:
            number: Number of the connection.
            name: Name of the connection.
            link: Name of the link.
            client: Socket of the client.
        """
        with contextlib.closing(client):
            try:
                faults = self.faults_of(name)
                if faults.cut or faults.refuse:
                    raise ConnectionRefusedError
                target = eventlet.connect(self.targets[link])
            except OSError:
                reset_on_close((client,))
                return
            with contextlib.closing(target):
                self.exchange(number, name, client, target)

    def exchange(
        self, number: int, name: str, client: Any, target: Any
    ) -> None:
        """Forwards bytes in both directions until both have ended.

        Resets both sockets if a direction ends with a reset.
        """
        target.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = eventlet.getcurrent()
        self.connections[number] = Connection(name, task, (client, target))
        ends: queue.LightQueue = queue.LightQueue()
        tasks = []
        for direction, source, sink in (
            ("out", client, target),
            ("in", target, client),
        ):
            chunks: queue.LightQueue = queue.LightQueue(MAX_QUEUED_CHUNKS)
            tasks += [
                eventlet.spawn(self.read, name, direction, source, chunks),
                eventlet.spawn(self.write, name, direction, chunks, sink, ends),
            ]
        try:
            if not (ends.get() and ends.get()):
                reset_on_close((client, target))
        finally:
            for task in tasks:
                task.kill()

    def read(self, name: str, direction: str, source: Any, chunks: Any) -> None:
        """Queues the bytes of one direction with the times to write them.

        Queues b"" for the end of the stream and None for a reset.
        """
        write_at = 0.0
        chunk: bytes | None = b"-"
        while chunk:
            try:
                chunk = receive(source)
            except OSError:
                chunk = None
            write_at = max(
                write_at, self.write_time(name, direction, len(chunk or b""))
            )
            chunks.put((write_at, chunk))

    def write_time(self, name: str, direction: str, size: int) -> float:
        """Returns the time at which to write bytes that are received now.

        Args:
            name: Name of the connection.
            direction: "out" or "in".
            size: Number of bytes.

        Returns:
            Monotonic time, seconds.
        """
        faults = self.faults_of(name)
        ready_at = time.monotonic()
        if faults.bits_per_second:
            ready_at = max(ready_at, self.free_at[name, direction])
            ready_at += size * 8 / faults.bits_per_second
            self.free_at[name, direction] = ready_at
        jitter = self.rng.uniform(0, faults.jitter_ms)
        return ready_at + (faults.delay_ms + jitter) / 1000

    def write(
        self, name: str, direction: str, chunks: Any, sink: Any, ends: Any
    ) -> None:
        """Writes the chunks of one direction in order, each at its time.

        Puts True into `ends` at the end of the stream, False after a reset.
        """
        chunk = b"-"
        try:
            while chunk:
                write_at, chunk = chunks.get()
                eventlet.sleep(max(0.0, write_at - time.monotonic()))
                while self.faults_of(name).blackhole in ("both", direction):
                    eventlet.sleep(POLL_SECONDS)
                if chunk:
                    sink.sendall(chunk)
            if chunk == b"":
                sink.shutdown(socket.SHUT_WR)
            ends.put(chunk == b"")
        except OSError:
            ends.put(False)


def receive(source: Any) -> bytes:
    """Returns received bytes; empty at the end of the stream.

    Eventlet's own `recv` returns nothing after a reset as well.

    Raises:
        OSError: The connection was reset.
    """
    while True:
        try:
            # `fd` is the non-blocking socket inside the eventlet socket.
            data: bytes = source.fd.recv(CHUNK_BYTES)
            return data
        except BlockingIOError:
            hubs.trampoline(source, read=True)


def reset_on_close(sockets: tuple[Any, ...]) -> None:
    """Sets open sockets to send a reset when they are closed."""
    for sock in sockets:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _raw.RESET_ON_CLOSE
            )


def socket_inodes(pid: str) -> Iterator[str]:
    """Yields the inodes of the open sockets of a process."""
    with contextlib.suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                target = os.readlink(entry.path)
                if target.startswith("socket:["):
                    yield target[8:-1]


def socket_inode(local: tuple[str, int], remote: tuple[str, int]) -> str:
    """Returns the inode of one end of a loopback connection, or empty.

    Requests only this socket from the kernel (sock_diag(7)), because reading
    the whole table of sockets takes milliseconds if there are thousands.
    """
    ports = struct.pack("!HH", local[1], remote[1])
    ips = b"".join(
        socket.inet_aton(ip) + bytes(12) for ip, _ in (local, remote)
    )
    identity = ports + ips + bytes(4) + b"\xff" * 8
    family = struct.pack(
        "=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, ALL_STATES
    )
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


def source_name(
    local: tuple[str, int], remote: tuple[str, int], sources: dict[str, str]
) -> str:
    """Returns the registered name of the process that opened a connection.

    Args:
        local: IP address and port of the connecting side.
        remote: IP address and port of the link.
        sources: Registered names of processes by pid or IP address.

    Returns:
        The name, or empty if the process is not registered.
    """
    if local[0] in sources or not sources:
        return sources.get(local[0], "")
    inode = socket_inode(local, remote)
    for pid, name in sources.items():
        if inode in socket_inodes(pid):
            return name
    return ""


def main() -> None:
    """Parses the arguments, opens the links and serves the control port."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0, help="control port")
    parser.add_argument(
        "--links", help="JSON file: target IP:PORT by link name"
    )
    parser.add_argument(
        "--seed", type=int, default=1, help="seed of the jitter"
    )
    arguments = parser.parse_args()
    proxy = Proxy(arguments.seed)
    if arguments.links:
        text = pathlib.Path(arguments.links).read_text(encoding="utf-8")
        for name, target in json.loads(text).items():
            proxy.add_link(name, target)
    listener = serving.listen(arguments.port)
    serving.print_ready(port=listener.getsockname()[1])
    serving.serve(listener, proxy)


if __name__ == "__main__":
    eventlet.monkey_patch()
    main()
