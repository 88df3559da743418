"""Starts processes and deployments, sends requests and waits for conditions."""

from collections.abc import Callable
import contextlib
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

import urllib3
import yaml

from test import _fleet

ROOT = pathlib.Path(__file__).parent.parent
START_TIMEOUT_SECONDS = 30.0
WAIT_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.02
LOG_TAIL_CHARACTERS = 4000
DEFAULT_KEY_SEED = 7
CONNECTION_POOLS = urllib3.PoolManager(
    num_pools=200, maxsize=200, retries=False
)


def wait_until(
    condition: Callable[[], Any],
    timeout: float = WAIT_TIMEOUT_SECONDS,
    description: str = "",
) -> Any:
    """Polls a condition and returns its first true value.

    Args:
        condition: Called until it returns a true value.
        timeout: Longest wait, seconds.
        description: The condition in words, for the error.

    Raises:
        AssertionError: The condition did not become true within the timeout.
    """
    deadline = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(
                f"not true in {timeout} s: {description or condition}"
            )
        time.sleep(POLL_SECONDS)


def request(
    method: str,
    url: str,
    *,
    body: Any = None,
    headers: dict[str, str] | None = None,
    key: str = "",
    timeout: float = 10.0,
    **options: Any,
) -> Any:
    """Sends one request, without retries, and returns urllib3's response.

    A dict or a list as the body is sent as JSON, a generator in chunks. The
    timeout is in seconds.
    """
    headers = dict(headers or {})
    if key:
        headers["Authorization"] = f"Bearer {key}"
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    return CONNECTION_POOLS.request(
        method, url, body=body, headers=headers, timeout=timeout, **options
    )


def fetch_json(url: str, body: Any = None) -> Any:
    """Returns the JSON answer to a GET, or to a POST if there is a body."""
    method = "GET" if body is None else "POST"
    response = request(method, url, body=body)
    if response.status >= 300:
        raise AssertionError(f"{method} {url}: {response.status}")
    return response.json()


class Process:
    """A process of this project or of a stand-in; its output goes to a file.

    A stand-in replaces an external system, such as an upstream, in tests.

    Attributes:
        name: Name of the process and prefix of its log file.
        ports: Ports by name, from its `ready` line, such as {"port": 4711};
            empty before `wait_ready`.
        log: Path of the log file.
        process: The running subprocess.
    """

    def __init__(
        self, directory: pathlib.Path, name: str, module: str, *arguments: Any
    ) -> None:
        self.name = name
        self.ports: dict[str, int] = {}
        log_count = len(list(directory.glob(f"{name}.*.log")))
        self.log = directory / f"{name}.{log_count}.log"
        command = [sys.executable, "-m", module, *map(str, arguments)]
        with self.log.open("wb") as log_file:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def __enter__(self) -> "Process":
        return self

    def __exit__(self, *exception: Any) -> None:
        self.kill()

    @property
    def pid(self) -> int:
        """Process id."""
        return self.process.pid

    def output(self) -> str:
        """Returns everything that the process has printed."""
        return self.log.read_text(encoding="utf-8", errors="replace")

    def wait_ready(self, timeout: float = START_TIMEOUT_SECONDS) -> "Process":
        """Waits for the `ready` line, within a timeout in seconds.

        Stores the ports that it names.
        """
        words = wait_until(self.ready_words, timeout, f"{self.name} is ready")
        pairs = [word.split("=", 1) for word in words[1:]]
        self.ports = {key: int(value) for key, value in pairs}
        return self

    def ready_words(self) -> list[str]:
        """Returns the words of the `ready` line; empty if not yet printed.

        Raises:
            AssertionError: The process ended without a `ready` line.
        """
        for line in self.output().splitlines(keepends=True):
            if line.startswith("ready ") and line.endswith("\n"):
                return line.split()
        if self.process.poll() is not None:
            tail = self.output()[-LOG_TAIL_CHARACTERS:]
            raise AssertionError(
                f"{self.name} ended before its ready line:\n{tail}"
            )
        return []

    def address(self, port: str = "port") -> str:
        """Returns the address IP:PORT of a port given by name."""
        return f"127.0.0.1:{self.ports[port]}"

    def url(self, path: str = "", port: str = "port") -> str:
        """Returns the URL of a path at a port given by name."""
        return f"http://{self.address(port)}{path}"

    def alive(self) -> bool:
        """Returns True if the process has not ended."""
        return self.process.poll() is None

    def freeze(self) -> None:
        """Pauses the process (SIGSTOP)."""
        self.process.send_signal(signal.SIGSTOP)

    def unfreeze(self) -> None:
        """Continues the process after `freeze` (SIGCONT)."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Sends SIGTERM; does not wait until the process has ended."""
        self.process.terminate()

    def wait(self, timeout: float = WAIT_TIMEOUT_SECONDS) -> int:
        """Waits until the process has ended and returns its exit code.

        Args:
            timeout: Longest wait, seconds.
        """
        return self.process.wait(timeout)

    def kill(self) -> None:
        """Kills the process (SIGKILL) and waits for its end."""
        self.process.kill()
        self.process.wait()


