"""Permits: a request that never completed runs one at a time.

The home of a fingerprint permits one run at once. For a fingerprint without a
crash the home is a host of the same region, which costs a millisecond; once
it has crashed an upstream it is one host of the whole fleet. A permit is given
back when the request was answered; after a crash it runs out instead, which
leaves the fact of the crash the time to reach every host. Without a home the
request runs: the count of crashes still bounds it.
"""

from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir import rendezvous
from gooseberryweir.connection import messages
from gooseberryweir.connection import peer_link
from gooseberryweir.process.membership import membership as membership_module
from gooseberryweir.process.membership import peering as peering_module
from gooseberryweir.version import tables as tables_module

# A permit that is not given back runs out after this time.
PERMIT_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 0.25
RETRY_INTERVAL_SECONDS = 0.02


class Permit(NamedTuple):
    """A run that is permitted.

    Attributes:
        host: Host that runs the request.
        expires_at: Monotonic instant at which the permit runs out.
    """

    host: str
    expires_at: float


class Permits:
    """Permits asked for by this host, and those that it gives as a home."""

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
        """Returns the host that permits runs of a fingerprint."""
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
        """Waits for a permit; False if none came within the timeout."""
        deadline = self.clock.monotonic() + timeout
        while not self.request(fingerprint, fleet_wide, release=False):
            if self.clock.monotonic() + RETRY_INTERVAL_SECONDS > deadline:
                return False
            self.clock.sleep(RETRY_INTERVAL_SECONDS)
        return True

    def release(self, fingerprint: str, fleet_wide: bool) -> None:
        """Gives a permit back."""
        self.request(fingerprint, fleet_wide, release=True)

    def request(
        self, fingerprint: str, fleet_wide: bool, release: bool
    ) -> bool:
        """Asks the home once; True if it permits, or there is no home."""
        home = self.home(fingerprint, fleet_wide)
        host = self.membership.host
        if home is None:
            return True
        message = messages.AskPermit(fingerprint, host, release)
        if home == host:
            return self.handle(message).permitted
        try:
            reply = self.peering.call(home, message, CALL_TIMEOUT_SECONDS)
        except peer_link.PeerError:
            return True
        return reply.permitted

    def handle(self, message: messages.AskPermit) -> messages.Permitted:
        """Answers as the home of a fingerprint."""
        now = self.clock.monotonic()
        permit = self.granted.get(message.name)
        free = permit is None or permit.expires_at <= now
        if message.release:
            if permit is not None and permit.host == message.host:
                del self.granted[message.name]
            return messages.Permitted(True)
        if free:
            self._drop_expired(now)
            expires_at = now + PERMIT_SECONDS
            self.granted[message.name] = Permit(message.host, expires_at)
        return messages.Permitted(free)

    def _drop_expired(self, now: float) -> None:
        """Drops permits that have run out, oldest first."""
        for fingerprint, permit in list(self.granted.items())[:2]:
            if permit.expires_at <= now:
                del self.granted[fingerprint]
