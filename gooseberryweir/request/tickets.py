"""Tickets: a non-idempotent request runs at most once.

A look-up issues a batch of tickets. Only the process that issued a ticket
runs its request, and it keeps the answer for a repeat; every other host
forwards there. When that process is gone the outcome is unknown, and the
request is never run a second time. No write to the platform is needed.

See docs/design/at-most-once.md for the ways weighed.
"""

from collections import OrderedDict
import hashlib
import hmac
import re
import secrets
from typing import Any
from typing import NamedTuple

from eventlet import event

from gooseberryweir import clock as clocks
from gooseberryweir import codes

TICKETS_PER_BATCH = 64
# A ticket may begin its request within this time of its issue.
TICKET_LIFETIME_SECONDS = 900.0
# Longer than USE_SECONDS, so that a forgotten record is always an expired one.
RECORD_RETENTION_SECONDS = 1800.0
MAX_STORED_ANSWER_BYTES = 256 * 1024
MAX_STORED_TOTAL_BYTES = 16 * 1024 * 1024
MAX_RECORDS = 200_000
_TICKET_PATTERN = re.compile(
    r"([A-Za-z0-9_.-]+):([0-9a-f]{16}):([0-9]{4,18}):([0-9a-f]{32}):([0-9]{1,3})\Z"
)


class Ticket(NamedTuple):
    """A ticket as read from its text.

    Attributes:
        host: Host that issued it.
        instance_id: Random identifier of the process that issued the ticket.
        batch_id: Decimal digits: the issuing process's monotonic clock in
            milliseconds, then a three-digit counter that distinguishes batches
            issued in the same millisecond.
        mac: Proof that the process issued this batch to this client account.
        number: Number within the batch.
    """

    host: str
    instance_id: str
    batch_id: str
    mac: str
    number: int


class TicketBatch(NamedTuple):
    """Tickets as a look-up gives them.

    Attributes:
        prefix: Text of each ticket without its number.
        size: Numbers 0 to size - 1 may be appended.
        seconds: Time within which each may be used.
    """

    prefix: str
    size: int
    seconds: float


def parse(text: str) -> Ticket | None:
    """Reads a ticket, or returns None if it is malformed."""
    match = _TICKET_PATTERN.match(text)
    if match is None:
        return None
    host, instance_id, batch_id, mac, number = match.groups()
    return Ticket(host, instance_id, batch_id, mac, int(number))


