"""Look-up tables built from the platform's objects.

When an object changes, only the entries built from that object are rebuilt. A
malformed object is logged, and the entries built from its earlier version
remain active.
"""

from collections.abc import Callable
from collections.abc import Mapping
import logging
from typing import Any
from typing import Literal
from typing import NamedTuple
from typing import TypeVar

import pydantic
from returns import result

from gooseberryweir import logs
from gooseberryweir.version import declarations as declarations_module
from gooseberryweir.version import documents
from gooseberryweir.version import objects
from gooseberryweir.version import steering_table
from gooseberryweir.version import validation

LOGGER = logging.getLogger(__name__)

_HOSTS_ADAPTER = pydantic.TypeAdapter(documents.HostsDocument)
_UPSTREAMS_ADAPTER = pydantic.TypeAdapter(documents.UpstreamsDocument)
_KEYS_ADAPTER = pydantic.TypeAdapter(documents.KeysDocument)
_DRAINS_ADAPTER = pydantic.TypeAdapter(documents.DrainsDocument)
_SITES_ADAPTER = pydantic.TypeAdapter(documents.SitesDocument)
_BLOCKS_ADAPTER = pydantic.TypeAdapter(documents.BlocksDocument)


class HostEntry(NamedTuple):
    """A host, as listed by the platform.

    Attributes:
        name: Name of the host.
        region: Region that the host is in.
        zone: Availability zone that the host is in.
        caller: Address for callers, `IP:PORT`.
        peer: Address for other hosts, `IP:PORT`.
        operator: Address for operators, `IP:PORT`.
        leaving: True while the host is shutting down.
    """

    name: str
    region: str
    zone: str
    caller: str
    peer: str
    operator: str
    leaving: bool


class UpstreamEntry(NamedTuple):
    """An upstream, as listed by the platform.

    Attributes:
        name: Name of the upstream.
        service: Name of the service that it runs.
        region: Region that it is in.
        zone: Availability zone that it is in.
        address: Address for requests, `IP:PORT`.
        slots: Number of requests that it processes concurrently.
        connections: Number of connections that it accepts.
        leaving: True while it is shutting down.
    """

    name: str
    service: str
    region: str
    zone: str
    address: str
    slots: int
    connections: int
    leaving: bool


class KeyEntry(NamedTuple):
    """A caller's key, identified in `Tables.keys` by its digest.

    Attributes:
        account: Name of the client account that the key was issued to.
        withdrawn: True if the key is no longer valid.
    """

    account: str
    withdrawn: bool


Entry = TypeVar("Entry", HostEntry, UpstreamEntry)


class MalformedError(ValueError):
    """Raised if the content of an object is not valid for its kind."""


def _read_config(content: Any) -> declarations_module.Declarations:
    document = content.get("declarations") if isinstance(content, dict) else {}
    parsed = declarations_module.parse(document)
    if isinstance(parsed, result.Success):
        return parsed.unwrap()
    raise MalformedError("; ".join(str(each) for each in parsed.failure()))


def _unique_by_name(entries: list[Entry]) -> dict[str, Entry]:
    """Returns one entry for each name, preferring one that is not leaving."""
    by_name: dict[str, Entry] = {}
    for entry in entries:
        previous = by_name.get(entry.name)
        if previous is None or previous.leaving:
            by_name[entry.name] = entry
    return by_name


class _Written(NamedTuple):
    """An object in force that operators wrote.

    Attributes:
        version: Its version.
        content: Its content.
    """

    version: int
    content: dict[str, Any]


