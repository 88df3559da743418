"""Registry of the links from this host to its peers."""

from collections.abc import Callable
from collections.abc import Collection
import logging

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir.connection import messages
from gooseberryweir.connection import peer_link

IDLE_LINK_SECONDS = 30.0

LOGGER = logging.getLogger(__name__)


class Links:
    """Links to peers; a context manager that closes them.

    Attributes:
        hello: Returns the `Hello` that this host sends on a new link.
        clock: Source of time.
        by_host: Newest link to each peer, open or closed.
        retired: Links that stay open only for the calls in progress.
        idle_since: Monotonic instant, in seconds, since which each link to a
            peer that is not a neighbour is idle, by name of the peer.
    """

    def __init__(
        self, hello: Callable[[], messages.Hello], clock: clocks.Clock
    ) -> None:
        self.hello = hello
        self.clock = clock
        self.by_host: dict[str, peer_link.PeerLink] = {}
        self.retired: set[peer_link.PeerLink] = set()
        self.idle_since: dict[str, float] = {}

    def __enter__(self) -> "Links":
        return self

    def __exit__(self, *_exc: object) -> None:
        for link in [*self.by_host.values(), *self.retired]:
            link.close()

    def find(self, host: str) -> peer_link.PeerLink | None:
        """Returns the open link to a peer, or None if there is none."""
        link = self.by_host.get(host)
        if link is None or link.closed or link.retired:
            return None
        return link

    def retire(self, link: peer_link.PeerLink) -> None:
        """Retires a link: no new calls use it, calls in progress continue."""
        link.retire()
        self.retired = {each for each in self.retired if not each.closed}
        if not link.closed:
            self.retired.add(link)

    def connect(
        self, host: str, address: str, timeout: float
    ) -> peer_link.PeerLink:
        """Returns the open link to a peer; dials one if there is none.

        A link to an earlier address of the peer is retired.

        Args:
            host: Name of the peer; empty if only the address is known.
            address: Address of the peer, `IP:PORT`.
            timeout: Seconds for dialling.

        Raises:
            peer_link.PeerError: The peer could not be reached, or another host
                answered.
        """
        self.idle_since.pop(host, None)
        link = self.find(host)
        if link is not None and link.address == address:
            return link
        if link is not None:
            self.retire(link)
        hello = self.hello()
        link = peer_link.PeerLink(address, hello, timeout)
        remote_host = link.peer.host
        if remote_host == hello.host or host not in ("", remote_host):
            link.close()
            self._log_misnamed(host, address, remote_host)
            raise peer_link.PeerError(
                f"{address} answered as {remote_host}, not {host}"
            )
        existing = self.find(remote_host)
        if existing is not None:
            link.close()
            return existing
        self.by_host[remote_host] = link
        return link

    def _log_misnamed(self, listed: str, address: str, answered: str) -> None:
        """Logs that a host gave another name than the listed one."""
        logs.event(
            LOGGER,
            "host-misnamed",
            logging.WARNING,
            address=address,
            listed=listed,
            answered=answered,
        )

    def close_idle(self, neighbours: Collection[str]) -> None:
        """Closes links to other peers once idle for `IDLE_LINK_SECONDS`.

        Args:
            neighbours: Names of the peers that this host pings; their links
                stay open.
        """
        now = self.clock.monotonic()
        for host, link in list(self.by_host.items()):
            if host in neighbours or link.pending:
                self.idle_since.pop(host, None)
            elif now - self.idle_since.setdefault(host, now) > (
                IDLE_LINK_SECONDS
            ):
                del self.idle_since[host]
                self.by_host.pop(host).close()
