"""A zone is evacuated while another writer's entry can't be read."""

import asyncio
import pathlib
import time

from review import harness

# Bytes that are no text, as a JSON string: bytes 255 and 254 as surrogates.
UNREADABLE = b"worn\xff\xfe".decode("utf-8", "surrogateescape")
EVACUATED_ZONE = "norte-a"
# The platform's bound on an evacuation, in seconds.
EVAC_SECONDS = 5.0
# Time for which requests are sent after the evacuation.
SENT_SECONDS = 10.0


async def _write_unreadable_entry(deployment: harness.Deployment) -> None:
    """Writes the entry of another writer at each heartbeat."""
    store = deployment.store
    entry = dict(store.objects["servers", "i-1"]["spec"])
    entry["service"] = UNREADABLE
    deployment.record.add("foreign-entry")
    while True:
        entry["sequence"] += 1
        store.put("servers", "i-other-writer", entry)
        await asyncio.sleep(harness.HEARTBEAT_SECONDS)


async def case(deployment: harness.Deployment) -> str:
    """Evacuates a zone and sends requests."""
    store, record = deployment.store, deployment.record
    if deployment.trouble:
        deployment.in_background(_write_unreadable_entry(deployment))
    await asyncio.sleep(harness.STABLE_SECONDS)
    evacuated_at = store.put("evacuations", EVACUATED_ZONE, {})
    record.add("evacuation", EVACUATED_ZONE)

    while time.monotonic() < evacuated_at + SENT_SECONDS:
        for host in deployment.hosts:
            await deployment.send(host, "/read/1", "key-a")
        await asyncio.sleep(0.02)
    zones = {each.name: each.zone for each in deployment.backends}
    runs = deployment.runs()
    late = [
        run
        for run in runs
        if zones[run.backend] == EVACUATED_ZONE
        and run.at > evacuated_at + EVAC_SECONDS
    ]
    if not any(run.at > evacuated_at + EVAC_SECONDS for run in runs):
        raise harness.NotRunError("no request was run after the bound")
    if not late:
        return ""
    return (
        f"EVAC: {len(late)} requests reached backends of the evacuated zone "
        f"more than {EVAC_SECONDS:g} s after the acknowledgement of its "
        f"evacuation; the last {late[-1].at - evacuated_at:.1f} s after it"
    )


if __name__ == "__main__":
    harness.main(case, pathlib.Path(__file__).parent)