class Tables:
    """Look-up tables built from the newest well-formed version of each object.

    Attributes:
        store: Objects from which the tables are built.
        config_version: Version of the active declarations, or 0 without any.
        declarations: The active declarations, or None.
        latencies: One-way latency in milliseconds between linked regions.
        shift_targets: Regions to which a region may shift requests, by region.
        hosts: Hosts by name.
        upstreams: Upstreams by service.
        serving_regions: Regions with at least one upstream that is not leaving,
            by service.
        keys: Keys by SHA-256 digest in hexadecimal.
        drains: Drained regions and upstreams, which get no new requests, as
            `region/NAME` and `upstream/NAME`.
        block_shards: Shards of client address blocks, by the first octet of
            their addresses.
        sites: Sites by the number that blocks refer to.
        malformed: Version of each object whose newest version is malformed.
    """

    def __init__(self, store: objects.ObjectStore) -> None:
        self.store = store
        self.config_version = 0
        self.declarations: declarations_module.Declarations | None = None
        self.latencies: dict[tuple[str, str], float] = {}
        self.shift_targets: dict[str, set[str]] = {}
        self.hosts: dict[str, HostEntry] = {}
        self.upstreams: dict[str, tuple[UpstreamEntry, ...]] = {}
        self.serving_regions: dict[str, tuple[str, ...]] = {}
        self.keys: dict[str, KeyEntry] = {}
        self.drains: frozenset[str] = frozenset()
        self.block_shards: dict[int, steering_table.SteeringTable] = {}
        self.sites: dict[int, steering_table.Site] = {}
        self.malformed: dict[str, int] = {}
        self._written: dict[str, _Written] = {}
        self._keys_by_account: dict[str, dict[str, KeyEntry]] = {}
        for name in store.versions():
            self.rebuild(name)
        store.listeners.append(self.rebuild)

    def latency(self, origin: str, target: str) -> float:
        """Returns the one-way latency between two regions in milliseconds."""
        if origin == target:
            return 0.0
        return self.latencies.get(
            (origin, target), declarations_module.UNLINKED_LATENCY_MS
        )

    def rebuild(self, name: str) -> None:
        """Rebuilds the table entries that come from one object.

        Objects that no table is built from are ignored.

        Args:
            name: Full name of the object.
        """
        build = self._builder_for(name)
        if build is None:
            return
        version, content = self.store.version(name), self.store.get(name)
        if self._is_earlier(name, version, content):
            logs.event(
                LOGGER,
                "object-kept",
                logging.WARNING,
                object=name,
                version=version,
            )
            return
        try:
            build(content)
        except (ValueError, ArithmeticError, RecursionError) as error:
            self.malformed[name] = version
            logs.event(
                LOGGER,
                "object-malformed",
                logging.ERROR,
                object=name,
                version=version,
                reason=_describe_error(error),
            )
            return
        self.malformed.pop(name, None)
        if name in (objects.CONFIG, objects.DRAINS):
            self._written[name] = _Written(version, content or {})
        logs.event(LOGGER, "object-in-force", object=name, version=version)

    def _is_earlier(self, name: str, version: int, content: Any | None) -> bool:
        """Returns True if what is in force was written later.

        So it is if the platform's store has returned from an older copy, whose
        object lacks the last writes of operators; each write names those before
        it (see `idempotent_writes`).
        """
        written = self._written.get(name)
        if written is None or (
            objects.decode_version(version).era
            <= objects.decode_version(written.version).era
        ):
            return False
        if content is None:
            return True
        earlier = written.content.get("earlier")
        return (
            isinstance(content, dict)
            and isinstance(earlier, (list, tuple))
            and content.get("id") in earlier
        )

    def _builder_for(self, name: str) -> Callable[[Any], None] | None:
        """Returns the function that builds tables from an object, or None."""
        builders: Mapping[str, Callable[[Any], None]] = {
            objects.CONFIG: self._build_config,
            objects.DRAINS: self._build_drains,
            objects.HOSTS: self._build_hosts,
            objects.SITES: self._build_sites,
        }
        if name in builders:
            return builders[name]
        if name.startswith(objects.KEYS_PREFIX):
            account = name.removeprefix(objects.KEYS_PREFIX)
            return lambda content: self._build_keys(account, content)
        if name.startswith(objects.SERVICE_PREFIX):
            service = name.removeprefix(objects.SERVICE_PREFIX)
            return lambda content: self._build_upstreams(service, content)
        if name.startswith(objects.BLOCKS_PREFIX):
            shard = name.removeprefix(objects.BLOCKS_PREFIX)
            return lambda content: self._build_blocks(shard, content)
        return None

    def _build_config(self, content: Any | None) -> None:
        if content is None:
            raise MalformedError(
                "deleted; the earlier declaration stays active"
            )
        declarations = _read_config(content)
        self.declarations = declarations
        self.latencies = {
            pair: link.latency_ms
            for link in declarations.links
            for pair in (link.between, link.between[::-1])
        }
        self.shift_targets = {}
        for cap in declarations.shift_caps:
            self.shift_targets.setdefault(cap.origin, set()).add(cap.target)
        self.config_version = self.store.version(objects.CONFIG)

    def _build_drains(self, content: Any | None) -> None:
        if content is None:
            self.drains = frozenset()
            return
        drains = _DRAINS_ADAPTER.validate_python(content)["drains"]
        self.drains = frozenset(
            name for name, is_drained in drains.items() if is_drained
        )

    def _build_hosts(self, content: Any | None) -> None:
        if content is None:
            self.hosts = {}
            return
        endpoints = _HOSTS_ADAPTER.validate_python(content)["endpoints"]
        self.hosts = _unique_by_name([HostEntry(**item) for item in endpoints])

    def _build_upstreams(self, service: str, content: Any | None) -> None:
        if content is None:
            self.upstreams.pop(service, None)
            self.serving_regions.pop(service, None)
            return
        endpoints = _UPSTREAMS_ADAPTER.validate_python(content)["endpoints"]
        entries = [UpstreamEntry(service=service, **item) for item in endpoints]
        upstreams = tuple(_unique_by_name(entries).values())
        self.upstreams[service] = upstreams
        regions = {each.region for each in upstreams if not each.leaving}
        self.serving_regions[service] = tuple(sorted(regions))

    def _build_blocks(self, shard: str, content: Any | None) -> None:
        octet = steering_table.parse_shard_name(shard)
        if content is None:
            self.block_shards.pop(octet, None)
            return
        rows = _BLOCKS_ADAPTER.validate_python(content)["rows"]
        self.block_shards[octet] = steering_table.unpack(octet, rows)

    def _build_sites(self, content: Any | None) -> None:
        sites: Mapping[int, tuple[str, str]] = {}
        if content is not None:
            sites = _SITES_ADAPTER.validate_python(content)["sites"]
        self.sites = {
            number: steering_table.Site(*name_and_region)
            for number, name_and_region in sites.items()
        }

    def _build_keys(self, account: str, content: Any | None) -> None:
        digests: dict[str, Literal["issued", "withdrawn"]] = {}
        if content is not None:
            digests = _KEYS_ADAPTER.validate_python(content)["digests"]
        new = {
            digest: KeyEntry(account, state == "withdrawn")
            for digest, state in digests.items()
        }
        old = self._keys_by_account.get(account, {})
        self._keys_by_account[account] = new
        if not new:
            del self._keys_by_account[account]
        for digest, _ in old.items() ^ new.items():
            self._update_key(digest)

    def _update_key(self, digest: str) -> None:
        """Updates the entry of one key after an account's keys changed.

        A key that several client accounts list counts as withdrawn, so that
        none of them can use it.
        """
        entries_of_key = [
            keys[digest]
            for _, keys in sorted(self._keys_by_account.items())
            if digest in keys
        ]
        if not entries_of_key:
            self.keys.pop(digest, None)
        elif len(entries_of_key) == 1:
            self.keys[digest] = entries_of_key[0]
        else:
            self.keys[digest] = KeyEntry(entries_of_key[0].account, True)


def _describe_error(error: Exception) -> str:
    """Describes an error for the log, limited to 3 values or 500 characters.

    Values found in the object are left out, since they may be long.
    """
    if isinstance(error, pydantic.ValidationError):
        details_of_errors = error.errors(include_input=False, include_url=False)
        messages = [
            f"{validation.format_path(details['loc'])}: {details['msg']}"
            for details in details_of_errors[:3]
        ]
        return "; ".join(messages)
    return str(error)[:500]
