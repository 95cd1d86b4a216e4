"""An entry of another writer, of a service that no configuration names, has the address of a
live host."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
import bed as stand  # noqa: E402

ZONES = ["rz-a", "rz-b", "rz-c"]
QUOTES = ("198.18.0.1", 8443)
ROUTES = [{"name": "r-quotes", "host": QUOTES[0], "prefix": f"/{QUOTES[1]}/",
           "kind": "idempotent", "timeoutMs": 2500, "latencyGoalMs": 250, "priority": 2,
           "service": "quote-desk", "attempts": 2}]
FLOWS_PER_CLIENT = 20
REQUESTS = 16


async def scenario(bed):
    await bed.start(ZONES, {"front-rz-a-1": "rz-a", "front-rz-a-2": "rz-a",
                            "front-rz-b-1": "rz-b", "front-rz-b-2": "rz-b",
                            "front-rz-c-1": "rz-c"})
    for i, zone in enumerate(ZONES):
        for k in range(2):
            bed.add_host(f"i-{0x7f3a9100 + 16 * i + k:08x}", "quote-desk", zone,
                         bed.ip(100 + i, 1 + k))
    bed.configure(7, ROUTES, ["quote-desk"])
    bed.start_instances()
    await bed.wait_ready(bed.instances)
    clients = [bed.add_client(bed.ip(150 + i, 1), zone) for i, zone in enumerate(ZONES)]
    await asyncio.sleep(3)
    flows = []
    for _ in range(FLOWS_PER_CLIENT):
        for client in clients:
            flows.append(client.open(QUOTES, requests=REQUESTS, pause=0.4, size=3000))
        await asyncio.sleep(0.05)
    await asyncio.sleep(2)
    victim = max(bed.hosts.values(), key=lambda host: len(host.flows))
    bed.note(f"{victim.ident} at {victim.ip} holds {len(victim.flows)} open flows")
    if bed.trouble:
        entry = {**victim.entry(), "service": "quote-desk-old"}
        bed.store.put("servers/i-0c0ffee1", entry)
        bed.note(f"another writer wrote servers/i-0c0ffee1: {entry}")
    while not all(flow.outcome for flow in flows):
        await asyncio.sleep(0.1)
    bed.note(f"outcomes: {[f.outcome for f in flows].count('complete')} complete of {len(flows)}")


stand.run_case(FOLDER, scenario)
