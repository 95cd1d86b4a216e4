"""Open connections to the store go silent; later both instances that read the store are killed.

The others find out 2 s after the kill that nobody reads, and then lose 1.9 s more on the
connection that went silent long before, so a change reaches them after more than
configApplyMs and drainMs. PART=silence or PART=kill brings one of the two disruptions alone.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
import bed as stand  # noqa: E402

ZONES = ["rz-a", "rz-b", "rz-c"]
INSTANCES = {f"front-{zone}-{i}": zone for zone, count in zip(ZONES, (3, 2, 2))
             for i in range(1, count + 1)}
CONFIG_APPLY = 3.0  # configApplyMs
DRAIN = 3.0  # drainMs
STABLE_WINDOW = 4.0  # stableWindowMs
DOWN_TIME = 3.5  # for_s of node_kill
IDLE_TIME = 8.0
QUOTES, OLD = ("198.18.0.1", 8443), ("198.18.0.2", 8081)


def route(name, listener):
    return {"name": name, "host": listener[0], "prefix": f"/{listener[1]}/",
            "kind": "idempotent", "timeoutMs": 2500, "latencyGoalMs": 250, "priority": 2,
            "service": "quote-desk", "attempts": 2}


def readers(bed):
    """The instances that read the store now, by their logs."""
    def reads(instance):
        started = instance.log_events("reading_started")
        ended = instance.log_events("reading_ended")
        return len(started) > len(ended)
    return [each for each in bed.instances.values() if reads(each)]


async def send_flows(bed, clients):
    while True:
        for client in clients:
            client.open(QUOTES, size=500, label="quotes")
            client.open(OLD, size=500, label="old")
        await asyncio.sleep(0.04)


async def restart(instance):
    await asyncio.sleep(DOWN_TIME)
    instance.start()


def check(bed, clients, dropped_at, draining, draining_at, out_of_touch):
    for client in clients:
        for flow in client.flows.values():
            in_touch = flow.via and not set(flow.via) & out_of_touch
            if flow.host_ident is None or not in_touch:
                continue
            age = flow.started - dropped_at
            if flow.label == "old" and age > CONFIG_APPLY:
                bed.violation("CONFIG", f"flow {flow.port}, sent {age:.3f} s after the "
                              f"acknowledgement of the version that dropped its route, ran at "
                              f"{flow.host_ident} via {flow.via}")
            age = flow.opening_arrived - draining_at if flow.opening_arrived else 0
            if flow.host_ident == draining.ident and age > DRAIN:
                bed.violation("DRAIN", f"flow {flow.port} reached {draining.ident} "
                              f"{age:.3f} s after the acknowledgement that it drains, "
                              f"via {flow.via}")


async def scenario(bed):
    part = os.environ.get("PART", "both")
    bed.notes_flows = False
    await bed.start(ZONES, INSTANCES)
    hosts = [bed.add_host(f"i-{0x7f3a9100 + 16 * i + k:08x}", "quote-desk", zone,
                          bed.ip(100 + i, 1 + k), work=0.02)
             for i, zone in enumerate(ZONES) for k in range(2)]
    bed.configure(7, [route("r-quotes", QUOTES), route("r-old", OLD)], ["quote-desk"])
    bed.start_instances()
    await bed.wait_ready(bed.instances)
    clients = [bed.add_client(bed.ip(150 + i, 1), zone) for i, zone in enumerate(ZONES)]
    await asyncio.sleep(IDLE_TIME + 2)
    sender = bed.spawn(send_flows(bed, clients))
    if bed.trouble and part in ("both", "silence"):
        silent = bed.store.silence_idle_connections(IDLE_TIME)
        bed.note(f"{silent} idle connections to the store go silent")
    await asyncio.sleep(2 * STABLE_WINDOW)
    bed.configure(9, [route("r-quotes", QUOTES), route("r-old", OLD)], ["quote-desk"])
    await asyncio.sleep(0.3)
    killed = []
    if bed.trouble and part in ("both", "kill"):
        killed = readers(bed)
        if len(killed) != 2:
            raise stand.CannotRun(f"{len(killed)} instances read the store")
        for each in killed:
            each.signal(signal.SIGKILL)
            bed.spawn(restart(each))
    dropped_at = bed.configure(12, [route("r-quotes", QUOTES)], ["quote-desk"])
    draining = hosts[-1]
    draining.state = "draining"
    revision = draining.announce()
    draining_at = stand.now()
    bed.note(f"{draining.ident} drains, acknowledged at revision {revision}")
    await asyncio.sleep(6)
    sender.cancel()
    await asyncio.sleep(2)
    for each in bed.instances.values():
        for line in each.log_events("configuration_in_force"):
            bed.note(f"log of {each.name}: {line}")
        for line in each.log_events("state_source_lost"):
            bed.note(f"log of {each.name}: {line}")
    check(bed, clients, dropped_at, draining, draining_at, {each.name for each in killed})


stand.run_case(FOLDER, scenario)
