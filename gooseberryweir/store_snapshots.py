"""Reads snapshots from the platform's store and registers this host there.

A snapshot holds the objects of one kind, such as the upstreams.

Provides the functions that `process.fleet.reader` calls, so that the reader
does not depend on the API of the store.
"""

from collections.abc import Callable

from gooseberryweir.platform import records
from gooseberryweir.platform import store as store_module
from gooseberryweir.process.fleet import reader as reader_module
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.version import store_version
from gooseberryweir.version import traffic


def snapshot_reader(
    store: store_module.Store,
) -> Callable[[str], reader_module.ReadResult]:
    """Returns a function that reads a snapshot of a kind from the store."""
    decoders = {
        store_cache_module.UPSTREAMS: (
            records.UPSTREAMS,
            records.decode_upstreams,
        ),
        store_cache_module.EVACUATIONS: (
            records.EVACUATIONS,
            records.decode_evacuations,
        ),
        store_cache_module.HOSTS: (records.HOSTS, records.decode_hosts),
    }

    def read(kind: str) -> reader_module.ReadResult:
        try:
            if kind == store_cache_module.CONFIGURATION:
                listing = store.list(records.CONFIGURATION)
                configuration = records.find_configuration(listing.items)
                revision, content = configuration or (0, b"")
            else:
                platform_kind, decode = decoders[kind]
                listing = store.list(platform_kind)
                revision = listing.revision
                content = store_cache_module.encode_content(
                    decode(listing.items)
                )
        except (store_module.MalformedError, ValueError) as error:
            raise reader_module.ReadError(
                f"{kind}: {error}", answered=True
            ) from error
        except store_module.StoreError as error:
            raise reader_module.ReadError(f"{kind}: {error}") from error
        return reader_module.ReadResult(
            store_cache_module.Snapshot(
                store_version.StoreVersion(listing.era, revision), content
            ),
            listing.version,
            listing.requested_at,
        )

    return read


def host_registrar(
    store: store_module.Store, entry: traffic.HostEntry
) -> Callable[[], None]:
    """Returns a function that registers this host in the store."""

    def register() -> None:
        try:
            store.put(records.HOSTS, entry.name, records.encode_host(entry))
        except store_module.StoreError as error:
            raise reader_module.ReadError(f"register: {error}") from error

    return register
