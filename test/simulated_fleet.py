"""Hosts of the `front` command in virtual time, with links of limited rate.

Each host has a real `Mesh`, `Reader` and cache of the store. Connections
between hosts are objects: bytes wait until the sender's and the receiver's link
have carried all bytes before them, as answers to callers would.
"""

import random

import eventlet

from gooseberryweir.process.fleet import heartbeat
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import local_state
from gooseberryweir.process.fleet import mesh
from gooseberryweir.process.fleet import reader
from gooseberryweir.process.fleet import store_cache
from gooseberryweir.version import store_version
from gooseberryweir.version import traffic

REGIONS = ("centro", "golfo", "norte")
ACCOUNTS = 20
SMALL_LINK_MBPS = 10.0
LARGE_LINK_MBPS = 200.0
# Encoded size of an upstream.
UPSTREAM_BYTES = 75
# Hosts of each region with a large link.
LARGE_HOSTS = 2
REGION_DELAY_SECONDS = 0.02
ZONE_DELAY_SECONDS = 0.0009
# Bytes that a connection takes before the sender has to wait.
WINDOW_BYTES = 64 * 1024
LENGTH_PREFIX_BYTES = 4
# Age of a confirmation from which on a host is not ready to serve callers.
KEY_REVOCATION_SECONDS = 5.0
# Latency of the store, which is in the first region.
STORE_SECONDS = 0.004
# Hosts start within this time of each other.
START_SECONDS = 0.3


class Link:
    """One direction of a host's network link.

    Attributes:
        bytes_per_second: Rate of the link.
        free_at: Time at which all bytes handed to it have been carried.
        carried: Bytes handed to it.
        longest_backlog: Longest time, in seconds, that a byte waited for it.
    """

    def __init__(self, mbps):
        self.bytes_per_second = mbps * 1e6 / 8
        self.free_at = 0.0
        self.carried = 0
        self.longest_backlog = 0.0

    def carry(self, size, now):
        """Returns the time at which these bytes have been carried."""
        self.longest_backlog = max(self.longest_backlog, self.free_at - now)
        self.free_at = max(now, self.free_at) + size / self.bytes_per_second
        self.carried += size
        return self.free_at


class Connection:
    """A connection from one host to another."""

    def __init__(self, sender, receiver):
        self.sender = sender
        self.receiver = receiver
        self.closed = False
        self.last_arrival = 0.0

    def close(self):
        self.closed = True

    def sendall(self, data):
        """Sends bytes; waits while over `WINDOW_BYTES` have not left."""
        clock = self.sender.clock
        now = clock.monotonic()
        if not self.receiver.running:
            raise ConnectionResetError
        if self.sender.fleet.are_apart(self.sender, self.receiver):
            clock.sleep(mesh.SEND_TIMEOUT_SECONDS)
            raise TimeoutError
        left_at = self.sender.outgoing.carry(len(data), now)
        delay = (
            ZONE_DELAY_SECONDS
            if self.sender.entry.region == self.receiver.entry.region
            else REGION_DELAY_SECONDS
        )
        arrived_at = self.receiver.incoming.carry(len(data), left_at + delay)
        self.last_arrival = max(self.last_arrival, arrived_at)
        eventlet.spawn_after(self.last_arrival - now, self._deliver, data)
        window_seconds = WINDOW_BYTES / self.sender.outgoing.bytes_per_second
        clock.sleep(max(0.0, left_at - now - window_seconds))

    def _deliver(self, data):
        if not self.closed and self.receiver.running:
            self.receiver.receive(self.sender.entry.name, data)


