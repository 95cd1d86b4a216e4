"""Another writer saves copies of three hosts' entries under ids of its own and removes them again.

The copies have a state that the pages do not name, so they name no host to use.
"""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))
import bed as common  # noqa: E402

LOSS = float(os.environ.get("LOSS", "0.005"))
KEPT_S = 1.0
COPIED = int(os.environ.get("COPIED", "3"))


def play(bed, trouble):
    bed.run(18)
    touched = bed.hosts[:COPIED]
    if trouble:
        for host in touched:
            bed.store.write(f"servers/saved-{host.id}", {
                "service": host.service, "address": f"{host.ip}:{host.port}",
                "zone": host.zone, "version": "v1", "maxConcurrency": host.slots,
                "state": "saved", "warmupLeftMs": 0, "sequence": 1, "born": host.born})
    bed.run(KEPT_S)
    if trouble:
        for host in touched:
            bed.store.write(f"servers/saved-{host.id}", None)
    before = {host: len(host.flows) for host in bed.hosts}
    bed.run(20)
    for host in bed.hosts:
        bed.record.line(f"{host.id}: {before[host]} open flows then, {len(host.flows)} now"
                        f"{', its entry was copied' if trouble and host in touched else ''}")


if __name__ == "__main__":
    seed = int(os.environ.get("SEED", "1"))
    sys.exit(common.main(play, os.path.join(HERE, "record.txt"), seed, instances=4, hosts=6,
                         slots=4, flows_per_s=32.0, requests_per_flow=20, loss=LOSS))
