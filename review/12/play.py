"""Brings the store back from a copy some seconds old, as in the drill, then changes things.

Eight seconds after the store is back, the operator withdraws one route and adds another, and two
hosts report that they drain.
"""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))
import bed as common  # noqa: E402

COPY_AGE_S, AWAY_S, SETTLED_S = 4.0, 0.5, 8.0
APPLY_S = DRAIN_S = 5.0
PROBE_INTERVAL_S = 0.1


def route(name, listener):
    return {"name": name, "host": listener[0], "prefix": f"/{listener[1]}/",
            "kind": "idempotent", "timeoutMs": 2500, "latencyGoalMs": 500, "priority": 2,
            "service": "ledger", "attempts": 2}


class Probes:
    """Flows of a caller that uses a route which is withdrawn, and one which is added."""

    def __init__(self, bed):
        self.bed = bed
        self.old, self.new = (bed.listener[0], 9001), (bed.listener[0], 9002)
        self.dropped_at = self.added_at = None
        self.sent, self.drained = {}, {}
        bed.syn_arrived = self.judge
        self.open_next()

    def open_next(self):
        for listener in (self.old, self.new):
            client = self.bed.clients[0]
            client.open_flow(listener, requests=1)
            name = (client.ip, client.next_port, *listener)
            self.sent[name] = self.bed.loop.now()
        self.bed.loop.after(PROBE_INTERVAL_S, self.open_next)

    def judge(self, host, name, source):
        """CONFIG and DRAIN, by the opening packet that a host took."""
        now = self.bed.loop.now()
        sent = self.sent.get(name)
        if name[3] == self.old[1] and self.dropped_at is not None and \
                sent > self.dropped_at + APPLY_S:
            self.bed.broken("CONFIG", f"{name}, sent {sent - self.dropped_at:.1f} s after the "
                            f"route was dropped, reaches {host.id} through {source[0]}")
        if host in self.drained and now > self.drained[host] + DRAIN_S:
            self.bed.broken("DRAIN", f"{name} reaches {host.id} "
                            f"{now - self.drained[host]:.1f} s after it was draining, through "
                            f"{source[0]}")


def play(bed, trouble):
    probes = Probes(bed)
    main_routes = [route("r-old", probes.old)]
    bed.write_configuration(12, main_routes)
    bed.run(7)
    copied = bed.store.copy()
    # What the operator and the hosts write in the seconds that the copy lacks.
    added = []
    for number in range(4):
        host = common.Host(bed, 100 + number, "ledger", "zone-a", 2, 22.0, warm_up_left_ms=2400)
        bed.by_address[(host.ip, host.port)] = host
        added.append(host)
    for step in range(3):
        bed.write_configuration(15 + 3 * step, main_routes)
        bed.run(COPY_AGE_S / 3)
        for host in added:
            host.warm_up_left_ms = max(0, host.warm_up_left_ms - 1200)
            host.register()
    if trouble:
        bed.record.line("the store is away")
        bed.store.is_down = True
        bed.run(AWAY_S)
        bed.store.restore(copied)
        bed.store.is_down = False
        bed.record.line(f"the store is back with revision {bed.store.revision} and era "
                        f"{bed.store.era}")
        # The operator and the hosts write again what they wrote.
        bed.run(0.3)
        bed.write_configuration(21, main_routes)
        for host in added:
            host.register()
    bed.run(SETTLED_S)
    calls = bed.store.calls
    bed.run(4)
    bed.record.line(f"the store gets {(bed.store.calls - calls) / 4:.0f} calls a second")
    bed.write_configuration(30, [route("r-new", probes.new)])
    probes.dropped_at = bed.loop.now()
    for host in bed.hosts[:2]:
        host.state = "draining"
        host.register()
        probes.drained[host] = bed.loop.now()
    bed.run(15)
    for listener in (probes.old, probes.new):
        answered = sum(1 for name in bed.open_at if name[3] == listener[1])
        bed.record.line(f"flows opened on port {listener[1]}: {answered}")


if __name__ == "__main__":
    seed = int(os.environ.get("SEED", "1"))
    sys.exit(common.main(play, os.path.join(HERE, "record.txt"), seed, instances=4,
                         flows_per_s=30.0))
