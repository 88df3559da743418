"""Helpers for tests that run hosts as real processes.

The platform's store and the upstreams are stand-ins.
"""

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
# Longest allowed time from the withdrawal of a key until no upstream begins to
# process a request with it.
KEY_REVOCATION_SECONDS = 5.0
# Longest allowed time from the draining of an upstream until hosts send it no
# requests.
DRAIN_SECONDS = 2.5
# Longest allowed time from SIGTERM to the exit of a host.
GRACE_SECONDS = 6.0


def configuration(version=1, **changes):
    """Returns a configuration with idempotent and non-idempotent routes.

    Args:
        version: Number of the version.
        **changes: Top-level fields to replace.
    """

    def route(kind, prefix, **fields):
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
            **fields,
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


def configuration_with_route(name, version, service="work"):
    """Returns a configuration with one more route, `/NAME/`, to a service."""
    result = configuration(version)
    result["services"][service] = result["services"]["work"]
    result["routes"][name] = {
        **result["routes"]["read"],
        "pathPrefix": f"/{name}/",
        "service": service,
    }
    return result


def wait_until_served(hosts, path, timeout):
    """Waits until all hosts serve a path, for `timeout` seconds each."""
    for host in hosts:
        _common.wait_until(
            lambda host=host: call(host.address, path).status == 200,
            timeout=timeout,
            description=f"{host.name} serves {path}",
        )


class HostProcess:
    """A host in a separate process; a context manager.

    Attributes:
        name: Name of the host.
        ip: IP address of all its ports.
        zone: Availability zone that it is in.
        region: Region that it is in.
        address: Address for callers, `IP:PORT`.
        ready_address: Address of readiness checks, `IP:PORT`.
        directory_address: Address of look-ups, `IP:PORT`.
        peer_address: Address of heartbeats of other hosts, `IP:PORT`.
        forward_address: Address of requests that hosts forward, `IP:PORT`.
        log_path: File with its standard output and error.
        settings_path: Its settings file.
        environment: Environment variables of the process.
        root: Directory with the package that it runs.
        process: The process, or None before its start.
    """

    def __init__(
        self,
        name,
        ip,
        zone,
        region,
        store_address,
        directory,
        root=_common.ROOT,
    ):
        ports = [free_port(ip) for _ in range(4)]
        self.name, self.ip = name, ip
        self.zone, self.region = zone, region
        self.address, self.ready_address, self.directory_address = (
            f"{ip}:{port}" for port in ports[:3]
        )
        self.peer_address = f"{ip}:{ports[3]}"
        self.forward_address = f"{ip}:{ports[3] + 1}"
        self.log_path = pathlib.Path(directory, f"{name}.log")
        path = self.settings_path = pathlib.Path(directory, f"{name}.toml")
        document = {
            "nodeName": name,
            "ip": ip,
            "zone": zone,
            "region": region,
            "internalPortRange": [ports[3], ports[3] + 5],
            "bounds": [f"revoke={KEY_REVOCATION_SECONDS:g}s", "grace=6s"],
            "bootstrap": True,
        }
        lines = [f"{k} = {json.dumps(v)}" for k, v in document.items()]
        lines += ["[zones]", *(f'{z} = "{r}"' for z, r in ZONES.items())]
        lines += [
            "[listen]",
            f'front = "{self.address}"',
            f'ready = "{self.ready_address}"',
            f'directory = "{self.directory_address}"',
            "[platform]",
            f'address = "{store_address}"',
        ]
        path.write_text("\n".join(lines))
        self.environment = {**os.environ, "GOOSEBERRYWEIR_BOOT": str(path)}
        self.root = root
        self.process = None

    def start(self, output=None):
        """Starts the process.

        Args:
            output: Descriptor for its standard output and error, in place of
                the file.
        """
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gooseberryweir", "front"],
                cwd=self.root,
                env=self.environment,
                stdout=log if output is None else output,
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
        """Returns True if the readiness check of the host succeeds."""
        try:
            return call(self.ready_address, "/-/readiness").status == 200
        except OSError:
            return False

    def accepts_connections(self):
        """Returns True if a caller can connect to the host."""
        try:
            with _raw.Connection(self.address):
                return True
        except OSError:
            return False

    def log_lines(self, word):
        """Returns the lines of the log that contain a word."""
        text = self.log_path.read_text(errors="replace")
        return [line for line in text.splitlines() if word in line]


# The metrics port is fixed, so the hosts of each test process have addresses of
# their own.
LOOPBACK_PREFIX = f"127.{1 + os.getpid() % 250}"
ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}


def free_port(ip):
    """Returns a free port, which another process may still take."""
    with socket.socket() as probe_socket:
        probe_socket.bind((ip, 0))
        return probe_socket.getsockname()[1]


def call(address, path, *, key="k1", method="GET", body=b"", **headers):
    """Sends one request on a new connection and returns the response."""
    with _raw.Connection(address) as connection:
        connection.send(request_bytes(path, key, method, body, **headers))
        return connection.read_answer()


