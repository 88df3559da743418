"""A key that is revoked after the store's return from a copy."""

import asyncio
import pathlib
import time

from review import harness

REVOKED_KEY = "key-b"
# Time for which each of the added backends is cold. Their entries change until
# they are warm.
COLD_SECONDS = 3.0
# Age of the copy from which the store returns, and length of its absence.
COPY_SECONDS = 6.0
AWAY_SECONDS = 1.0
# Time for which the revoked key is tried, from its revocation on.
TRIED_SECONDS = 15.0


async def _away_and_back(deployment: harness.Deployment) -> None:
    """Lets the store be away for a moment and return from a copy.

    The operator and the backends then write again what they had written.
    """
    store = deployment.store
    written = store.objects["config", "main"]["spec"]
    deployment.record.add("store-away")
    store.down = True
    await asyncio.sleep(AWAY_SECONDS)
    store.return_from_copy(COPY_SECONDS)
    store.put("config", "main", written)
    for backend in deployment.backends:
        backend.write_entry()


async def case(deployment: harness.Deployment) -> str:
    """Revokes a key and sends requests with it for some time."""
    store, record = deployment.store, deployment.record
    for number, zone in enumerate([*harness.ZONES, "centro-a"]):
        backend = harness.Backend(record, store, f"i-new-{number}", zone)
        backend.cold_until = time.monotonic() + COLD_SECONDS
        await backend.start()
        deployment.backends.append(backend)
    record.add("scaled-out", store.revision)
    await asyncio.sleep(COPY_SECONDS - AWAY_SECONDS - 1.0)
    both = ["key-a", REVOKED_KEY]
    changed = harness.configuration(2, both)
    changed["routes"]["read"]["timeout"] = "1900ms"
    store.put("config", "main", changed)
    record.add("config", "r2", store.revision)
    await asyncio.sleep(0.5)
    if deployment.trouble:
        await _away_and_back(deployment)
    await asyncio.sleep(0.5)
    revoked = {**changed, "version": "r3"}
    revoked["tenants"] = {"huka270": {"apiKeys": ["key-a"], "priority": 1}}
    revoked_at = store.put("config", "main", revoked)
    record.add("config", "r3 revokes", REVOKED_KEY, store.revision)

    sent_at: dict[str, float] = {}
    while time.monotonic() < revoked_at + TRIED_SECONDS:
        for host in deployment.hosts:
            for key in both:
                request_id, sent, _ = await deployment.send(
                    host, "/read/1", key, word=key
                )
                sent_at[request_id] = sent
        await asyncio.sleep(0.3)
    late = [
        run
        for run in deployment.runs()
        if run.request_id.startswith(REVOKED_KEY)
        and sent_at[run.request_id] > revoked_at + harness.REVOKE_SECONDS
    ]
    served = sum(
        1
        for run in deployment.runs()
        if run.request_id.startswith("key-a") and run.at > revoked_at
    )
    if not served:
        raise harness.NotRunError("no request with the other key was run")
    if not late:
        return ""
    last = max(sent_at[run.request_id] for run in late) - revoked_at
    return (
        f"CONFIG: {len(late)} requests with a revoked key, sent more than "
        f"{harness.REVOKE_SECONDS:g} s after the acknowledgement of its "
        f"revocation, were run; the last was sent {last:.1f} s after it"
    )


if __name__ == "__main__":
    harness.main(case, pathlib.Path(__file__).parent, backends=4)
