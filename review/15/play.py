"""Stops and starts ten instances in turn, as planned work, while callers hold flows open."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))
import bed as common  # noqa: E402

LOSS = float(os.environ.get("LOSS", "0.005"))
MACHINES, GAP_S = 10, 2.0
FLOWS_PER_S = 100.0


def play(bed, trouble):
    bed.is_planned = True
    bed.run(15)
    for index in range(MACHINES):
        if trouble:
            bed.instances[index].stop()
        bed.run(GAP_S)
    bed.run(8)


if __name__ == "__main__":
    seed = int(os.environ.get("SEED", "1"))
    sys.exit(common.main(play, os.path.join(HERE, "record.txt"), seed, instances=10, hosts=16,
                         flows_per_s=FLOWS_PER_S, loss=LOSS))
