"""Permits: hosts run equal requests one at a time until one has completed.

Requests are equal if they have the same fingerprint. Until one of them has
completed on a host, they may crash upstreams (see `suspects`), so the host
needs a permit to run one. The home of the fingerprint is the host that grants
the permits, one at a time. Until one of the requests has crashed an upstream,
the home is a host of the region of the asking host, so that asking takes only a
millisecond; after a crash it is one host of the whole fleet.

The permit is released when the request was answered. If the attempt failed or
a crash was recorded meanwhile, it expires instead, so that the fact (an entry
that all hosts replicate) that records a crash has time to reach every host. If
there is no home, or it does not answer, the request runs without a permit: it
is still refused once it has crashed `crash_limit` upstreams.
"""

from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir import rendezvous
from gooseberryweir.connection import messages
from gooseberryweir.connection import peer_link
from gooseberryweir.process.membership import membership as membership_module
from gooseberryweir.process.membership import peering as peering_module
from gooseberryweir.version import tables as tables_module

# A permit that is not released expires after this time.
PERMIT_SECONDS = 2.0
HOME_CALL_TIMEOUT_SECONDS = 0.25
RETRY_INTERVAL_SECONDS = 0.02


class Permit(NamedTuple):
    """A granted permit for one fingerprint.

    Attributes:
        host: Name of the host that runs the request.
        expires_at: Monotonic instant at which the permit expires.
    """

    host: str
    expires_at: float


class Permits:
    """Requests permits for this host; grants permits to all hosts as a home.

    Attributes:
        region: Region of this host.
        clock: Source of time.
        tables: Active configuration objects.
        membership: Membership of this host.
        peering: Links to the peers.
        granted: Permits granted by this host, by fingerprint.
    """

    def __init__(
        self,
        region: str,
        clock: clocks.Clock,
        tables: tables_module.Tables,
        membership: membership_module.Membership,
        peering: peering_module.Peering,
    ) -> None:
        self.region = region
        self.clock = clock
        self.tables = tables
        self.membership = membership
        self.peering = peering
        self.granted: dict[str, Permit] = {}
        peering.handlers[messages.AskPermit] = self.handle

    def home(self, fingerprint: str, fleet_wide: bool) -> str | None:
        """Returns the host that grants permits for a fingerprint, or None.

        Args:
            fingerprint: Fingerprint of the request.
            fleet_wide: True to choose among all hosts, False to choose among
                those of this host's region.
        """
        hosts = self.tables.hosts
        members = [
            member
            for member, _ in self.membership.view().members
            if fleet_wide
            or (member in hosts and hosts[member].region == self.region)
        ]
        return rendezvous.first(fingerprint, members)

    def acquire(
        self, fingerprint: str, fleet_wide: bool, timeout: float
    ) -> bool:
        """Waits for a permit; returns False if none is granted in time.

        Args:
            fingerprint: Fingerprint of the request.
            fleet_wide: True if the home may be any host of the fleet.
            timeout: Longest wait in seconds.
        """
        deadline = self.clock.monotonic() + timeout
        while not self.request(fingerprint, fleet_wide, release=False):
            if self.clock.monotonic() + RETRY_INTERVAL_SECONDS > deadline:
                return False
            self.clock.sleep(RETRY_INTERVAL_SECONDS)
        return True

    def release(self, fingerprint: str, fleet_wide: bool) -> None:
        """Releases the permit of this host at its home."""
        self.request(fingerprint, fleet_wide, release=True)

    def request(
        self, fingerprint: str, fleet_wide: bool, release: bool
    ) -> bool:
        """Sends one request for a permit, or for its release, to the home.

        Args:
            fingerprint: Fingerprint of the request.
            fleet_wide: True if the home may be any host of the fleet.
            release: True to release the permit, False to ask for one.

        Returns:
            True if the permit is granted, there is no home, or the home does
            not answer.
        """
        home = self.home(fingerprint, fleet_wide)
        host = self.membership.host
        if home is None:
            return True
        message = messages.AskPermit(fingerprint, host, release)
        if home == host:
            return self.handle(message).permitted
        try:
            reply = self.peering.call(home, message, HOME_CALL_TIMEOUT_SECONDS)
        except peer_link.PeerError:
            return True
        return reply.permitted

    def handle(self, message: messages.AskPermit) -> messages.Permitted:
        """Grants or releases a permit as the home of the fingerprint."""
        now = self.clock.monotonic()
        permit = self.granted.get(message.fingerprint)
        free = permit is None or permit.expires_at <= now
        if message.release:
            if permit is not None and permit.host == message.host:
                del self.granted[message.fingerprint]
            return messages.Permitted(True)
        if free:
            self._drop_expired(now)
            expires_at = now + PERMIT_SECONDS
            self.granted[message.fingerprint] = Permit(message.host, expires_at)
        return messages.Permitted(free)

    def _drop_expired(self, now: float) -> None:
        """Drops permits that have expired, at most the two oldest."""
        for fingerprint, permit in list(self.granted.items())[:2]:
            if permit.expires_at <= now:
                del self.granted[fingerprint]
