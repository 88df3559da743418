"""Hosts of the `front` command in virtual time, with links of limited rate.

Each host has a real `Mesh` and a real cache of the store. Connections between
hosts are objects: bytes wait until the sender's and the receiver's link have
carried all bytes before them, as answers to callers would.
"""

import random

import eventlet
import msgspec

from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import mesh
from gooseberryweir.process.fleet import store_cache
from gooseberryweir.version import traffic

REGIONS = ("centro", "golfo", "norte")
ACCOUNTS = 20
SMALL_LINK_MBPS = 10.0
LARGE_LINK_MBPS = 200.0
# Hosts of each region with a large link.
LARGE_HOSTS = 2
REGION_DELAY_SECONDS = 0.02
ZONE_DELAY_SECONDS = 0.0009
# Bytes that a connection takes before the sender has to wait.
WINDOW_BYTES = 64 * 1024
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
            self.receiver.receive(data)


class Host:
    """One host.

    Attributes:
        running: False once the host has been killed.
        polling: True if it polls the store for the others.
        demand: Requests per second of each client account at this host.
        reached_at: Time at which each list of upstreams arrived, by revision.
        lost_links: Connections that failed.
    """

    def __init__(self, fleet, name, region, mbps, clock):
        self.fleet = fleet
        self.clock = clock
        self.incoming = Link(mbps)
        self.outgoing = Link(mbps)
        self.running = True
        self.polling = False
        self.demand = {}
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
        )
        if "link_mbps" in host_settings.HostSettings._fields:
            settings = settings._replace(link_mbps=mbps)
        self.cache = store_cache.StoreCache(_decode_configuration, clock)
        self.cache.listeners.append(self._on_change)
        state = mesh.LocalState(
            ready=lambda: True,
            shutting_down=lambda: False,
            polling=lambda: self.polling,
            store_seconds=lambda: 0.005,
            demand=lambda: self.demand,
            refresh_demand=lambda: None,
            crashes=dict,
            answered=tuple,
        )
        self.mesh = mesh.Mesh(settings, self.cache, state, clock)
        self.mesh._connect = self._connect
        self.entry = self.mesh.entry
        self.tasks = []

    def start(self):
        """Starts the tasks of the mesh that send heartbeats."""
        self.cache.listeners.append(self.mesh._on_cache_change)
        self.tasks.append(
            eventlet.spawn_after(
                self.fleet.rng.random() * START_SECONDS,
                self.mesh._heartbeat_forever,
            )
        )

    def kill(self):
        """Ends the host at once."""
        self.running = False
        for task in [*self.tasks, *self.mesh.senders.values()]:
            task.kill()

    def receive(self, data):
        """Takes in one heartbeat with its length prefix."""
        self.mesh._on_heartbeat(
            msgspec.msgpack.decode(data[4:], type=mesh.Heartbeat)
        )

    def accept(self, kind, revision, content):
        """Takes in a snapshot from the store."""
        self.cache.accept(kind, revision, content, "store")

    def _connect(self, peer):
        receiver = self.fleet.hosts[peer.entry.name]
        if not receiver.running:
            self.clock.sleep(mesh.SEND_TIMEOUT_SECONDS)
            raise ConnectionRefusedError
        return Connection(self, receiver)

    def _on_change(self, kind):
        if kind == store_cache.UPSTREAMS:
            # Listeners are called after the snapshot is stored.
            self.reached_at[self.cache.revision(kind)] = self.clock.monotonic()


def _decode_configuration(content):
    return traffic.Configuration(
        int(content), {}, {}, {}, {}, False, traffic.CallerLimits(1, 1, 1, 1)
    )


class Fleet:
    """Hosts in three regions; the first one polls the store.

    Attributes:
        hosts: Hosts by name.
        poller: Host that polls the store.
    """

    def __init__(self, size, clock, seed=1):
        self.clock = clock
        self.rng = random.Random(seed)
        self.hosts = {}
        for index in range(size):
            region = REGIONS[index % len(REGIONS)]
            number = index // len(REGIONS)
            name = f"{region}-{number:02}"
            mbps = LARGE_LINK_MBPS if number < LARGE_HOSTS else SMALL_LINK_MBPS
            self.hosts[name] = Host(self, name, region, mbps, clock)
        self.poller = self.hosts["centro-00"]
        self.poller.polling = True
        self.revision = 1
        entries = tuple(sorted(each.entry for each in self.hosts.values()))
        content = store_cache.encode_content(entries)
        for host in self.hosts.values():
            host.demand = {
                f"account-{number}": round(self.rng.random(), 1)
                for number in range(ACCOUNTS)
            }
            host.start()
            host.accept(store_cache.CONFIGURATION, 1, b"1")
            host.accept(store_cache.HOSTS, 1, content)

    def run(self, seconds, poll_interval=0.5):
        """Lets time pass; the poller confirms the configuration."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end - 1e-6:
            if self.poller.running:
                self.poller.cache.confirm(1, self.clock.monotonic())
                self.poller.mesh.send_now()
            self.clock.sleep(min(poll_interval, end - self.clock.monotonic()))

    def change_upstreams(self, size):
        """Gives the poller a new list of upstreams of `size` random bytes."""
        self.revision += 1
        upstreams = tuple(
            traffic.Upstream(
                f"i-{self.rng.getrandbits(40):010x}",
                "studio",
                "10.4.64.6:8349",
                "centro-a",
                9,
                False,
                0.0,
                1780000000000,
                self.revision,
            )
            for _ in range(size // 75)
        )
        self.poller.accept(
            store_cache.UPSTREAMS,
            self.revision,
            store_cache.encode_content(upstreams),
        )
        self.poller.mesh.send_now()
        return self.revision

    def running(self):
        """Returns the hosts that have not been killed."""
        return [each for each in self.hosts.values() if each.running]

    def reset_counts(self):
        """Forgets the bytes and backlogs counted so far."""
        for host in self.hosts.values():
            for link in (host.incoming, host.outgoing):
                link.carried = 0
                link.longest_backlog = 0.0
