"""Messages between hosts and their encoding.

A message is a NamedTuple, sent as a msgpack array of its type number, a
correlation ID (0 if no reply is expected) and its fields. Keys of callers are
never sent, only their SHA-256 digests.

A view is a set of live hosts, identified by a digest. In each view, a limit
that hosts share has one home: the host that owns the limit and grants shares of
it. A fact is a key with an integer that only grows; all hosts exchange their
facts (see `process.membership.facts`).
"""

from typing import Any
from typing import NamedTuple

import msgpack

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 32 * 1024 * 1024


class Hello(NamedTuple):
    """First message on a link in both directions; identifies the sender.

    Attributes:
        protocol: Version of the protocol, `PROTOCOL_VERSION`.
        host: Name of the sending host.
        incarnation: Incarnation of the sending host: its start time in
            milliseconds since the epoch, or a higher number if it was renewed,
            such as after the running host was declared dead.
    """

    protocol: int
    host: str
    incarnation: int


class Ping(NamedTuple):
    """Heartbeat to a peer, which replies with `Pong`.

    Attributes:
        host: Name of the sending host.
        incarnation: Incarnation of the sending host.
    """

    host: str
    incarnation: int


class HeldView(NamedTuple):
    """A view that a host has used; `decode` leaves it as a plain tuple.

    Attributes:
        digest: Digest of the view.
        age: Seconds since the host adopted the view.
        removed: Name and incarnation of each member of the previous view that
            is not in this one, with the seconds since the last heartbeat that
            was received from that host before its removal.
    """

    digest: int
    age: float
    removed: tuple[tuple[str, int, float], ...]


class Pong(NamedTuple):
    """Reply to `Ping`: the state of the replying host.

    Attributes:
        host: Name of the replying host.
        incarnation: Incarnation of the replying host.
        platform_age: Seconds since the platform last confirmed that the host's
            objects are current, to the host or to a peer whose confirmation it
            uses; counted from when the request to the platform was sent. A
            large number if there is no confirmation.
        state_digest: Digest of the host's platform objects and versions.
        facts_digest: Digest of the host's facts.
        views: The latest views of the host, newest first, without gaps.
        suspects: Names of hosts from which no heartbeat was received for
            `SILENCE_SECONDS` (see `process.shares.timing`).
        load: Number of the host's requests in flight.
        quorum_age: Seconds since a majority of the voting hosts had the same
            objects and facts, which lets hosts serve requests while the
            platform is unavailable; counted from the oldest of the replies
            that show it. A large number if there is no such majority or a peer
            reports a recent platform confirmation. It does not confirm that
            the host's objects are current.
        recovered: True if the host was fresh (confirmed recently enough to
            serve requests) at least once since its process started.
    """

    host: str
    incarnation: int
    platform_age: float
    state_digest: int
    facts_digest: int
    views: tuple[HeldView, ...]
    suspects: tuple[str, ...]
    load: int
    quorum_age: float
    recovered: bool


class FetchState(NamedTuple):
    """Requests the platform objects of which the peer has a newer version.

    Attributes:
        versions: Version of each of the sender's objects, by full name
            (`KIND/NAME`).
    """

    versions: dict[str, int]


class StateObjects(NamedTuple):
    """Platform objects, as a reply to `FetchState` or pushed when changed.

    Attributes:
        objects: Tuples of full name, version and content; the content of a
            deleted object is None.
    """

    objects: tuple[tuple[str, int, Any], ...]


class FetchFacts(NamedTuple):
    """Sends all facts of this host and requests all facts of the peer.

    Attributes:
        facts: Value of each fact, by its key.
    """

    facts: dict[str, int]


class Facts(NamedTuple):
    """Facts, as a reply to `FetchFacts` or pushed when new.

    Attributes:
        facts: Value of each fact, by its key.
    """

    facts: dict[str, int]


class Draw(NamedTuple):
    """Share request: asks the home of a token bucket for tokens.

    Attributes:
        bucket: Name of the bucket, such as `account/valle`.
        host: Name of the requesting host.
        incarnation: Incarnation of the requesting host.
        view: Digest of the view in which the receiver is the home.
        requested: Number of tokens requested.
        spent: Total tokens spent of each earlier grant, by the sequence number
            of its request. Since they are totals, a repeated report is
            harmless.
        sequence: Sequence number, one higher for each new request.
    """

    bucket: str
    host: str
    incarnation: int
    view: int
    requested: int
    spent: dict[int, int]
    sequence: int


class Grant(NamedTuple):
    """Reply to `Draw`: the tokens granted.

    Attributes:
        granted: Number of tokens granted; may be 0.
        lifetime: Seconds for which the tokens are valid; the requesting host
            counts them from just before it sent the request.
        retry_after: Seconds until a token is expected, if none is granted.
        is_home: False if the replying host is not the home, or is not ready to
            grant.
        demand: Tokens per second that all hosts together requested lately.
    """

    granted: int
    lifetime: float
    retry_after: float
    is_home: bool
    demand: float