def request_bytes(path, key="k1", method="GET", body=b"", **headers):
    """Encodes a request; underscores in header names become hyphens."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_HEADER}"]
    lines.append(f"Request-Id: {headers.pop('request_id', 'id-1')}")
    lines.append(f"Deadline-Ms: {headers.pop('deadline_ms', 2000)}")
    if key:
        lines.append(f"Authorization: Bearer {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class StoreStandIn:
    """Stand-in of the platform's store, with a separate port for each host.

    Attributes:
        process: Process of the stand-in.
        port_names: Names of the ports, one for each host.
    """

    def __init__(self, process, port_count):
        self.process = process
        self.port_names = [f"port{number}" for number in range(port_count)]

    def control(self, port_name, **switches):
        """Sets faults of a port or writes an object; returns its counters.

        `test.standins.platform` describes the switches.
        """
        url = self.process.url("/_control", port_name)
        return _common.fetch_json(url, switches or None)

    def put(self, kind, name, spec):
        """Writes an object, as an operator or an upstream would."""
        document = {"kind": kind, "name": name, "spec": spec}
        self.control(self.port_names[0], put=document)

    def put_raw(self, kind, name, text):
        """Writes an object of another writer, given the JSON of all of it."""
        document = {"kind": kind, "name": name, "text": text}
        self.control(self.port_names[0], put_raw=document)

    def delete(self, kind, name):
        """Deletes an object."""
        self.put(kind, name, None)

    def set_outage(self, outage, port_names):
        """Sets the kind of outage on some ports; an empty kind ends it."""
        for port_name in port_names:
            self.control(port_name, outage=outage)

    @property
    def calls(self):
        """Number of calls to the store so far, over all ports."""
        return sum(
            sum(self.control(port_name)["calls"].values())
            for port_name in self.port_names
        )


class System:
    """A store, upstreams and hosts, all running.

    Attributes:
        store: Stand-in of the store.
        upstreams: Stand-ins of upstreams, all of one service.
        hosts: Hosts, each with its own port of the store.
        proxy: Fault proxy between hosts and upstreams, or None. Its connections
            are named `HOST>UPSTREAM`.
    """

    def __init__(
        self,
        stack,
        hosts=3,
        upstreams=2,
        proxied=False,
        root=_common.ROOT,
    ):
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        process = stack.enter_context(
            _common.Process(
                pathlib.Path(directory),
                "store",
                "test.standins.platform",
                "--port-count",
                hosts,
            )
        )
        self.store = StoreStandIn(process.wait_ready(), hosts)
        self.store.put("config", "main", configuration())
        self.upstreams = [
            stack.enter_context(
                threaded_upstream.ThreadedUpstream(f"i-{i}", "work", "north-a")
            )
            for i in range(upstreams)
        ]
        self.proxy = None
        if proxied:
            self.proxy = stack.enter_context(
                _common.Process(
                    pathlib.Path(directory),
                    "proxy",
                    "test.standins.fault_proxy",
                )
            ).wait_ready()
        for upstream in self.upstreams:
            entry = upstream.entry()
            if self.proxy:
                ports = _common.fetch_json(
                    self.proxy.url("/_links"), {upstream.name: entry["address"]}
                )
                entry["address"] = f"127.0.0.1:{ports[upstream.name]}"
            self.store.put("servers", upstream.name, entry)
        zones = list(ZONES.items())
        self.hosts = [
            stack.enter_context(
                HostProcess(
                    f"h{i}",
                    f"{LOOPBACK_PREFIX}.{i + 1}.1",
                    *zones[i % 3],
                    process.address(port_name),
                    directory,
                    root,
                )
            )
            for i, port_name in enumerate(self.store.port_names)
        ]
        for host in self.hosts:
            _common.wait_until(host.ready, description=f"{host.name} ready")
        if self.proxy:
            _common.fetch_json(
                self.proxy.url("/_sources"),
                {str(host.process.pid): host.name for host in self.hosts},
            )
        self.wait_for_heartbeats()

    def set_faults(self, hosts, **faults):
        """Sets faults of the connections of hosts to all upstreams."""
        _common.fetch_json(
            self.proxy.url("/_rules"),
            [{"match": f"{host.name}>*", **faults} for host in hosts],
        )

    def cut_off(self, host):
        """Cuts a host off from all upstreams, so that it forwards requests."""
        self.set_faults([host], cut=True)
        _common.wait_until(
            lambda: (
                call(host.address, "/read/x").status == 200
                and host.log_lines("event=upstreams-unreachable")
            )
        )

    def wait_for_heartbeats(self):
        """Waits until each host knows the others.

        Up to three hosts hear each other, so it waits for a heartbeat of every
        peer. More hosts learn of each other from relays, so it waits until the
        look-ups of each host list all hosts of its region.
        """
        if len(self.hosts) > len(ZONES):
            for host in self.hosts:
                _common.wait_until(
                    lambda host=host: (
                        listed_addresses(host)
                        >= {
                            each.address
                            for each in self.hosts
                            if each.region == host.region
                        }
                    ),
                    description=f"{host.name} lists the hosts of its region",
                )
            return
        for host in self.hosts:
            _common.wait_until(
                lambda host=host: (
                    len(host.log_lines("event=peer-state"))
                    >= len(self.hosts) - 1
                ),
                description=f"{host.name} received the heartbeats of its peers",
            )

    def runs(self):
        """Returns the requests that any upstream began to process."""
        return [run for each in self.upstreams for run in each.runs]


def listed_addresses(host):
    """Returns the addresses that a look-up in a host's own zone lists."""
    answer = look_up(host, host.region, host.zone)
    return set(json.loads(answer.body)["addresses"]) if answer.body else set()


def look_up(host, region, zone):
    """Asks a host which hosts a caller in a zone should use."""
    query = urllib.parse.urlencode(
        {"name": HOST_HEADER, "region": region, "zone": zone}
    )
    return call(host.directory_address, f"/-/resolve?{query}")