class Deployment:
    """Runs hosts, and stand-ins of the platform and the upstreams, on loopback.

    The platform is the store from which hosts read the declarations, the keys
    and the lists of hosts and upstreams.

    With `proxied`, every listed address and the platform's URL is that of a
    link: a port of one fault proxy that forwards connections to the process.
    Links are named `platform:REGION-platform`, `peer:HOST`,
    `caller:HOST`, `operator:HOST` and `upstream:NAME`, and names of hosts and
    upstreams begin with their region, so that a proxy rule can match the
    connections between any two processes or regions.

    Attributes:
        declarations: Document that declares the regions, services, routes and
            client accounts.
        proxied: True if connections pass through the fault proxy.
        settings: Additional settings of every host, which override generated
            ones.
        regions: Zones of each region.
        host_specs: Specifications of hosts by name.
        upstream_specs: Specifications of upstreams by name.
        operator_token: Token that hosts accept from operators.
        keys: One API key for each client account.
        hosts: Running and ended host processes by name.
        upstreams: Running and ended upstream processes by name.
        leaving: Names of hosts and upstreams that are listed as leaving: they
            will stop and must get no new requests.
        unlisted: Names of hosts and upstreams omitted from the lists.
        addresses: Address IP:PORT of each link at the fault proxy, by name of
            the link; without a proxy, the address of the process itself.
        stack: Ends the processes and removes the directory on exit.
        directory: Directory of logs and settings files.
        platform: Process of the platform's stand-in.
        proxy: Process of the fault proxy, if `proxied`.
        platform_url: URL at which hosts reach the platform.
    """

    def __init__(
        self,
        regions: _fleet.Regions,
        declarations: dict[str, Any],
        upstreams: list[_fleet.UpstreamSpec],
        *,
        hosts: int = 3,
        proxied: bool = False,
        seed: int = DEFAULT_KEY_SEED,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self.declarations = declarations
        self.proxied = proxied
        self.settings = settings or {}
        self.regions = regions
        self.host_specs = {
            spec.name: spec for spec in _fleet.place_hosts(regions, hosts)
        }
        self.upstream_specs = {spec.name: spec for spec in upstreams}
        rng = random.Random(seed)
        self.operator_token = f"{rng.getrandbits(256):064x}"
        self.keys = {
            account: f"{rng.getrandbits(256):064x}"
            for account in declarations["accounts"]
        }
        self.hosts: dict[str, Process] = {}
        self.upstreams: dict[str, Process] = {}
        self.leaving: set[str] = set()
        self.unlisted: set[str] = set()
        self.addresses: dict[str, str] = {}
        self.stack = contextlib.ExitStack()

    def __enter__(self) -> "Deployment":
        with contextlib.ExitStack() as stack:
            self.stack = stack
            self.directory = pathlib.Path(tempfile.mkdtemp(prefix="weir-"))
            if not os.environ.get("KEEP_TEST_LOGS"):
                stack.callback(shutil.rmtree, self.directory, True)
            self.start()
            self.stack = stack.pop_all()
        return self

    def __exit__(self, *exception: Any) -> None:
        self.stack.close()

    def start(self) -> None:
        """Starts all processes and writes the host and upstream lists.

        The lists are written to the platform once all processes listen.
        """
        self.platform = self.spawn("platform", "test.standins.platform")
        if self.proxied:
            self.proxy = self.spawn("proxy", "test.standins.fault_proxy")
            self.proxy.wait_ready()
        self.platform.wait_ready()
        link = f"platform:{next(iter(self.regions))}-platform"
        self.register_address(link, self.platform.address())
        self.platform_url = f"http://{self.addresses[link]}"
        self.seed_objects()
        for name in self.upstream_specs:
            self.start_upstream(name)
        for name in self.host_specs:
            self.start_host(name)
        for name in self.upstream_specs:
            self.wait_upstream_ready(name)
        for name in self.host_specs:
            self.wait_host_ready(name)
        self.write_lists()

    def spawn(self, name: str, module: str, *arguments: Any) -> Process:
        """Starts a process that is killed when the deployment ends."""
        process = Process(self.directory, name, module, *arguments)
        return self.stack.enter_context(process)

    def register_address(self, name: str, target: str) -> None:
        """Registers an address of a process, also with the fault proxy if used.

        The proxy opens a port for the link, or changes the target of its port.

        Args:
            name: Name of the link, such as `peer:HOST`.
            target: Address IP:PORT of the process.
        """
        self.addresses[name] = target
        if self.proxied:
            ports = fetch_json(self.proxy.url("/_links"), {name: target})
            self.addresses[name] = f"127.0.0.1:{ports[name]}"

    def start_upstream(self, name: str) -> None:
        """Starts or restarts an upstream."""
        spec = self.upstream_specs[name]
        self.upstreams[name] = self.spawn(
            name,
            "test.standins.upstream",
            *("--name", name, "--service", spec.service),
            *("--slots", spec.slots, "--connections", spec.connections),
            *spec.arguments,
        )

    def wait_upstream_ready(self, name: str) -> None:
        """Waits until an upstream listens, then registers its address."""
        process = self.upstreams[name].wait_ready()
        self.register_address(f"upstream:{name}", process.address())

    def start_host(self, name: str) -> None:
        """Starts or restarts a host.

        Its settings list the peers whose addresses are registered so far.
        """
        spec = self.host_specs[name]
        digest = hashlib.sha256(self.operator_token.encode()).hexdigest()
        peers = [
            address
            for link, address in self.addresses.items()
            if link.startswith("peer:") and link != f"peer:{name}"
        ]
        settings = {
            "host": name,
            "region": spec.region,
            "zone": spec.zone,
            "caller": "127.0.0.1:0",
            "peer": "127.0.0.1:0",
            "operator": "127.0.0.1:0",
            "platform": self.platform_url,
            "peers": peers,
            "operator_token_digest": digest,
            **self.settings,
        }
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        arguments = ("serve", "--settings", path)
        self.hosts[name] = self.spawn(name, "gooseberryweir", *arguments)
        if self.proxied:
            source = {str(self.hosts[name].pid): name}
            fetch_json(self.proxy.url("/_sources"), source)

    def wait_host_ready(self, name: str) -> None:
        """Waits until a host listens, then registers its addresses."""
        process = self.hosts[name].wait_ready()
        for port in ("caller", "peer", "operator"):
            self.register_address(f"{port}:{name}", process.address(port))

    def control(self, **switches: Any) -> Any:
        """Sets faults of the platform's stand-in, or runs its actions.

        `test.standins.platform` lists them. Returns its counts.
        """
        return fetch_json(self.platform.url("/_control"), switches or None)

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object to the platform; faults do not affect the write."""
        self.control(put={"kind": kind, "name": name, "spec": spec})

    def seed_objects(self) -> None:
        """Writes the declarations, the drains and the keys to the platform."""
        document = {"id": "seed", "declarations": self.declarations}
        self.put("steeringobjects", "config", document)
        self.put("steeringobjects", "drains", {"id": "seed", "drains": {}})
        for account, key in self.keys.items():
            digest = hashlib.sha256(key.encode()).hexdigest()
            spec = {"id": "seed", "digests": {digest: "issued"}}
            self.put("steeringobjects", f"keys.{account}", spec)

    def write_lists(self) -> None:
        """Writes the current lists of hosts and upstreams to the platform."""
        lists: dict[str, list[dict[str, Any]]] = {"hosts": []}
        for name, host in self.host_specs.items():
            entry: dict[str, Any] = host._asdict()
            for port in ("caller", "peer", "operator"):
                entry[port] = self.addresses[f"{port}:{name}"]
            lists["hosts"].append(entry)
        for name, spec in self.upstream_specs.items():
            entry = spec._asdict()
            del entry["service"], entry["arguments"]
            entry["address"] = self.addresses[f"upstream:{name}"]
            lists.setdefault(f"service.{spec.service}", []).append(entry)
        for list_name, entries in lists.items():
            listed = [
                {**entry, "leaving": entry["name"] in self.leaving}
                for entry in entries
                if entry["name"] not in self.unlisted
            ]
            self.put("endpointslices", list_name, {"endpoints": listed})

    def call(
        self,
        host: str,
        method: str,
        path: str,
        account: str = "",
        **options: Any,
    ) -> Any:
        """Sends a request to a host with the key of a client account."""
        key = self.keys.get(account, "")
        url = f"http://{self.addresses[f'caller:{host}']}{path}"
        return request(method, url, key=key, **options)

    def reports(self) -> dict[str, Any]:
        """Returns what each live upstream reports about the requests it ran.

        The keys are the names of the upstreams.
        """
        return {
            name: fetch_json(process.url("/_control/runs"))
            for name, process in self.upstreams.items()
            if process.alive()
        }

    def set_rules(self, *matches: str, **fields: Any) -> None:
        """Sets a proxy rule for each pattern; without fields, removes it.

        A pattern selects connections by their names `SOURCE>LINK`.
        """
        rules = [{"match": match, **fields} for match in matches]
        fetch_json(self.proxy.url("/_rules"), rules)

    def set_process_rules(self, name: str, **fields: Any) -> None:
        """Sets a proxy rule for all connections from and to a process.

        Args:
            name: Name of the host or upstream.
            fields: Fields of the rule; without any, the rule is removed.
        """
        self.set_rules(f"{name}>*", f"*>*:{name}", **fields)

    def set_rules_between(self, one: str, other: str, **fields: Any) -> None:
        """Sets a proxy rule between two hosts, or two sets of hosts.

        Args:
            one: Name of a host, or a pattern such as `REGION-*`.
            other: Name or pattern of the other side.
            fields: Fields of the rule; without any, the rule is removed.
        """
        self.set_rules(f"{one}>*:{other}", f"{other}>*:{one}", **fields)

    def set_latencies(
        self,
        within_regions_ms: float,
        between_regions_ms: float,
        clients_ms: float,
    ) -> None:
        """Sets one-way latencies of all connections.

        Args:
            within_regions_ms: Latency within each region, milliseconds.
            between_regions_ms: Latency between regions, milliseconds.
            clients_ms: Latency between clients and hosts, milliseconds.
        """
        self.set_rules("*>*", delay_ms=within_regions_ms)
        self.set_rules(">caller:*", delay_ms=clients_ms)
        for one in self.regions:
            for other in self.regions:
                if one != other:
                    self.set_rules(
                        f"{one}-*>*:{other}-*", delay_ms=between_regions_ms
                    )
