"""The commands `key issue` and `key withdraw`.

The platform and the hosts store only the SHA-256 digests of keys. A key itself
is printed once, when it is issued, and is never logged.
"""

import hashlib
import re
import secrets
from typing import Any
from typing import NamedTuple

from gooseberryweir import codes
from gooseberryweir.commands import operator_client
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.upkeep import idempotent_writes
from gooseberryweir.process.upkeep import key_objects
from gooseberryweir.version import objects

KEY_BYTES = 32
_KEY_OBJECT_PREFIX = "keys."
_DIGEST_PATTERN = re.compile(r"[0-9a-fA-F]{64}")


def issue(context: operator_client.CommandContext, account: str) -> str:
    """Issues a key of 256 random bits, prints it once and returns it.

    Raises:
        codes.UserError: INVALID_DECLARATION for an undeclared client account;
            CONFLICT, FORBIDDEN or PLATFORM_UNREACHABLE if the write fails;
            NOT_IN_FORCE if a host does not accept the key in time; the key
            is valid nevertheless.
    """
    _check_account(context, account)
    key = secrets.token_urlsafe(KEY_BYTES)
    digest = digest_of(key)

    def add_digest(spec: dict[str, Any]) -> dict[str, Any]:
        digests = {**spec.get("digests", {}), digest: "issued"}
        return {**spec, "digests": digests}

    name = f"{_KEY_OBJECT_PREFIX}{account}"
    try:
        updated = idempotent_writes.update_object(
            context.api,
            objects.STEERING_OBJECTS,
            name,
            add_digest,
            context.clock,
        )
    except codes.UserError as error:
        message = (
            f"{error.message}; the key is not printed; its digest: {digest}"
        )
        raise codes.UserError(error.code, message) from error
    context.print_line(f"key: {key}")
    context.print_line(f"digest: {digest}")
    if updated is not None:
        full_name = f"{objects.STEERING_OBJECTS}/{name}"
        operator_client.wait_until_active(context, full_name, updated.version)
    return key


def withdraw(
    context: operator_client.CommandContext, key_or_digest: str
) -> None:
    """Withdraws a key at the hosts and in the platform.

    The hosts are called first, since they also answer during a platform
    outage. Prints which hosts confirmed the withdrawal and which did not.

    Raises:
        codes.UserError: MALFORMED_KEY if the text is not a single word;
            UNKNOWN_KEY if no client account has the key; FORBIDDEN if a host
            refuses the operator token; HOST_UNREACHABLE if neither a host nor
            the platform accepted the withdrawal; NOT_IN_FORCE if a listed host
            did not confirm it.
    """
    for digest in possible_digests(key_or_digest):
        hosts_result = _withdraw_at_hosts(context, digest)
        platform_result = _withdraw_in_platform(context, digest)
        if hosts_result.key_known or platform_result.accounts:
            break
    if (
        platform_result.answered
        and not platform_result.accounts
        and not hosts_result.key_known
    ):
        raise codes.UserError(
            codes.Code.UNKNOWN_KEY, "no client account holds this key"
        )
    _print_results(context, hosts_result, platform_result)
    if not hosts_result.confirmed and not platform_result.accounts:
        raise codes.UserError(
            codes.Code.HOST_UNREACHABLE, "the key is not withdrawn anywhere"
        )
    if hosts_result.unconfirmed:
        raise codes.UserError(
            codes.Code.NOT_IN_FORCE,
            f"not confirmed by {', '.join(sorted(hosts_result.unconfirmed))}",
        )


