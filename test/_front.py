"""What the tests of hosts on the platform share: hosts as real processes."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import urllib.parse

from test import _common
from test import _raw
from test.standins import threaded_upstream

HOST_HEADER = "a.example"
REVOKE_SECONDS = 5.0
DRAIN_SECONDS = 2.5
GRACE_SECONDS = 6.0


def configuration(version=1, **changes):
    """Returns a configuration with routes of both kinds."""

    def route(kind, prefix, **more):
        return {
            "host": HOST_HEADER,
            "pathPrefix": prefix,
            "kind": kind,
            "timeout": "2s",
            "targetLatency": "400ms",
            "priority": 1,
            "service": "work",
            "maxAttempts": 2,
            "public": False,
            "sessionAffinity": True,
            "allowedRegions": [],
            **more,
        }

    return {
        "version": f"r{version}",
        "routes": {
            "read": route("idempotent", "/read/"),
            "write": route("non_idempotent", "/write/"),
            "open": route("idempotent", "/open/", public=True),
            "long": route("idempotent", "/long/", timeout="600s"),
        },
        "services": {"work": {"maxConnections": 300, "cold": "3s"}},
        "limits": {"idleTimeout": "15s", "maxBodyBytes": 100000},
        "tenants": {"t1": {"apiKeys": ["k1", "k2"]}},
        **changes,
    }


class Front:
    """One host as a process of its own; a context manager."""

    def __init__(self, name, ip, zone, region, store_address, folder):
        ports = [free_port(ip) for _ in range(4)]
        self.name, self.ip = name, ip
        self.front, self.ready_address, self.directory = (
            f"{ip}:{port}" for port in ports[:3]
        )
        self.log_path = pathlib.Path(folder, f"{name}.log")
        path = self.settings_path = pathlib.Path(folder, f"{name}.toml")
        document = {
            "nodeName": name,
            "ip": ip,
            "zone": zone,
            "region": region,
            "internalPortRange": [ports[3], ports[3] + 5],
            "bounds": [f"revoke={REVOKE_SECONDS:g}s", "grace=6s"],
            "bootstrap": True,
        }
        lines = [f"{k} = {json.dumps(v)}" for k, v in document.items()]
        lines += ["[zones]", *(f'{z} = "{r}"' for z, r in ZONES.items())]
        lines += [
            "[listen]",
            f'front = "{self.front}"',
            f'ready = "{self.ready_address}"',
            f'directory = "{self.directory}"',
            "[platform]",
            f'address = "{store_address}"',
        ]
        path.write_text("\n".join(lines))
        self.environment = {**os.environ, "GOOSEBERRYWEIR_BOOT": str(path)}
        self.process = None

    def start(self):
        """Starts the process."""
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gooseberryweir", "front"],
                cwd=_common.ROOT,
                env=self.environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *_):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def ready(self):
        """Whether the host says that it serves."""
        try:
            return call(self.ready_address, "/-/readiness").status == 200
        except OSError:
            return False

    def log_lines(self, word):
        """Returns the lines of the log that hold a word."""
        text = self.log_path.read_text(errors="replace")
        return [line for line in text.splitlines() if word in line]


ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}


def free_port(ip):
    """Returns a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def call(address, path, *, key="k1", method="GET", body=b"", **headers):
    """Sends one request on a connection of its own and reads the answer."""
    with _raw.Connection(address) as connection:
        connection.send(request_bytes(path, key, method, body, **headers))
        return connection.answer()


def request_bytes(path, key="k1", method="GET", body=b"", **headers):
    """Returns a request; underscores in header names become hyphens."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_HEADER}"]
    lines.append(f"Request-Id: {headers.pop('request_id', 'id-1')}")
    lines.append(f"Deadline-Ms: {headers.pop('deadline_ms', 2000)}")
    if key:
        lines.append(f"Authorization: Bearer {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Store:
    """The store's stand-in, with a door of its own for each host."""

    def __init__(self, process, doors):
        self.process = process
        self.doors = [f"door{number}" for number in range(doors)]

    def control(self, door, **switches):
        """Sets switches of a door and returns its counts."""
        url = self.process.url("/_control", door)
        return _common.fetch_json(url, switches or None)

    def put(self, kind, name, spec):
        """Writes an object as the operator or an upstream."""
        thing = {"kind": kind, "name": name, "spec": spec}
        self.control(self.doors[0], put=thing)

    def delete(self, kind, name):
        """Removes an object."""
        self.put(kind, name, None)

    def fail(self, fault, doors):
        """Gives doors a fault, or none of it."""
        for door in doors:
            self.control(door, outage=fault)

    @property
    def calls(self):
        """Calls so far, over all doors."""
        return sum(
            sum(self.control(door)["calls"].values()) for door in self.doors
        )


class World:
    """A store, upstreams and hosts."""

    def __init__(self, stack, hosts=3, upstreams=2):
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        process = stack.enter_context(
            _common.Process(
                pathlib.Path(folder),
                "store",
                "test.standins.platform",
                "--doors",
                hosts,
            )
        )
        self.store = Store(process.wait_ready(), hosts)
        self.store.put("config", "main", configuration())
        self.upstreams = [
            stack.enter_context(
                threaded_upstream.ThreadedUpstream(f"i-{i}", "work", "north-a")
            )
            for i in range(upstreams)
        ]
        for upstream in self.upstreams:
            self.store.put("servers", upstream.name, upstream.entry())
        zones = list(ZONES.items())
        self.hosts = [
            stack.enter_context(
                Front(
                    f"h{i}",
                    f"127.0.{i + 1}.1",
                    *zones[i % 3],
                    process.address(door),
                    folder,
                )
            )
            for i, door in enumerate(self.store.doors)
        ]
        for host in self.hosts:
            _common.wait_until(host.ready, description=f"{host.name} ready")
        self.meet()

    def meet(self):
        """Waits until all hosts have heard each other."""
        for host in self.hosts:
            _common.wait_until(
                lambda host=host: (
                    len(host.log_lines("event=peer-state"))
                    >= len(self.hosts) - 1
                ),
                description=f"{host.name} has heard the others",
            )

    def runs(self):
        """Returns what ran on all upstreams."""
        return [run for each in self.upstreams for run in each.runs]


def look_up(host, region, zone):
    """Returns the answer of a look-up."""
    query = urllib.parse.urlencode(
        {"name": HOST_HEADER, "region": region, "zone": zone}
    )
    return call(host.directory, f"/-/resolve?{query}")
