"""Brings withdrawals made at hosts during an outage to the platform.

Any host takes a withdrawal as a fact. The holder of `withdrawals` writes it
into the account's key object once the platform answers. The write is
conditional and idempotent, so two holders at once do no harm.
"""

from collections.abc import Mapping
import logging

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import membership as membership_module
from gooseberryweir.process.upkeep import key_objects
from gooseberryweir.version import tables as tables_module

WRITER_RESOURCE = "withdrawals"
FACT_PREFIX = "withdrawn/"
WRITE_INTERVAL_SECONDS = 1.0
LOGGER = logging.getLogger(__name__)


def unwritten_withdrawals(
    facts: Mapping[str, int], keys: Mapping[str, tables_module.KeyEntry]
) -> dict[str, set[str]]:
    """Returns, by account, the digests withdrawn only among the hosts.

    A digest that no key object holds belongs to no account; it waits.
    """
    digests_by_account: dict[str, set[str]] = {}
    for fact in facts:
        digest = fact.removeprefix(FACT_PREFIX)
        entry = keys.get(digest) if digest != fact else None
        if entry is not None and not entry.withdrawn:
            digests_by_account.setdefault(entry.account, set()).add(digest)
    return digests_by_account


def write_withdrawals(
    api: platform_store.Store,
    facts: facts_module.Facts,
    tables: tables_module.Tables,
    membership: membership_module.Membership,
    clock: clocks.Clock,
) -> None:
    """Writes what waits, if this host holds the duty."""
    if membership.home_of(WRITER_RESOURCE) != membership.host:
        return
    unwritten = unwritten_withdrawals(facts.snapshot(), tables.keys)
    for account, digests in unwritten.items():
        try:
            key_objects.withdraw_digests(api, account, digests, clock)
        except (codes.UserError, platform_store.StoreError) as error:
            outcome = str(error)
        else:
            outcome = "written"
        logs.event(
            LOGGER,
            "withdrawals-written",
            account=account,
            count=len(digests),
            outcome=outcome,
        )


def run_writer(
    api: platform_store.Store,
    facts: facts_module.Facts,
    tables: tables_module.Tables,
    membership: membership_module.Membership,
    clock: clocks.Clock,
) -> None:
    """Writes what waits, again and again, for the life of the process."""
    while True:
        try:
            write_withdrawals(api, facts, tables, membership, clock)
        except Exception as error:  # A task outlives any one failure.
            logs.event(
                LOGGER,
                "withdrawals-failed",
                logging.ERROR,
                reason=repr(error),
            )
        clock.sleep(WRITE_INTERVAL_SECONDS)