class Host:
    """One host.

    Attributes:
        running: True from its start until it is killed.
        reader: Reads the store, and polls it if no other host does.
        demand: Requests per second of each client account at this host.
        refresh_demand: Is called before heartbeats are sent.
        reached_at: Time at which each list of upstreams arrived, by revision.
        lost_links: Connections that failed.
    """

    def __init__(self, fleet, name, region, mbps, clock):
        self.fleet = fleet
        self.clock = clock
        self.incoming = Link(mbps)
        self.outgoing = Link(mbps)
        self.running = False
        self.demand = {}
        self.refresh_demand = lambda: None
        self.reached_at = {}
        settings = host_settings.HostSettings(
            host=name,
            incarnation="1",
            zone=f"{region}-a",
            region=region,
            region_by_zone={f"{each}-a": each for each in REGIONS},
            front_address=f"{name}:1",
            ready_address="",
            directory_address="",
            peer_address=f"{name}:2",
            metrics_address="",
            store_address="",
            first_start=True,
            bounds=host_settings.Bounds(),
            link_mbps=mbps,
        )
        self.cache = store_cache.StoreCache(_decode_configuration, clock)
        self.cache.listeners.append(self._on_change)
        state = local_state.LocalState(
            ready=lambda: (
                self.cache.complete()
                and self.cache.confirmed_age() < KEY_REVOCATION_SECONDS
            ),
            shutting_down=lambda: False,
            polling=lambda: self.reader.polling,
            store_seconds=lambda: self.reader.store_seconds,
            demand=lambda: self.demand,
            refresh_demand=lambda: self.refresh_demand(),
            crashes=dict,
            answered=tuple,
        )
        self.mesh = mesh.Mesh(settings, self.cache, state, clock)
        self.mesh._connect = self._connect
        self.reader = reader.Reader(
            lambda kind: fleet.store.read(self, kind),
            lambda: None,
            self.cache,
            clock,
        )
        self.reader.mesh = self.mesh
        self.entry = self.mesh.view.entry
        self.tasks = []

    def start(self):
        """Starts the tasks of the mesh that send heartbeats."""
        self.tasks.append(
            eventlet.spawn_after(
                self.fleet.rng.random() * START_SECONDS, self._run
            )
        )

    def _run(self):
        self.running = True
        self.cache.listeners.append(self.mesh._on_cache_change)
        self.reader.__enter__()
        self.mesh._heartbeat_forever()

    def kill(self):
        """Ends the host at once."""
        self.running = False
        self.reader.__exit__()
        for task in [*self.tasks, *self.mesh.senders.values()]:
            task.kill()

    def receive(self, sender, data):
        """Takes in frames of another host, as `Mesh._receive` does."""
        while data:
            (prefix,) = mesh._LENGTH_PREFIX.unpack_from(data)
            flags = mesh._MESSAGE_FLAG | mesh._CALL_FLAG
            end = LENGTH_PREFIX_BYTES + (prefix & ~flags)
            content, data = data[LENGTH_PREFIX_BYTES:end], data[end:]
            if prefix & flags:
                self.mesh._on_message(sender, content, prefix)
            else:
                self.on_heartbeat(heartbeat.decode(content))

    def on_heartbeat(self, received):
        """Takes in a heartbeat."""
        self.mesh._on_heartbeat(received)

    def _connect(self, peer):
        receiver = self.fleet.hosts[peer.entry.name]
        if not receiver.running or self.fleet.are_apart(self, receiver):
            self.clock.sleep(mesh.SEND_TIMEOUT_SECONDS)
            raise TimeoutError
        return Connection(self, receiver)

    def _on_change(self, kind):
        if kind == store_cache.UPSTREAMS:
            # Listeners are called after the snapshot is stored.
            self.reached_at[self.cache.version(kind).revision] = (
                self.clock.monotonic()
            )


def _decode_configuration(content):
    return traffic.Configuration(
        int(content), {}, {}, {}, {}, False, traffic.CallerLimits(1, 1, 1, 1)
    )


def use_earlier_build(host):
    """Makes a host behave like one of the build before digests.

    It sends plain heartbeats to all hosts, and can't decode longer ones.
    """
    view, build = host.mesh.view, host.mesh._build_heartbeat

    def build_heartbeat(peer):
        plain = build(peer)
        revisions = dict(plain.revisions)
        for key in (
            heartbeat.DIGEST_SUPPORT_KEY,
            heartbeat.ERA_KEY,
            heartbeat.NUMBER_KEY,
        ):
            revisions.pop(key)
        return plain._replace(
            relaying=None, revisions=revisions, demand=host.demand
        )

    def on_heartbeat(received):
        if received.relaying is not None:
            raise AssertionError("the heartbeat is not a plain one")
        host.mesh._on_heartbeat(received)

    view.contacts = lambda: dict.fromkeys(view.peers, False)
    host.mesh._build_heartbeat = build_heartbeat
    host.on_heartbeat = on_heartbeat


