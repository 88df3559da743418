"""Writes to the platform the key withdrawals that only the hosts know yet.

Any host accepts a key withdrawal, even in an outage of the platform, and shares
it as a fact, a key-value entry that all hosts replicate. One host, the home of
the resource `withdrawals`, writes it to the account's key object once the
platform answers. The write is conditional and idempotent, so two writers at
once are harmless.
"""

from collections.abc import Callable
from collections.abc import Mapping
import logging

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process.membership import facts as facts_module
from gooseberryweir.process.membership import membership as membership_module
from gooseberryweir.process.upkeep import key_objects
from gooseberryweir.version import objects
from gooseberryweir.version import tables as tables_module

# Resource whose home writes the key withdrawals.
WRITER_RESOURCE = "withdrawals"
# Prefix of the facts that record key withdrawals.
FACT_PREFIX = "withdrawn/"
WRITE_INTERVAL_SECONDS = 1.0
LOGGER = logging.getLogger(__name__)


def unwritten_withdrawals(
    facts: Mapping[str, int], keys: Mapping[str, tables_module.KeyEntry]
) -> dict[str, set[str]]:
    """Returns the key withdrawals that the platform does not contain yet.

    A digest that is in no key object has no account and is skipped until it
    has one.

    Args:
        facts: Facts shared between the hosts, with the key withdrawals.
        keys: Keys by digest, as built from the platform's objects.

    Returns:
        Digests of withdrawn keys by client account.
    """
    digests_by_account: dict[str, set[str]] = {}
    for fact in facts:
        digest = fact.removeprefix(FACT_PREFIX)
        entry = keys.get(digest) if digest != fact else None
        if entry is not None and not entry.withdrawn:
            digests_by_account.setdefault(entry.account, set()).add(digest)
    return digests_by_account


def restorer(
    store: objects.ObjectStore,
    tables: tables_module.Tables,
    facts: facts_module.Facts,
) -> Callable[[str], None]:
    """Returns a listener of `store` that keeps withdrawn keys withdrawn.

    A platform whose store returned from an older copy may list a withdrawn key
    as issued. Its withdrawal becomes a fact again, so that all hosts refuse the
    key and its home writes it again.

    Args:
        store: Objects of the platform.
        tables: Tables of the same objects, rebuilt before the listener runs.
        facts: Facts of this host.
    """
    eras: dict[str, int] = {}

    def on_change(name: str) -> None:
        content = store.get(name)
        if not name.startswith(objects.KEYS_PREFIX) or content is None:
            return
        if name in tables.malformed:
            return
        era = objects.decode_version(store.version(name)).era
        for digest in content["digests"]:
            if tables.keys[digest].withdrawn:
                eras[digest] = era
            elif eras.get(digest, era) < era:
                _restore(facts, digest, tables.keys[digest].account, era)
            else:
                eras.pop(digest, None)

    return on_change


def _restore(
    facts: facts_module.Facts, digest: str, account: str, era: int
) -> None:
    """Adds the withdrawal of a key as a fact again."""
    if facts.add(f"{FACT_PREFIX}{digest}", 1):
        logs.event(
            LOGGER,
            "withdrawal-restored",
            logging.WARNING,
            account=account,
            digest=digest,
            era=era,
        )


def write_withdrawals(
    api: platform_store.Store,
    facts: facts_module.Facts,
    tables: tables_module.Tables,
    membership: membership_module.Membership,
    clock: clocks.Clock,
) -> None:
    """Writes the unwritten key withdrawals if this host is their home."""
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
    """Writes key withdrawals every WRITE_INTERVAL_SECONDS until killed."""
    while True:
        try:
            write_withdrawals(api, facts, tables, membership, clock)
        except Exception as error:  # The task must keep running.
            logs.event(
                LOGGER,
                "withdrawals-failed",
                logging.ERROR,
                reason=repr(error),
            )
        clock.sleep(WRITE_INTERVAL_SECONDS)
