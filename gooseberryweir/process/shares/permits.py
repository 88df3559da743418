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
CALL_SECONDS = 0.25
ASK_AGAIN_SECONDS = 0.02


class Permit(NamedTuple):
    """A run that is permitted.

    Attributes:
        host: Host that runs the request.
        ends_at: Monotonic instant at which the permit runs out.
    """

    host: str
    ends_at: float


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
        self.given: dict[str, Permit] = {}
        peering.handlers[messages.AskPermit] = self.handle

    def home(self, name: str, everywhere: bool) -> str | None:
        """Returns the host that permits runs of a fingerprint."""
        hosts = self.tables.hosts
        members = [
            member
            for member, _ in self.membership.view().members
            if everywhere
            or (member in hosts and hosts[member].region == self.region)
        ]
        return rendezvous.first(name, members)

    def wait(self, name: str, everywhere: bool, timeout: float) -> bool:
        """Waits for a permit; False if none came within the timeout."""
        deadline = self.clock.monotonic() + timeout
        while not self.ask(name, everywhere, release=False):
            if self.clock.monotonic() + ASK_AGAIN_SECONDS > deadline:
                return False
            self.clock.sleep(ASK_AGAIN_SECONDS)
        return True

    def release(self, name: str, everywhere: bool) -> None:
        """Gives a permit back."""
        self.ask(name, everywhere, release=True)

    def ask(self, name: str, everywhere: bool, release: bool) -> bool:
        """Asks the home once; True if it permits, or there is no home."""
        home = self.home(name, everywhere)
        host = self.membership.host
        if home is None:
            return True
        message = messages.AskPermit(name, host, release)
        if home == host:
            return self.handle(message).permitted
        try:
            reply = self.peering.call(home, message, CALL_SECONDS)
        except peer_link.PeerError:
            return True
        return reply.permitted

    def handle(self, message: messages.AskPermit) -> messages.Permitted:
        """Answers as the home of a fingerprint."""
        now = self.clock.monotonic()
        permit = self.given.get(message.fingerprint)
        free = permit is None or permit.ends_at <= now
        if message.release:
            if permit is not None and permit.host == message.host:
                del self.given[message.fingerprint]
            return messages.Permitted(True)
        if free:
            self._forget(now)
            ends_at = now + PERMIT_SECONDS
            self.given[message.fingerprint] = Permit(message.host, ends_at)
        return messages.Permitted(free)

    def _forget(self, now: float) -> None:
        """Drops permits that have run out, oldest first."""
        for name, permit in list(self.given.items())[:2]:
            if permit.ends_at <= now:
                del self.given[name]