def digest_of(key: str) -> str:
    """Returns the SHA-256 digest of a key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def possible_digests(key_or_digest: str) -> tuple[str, ...]:
    """Returns the digests that an argument can mean, in the order to try.

    An argument that looks like a digest can also be a key. A key must not be
    sent over the network, but its digest may. So the digest of the argument is
    tried first, and the argument itself only if no known key has it.

    Raises:
        codes.UserError: MALFORMED_KEY if the text is not a single word.
    """
    text = key_or_digest.strip()
    if not text or any(each.isspace() for each in text):
        raise codes.UserError(
            codes.Code.MALFORMED_KEY, "give one key, or its digest"
        )
    if _DIGEST_PATTERN.fullmatch(text):
        return (digest_of(text), text.lower())
    return (digest_of(text),)


class _HostsResult(NamedTuple):
    """Result of a key withdrawal at the hosts.

    Attributes:
        confirmed: Names of the hosts that confirmed the withdrawal.
        unconfirmed: Reason why a host did not confirm it, by host name.
        key_known: True if a host has the key in its active tables.
    """

    confirmed: frozenset[str]
    unconfirmed: dict[str, str]
    key_known: bool


class _PlatformResult(NamedTuple):
    """Result of a key withdrawal in the platform.

    Attributes:
        accounts: Client accounts whose key objects record the withdrawal.
        answered: True if the platform answered.
        reason: Reason why the withdrawal was not written, or empty.
    """

    accounts: tuple[str, ...]
    answered: bool
    reason: str


def _withdraw_at_hosts(
    context: operator_client.CommandContext, digest: str
) -> _HostsResult:
    """Withdraws a key at the hosts.

    The first host that answers passes the withdrawal on to the others; the
    hosts that it could not reach are then called one by one.
    """
    try:
        hosts = operator_client.discover_hosts(context)
    except codes.UserError as error:
        if error.code == codes.Code.FORBIDDEN:
            raise
        return _HostsResult(frozenset(), {"every host": error.message}, False)
    confirmed: set[str] = set()
    failures: dict[str, str] = {}
    key_known = False
    for name, address, _ in hosts:
        if name in confirmed:
            continue
        try:
            answer = operator_client.call_host(
                context, address, "POST", "/v1/withdraw", {"digest": digest}
            )
        except codes.UserError as error:
            if error.code == codes.Code.FORBIDDEN:
                raise
            failures[name] = error.message
            continue
        confirmed.update(answer["confirmed"])
        key_known = key_known or bool(answer["known"])
    unconfirmed = {
        name: reason
        for name, reason in failures.items()
        if name not in confirmed
    }
    return _HostsResult(frozenset(confirmed), unconfirmed, key_known)


def _withdraw_in_platform(
    context: operator_client.CommandContext, digest: str
) -> _PlatformResult:
    """Marks the key as withdrawn in the key objects of the platform."""
    try:
        stored_objects = context.api.list(objects.STEERING_OBJECTS).objects()
    except platform_store.StoreError as error:
        return _PlatformResult((), False, str(error))
    accounts = tuple(
        each.name.removeprefix(_KEY_OBJECT_PREFIX)
        for each in stored_objects
        if each.name.startswith(_KEY_OBJECT_PREFIX)
        and digest in idempotent_writes.spec_of(each).get("digests", {})
    )
    try:
        for account in accounts:
            key_objects.withdraw_digests(
                context.api, account, {digest}, context.clock
            )
    except (codes.UserError, platform_store.StoreError) as error:
        return _PlatformResult((), False, str(error))
    return _PlatformResult(
        accounts, True, "" if accounts else "it holds no such key"
    )


def _print_results(
    context: operator_client.CommandContext,
    hosts_result: _HostsResult,
    platform_result: _PlatformResult,
) -> None:
    """Prints where the withdrawal of a key was confirmed or stored."""
    for name in sorted(hosts_result.confirmed):
        context.print_line(f"host {name}: confirmed, the key is refused there")
    for name, reason in sorted(hosts_result.unconfirmed.items()):
        context.print_line(f"host {name}: not confirmed: {reason}")
    for account in platform_result.accounts:
        context.print_line(f"platform: written for client account {account}")
    if platform_result.accounts:
        return
    context.print_line(f"platform: not written: {platform_result.reason}")
    if hosts_result.confirmed:
        context.print_line(
            "the hosts keep the withdrawal and write it when the platform"
            " answers; until then it lasts as long as one of them runs"
        )
    if hosts_result.confirmed and not hosts_result.key_known:
        context.print_line("no host that answered knows this key; check it")


def _check_account(
    context: operator_client.CommandContext, account: str
) -> None:
    config = idempotent_writes.read_object(
        context.api, objects.STEERING_OBJECTS, "config"
    )
    declarations = idempotent_writes.spec_of(config).get("declarations", {})
    if account not in declarations.get("accounts", ()):
        raise codes.UserError(
            codes.Code.INVALID_DECLARATION,
            f"client account {account!r} is not declared",
        )
