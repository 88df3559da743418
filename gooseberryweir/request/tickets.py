"""Tickets: idempotency keys, with which a request runs at most once.

The answer to a look-up contains a batch of tickets. A caller sends one of them
with each non-idempotent request. Only the process that issued a ticket runs its
request and stores the answer for repeats; every other host forwards the request
to it. Once that process has ended, the outcome is unknown and the request is
never run a second time. No write to the platform's store is needed.

See docs/design/at-most-once.md for the alternatives.
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
# Time after the issue of a ticket within which its request must start.
TICKET_LIFETIME_SECONDS = 900.0
# Longer than TICKET_LIFETIME_SECONDS, so that a ticket has always expired when
# its record is deleted.
RECORD_RETENTION_SECONDS = 1800.0
MAX_STORED_ANSWER_BYTES = 256 * 1024
MAX_STORED_TOTAL_BYTES = 16 * 1024 * 1024
MAX_RECORDS = 200_000
_TICKET_PATTERN = re.compile(
    r"([A-Za-z0-9_.-]+):([0-9a-f]{16}):([0-9]{4,18}):([0-9a-f]{32}):([0-9]{1,3})\Z"
)


class Ticket(NamedTuple):
    """The fields of a ticket.

    Attributes:
        host: Name of the host that issued the ticket.
        instance_id: Random identifier of the process that issued the ticket.
        batch_id: Decimal digits: the issuing process's monotonic clock in
            milliseconds, then a three-digit counter that distinguishes batches
            issued in the same millisecond.
        mac: Message authentication code, which proves that the process issued
            the batch to the client account.
        number: Number of the ticket within the batch.
    """

    host: str
    instance_id: str
    batch_id: str
    mac: str
    number: int


class TicketBatch(NamedTuple):
    """A batch of tickets in the answer to a look-up.

    Attributes:
        prefix: Text of each ticket without its number.
        size: Number of tickets; numbers from 0 to `size` - 1 may be appended.
        seconds: Time after the issue within which a ticket can be used.
    """

    prefix: str
    size: int
    seconds: float


def parse(text: str) -> Ticket | None:
    """Returns the fields of a ticket, or None if it is malformed."""
    match = _TICKET_PATTERN.match(text)
    if match is None:
        return None
    host, instance_id, batch_id, mac, number = match.groups()
    return Ticket(host, instance_id, batch_id, mac, int(number))


class StoredAnswer(NamedTuple):
    """An answer that is stored for repeats of its request.

    Attributes:
        status: HTTP status code.
        headers: Names and values of the headers.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


Outcome = StoredAnswer | codes.Refusal


class TicketRecord:
    """The state of one ticket's request.

    Attributes:
        request_digest: Digest of the request (see the function
            `request_digest`); empty if the request never ran.
        expires_at: Monotonic time at which the record may be deleted, seconds.
        finished: Event that is sent the outcome when the request ends.
        outcome: Outcome for repeats, or None while the request runs.
    """

    def __init__(self, request_digest: str, expires_at: float) -> None:
        self.request_digest = request_digest
        self.expires_at = expires_at
        self.finished = event.Event()
        self.outcome: Outcome | None = None


class TicketLedger:
    """Issues tickets and records the outcomes of their requests.

    Attributes:
        host: Name of this host.
        clock: Source of time.
        instance_id: Random identifier of this process, part of its tickets.
        secret: Key of the message authentication codes.
        issued_batches: Number of batches issued so far.
        records: State of each used ticket, oldest first.
        stored_bytes: Total size of the bodies of stored answers.
    """

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
        self, text: str, account: str, request_digest: str
    ) -> TicketRecord | Outcome | None:
        """Records the start of a ticket's request, unless it started before.

        Args:
            text: The ticket.
            account: Client account of the request's key.
            request_digest: Digest of method, target and body.

        Returns:
            None if the calling code must now run the request and call `finish`;
            the record to wait for if the request is running; else the outcome
            of the first run, or a refusal.
        """
        self._delete_expired()
        refusal = self.check(text, account)
        if refusal is not None:
            return refusal
        record = self.records.get(text)
        if record is not None:
            return self._resolve_repeat(record, request_digest)
        if len(self.records) >= MAX_RECORDS:
            return codes.refuse(codes.Code.HOST_OVERLOADED)
        expires_at = self.clock.monotonic() + RECORD_RETENTION_SECONDS
        self.records[text] = TicketRecord(request_digest, expires_at)
        return None

    def check(self, text: str, account: str) -> codes.Refusal | None:
        """Returns a refusal if an account may not use a ticket, else None."""
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

    def execution_state(self, text: str) -> codes.ExecutionState:
        """Returns the execution state of a ticket's request.

        It is NO if the request was never started, UNKNOWN while it runs, YES
        after an answer, and the refusal's `ran` after a refusal. It is UNKNOWN
        for a ticket of another process, also an earlier one of this host.
        """
        record = self.records.get(text)
        if record is None:
            ticket = parse(text)
            if ticket is not None and (
                (ticket.host, ticket.instance_id)
                != (self.host, self.instance_id)
            ):
                return codes.ExecutionState.UNKNOWN
            return codes.ExecutionState.NO
        if isinstance(record.outcome, codes.Refusal):
            return record.outcome.ran
        return (
            codes.ExecutionState.UNKNOWN
            if record.outcome is None
            else codes.ExecutionState.YES
        )

    def close_unused(self, text: str, refusal: codes.Refusal) -> None:
        """Stores a refusal for an unused ticket; its request will never run."""
        if text not in self.records:
            self.records[text] = TicketRecord(
                "", self.clock.monotonic() + RECORD_RETENTION_SECONDS
            )
            self.finish(text, refusal)

    def finish(self, text: str, outcome: Outcome) -> None:
        """Stores the outcome of a ticket's request and wakes its waiters."""
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
        self, record: TicketRecord, request_digest: str
    ) -> TicketRecord | Outcome:
        """Returns the outcome for a repeat, or the record of a running request.

        Refuses a repeat whose digest differs from that of the first request.
        """
        if record.request_digest and record.request_digest != request_digest:
            return codes.refuse(codes.Code.TICKET_MISMATCH)
        return record if record.outcome is None else record.outcome

    def _mac(self, batch_id: str, account: str) -> str:
        """Returns the message authentication code of a batch."""
        text = f"{batch_id}\0{account}".encode()
        return hmac.new(self.secret, text, hashlib.sha256).hexdigest()[:32]

    def _delete_expired(self) -> None:
        """Deletes expired records, oldest first."""
        now = self.clock.monotonic()
        while self.records:
            text, record = next(iter(self.records.items()))
            if record.expires_at > now or record.outcome is None:
                return
            if isinstance(record.outcome, StoredAnswer):
                self.stored_bytes -= len(record.outcome.body)
            del self.records[text]


def request_digest(method: str, target: str, body: Any) -> str:
    """Returns the digest that a repeat of a ticket's request must match."""
    digest = hashlib.sha256(f"{method}\0{target}\0".encode())
    digest.update(body)
    return digest.hexdigest()