class DrawSlots(NamedTuple):
    """Share request: asks the home of a pool for slots and reports slot use.

    A slot allows a host to run one request at a time on an upstream.

    Attributes:
        pool: Name of the pool of upstreams: `slots/<service>/<region>`.
        host: Name of the requesting host.
        incarnation: Incarnation of the requesting host.
        view: Digest of the view in which the receiver is the home.
        requested: Number of further slots requested, by work class; the empty
            name stands for the host's reserve of spare slots.
        held: Number of slots that the host keeps, in use or in reserve, by
            upstream name; all other slots granted before are returned.
        in_use: Number of slots in use, by upstream name.
        avoid: Names of upstreams on which no slot is requested.
        sequence: Sequence number, one higher for each new request.
    """

    pool: str
    host: str
    incarnation: int
    view: int
    requested: dict[str, int]
    held: dict[str, int]
    in_use: dict[str, int]
    avoid: tuple[str, ...]
    sequence: int


class SlotGrant(NamedTuple):
    """Reply to `DrawSlots`: the slots granted.

    Attributes:
        slots: Number of slots that the host may use in total, by upstream
            name, including those that it held before.
        lifetime: Seconds within which the slots must be used or requested
            again; the requesting host counts them from just before it sent the
            request.
        retry_after: Seconds until a slot is expected, if not all requested
            slots are granted.
        is_home: False if the replying host is not the home, or is not ready to
            grant.
        importance: Lowest importance (largest number) of the requests that may
            use a slot now.
        contended: True if other hosts wait for slots.
    """

    slots: dict[str, int]
    lifetime: float
    retry_after: float
    is_home: bool
    importance: int
    contended: bool


class Forward(NamedTuple):
    """Forwards a request with a ticket to the host that issued the ticket.

    A ticket is an idempotency key, with which a request runs at most once.

    Attributes:
        ticket: Ticket of the request.
        account: Client account of the key; empty if the request was refused.
        key_digest: SHA-256 of the key in hexadecimal; empty if there is none.
        method: HTTP method.
        target: Path and query.
        headers: Header names and values, without the key.
        body: Complete body.
        timeout: Seconds until the request's deadline.
        refusal: Code with which the forwarding host refused the request, or 0.
            A refused request is not run; `ran` of the reply then tells if an
            earlier attempt with the ticket ran.
    """

    ticket: str
    account: str
    key_digest: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout: float
    refusal: int


class Answer(NamedTuple):
    """Reply to `Forward`: an upstream's answer, or a refusal by a host.

    Attributes:
        status: HTTP status code; 0 for a refusal.
        headers: Header names and values.
        body: Complete body.
        code: Result code of a refusal; 0 for an upstream's answer.
        ran: Tells if a refused request reached an upstream: `yes`, `no` or
            `unknown` (see `codes.ExecutionState`); empty for an upstream's
            answer.
        retry_after: Seconds after which a refused request may be sent again;
            negative if there is no such time.
        detail: Explanation of a refusal.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    code: int
    ran: str
    retry_after: float
    detail: str


class AskPermit(NamedTuple):
    """Asks the home of a fingerprint for a permit to run a request.

    Equal requests have the same fingerprint. Permits make them run one at a
    time until one has completed, since until then they may crash upstreams.

    Attributes:
        fingerprint: Fingerprint of the request.
        host: Name of the requesting host.
        release: True to give the permit back instead of asking for one.
    """

    fingerprint: str
    host: str
    release: bool


class Permitted(NamedTuple):
    """Reply to `AskPermit`.

    Attributes:
        permitted: True if the request may run now.
    """

    permitted: bool


_MESSAGE_TYPES: tuple[type, ...] = (
    Hello,
    Ping,
    Pong,
    FetchState,
    StateObjects,
    FetchFacts,
    Facts,
    Draw,
    Grant,
    DrawSlots,
    SlotGrant,
    Forward,
    Answer,
    AskPermit,
    Permitted,
)
_TYPE_NUMBERS = {
    message_type: number for number, message_type in enumerate(_MESSAGE_TYPES)
}


class ProtocolError(Exception):
    """A peer sent data that is not a valid message."""


# Errors in decoding the bytes of a connection; what follows can't be decoded.
DECODE_ERRORS = (
    ProtocolError,
    msgpack.UnpackException,
    msgpack.BufferFull,
    ValueError,
    TypeError,
)


def encode(message: Any, correlation_id: int = 0) -> bytes:
    """Returns the bytes of a message.

    Args:
        message: Message to encode.
        correlation_id: Correlation ID; 0 if no reply is expected.
    """
    fields = [_TYPE_NUMBERS[type(message)], correlation_id, *message]
    return msgpack.packb(fields, use_bin_type=True)


def check_content(content: Any) -> None:
    """Checks that a message can hold the content of an object.

    Raises:
        ValueError: It is nested too deeply, or holds a number that is too
            large.
    """
    try:
        encode(StateObjects((("", 0, content),)))
    except OverflowError as error:
        raise ValueError(str(error)) from error


def decode(fields: Any) -> tuple[int, Any]:
    """Returns the correlation ID and the message in an unpacked array.

    Args:
        fields: Array from the msgpack unpacker, with inner arrays as tuples.

    Raises:
        ProtocolError: The array is not a message.
    """
    try:
        message_type = _MESSAGE_TYPES[fields[0]]
        return fields[1], message_type(*fields[2:])
    except (TypeError, IndexError, KeyError) as error:
        raise ProtocolError(f"not a message: {error}") from error


def make_unpacker() -> msgpack.Unpacker:
    """Returns an unpacker; feed it received bytes and iterate over arrays."""
    return msgpack.Unpacker(
        raw=False,
        use_list=False,
        strict_map_key=False,
        max_buffer_size=MAX_MESSAGE_BYTES,
    )
