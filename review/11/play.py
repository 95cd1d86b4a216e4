"""Two hosts crash behind a cut from the store and start again at their addresses, with new ids.

The last heartbeat of each old process reaches the store after the new one has registered, and
lapses three heartbeats later. Well after that, half of the instances are stopped and started in
turn, as planned work.
"""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))
import bed as common  # noqa: E402

CUT_S, LATE_S, LAPSE_S, SETTLED_S, GAP_S = 5.0, 1.5, 3.6, 8.0, 2.0


def start_again(bed, host):
    """The process of the host ends, and the next one has another id and knows no flow."""
    host.key = bed.random.getrandbits(40)
    host.id = f"i-{host.key:010x}"
    host.born += int(CUT_S * 1000)
    host.half_open, host.flows, host.queue, host.busy = {}, {}, type(host.queue)(), 0
    host.ended.clear()
    host.register()


def play(bed, trouble):
    bed.is_planned = True
    bed.run(8)
    cut = bed.hosts[:2] if trouble else []
    old = [dict(id=host.id, born=host.born) for host in cut]
    bed.run(LAPSE_S)
    for each in old:
        bed.store.write(f"servers/{each['id']}", None)
    bed.run(CUT_S - LAPSE_S)
    for host in cut:
        # Flows that the crash ends are no matter of this case.
        for name in list(host.flows):
            bed.open_at.pop(name, None)
        start_again(bed, host)
    bed.run(LATE_S)
    for each, host in zip(old, cut):
        bed.store.write(f"servers/{each['id']}", {
            "service": host.service, "address": f"{host.ip}:{host.port}", "zone": host.zone,
            "version": "v1", "maxConcurrency": host.slots, "state": "ready",
            "warmupLeftMs": 0, "sequence": 9, "born": each["born"]})
    bed.run(LAPSE_S)
    for each in old:
        bed.store.write(f"servers/{each['id']}", None)
    # What opened before the entries had settled is left out.
    bed.run(SETTLED_S)
    bed.open_at.clear()
    bed.breaks.clear()
    bed.record.line("the planned work begins")
    for instance in bed.instances[::2]:
        instance.stop()
        bed.run(GAP_S)
    bed.run(12)
    for host in bed.hosts:
        opened = sum(1 for owner, _ in bed.open_at.values() if owner is host)
        bed.record.line(f"{host.id}: {opened} flows opened since the planned work began"
                        f"{', it had started again' if host in cut else ''}")


if __name__ == "__main__":
    seed = int(os.environ.get("SEED", "1"))
    sys.exit(common.main(play, os.path.join(HERE, "record.txt"), seed, instances=8, hosts=8,
                         flows_per_s=30.0))
