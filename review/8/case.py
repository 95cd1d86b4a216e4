"""Another writer overwrites the entries of two live hosts with bytes that can't be read, in a
burst of surveys. The hosts write their entries again with their next heartbeat."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
import bed as stand  # noqa: E402

ZONES = ["rz-a", "rz-b", "rz-c"]
SURVEYS = ("198.18.0.1", 8080)
ROUTES = [{"name": "r-surveys", "host": SURVEYS[0], "prefix": f"/{SURVEYS[1]}/",
           "kind": "non_idempotent", "timeoutMs": 3000, "latencyGoalMs": 300, "priority": 1,
           "service": "quote-desk", "attempts": 2}]
RATE = 88.0  # surveys a second, about 0.7 of what three hosts with three slots each can take
BURST, BURST_TIME = 1.8, 3.5  # x and for_s of burst


def work_time():
    return min(0.43, random.lognormvariate(-2.75, 0.5))  # mean 72 ms, as on the sheet


async def send_surveys(bed, clients, state):
    due = stand.now()
    while True:
        due += random.expovariate(RATE * state["factor"])
        await asyncio.sleep(max(0, due - stand.now()))
        random.choice(clients).open(SURVEYS, body=900, size=600, deadline=3.0)


async def scenario(bed):
    bed.notes_flows = False
    await bed.start(ZONES, {f"front-{zone}-{i}": zone for zone in ZONES for i in (1, 2)})
    hosts = [bed.add_host(f"i-{0x7f3a9100 + 16 * i:08x}", "quote-desk", zone, bed.ip(100 + i, 1),
                          work=work_time) for i, zone in enumerate(ZONES)]
    bed.configure(7, ROUTES, ["quote-desk"])
    bed.start_instances()
    await bed.wait_ready(bed.instances)
    clients = [bed.add_client(bed.ip(150 + i, 1), zone) for i, zone in enumerate(ZONES)]
    state = {"factor": 1.0}
    sender = bed.spawn(send_surveys(bed, clients, state))
    await asyncio.sleep(5)
    state["factor"] = BURST
    bed.note("the burst begins")
    await asyncio.sleep(1.0)
    for host in hosts[:2]:
        if bed.trouble:
            revision = bed.store.put(host.entry_key, b"\xff\xfe{not an entry")
            bed.note(f"another writer wrote {host.entry_key}, revision {revision}; the host holds "
                     f"{len(host.flows)} open flows")
        await asyncio.sleep(1.25)
    state["factor"] = 1.0
    await asyncio.sleep(2)
    sender.cancel()
    await asyncio.sleep(3.2)
    outcomes = [flow.outcome for client in clients for flow in client.flows.values()]
    bed.note(f"outcomes: { {each: outcomes.count(each) for each in set(outcomes)} }")
    lost = [a for a in bed.attempts.values() if a["runs"] and a["flow"].outcome == "reset"]
    bed.note(f"{len(lost)} surveys were run, and their clients were reset without the answer")


stand.run_case(FOLDER, scenario)
