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

TICKETS_IN_BATCH = 64
# A ticket may begin its request within this time of its issue.
USE_SECONDS = 900.0
# Longer than USE_SECONDS, so that a forgotten record is always an expired one.
KEEP_SECONDS = 1800.0
KEPT_ANSWER_BYTES = 256 * 1024
KEPT_TOTAL_BYTES = 16 * 1024 * 1024
MAX_RECORDS = 200_000
_PATTERN = re.compile(
    r"([A-Za-z0-9_.-]+):([0-9a-f]{16}):([0-9]{4,18}):([0-9a-f]{32}):([0-9]{1,3})\Z"
)


class Ticket(NamedTuple):
    """A ticket as read from its text.

    Attributes:
        host: Host that issued it.
        boot: Identity of the process that issued it.
        salt: Digits: milliseconds of that process's monotonic clock at issue,
            then three digits that tell batches of one millisecond apart.
        mac: Proof that the process issued this batch to this client account.
        number: Number within the batch.
    """

    host: str
    boot: str
    salt: str
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


def read(text: str) -> Ticket | None:
    """Reads a ticket, or returns None if it is malformed."""
    found = _PATTERN.match(text)
    if found is None:
        return None
    host, boot, salt, mac, number = found.groups()
    return Ticket(host, boot, salt, mac, int(number))


class KeptAnswer(NamedTuple):
    """An answer kept for repeats.

    Attributes:
        status: HTTP status.
        headers: Header names and values.
        body: The body, whole.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


Outcome = KeptAnswer | codes.Refusal


class Record:
    """What became of one ticket."""

    def __init__(self, fingerprint: str, ends_at: float) -> None:
        self.fingerprint = fingerprint
        self.ends_at = ends_at
        self.finished = event.Event()
        self.outcome: Outcome | None = None


class TicketLedger:
    """The tickets that this process issued and what became of them."""

    def __init__(self, host: str, clock: clocks.Clock) -> None:
        self.host = host
        self.clock = clock
        self.boot = secrets.token_hex(8)
        self.secret = secrets.token_bytes(32)
        self.batches = 0
        self.records: OrderedDict[str, Record] = OrderedDict()
        self.kept_bytes = 0

    def issue(self, account: str) -> TicketBatch:
        """Issues a batch of tickets to a client account."""
        issued_ms = int(self.clock.monotonic() * 1000)
        self.batches += 1
        salt = f"{issued_ms}{self.batches % 1000:03d}"
        mac = self._mac(salt, account)
        prefix = f"{self.host}:{self.boot}:{salt}:{mac}:"
        return TicketBatch(prefix, TICKETS_IN_BATCH, USE_SECONDS)

    def begin(
        self, text: str, account: str, fingerprint: str
    ) -> Record | Outcome | None:
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
        self._expire()
        fault = self.fault(text, account)
        if fault is not None:
            return fault
        record = self.records.get(text)
        if record is not None:
            return self._repeat(record, fingerprint)
        if len(self.records) >= MAX_RECORDS:
            return codes.refuse(codes.Code.HOST_OVERLOADED)
        ends_at = self.clock.monotonic() + KEEP_SECONDS
        self.records[text] = Record(fingerprint, ends_at)
        return None

    def fault(self, text: str, account: str) -> codes.Refusal | None:
        """Returns why a ticket can't be used by this account, if it can't."""
        ticket = read(text)
        if ticket is None or ticket.number >= TICKETS_IN_BATCH:
            return codes.refuse(codes.Code.TICKET_INVALID)
        if (ticket.host, ticket.boot) != (self.host, self.boot):
            return codes.refuse(codes.Code.OUTCOME_UNKNOWN)
        expected = self._mac(ticket.salt, account)
        if not hmac.compare_digest(ticket.mac, expected):
            return codes.refuse(codes.Code.WRONG_ACCOUNT)
        age = self.clock.monotonic() - int(ticket.salt[:-3]) / 1000
        if age > USE_SECONDS and text not in self.records:
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

    def end_unused(self, text: str, refusal: codes.Refusal) -> None:
        """Ends a ticket that was not run, so that it never will be."""
        if text not in self.records:
            self.records[text] = Record(
                "", self.clock.monotonic() + KEEP_SECONDS
            )
            self.finish(text, refusal)

    def finish(self, text: str, outcome: Outcome) -> None:
        """Keeps what became of a ticket and wakes all who wait for it."""
        record = self.records[text]
        kept: Outcome = outcome
        if isinstance(outcome, KeptAnswer):
            size = len(outcome.body)
            if (
                size > KEPT_ANSWER_BYTES
                or self.kept_bytes + size > KEPT_TOTAL_BYTES
            ):
                kept = codes.refuse(codes.Code.ANSWER_NOT_KEPT)
            else:
                self.kept_bytes += size
        record.outcome = kept
        record.finished.send(outcome)

    def _repeat(self, record: Record, fingerprint: str) -> Record | Outcome:
        """Returns what a repeat of a begun request is told."""
        if record.fingerprint and record.fingerprint != fingerprint:
            return codes.refuse(codes.Code.TICKET_MISMATCH)
        return record if record.outcome is None else record.outcome

    def _mac(self, salt: str, account: str) -> str:
        text = f"{salt}\0{account}".encode()
        return hmac.new(self.secret, text, hashlib.sha256).hexdigest()[:32]

    def _expire(self) -> None:
        """Forgets records that are past their time, oldest first."""
        now = self.clock.monotonic()
        while self.records:
            text, record = next(iter(self.records.items()))
            if record.ends_at > now or record.outcome is None:
                return
            if isinstance(record.outcome, KeptAnswer):
                self.kept_bytes -= len(record.outcome.body)
            del self.records[text]


def fingerprint(method: str, target: str, body: Any) -> str:
    """Returns the digest by which a repeat is known to be the same request."""
    digest = hashlib.sha256(f"{method}\0{target}\0".encode())
    digest.update(body)
    return digest.hexdigest()
