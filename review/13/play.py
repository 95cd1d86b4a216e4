"""Sends configurations in quick succession after the configuration has grown by many routes.

The last configuration withdraws one route and adds another.
"""

import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))
import bed as common  # noqa: E402

GROWTHS, ROUTES_MORE = 4, 1400
STORM_S, GAP_S = 1.5, 0.06
APPLY_S = 5.0
PROBE_INTERVAL_S = 0.1


def route(name, host, port):
    return {"name": name, "host": host, "prefix": f"/{port}/", "kind": "idempotent",
            "timeoutMs": 2500, "latencyGoalMs": 500, "priority": 2, "service": "ledger",
            "attempts": 2}


class Probes:
    """Flows of a caller that uses a route which is withdrawn, and one which is added."""

    def __init__(self, bed):
        self.bed = bed
        self.old, self.new = (bed.listener[0], 9001), (bed.listener[0], 9002)
        self.changed_at = None
        self.sent = {}
        bed.syn_arrived = self.judge
        self.open_next()

    def open_next(self):
        for listener in (self.old, self.new):
            client = self.bed.clients[0]
            client.open_flow(listener, requests=1)
            self.sent[(client.ip, client.next_port, *listener)] = self.bed.loop.now()
        self.bed.loop.after(PROBE_INTERVAL_S, self.open_next)

    def judge(self, host, name, source):
        """CONFIG, by the opening packet that a host took."""
        if name[3] == self.old[1] and self.changed_at is not None and \
                self.sent[name] > self.changed_at + APPLY_S:
            self.bed.broken("CONFIG", f"{name}, sent {self.sent[name] - self.changed_at:.1f} s "
                            f"after the route was dropped, reaches {host.id} through "
                            f"{source[0]}")


def play(bed, trouble):
    probes = Probes(bed)
    listener = bed.listener[0]
    # Four times 1,400 routes more; the last size just fits into one value of the store.
    many = [route(f"r-idle-{number:05d}", listener, 10000 + number)
            for number in range(GROWTHS * ROUTES_MORE)]
    old, new = route("r-old", *probes.old), route("r-new", *probes.new)

    def text(version, routes, growths=GROWTHS):
        grown = many[:growths * ROUTES_MORE]
        return json.dumps(bed.configuration(version, grown + routes)).encode()

    bed.write_configuration(9, [old])
    bed.run(4)
    for growths in range(1, GROWTHS + 1):
        bed.store.write("op/config", text(10 + growths, [old], growths))
        bed.run(2)
    storm = [text(20 + step, [old]) for step in range(round(STORM_S / GAP_S))]
    last = text(60, [new])
    bed.run(6)
    bed.record.line(f"the configuration has {len(many)} routes and {len(last)} bytes")
    started = bed.loop.now()
    for step, each in enumerate(storm if trouble else []):
        bed.store.write("op/config", each)
        bed.loop.run_until(started + (step + 1) * GAP_S)
    bed.store.write("op/config", last)
    probes.changed_at = bed.loop.now()
    bed.run(30)
    for port in (probes.old[1], probes.new[1]):
        opened = sum(1 for name in bed.open_at if name[3] == port)
        bed.record.line(f"flows opened on port {port}: {opened}")


if __name__ == "__main__":
    seed = int(os.environ.get("SEED", "1"))
    sys.exit(common.main(play, os.path.join(HERE, "record.txt"), seed, instances=18, zones=3,
                         flows_per_s=20.0))
