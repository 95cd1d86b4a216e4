"""What the tests of one instance without a fleet share."""

import json
import os

DATA_PORT, READY_PORT, METRICS_PORT, PEER_PORT, STORE_PORT = 7001, 7002, 7003, 7004, 7009
# The platform kills a process that has not ended this long after it was told to stop.
STOP_SECONDS = 6
SERVING_SECONDS = 1.5


def write_settings(folder, address):
    """Writes the settings of an instance whose ports are all at one address."""
    path = os.path.join(folder, "settings.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump({"name": "entry-1", "data_centre": "north", "data": f"{address}:{DATA_PORT}",
                   "ready": f"{address}:{READY_PORT}", "ready_path": "/ready",
                   "metrics": f"{address}:{METRICS_PORT}", "peer": f"{address}:{PEER_PORT}",
                   "peer_key": "0" * 64, "seeds": [], "state": f"{address}:{STORE_PORT}",
                   "interface": "platform"}, file)
    return path


def full_pipe():
    """Returns both ends of a pipe that holds as many bytes as it can."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, b"\n" * 4096)
    except BlockingIOError:
        os.set_blocking(writer, True)
    return reader, writer
