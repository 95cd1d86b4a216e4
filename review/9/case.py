"""Instances are added in a burst. Openings that wait at an old instance are placed there late,
although their callers have opened the flow through a new instance."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
import bed as stand  # noqa: E402

ZONES = ["rz-a"]
SAMPLES = ("198.18.0.2", 8443)
ROUTES = [{"name": "r-samples", "host": SAMPLES[0], "prefix": f"/{SAMPLES[1]}/",
           "kind": "download", "timeoutMs": 5000, "latencyGoalMs": 500, "priority": 2,
           "service": "sample-vault", "attempts": 2}]
FLOWS_PER_SECOND, REQUESTS, PAUSE = 28.0, 2, 0.5
BURST, BURST_TIME = 2.4, 6.5  # x and for_s of burst
ADDED_AFTER = 6.3  # from the start of a burst
CALM_TIME = 9.0
ROUNDS = 3


async def send(bed, clients, state):
    due = stand.now()
    while True:
        due += random.expovariate(FLOWS_PER_SECOND * state["factor"])
        await asyncio.sleep(max(0, due - stand.now()))
        random.choice(clients).open(SAMPLES, requests=REQUESTS, pause=PAUSE, size=6000,
                                    deadline=5.0)


async def scenario(bed):
    first = {"front-rz-a-1": "rz-a", "front-rz-a-2": "rz-a"}
    added = {f"front-rz-a-{3 + i}": "rz-a" for i in range(ROUNDS)}
    await bed.start(ZONES, {**first, **added})
    for i in range(4):
        bed.add_host(f"i-{0x7f3a9100 + 16 * i:08x}", "sample-vault", "rz-a", bed.ip(100 + i, 1),
                     work=lambda: min(0.33, random.lognormvariate(-1.9, 0.3)))
    bed.configure(7, ROUTES, ["sample-vault"])
    bed.start_instances(first)
    await bed.wait_ready(first)
    clients = [bed.add_client(bed.ip(150, 1 + i), "rz-a") for i in range(4)]
    state = {"factor": 1.0}
    sender = bed.spawn(send(bed, clients, state))
    await asyncio.sleep(5)
    for name in added:
        bed.note("a burst begins")
        state["factor"] = BURST
        await asyncio.sleep(ADDED_AFTER)
        if bed.trouble:
            bed.start_instances([name])
        await asyncio.sleep(BURST_TIME - ADDED_AFTER)
        state["factor"] = 1.0
        await asyncio.sleep(CALM_TIME)
    sender.cancel()
    await asyncio.sleep(6)
    outcomes = [flow.outcome for client in clients for flow in client.flows.values()]
    bed.note(f"outcomes: { {each: outcomes.count(each) for each in set(outcomes)} }")
    for each in bed.instances.values():
        if each.process:
            lines = each.log_events("openings_wait")
            bed.note(f"{each.name}: {len(lines)} lines openings_wait, {lines[-1:]}")


stand.run_case(FOLDER, scenario)
