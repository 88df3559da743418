"""What integration tests share: processes, deployments, requests, waits."""

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
START_SECONDS = 30.0
WAIT_SECONDS = 30.0
POLL_SECONDS = 0.02
LOG_TAIL_CHARACTERS = 4000
KEYS_SEED = 7
POOLS = urllib3.PoolManager(num_pools=200, maxsize=200, retries=False)


def wait_until(
    condition: Callable[[], Any], timeout: float = WAIT_SECONDS, what: str = ""
) -> Any:
    """Polls a condition and returns its first true value.

    Raises:
        AssertionError: It did not become true within the timeout, seconds.
    """
    ends_at = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > ends_at:
            raise AssertionError(
                f"not true in {timeout} s: {what or condition}"
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
    """Sends one request, never again, and returns urllib3's response.

    A body that is a dict or a list is sent as JSON; a generator is chunked.
    """
    headers = dict(headers or {})
    if key:
        headers["Authorization"] = f"Bearer {key}"
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    return POOLS.request(
        method, url, body=body, headers=headers, timeout=timeout, **options
    )


def fetch_json(url: str, body: Any = None) -> Any:
    """Gets a JSON document, or posts one and returns the answer."""
    method = "GET" if body is None else "POST"
    response = request(method, url, body=body)
    if response.status >= 300:
        raise AssertionError(f"{method} {url}: {response.status}")
    return response.json()


class Process:
    """A process of this project or of a stand-in; its output goes to a file.

    Attributes:
        name: Names the log file.
        ports: What its `ready` line said, such as {"port": 4711}.
        log: Path of its output.
    """

    def __init__(
        self, directory: pathlib.Path, name: str, module: str, *arguments: Any
    ) -> None:
        self.name = name
        self.ports: dict[str, int] = {}
        starts = len(list(directory.glob(f"{name}.*.log")))
        self.log = directory / f"{name}.{starts}.log"
        command = [sys.executable, "-m", module, *map(str, arguments)]
        with self.log.open("wb") as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def __enter__(self) -> "Process":
        return self

    def __exit__(self, *exception: Any) -> None:
        self.kill()

    @property
    def pid(self) -> int:
        """Returns the process's id."""
        return self.process.pid

    def text(self) -> str:
        """Returns all that it printed."""
        return self.log.read_text(encoding="utf-8", errors="replace")

    def wait_ready(self, timeout: float = START_SECONDS) -> "Process":
        """Waits for its `ready` line and keeps the ports."""
        words = wait_until(self.ready_words, timeout, f"{self.name} is ready")
        pairs = [word.split("=", 1) for word in words[1:]]
        self.ports = {key: int(value) for key, value in pairs}
        return self

    def ready_words(self) -> list[str]:
        """Returns the words of its `ready` line, or none yet."""
        for text in self.text().splitlines(keepends=True):
            if text.startswith("ready ") and text.endswith("\n"):
                return text.split()
        if self.process.poll() is not None:
            tail = self.text()[-LOG_TAIL_CHARACTERS:]
            raise AssertionError(f"{self.name} ended:\n{tail}")
        return []

    def address(self, port: str = "port") -> str:
        """Returns IP:PORT of one of its ports."""
        return f"127.0.0.1:{self.ports[port]}"

    def url(self, path: str = "", port: str = "port") -> str:
        """Returns a URL at one of its ports."""
        return f"http://{self.address(port)}{path}"

    def alive(self) -> bool:
        """Returns whether it has not ended."""
        return self.process.poll() is None

    def freeze(self) -> None:
        """Pauses it."""
        self.process.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Continues it after a pause."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks it to shut down; returns at once."""
        self.process.terminate()

    def wait(self, timeout: float = WAIT_SECONDS) -> int:
        """Waits for its end and returns the exit code."""
        return self.process.wait(timeout)

    def kill(self) -> None:
        """Ends it at once."""
        self.process.kill()
        self.process.wait()


class Deployment:
    """Platform, upstreams and hosts, as real processes on loopback.

    With `proxied`, every listed address and the platform's URL is a link of
    one fault proxy. Links are named `platform:REGION-platform`, `peer:HOST`,
    `caller:HOST`, `operator:HOST` and `upstream:NAME`, and names of hosts and
    upstreams begin with their region, so that a rule can match any pair.

    Attributes:
        hosts: Running and ended host processes by name.
        upstreams: The same for upstreams.
        keys: One key for each client account.
        leaving: Names of hosts and upstreams that the list calls leaving.
        unlisted: Names that the list leaves out.
    """

    def __init__(
        self,
        regions: _fleet.Regions,
        declarations: dict[str, Any],
        upstreams: list[_fleet.UpstreamSpec],
        *,
        hosts: int = 3,
        proxied: bool = False,
        seed: int = KEYS_SEED,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self.declarations = declarations
        self.proxied = proxied
        self.settings = settings or {}
        self.regions = regions
        self.host_specs = {
            spec.name: spec for spec in _fleet.place(regions, hosts)
        }
        self.upstream_specs = {spec.name: spec for spec in upstreams}
        source = random.Random(seed)
        self.operator_token = f"{source.getrandbits(256):064x}"
        self.keys = {
            account: f"{source.getrandbits(256):064x}"
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
        """Starts everything and waits until all listen."""
        self.platform = self.spawn("platform", "test.standins.platform")
        if self.proxied:
            self.proxy = self.spawn("proxy", "test.standins.fault_proxy")
            self.proxy.wait_ready()
        self.platform.wait_ready()
        link = f"platform:{next(iter(self.regions))}-platform"
        self.link(link, self.platform.address())
        self.platform_url = f"http://{self.addresses[link]}"
        self.seed_objects()
        for name in self.upstream_specs:
            self.start_upstream(name)
        for name in self.host_specs:
            self.start_host(name)
        for name in self.upstream_specs:
            self.upstream_ready(name)
        for name in self.host_specs:
            self.host_ready(name)
        self.write_lists()

    def spawn(self, name: str, module: str, *arguments: Any) -> Process:
        """Starts a process that ends with the deployment."""
        process = Process(self.directory, name, module, *arguments)
        return self.stack.enter_context(process)

    def link(self, name: str, target: str) -> None:
        """Sets the address that others use for a target."""
        self.addresses[name] = target
        if self.proxied:
            ports = fetch_json(self.proxy.url("/_links"), {name: target})
            self.addresses[name] = f"127.0.0.1:{ports[name]}"

    def start_upstream(self, name: str) -> None:
        """Starts an upstream, or starts it again."""
        spec = self.upstream_specs[name]
        self.upstreams[name] = self.spawn(
            name,
            "test.standins.upstream",
            *("--name", name, "--service", spec.service),
            *("--slots", spec.slots, "--connections", spec.connections),
            *spec.arguments,
        )

    def upstream_ready(self, name: str) -> None:
        """Waits until an upstream listens; then it can be listed."""
        process = self.upstreams[name].wait_ready()
        self.link(f"upstream:{name}", process.address())

    def start_host(self, name: str) -> None:
        """Starts a host, or starts it again; knows the peers linked so far."""
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

    def host_ready(self, name: str) -> None:
        """Waits until a host listens; then it can be listed."""
        process = self.hosts[name].wait_ready()
        for port in ("caller", "peer", "operator"):
            self.link(f"{port}:{name}", process.address(port))

    def control(self, **switches: Any) -> Any:
        """Sets switches of the platform and returns its counts."""
        return fetch_json(self.platform.url("/_control"), switches or None)

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object of the platform, past its faults."""
        self.control(put={"kind": kind, "name": name, "spec": spec})

    def seed_objects(self) -> None:
        """Writes declarations, drains and keys."""
        document = {"id": "seed", "declarations": self.declarations}
        self.put("steeringobjects", "config", document)
        self.put("steeringobjects", "drains", {"id": "seed", "drains": {}})
        for account, key in self.keys.items():
            digest = hashlib.sha256(key.encode()).hexdigest()
            spec = {"id": "seed", "digests": {digest: "issued"}}
            self.put("steeringobjects", f"keys.{account}", spec)

    def write_lists(self) -> None:
        """Writes the lists of hosts and upstreams as they are now."""
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
        for kind_name, entries in lists.items():
            listed = [
                {**entry, "leaving": entry["name"] in self.leaving}
                for entry in entries
                if entry["name"] not in self.unlisted
            ]
            self.put("endpointslices", kind_name, {"endpoints": listed})

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
        """Returns what ran at each upstream that lives."""
        return {
            name: fetch_json(process.url("/_control/runs"))
            for name, process in self.upstreams.items()
            if process.alive()
        }

    def rules(self, *matches: str, **fields: Any) -> None:
        """Sets a rule of the proxy; without fields, removes it."""
        rules = [{"match": match, **fields} for match in matches]
        fetch_json(self.proxy.url("/_rules"), rules)

    def around(self, name: str, **fields: Any) -> None:
        """Sets a rule on all that a host or upstream sends and gets."""
        self.rules(f"{name}>*", f"*>*:{name}", **fields)

    def between(self, one: str, other: str, **fields: Any) -> None:
        """Sets a rule between two hosts, or regions given as `REGION-*`."""
        self.rules(f"{one}>*:{other}", f"{other}>*:{one}", **fields)

    def delay(
        self, zones_ms: float, regions_ms: float, callers_ms: float
    ) -> None:
        """Sets the one-way latency, milliseconds, of each kind of path."""
        self.rules("*>*", delay_ms=zones_ms)
        self.rules(">caller:*", delay_ms=callers_ms)
        for one in self.regions:
            for other in self.regions:
                if one != other:
                    self.rules(f"{one}-*>*:{other}-*", delay_ms=regions_ms)
