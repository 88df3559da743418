"""A service is added after another writer's entry was there for a moment."""

import asyncio
import pathlib
import time

from review import harness

# A number of another type than all others: it needs 65 bits.
FOREIGN_SLOTS = 2**64
# The platform's bound on a configuration, in seconds.
CONFIG_APPLY_SECONDS = 2.5
# Time from the acknowledgement of the new route to the first request on it.
SETTLE_SECONDS = CONFIG_APPLY_SECONDS + 2.0
REQUESTS_PER_HOST = 40


async def case(deployment: harness.Deployment) -> str:
    """Adds a service with a route and sends requests on both routes."""
    store, record = deployment.store, deployment.record
    if deployment.trouble:
        entry = dict(store.objects["servers", "i-1"]["spec"])
        entry["slots"] = FOREIGN_SLOTS
        store.put("servers", "i-other-writer", entry)
        record.add("foreign-entry")
    # The entry lapses after three heartbeats of silence.
    await asyncio.sleep(3 * harness.HEARTBEAT_SECONDS)
    if deployment.trouble:
        store.put("servers", "i-other-writer", None)
        record.add("foreign-entry-removed")
    await asyncio.sleep(2 * harness.STABLE_SECONDS)

    for number, zone in enumerate(harness.ZONES):
        backend = harness.Backend(
            record, store, f"i-new-{number}", zone, service="archive"
        )
        await backend.start()
        deployment.backends.append(backend)
    await asyncio.sleep(harness.HEARTBEAT_SECONDS)
    configuration = harness.configuration(2, ["key-a"])
    configuration["services"]["archive"] = configuration["services"]["work"]
    configuration["routes"]["archive"] = harness.route(
        "idempotent", "/archive/", service="archive"
    )
    added_at = store.put("config", "main", configuration)
    record.add("config", "r2 adds /archive/")
    await asyncio.sleep(SETTLE_SECONDS)

    served = {"/read/1": 0, "/archive/1": 0}
    for _ in range(REQUESTS_PER_HOST):
        for host in deployment.hosts:
            for path in served:
                _, _, status = await deployment.send(host, path, "key-a")
                served[path] += status == "200"
    record.add("served", served)
    if time.monotonic() - added_at > harness.RUN_SECONDS / 2:
        raise harness.NotRunError("the requests took too long")
    sent = REQUESTS_PER_HOST * len(deployment.hosts)
    if served["/read/1"] < sent / 2:
        raise harness.NotRunError("the first route is not served")
    if served["/archive/1"] >= served["/read/1"] / 4:
        return ""
    return (
        f"CONFIG: of {sent} requests on the added route "
        f"{served['/archive/1']} were served, of as many on the first route "
        f"{served['/read/1']}"
    )


if __name__ == "__main__":
    harness.main(case, pathlib.Path(__file__).parent)
