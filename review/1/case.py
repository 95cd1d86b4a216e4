"""A host that the store has removed goes on getting new flows after a restart of its readers."""

import asyncio
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from platform_standin import Deployment, run_case  # noqa: E402

NODES = {"nbo-a": ["front-nbo-a-1", "front-nbo-a-2", "front-nbo-a-3"],
         "nbo-b": ["front-nbo-b-1", "front-nbo-b-2"],
         "nbo-c": ["front-nbo-c-1", "front-nbo-c-2", "front-nbo-c-3"]}
# The instances with the lowest ids read the store; here they are among the seeds.
SEEDS = ["front-nbo-b-1", "front-nbo-b-2", "front-nbo-c-2"]
LISTENER = ("198.18.0.1", 8443)
DRAIN_S = 3.0
# The instances are killed shortly before the entry is removed, and are restarted after it.
KILL_BEFORE_REMOVAL_S = 0.1
DOWN_S = 0.2
MAX_KILLED = 4
FLOWS_PER_S = 40
WORK_S = 0.25
DEADLINE_S = 2.0
LIVES_AFTER_S = 14.0
RUN_AFTER_END_S = 6.0


def readers_of(deployment):
    """Returns the instances that read the store, found by their logs."""
    readers = []
    for node in deployment.nodes:
        with open(os.path.join(deployment.folder, f"{node.name}.log"), encoding="utf-8") as file:
            events = [line for line in file if '"reading_' in line]
        if events and '"reading_started"' in events[-1]:
            readers.append(node.name)
    return readers


async def use(deployment, zone, number, port):
    client = await deployment.client(zone, number, port, LISTENER)
    if await client.open():
        client.opened_at = deployment.record.now()
        client.answer = await client.request(f"r{zone}-{port}", DEADLINE_S, b"x" * 900)
        client.is_done = True
        client.close()


async def callers(deployment):
    port = 1024
    while True:
        port += 1
        zone = port % 3
        deployment.spawn(use(deployment, zone, 1 + port % 5, port))
        await asyncio.sleep(random.expovariate(FLOWS_PER_S))


async def main(trouble):
    deployment = Deployment(os.path.join(HERE, "record.txt"), NODES, SEEDS)
    record = deployment.record
    try:
        route = {"name": "r-submit", "host": LISTENER[0], "prefix": f"/{LISTENER[1]}/",
                 "kind": "non_idempotent", "timeoutMs": 2000, "latencyGoalMs": 300, "priority": 1,
                 "service": "catalogue", "attempts": 2}
        await deployment.start([route], [("catalogue", i % 3, WORK_S) for i in range(9)])
        deployment.spawn(callers(deployment))
        await asyncio.sleep(5)
        lost = deployment.hosts[3]
        lost.reaches_store = False
        record(f"{lost.id} no longer reaches the store; it lives and serves")
        await asyncio.sleep(lost.lapses_at() - time.monotonic() -
                            KILL_BEFORE_REMOVAL_S)
        killed = []
        if trouble:
            readers = readers_of(deployment)
            record(f"the instances that read the store: {readers}")
            names = SEEDS + [name for name in readers if name not in SEEDS]
            killed = names[:MAX_KILLED]
            for name in killed:
                deployment.node(name).signal(signal.SIGKILL)
            await asyncio.sleep(DOWN_S)
            for name in killed:
                await deployment.node(name).process.wait()
                await deployment.node(name).start()
        key = f"servers/{lost.id}"
        while key in deployment.store.items:
            await asyncio.sleep(0.01)
        removed_at = next(at for _, at, event in deployment.store.events
                          if event["key"] == key and event.get("deleted")) - record.start
        await asyncio.sleep(LIVES_AFTER_S)
        lost.end()
        await asyncio.sleep(RUN_AFTER_END_S)
        for node in deployment.nodes:
            status = await node.status()
            record(f"{node.name}: position {status['position']}, targets {status['targets']}")
        late = [at for at, node in lost.openings
                if at > removed_at + DRAIN_S and node not in killed]
        runs = [at for at, _ in lost.runs if at > removed_at + DRAIN_S]
        unanswered = [client.name for client in deployment.clients.values()
                      if client.host == lost.id and client.opened_at > removed_at + DRAIN_S
                      and client.is_done and client.answer is None]
        record(f"{lost.id} was removed at {removed_at:.3f}; later than {DRAIN_S} s after that it "
               f"took {len(late)} openings from instances that were not killed, the last one "
               f"{max(late, default=removed_at) - removed_at:.1f} s after it, and ran "
               f"{len(runs)} requests; when it ended, {len(unanswered)} requests on such flows were "
               f"never answered: {unanswered}")
        return bool(late)
    finally:
        await deployment.stop()


run_case(main)
