"""`key issue` and `key withdraw`.

The platform and the hosts hold SHA-256 digests only; a key itself is printed
once, when it is issued, and is never logged.
"""

import hashlib
import re
import secrets
from typing import Any
from typing import NamedTuple

from gooseberryweir import codes
from gooseberryweir.commands import fleet
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.upkeep import key_objects
from gooseberryweir.process.upkeep import settled
from gooseberryweir.version import objects

KEY_BYTES = 32
_PREFIX = "keys."
_DIGEST = re.compile(r"[0-9a-fA-F]{64}")


def issue(operator: fleet.Operator, account: str) -> str:
    """Issues a key of 256 random bits, prints it once and returns it.

    Raises:
        codes.UserError: INVALID_DECLARATION for an undeclared client
            account, else as `apply`; after NOT_IN_FORCE the key is valid
            nevertheless.
    """
    _check_account(operator, account)
    key = secrets.token_urlsafe(KEY_BYTES)
    digest = digest_of(key)

    def change(spec: dict[str, Any]) -> dict[str, Any]:
        digests = {**spec.get("digests", {}), digest: "issued"}
        return {**spec, "digests": digests}

    name = f"{_PREFIX}{account}"
    try:
        written = settled.merge_settled(
            operator.api,
            objects.STEERING_OBJECTS,
            name,
            change,
            operator.clock,
        )
    except codes.UserError as error:
        message = f"{error.message}; digest of the key not handed out: {digest}"
        raise codes.UserError(error.code, message) from error
    operator.out(f"key: {key}")
    operator.out(f"digest: {digest}")
    if written is not None:
        full_name = f"{objects.STEERING_OBJECTS}/{name}"
        fleet.wait_in_force(operator, full_name, written.version)
    return key


def withdraw(operator: fleet.Operator, key_or_digest: str) -> None:
    """Withdraws a key at the hosts and in the platform.

    The hosts are told first, since they answer in an outage too. The lines
    printed say who confirmed and who did not.

    Raises:
        codes.UserError: MALFORMED_KEY, UNKNOWN_KEY, FORBIDDEN,
            HOST_UNREACHABLE if neither side took it, NOT_IN_FORCE if a
            listed host did not confirm.
    """
    for digest in possible_digests(key_or_digest):
        told = _tell_hosts(operator, digest)
        kept = _keep(operator, digest)
        if told.known or kept.accounts:
            break
    if kept.answered and not kept.accounts and not told.known:
        raise codes.UserError(
            codes.Code.UNKNOWN_KEY, "no client account holds this key"
        )
    _report(operator, told, kept)
    if not told.confirmed and not kept.accounts:
        raise codes.UserError(
            codes.Code.HOST_UNREACHABLE, "the key is not withdrawn anywhere"
        )
    if told.missing:
        raise codes.UserError(
            codes.Code.NOT_IN_FORCE,
            f"not confirmed by {', '.join(sorted(told.missing))}",
        )


def digest_of(key: str) -> str:
    """Returns the SHA-256 digest of a key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def possible_digests(key_or_digest: str) -> tuple[str, ...]:
    """Returns the digests that a text can stand for, the safest first.

    Text in the form of a digest can be a key too, so it is first taken for
    a key: its digest may travel, while a key may not.
    """
    text = key_or_digest.strip()
    if not text or any(each.isspace() for each in text):
        raise codes.UserError(
            codes.Code.MALFORMED_KEY, "give one key, or its digest"
        )
    if _DIGEST.fullmatch(text):
        return (digest_of(text), text.lower())
    return (digest_of(text),)


class _Told(NamedTuple):
    """What the hosts answered to a withdrawal.

    Attributes:
        confirmed: Names of the hosts that hold it.
        missing: Why each other host did not confirm it, by name.
        known: Whether a host knows the key.
    """

    confirmed: frozenset[str]
    missing: dict[str, str]
    known: bool


class _Kept(NamedTuple):
    """What the platform answered to a withdrawal.

    Attributes:
        accounts: Client accounts in whose objects it is written.
        answered: Whether the platform answered.
        reason: Why it is not written.
    """

    accounts: tuple[str, ...]
    answered: bool
    reason: str


def _tell_hosts(operator: fleet.Operator, digest: str) -> _Told:
    """Tells one host, which tells the others, then whoever is left out."""
    try:
        hosts = fleet.find_hosts(operator)
    except codes.UserError as error:
        if error.code == codes.Code.FORBIDDEN:
            raise
        return _Told(frozenset(), {"every host": error.message}, False)
    confirmed: set[str] = set()
    missing: dict[str, str] = {}
    known = False
    for name, address, _ in hosts:
        if name in confirmed:
            continue
        try:
            answer = fleet.ask(
                operator, address, "POST", "/v1/withdraw", {"digest": digest}
            )
        except codes.UserError as error:
            if error.code == codes.Code.FORBIDDEN:
                raise
            missing[name] = error.message
            continue
        confirmed.update(answer["confirmed"])
        known = known or bool(answer["known"])
    left = {
        name: reason
        for name, reason in missing.items()
        if name not in confirmed
    }
    return _Told(frozenset(confirmed), left, known)


def _keep(operator: fleet.Operator, digest: str) -> _Kept:
    """Writes the withdrawal to the platform, if it answers."""
    try:
        listed = operator.api.list(objects.STEERING_OBJECTS).objects()
    except platform_store.StoreError as error:
        return _Kept((), False, str(error))
    accounts = tuple(
        each.name.removeprefix(_PREFIX)
        for each in listed
        if each.name.startswith(_PREFIX)
        and digest in settled.content(each).get("digests", {})
    )
    try:
        for account in accounts:
            key_objects.withdraw_digests(
                operator.api, account, {digest}, operator.clock
            )
    except (codes.UserError, platform_store.StoreError) as error:
        return _Kept((), False, str(error))
    return _Kept(accounts, True, "" if accounts else "it holds no such key")


def _report(operator: fleet.Operator, told: _Told, kept: _Kept) -> None:
    """Prints what is confirmed and what is not."""
    for name in sorted(told.confirmed):
        operator.out(f"host {name}: confirmed, the key is refused there")
    for name, reason in sorted(told.missing.items()):
        operator.out(f"host {name}: not confirmed: {reason}")
    for account in kept.accounts:
        operator.out(f"platform: written for client account {account}")
    if kept.accounts:
        return
    operator.out(f"platform: not written: {kept.reason}")
    if told.confirmed:
        operator.out(
            "the hosts keep the withdrawal and write it when the platform"
            " answers; until then it lasts as long as one of them runs"
        )
    if told.confirmed and not told.known:
        operator.out("no host that answered knows this key; check it")


def _check_account(operator: fleet.Operator, account: str) -> None:
    config = settled.read(operator.api, objects.STEERING_OBJECTS, "config")
    declared = settled.content(config).get("declarations", {})
    if account not in declared.get("accounts", ()):
        raise codes.UserError(
            codes.Code.INVALID_DECLARATION,
            f"client account {account!r} is not declared",
        )
