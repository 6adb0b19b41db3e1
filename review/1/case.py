"""Rolling restart while routes are added: open flows on the new routes are reset."""

import asyncio
import sys

from standin_site import Requester, Site, main

# sites/emrr-xela.toml: config_storm as in `troubles`, roll_term as on the day trouble-2.
STORM_S, STORM_GAP_S, ROLL_GAP_S = 4.0, 0.33, 2.0
ROUNDS, FLOWS_EACH = 4, 5
# The mean work of `tarjeta-orden` is 61 ms, its longest 650 ms.
WORK_MS, FLOW_S = 150, 5.0


async def run(site: Site, trouble: bool) -> list[str]:
    site.add_route(443, "mostrador", "idempotent")
    site.add_route(8443, "inspeccion", "upload")
    await site.start({"mostrador": 14, "inspeccion": 4})
    requesters = [Requester(site, zone) for zone in site.zones]
    lost: list[str] = []
    ends: dict[str, int] = {}
    port = 2000
    names = iter(range(10**6))

    async def use(requester: Requester, route: int) -> None:
        # A refused open is tried again twice, from a new port each time.
        for _ in range(3):
            flow = await requester.open(route)
            if flow is not None:
                break
            await asyncio.sleep(0.1)
        else:
            return
        begin = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - begin < FLOW_S:
            name = f"q-{next(names)}"
            how = await requester.request(flow, WORK_MS, 5.0, name)
            ends[how] = ends.get(how, 0) + 1
            if how != "answered":
                if how == "reset" and any(one[2] == name for one in site.runs):
                    lost.append(name)
                break
            await asyncio.sleep(0.05)
        requester.finish(flow)

    async def roll() -> None:
        for daemon in site.daemons:
            site.spawn(daemon.stop_and_restart())
            await asyncio.sleep(ROLL_GAP_S)

    for _ in range(ROUNDS):
        users: list[asyncio.Task] = []
        rolling = asyncio.ensure_future(roll()) if trouble else None
        for _ in range(2):
            for _ in range(int(STORM_S / STORM_GAP_S)):
                port += 1
                site.add_route(port, "mostrador", "non_idempotent")
                await site.publish()
                users += [
                    asyncio.ensure_future(use(one, port))
                    for one in requesters
                    for _ in range(FLOWS_EACH)
                ]
                await asyncio.sleep(STORM_GAP_S)
        if rolling is not None:
            await rolling
        await asyncio.gather(*users)
        await asyncio.sleep(1)
    print(ends, "requests that had run and whose answer was lost:", len(lost))
    site.record(
        "ends", **{key.replace(" ", "_"): value for key, value in ends.items()}, lost=len(lost)
    )
    resets = sorted((one for each in requesters for one in each.resets), key=lambda one: one[0])
    for requester in requesters:
        requester.close()
    # No host ends in this case and no route is dropped, so that no reset is excused.
    return [
        f"FLOW: port {flow.port} route {flow.dport} reset by the system, {at - flow.opened_s:.2f} s after it opened"
        for at, flow, _ in resets
        if site.open_host(flow.port, at)
    ]


if __name__ == "__main__":
    sys.exit(main(__file__, run))