class StoredAnswer(NamedTuple):
    """An answer kept for repeats.

    Attributes:
        status: HTTP status.
        headers: Header names and values.
        body: The body, whole.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


Outcome = StoredAnswer | codes.Refusal


class TicketRecord:
    """What became of one ticket."""

    def __init__(self, fingerprint: str, expires_at: float) -> None:
        self.fingerprint = fingerprint
        self.expires_at = expires_at
        self.finished = event.Event()
        self.outcome: Outcome | None = None


class TicketLedger:
    """The tickets that this process issued and what became of them."""

    def __init__(self, host: str, clock: clocks.Clock) -> None:
        self.host = host
        self.clock = clock
        self.instance_id = secrets.token_hex(8)
        self.secret = secrets.token_bytes(32)
        self.issued_batches = 0
        self.records: OrderedDict[str, TicketRecord] = OrderedDict()
        self.stored_bytes = 0

    def issue(self, account: str) -> TicketBatch:
        """Issues a batch of tickets to a client account."""
        issued_ms = int(self.clock.monotonic() * 1000)
        self.issued_batches += 1
        batch_id = f"{issued_ms}{self.issued_batches % 1000:03d}"
        mac = self._mac(batch_id, account)
        prefix = f"{self.host}:{self.instance_id}:{batch_id}:{mac}:"
        return TicketBatch(prefix, TICKETS_PER_BATCH, TICKET_LIFETIME_SECONDS)

    def begin(
        self, text: str, account: str, fingerprint: str
    ) -> TicketRecord | Outcome | None:
        """Begins the request of a ticket, once.

        Args:
            text: The ticket.
            account: Client account of the request's key.
            fingerprint: Digest of method, target and body.

        Returns:
            None if the caller of this method must now run the request and
            call `finish`; the record to wait for if it is running; else what
            became of it or why it is refused.
        """
        self._delete_expired()
        refusal = self.check(text, account)
        if refusal is not None:
            return refusal
        record = self.records.get(text)
        if record is not None:
            return self._resolve_repeat(record, fingerprint)
        if len(self.records) >= MAX_RECORDS:
            return codes.refuse(codes.Code.HOST_OVERLOADED)
        expires_at = self.clock.monotonic() + RECORD_RETENTION_SECONDS
        self.records[text] = TicketRecord(fingerprint, expires_at)
        return None

    def check(self, text: str, account: str) -> codes.Refusal | None:
        """Returns why a ticket can't be used by this account, if it can't."""
        ticket = parse(text)
        if ticket is None or ticket.number >= TICKETS_PER_BATCH:
            return codes.refuse(codes.Code.TICKET_INVALID)
        if (ticket.host, ticket.instance_id) != (self.host, self.instance_id):
            return codes.refuse(codes.Code.OUTCOME_UNKNOWN)
        expected = self._mac(ticket.batch_id, account)
        if not hmac.compare_digest(ticket.mac, expected):
            return codes.refuse(codes.Code.WRONG_ACCOUNT)
        age = self.clock.monotonic() - int(ticket.batch_id[:-3]) / 1000
        if age > TICKET_LIFETIME_SECONDS and text not in self.records:
            return codes.refuse(codes.Code.TICKET_EXPIRED)
        return None

    def ran(self, text: str) -> codes.Ran:
        """Returns whether the request of a ticket ran, without beginning it."""
        record = self.records.get(text)
        if record is None:
            return codes.Ran.NO
        if isinstance(record.outcome, codes.Refusal):
            return record.outcome.ran
        return codes.Ran.UNKNOWN if record.outcome is None else codes.Ran.YES

    def close_unused(self, text: str, refusal: codes.Refusal) -> None:
        """Ends a ticket that was not run, so that it never will be."""
        if text not in self.records:
            self.records[text] = TicketRecord(
                "", self.clock.monotonic() + RECORD_RETENTION_SECONDS
            )
            self.finish(text, refusal)

    def finish(self, text: str, outcome: Outcome) -> None:
        """Keeps what became of a ticket and wakes all who wait for it."""
        record = self.records[text]
        stored: Outcome = outcome
        if isinstance(outcome, StoredAnswer):
            size = len(outcome.body)
            if (
                size > MAX_STORED_ANSWER_BYTES
                or self.stored_bytes + size > MAX_STORED_TOTAL_BYTES
            ):
                stored = codes.refuse(codes.Code.ANSWER_NOT_KEPT)
            else:
                self.stored_bytes += size
        record.outcome = stored
        record.finished.send(outcome)

    def _resolve_repeat(
        self, record: TicketRecord, fingerprint: str
    ) -> TicketRecord | Outcome:
        """Returns what a repeat of a begun request is told."""
        if record.fingerprint and record.fingerprint != fingerprint:
            return codes.refuse(codes.Code.TICKET_MISMATCH)
        return record if record.outcome is None else record.outcome

    def _mac(self, batch_id: str, account: str) -> str:
        text = f"{batch_id}\0{account}".encode()
        return hmac.new(self.secret, text, hashlib.sha256).hexdigest()[:32]

    def _delete_expired(self) -> None:
        """Forgets records that are past their time, oldest first."""
        now = self.clock.monotonic()
        while self.records:
            text, record = next(iter(self.records.items()))
            if record.expires_at > now or record.outcome is None:
                return
            if isinstance(record.outcome, StoredAnswer):
                self.stored_bytes -= len(record.outcome.body)
            del self.records[text]


def fingerprint(method: str, target: str, body: Any) -> str:
    """Returns the digest by which a repeat is known to be the same request."""
    digest = hashlib.sha256(f"{method}\0{target}\0".encode())
    digest.update(body)
    return digest.hexdigest()
