"""The messages between hosts.

Each message is a NamedTuple and travels as a msgpack array: its type number,
a correlation number (0 for a message that wants no reply), then its fields.
Keys of callers never travel; their SHA-256 digests do.
"""

from typing import Any
from typing import NamedTuple

import msgpack

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 32 * 1024 * 1024


class Hello(NamedTuple):
    """Opens a link: who dials.

    Attributes:
        protocol: The protocol's version, `PROTOCOL_VERSION`.
        host: Name of the dialling host.
        incarnation: Its incarnation, milliseconds since the epoch at start.
    """

    protocol: int
    host: str
    incarnation: int


class Ping(NamedTuple):
    """Asks a peer for its `Pong`.

    Attributes:
        host: Name of the asking host.
        incarnation: Its incarnation.
    """

    host: str
    incarnation: int


class HeldView(NamedTuple):
    """A view that a host held; arrives as a bare tuple.

    Attributes:
        digest: Digest of the view.
        age: Seconds since it was adopted.
        lost: Name and incarnation of each host that the view before held
            eligible and this one does not, with the seconds since that host
            was last heard before the change.
    """

    digest: int
    age: float
    lost: tuple[tuple[str, int, float], ...]


class Pong(NamedTuple):
    """What a peer knows at the time of its answer.

    Attributes:
        host: Name of the answering host.
        incarnation: Its incarnation.
        platform_age: Seconds since the question behind its newest proof that
            its state was the platform's current state; a large number if none.
        state_digest: Digest of its platform objects and their versions.
        facts_digest: Digest of its facts.
        views: The views that it held lately, newest first and without a gap.
        suspects: Names of hosts that it has not heard for the silence time.
        load: Its own load: requests in flight.
        quorum_age: Seconds since the oldest of the answers by which a
            majority agreed that the platform is out; a large number if none.
            It is no proof of the platform's state.
        recovered: Whether it was fresh once since its process started.
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
    """Asks for the platform objects newer than those named.

    Attributes:
        versions: Version held of each object, by its full name.
    """

    versions: dict[str, int]


class StateObjects(NamedTuple):
    """Platform objects, as a reply to `FetchState` or pushed when new.

    Attributes:
        objects: Tuples of full name, version, and content; a deleted object
            has None for its content.
    """

    objects: tuple[tuple[str, int, Any], ...]


class FetchFacts(NamedTuple):
    """Sends all facts held and asks for all facts of the peer."""

    facts: dict[str, int]


class Facts(NamedTuple):
    """Facts, as a reply to `FetchFacts` or pushed when new."""

    facts: dict[str, int]


class Draw(NamedTuple):
    """Asks the home of a token bucket for tokens.

    Attributes:
        bucket: Name of the bucket, such as `account/valle`.
        host: Name of the drawing host.
        incarnation: Its incarnation.
        view: View under which it takes the receiver for the home.
        requested: Tokens wanted.
        spent: Tokens spent so far of each earlier grant, by the sequence of
            its draw; totals, so that a repeated report does no harm.
        sequence: Number of this draw; grows by one for each new draw.
    """

    bucket: str
    host: str
    incarnation: int
    view: int
    requested: int
    spent: dict[int, int]
    sequence: int


class Grant(NamedTuple):
    """Tokens granted.

    Attributes:
        granted: Tokens granted now; may be 0.
        lifetime: Seconds, from before the draw was sent, that they last.
        retry_after: Seconds after which a token is expected, if none.
        is_home: False if the answering host is not the home, or not ready.
        demand: Tokens a second that all hosts asked for lately.
    """

    granted: int
    lifetime: float
    retry_after: float
    is_home: bool
    demand: float


class DrawSlots(NamedTuple):
    """Asks the home of a pool of upstreams for slots and reports its use.

    Attributes:
        pool: Name of the pool: `slots/<service>/<region>`.
        host: Name of the drawing host.
        incarnation: Its incarnation.
        view: View under which it takes the receiver for the home.
        requested: Further slots wanted, by class of work; under the empty name
            those for the reserve.
        held: Slots kept, in use or in reserve, by upstream name; every other
            slot granted before is given back.
        in_use: Slots in use, by upstream name.
        avoid: Upstreams on which no slot is wanted.
        sequence: Number of this draw; grows by one for each new draw.
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
    """Slots granted.

    Attributes:
        slots: All slots that the host may have in use, by upstream name,
            those it holds already included.
        lifetime: Seconds, from before the draw was sent, within which they
            must be used or drawn again.
        retry_after: Seconds after which a slot is expected, if some lack.
        is_home: False if the answering host is not the home, or not ready.
        importance: The lowest importance (largest number) of work that may
            use a slot now.
        contended: Whether other hosts wait for slots.
    """

    slots: dict[str, int]
    lifetime: float
    retry_after: float
    is_home: bool
    importance: int
    contended: bool


class Forward(NamedTuple):
    """Passes a ticketed request to the incarnation that issued the ticket.

    Attributes:
        ticket: The ticket.
        account: Client account that the key belongs to; empty if refused.
        key_digest: SHA-256 of the key in hexadecimal; empty if none.
        method: HTTP method.
        target: Request target: path and query.
        headers: Header names and values, the key left out.
        body: The body, whole.
        timeout: Seconds left for the request.
        refusal: Code of the refusal of the forwarding host, or 0: then the
            ticket is ended instead of run.
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
    """The answer to a `Forward`.

    Attributes:
        status: HTTP status.
        headers: Header names and values.
        body: The body, whole.
        code: Result code of a refusal, or 0.
        ran: Value of `Ran` for a refusal.
        retry_after: Seconds after which to come back; negative for never.
        detail: Sentence of a refusal.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    code: int
    ran: str
    retry_after: float
    detail: str


class AskPermit(NamedTuple):
    """Asks the home of a request's fingerprint whether it may run now.

    Attributes:
        fingerprint: The fingerprint.
        host: Name of the asking host.
        release: True gives the permit back instead.
    """

    fingerprint: str
    host: str
    release: bool


class Permitted(NamedTuple):
    """The answer to `AskPermit`.

    Attributes:
        permitted: Whether the request may run now.
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
    """A peer sent something that is not a message."""


# What decoding a stream may raise; the stream is of no use afterwards.
DECODE_ERRORS = (
    ProtocolError,
    msgpack.UnpackException,
    msgpack.BufferFull,
    ValueError,
    TypeError,
)


def encode(message: Any, correlation_id: int = 0) -> bytes:
    """Packs a message with its correlation number."""
    fields = [_TYPE_NUMBERS[type(message)], correlation_id, *message]
    return msgpack.packb(fields, use_bin_type=True)


def decode(fields: Any) -> tuple[int, Any]:
    """Turns an unpacked array into a correlation number and a message.

    Args:
        fields: What the msgpack unpacker returned, with arrays as tuples.

    Raises:
        ProtocolError: The array is not a message.
    """
    try:
        message_type = _MESSAGE_TYPES[fields[0]]
        return fields[1], message_type(*fields[2:])
    except (TypeError, IndexError, KeyError) as error:
        raise ProtocolError(f"not a message: {error}") from error


def make_unpacker() -> msgpack.Unpacker:
    """Returns the unpacker for a link; feed it bytes, iterate arrays."""
    return msgpack.Unpacker(
        raw=False,
        use_list=False,
        strict_map_key=False,
        max_buffer_size=MAX_MESSAGE_BYTES,
    )