class Store:
    """The platform's store.

    Attributes:
        era: Era, which rises with each return from a copy.
        revision: Revision of the latest change.
        snapshots: Content of each kind with the version of its change.
        refused: Names of hosts whose calls fail.
        calls: Number of calls.
    """

    def __init__(self, clock):
        self.clock = clock
        self.era = store_version.FIRST_ERA
        self.revision = 0
        self.snapshots = {}
        self.refused = set()
        self.calls = 0

    @property
    def version(self):
        """Version of the latest change."""
        return store_version.StoreVersion(self.era, self.revision)

    def copy(self):
        """Returns a copy to which the store may return."""
        return self.revision, dict(self.snapshots)

    def return_from(self, copy):
        """Loses the changes since a copy and begins a new era."""
        self.era += 1
        self.revision, self.snapshots = copy[0], dict(copy[1])

    def write(self, kind, content):
        """Replaces the content of a kind; returns the new revision."""
        self.revision += 1
        self.snapshots[kind] = store_cache.Snapshot(self.version, content)
        return self.revision

    def read(self, host, kind):
        """Returns the content of a kind, as `Reader.read` does."""
        requested_at = self.clock.monotonic()
        self.calls += 1
        near = host.entry.region == REGIONS[0]
        self.clock.sleep(STORE_SECONDS + 2 * (not near) * REGION_DELAY_SECONDS)
        if host.entry.name in self.refused:
            raise reader.ReadError("refused")
        snapshot = self.snapshots[kind]
        version = self.version
        if kind == store_cache.CONFIGURATION:
            version = snapshot.version._replace(era=self.era)
        snapshot = snapshot._replace(version=version)
        return reader.ReadResult(snapshot, self.version, requested_at)


class Fleet:
    """Hosts in three regions.

    Attributes:
        hosts: Hosts by name.
        store: The platform's store.
        groups: Lists of names of hosts that reach only hosts of the same list;
            empty if all hosts reach each other.
    """

    def __init__(self, size, clock, seed=1):
        self.clock = clock
        self.rng = random.Random(seed)
        self.store = Store(clock)
        self.groups = []
        self.hosts = {}
        for index in range(size):
            region = REGIONS[index % len(REGIONS)]
            number = index // len(REGIONS)
            name = f"{region}-{number:02}"
            mbps = LARGE_LINK_MBPS if number < LARGE_HOSTS else SMALL_LINK_MBPS
            self.hosts[name] = Host(self, name, region, mbps, clock)
        entries = tuple(sorted(each.entry for each in self.hosts.values()))
        self.store.write(store_cache.CONFIGURATION, b"1")
        for kind, value in (
            (store_cache.UPSTREAMS, ()),
            (store_cache.EVACUATIONS, ()),
            (store_cache.HOSTS, entries),
        ):
            self.store.write(kind, store_cache.encode_content(value))
        for host in self.hosts.values():
            host.demand = {
                f"account-{number}": round(self.rng.random(), 1)
                for number in range(ACCOUNTS)
            }
            host.start()

    def change_upstreams(self, size):
        """Writes a new list of upstreams of about `size` bytes to the store."""
        return self.set_upstreams(
            *(
                f"i-{self.rng.getrandbits(40):010x}"
                for _ in range(size // UPSTREAM_BYTES)
            )
        )

    def set_upstreams(self, *names):
        """Writes a list of upstreams to the store; returns the revision."""
        upstreams = tuple(
            traffic.Upstream(
                name,
                "studio",
                "10.4.64.6:8349",
                "centro-a",
                9,
                False,
                0.0,
                1780000000000,
                self.store.revision + 1,
            )
            for name in names
        )
        content = store_cache.encode_content(upstreams)
        return self.store.write(store_cache.UPSTREAMS, content)

    def are_apart(self, first, second):
        """Returns True if two hosts can't reach each other."""
        return any(
            (first.entry.name in group) != (second.entry.name in group)
            for group in self.groups
        )

    def running(self):
        """Returns the hosts that have not been killed."""
        return [each for each in self.hosts.values() if each.running]

    def oldest_confirmation(self):
        """Returns the greatest age of a running host's configuration."""
        return max(each.cache.confirmed_age() for each in self.running())

    def reset_counts(self):
        """Forgets the bytes and backlogs counted so far."""
        for host in self.hosts.values():
            for link in (host.incoming, host.outgoing):
                link.carried = 0
                link.longest_backlog = 0.0
