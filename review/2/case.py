"""Entries of another writer under a live host's address: the live host is taken as gone."""

import asyncio
import random
import sys
import time

from standin_site import Requester, Site, main

FLOWS, REQUESTS = 24, 4
# The longest work of `estado-taller`; its mean is 47 ms.
LONG_WORK_MS, WORK_MS = 500, 47


async def run(site: Site, trouble: bool) -> list[str]:
    site.add_route(443, "mostrador", "idempotent", timeout_ms=2500)
    site.add_route(8443, "inspeccion", "upload")
    await site.start({"mostrador": 7, "inspeccion": 3})
    requester = Requester(site)
    flows = [flow for flow in [await requester.open(443) for _ in range(FLOWS)] if flow]
    for number, flow in enumerate(flows):
        await requester.request(flow, WORK_MS, 3.0, f"before-{number}")
    hosts = [host for host in site.hosts.values() if host.service == "mostrador"]
    if trouble:
        # Another writer, say an inventory tool, lists the same addresses under a service that no
        # configuration names. Such an entry names no host to use.
        for host in hosts:
            ident = f"i-{random.randrange(2**36, 2**40):010x}"
            foreign = host.entry() | {"service": "inventario", "born": int(time.time() * 1000)}
            await site.store.put(f"servers/{ident}", foreign)
            site.record("foreign_entry", key=ident, address=foreign["address"])
    await asyncio.sleep(2.5)
    ends: dict[str, int] = {}
    refused = opened = 0

    async def ask(number: int, flow) -> None:
        for step in range(REQUESTS):
            how = await requester.request(flow, LONG_WORK_MS, 2.5, f"after-{number}-{step}")
            ends[how] = ends.get(how, 0) + 1
            if how != "answered":
                return
            await asyncio.sleep(0.2)

    # Few flows at a time, so that the hosts are not busy beyond their slots.
    for start in range(0, len(flows), 4):
        await asyncio.gather(
            *(ask(start + index, flow) for index, flow in enumerate(flows[start : start + 4]))
        )
    for _ in range(30):
        flow = await requester.open(443)
        opened, refused = opened + (flow is not None), refused + (flow is None)
        if flow is not None:
            requester.finish(flow)
    print("requests on open flows:", ends, "new flows:", opened, "refused:", refused)
    site.record(
        "ends",
        **{key.replace(" ", "_"): value for key, value in ends.items()},
        opened=opened,
        refused=refused,
    )
    requester.close()
    # All hosts live and keep their flows, and no configuration drops the route.
    return [
        f"FLOW: port {flow.port} reset by the system, {at - flow.opened_s:.2f} s after it opened"
        for at, flow, _ in requester.resets
        if site.open_host(flow.port, at)
    ]


if __name__ == "__main__":
    sys.exit(main(__file__, run))
