"""Anti-entropy: copies missing platform objects and facts from a peer.

A fact is a key with an integer value that all hosts replicate and merge. A host
pings a peer, compares the digests in its answer with its own, and fetches the
objects or the facts whose digest differs.
"""

from gooseberryweir.connection import messages
from gooseberryweir.connection import peer_link
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import membership as membership_module
from gooseberryweir.version import objects

FETCH_TIMEOUT_SECONDS = 1.5


def apply_objects(
    store: objects.ObjectStore, message: messages.StateObjects
) -> None:
    """Applies the objects of a message that are newer than the stored ones."""
    for name, version, content in message.objects:
        store.apply(name, version, content)


def ping(
    link: peer_link.PeerLink,
    membership: membership_module.Membership,
    timeout: float,
) -> messages.Pong:
    """Pings a peer and passes its answer to the membership.

    Args:
        link: Link to the peer.
        membership: Records the answer and the instant of the ping.
        timeout: Seconds to wait.

    Returns:
        The answer.

    Raises:
        peer_link.PeerError: There was no valid answer in time.
    """
    sent_at = membership.clock.monotonic()
    request = messages.Ping(membership.host, membership.incarnation)
    pong = link.call(request, timeout)
    if not isinstance(pong, messages.Pong) or pong.host != link.peer.host:
        raise peer_link.PeerError("invalid answer to a ping")
    membership.on_pong(sent_at, pong)
    return pong


def repair(
    link: peer_link.PeerLink,
    pong: messages.Pong,
    store: objects.ObjectStore,
    facts: facts_module.Facts,
    membership: membership_module.Membership,
) -> None:
    """Fetches the objects and the facts whose digest differs at a peer.

    Facts are also fetched if this process has fetched none since its start.

    Args:
        link: Link to the peer.
        pong: The peer's answer to a ping.
        store: Platform objects of this host.
        facts: Facts of this host.
        membership: Records the successful fetches.

    Raises:
        peer_link.PeerError: The peer gave no valid answer in time.
    """
    if pong.state_digest != store.digest:
        _fetch_state(link, store, membership)
    if (
        pong.facts_digest != facts.digest
        or not membership.own_incarnation.facts_fetched
    ):
        _fetch_facts(link, facts, membership)


def _fetch_state(
    link: peer_link.PeerLink,
    store: objects.ObjectStore,
    membership: membership_module.Membership,
) -> None:
    """Fetches and applies the platform objects that are newer at the peer."""
    requested_at = membership.clock.monotonic()
    request = messages.FetchState(store.versions())
    reply = link.call(request, FETCH_TIMEOUT_SECONDS)
    if not isinstance(reply, messages.StateObjects):
        raise peer_link.PeerError(
            "invalid answer to a fetch of platform objects"
        )
    apply_objects(store, reply)
    membership.on_state_fetched(link.peer.host, requested_at)


def _fetch_facts(
    link: peer_link.PeerLink,
    facts: facts_module.Facts,
    membership: membership_module.Membership,
) -> None:
    """Sends all facts of this host to the peer and merges its reply."""
    requested_at = membership.clock.monotonic()
    request = messages.FetchFacts(facts.snapshot())
    reply = link.call(request, FETCH_TIMEOUT_SECONDS)
    if not isinstance(reply, messages.Facts):
        raise peer_link.PeerError("invalid answer to a fetch of facts")
    facts.merge(reply.facts)
    membership.on_facts_fetched(link.peer.host, requested_at)
