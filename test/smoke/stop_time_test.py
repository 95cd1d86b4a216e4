#!/usr/bin/env python3
"""Checks that an instance ends in time after SIGTERM while all that it may wait for hangs.

The store and callers' HTTP connections are accepted and never answered, connections of peers stay
open with half a request, nobody reads the standard output, and SIGTERM is sent again and again.
Usage: stop_time_test.py BUILD_DIRECTORY
"""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from deployment import wait_until_signals_are_handled  # noqa: E402
from single_instance import (METRICS_PORT, PEER_PORT, READY_PORT, SERVING_SECONDS,  # noqa: E402
                             STOP_SECONDS, STORE_PORT, full_pipe, write_settings)

BUILD = sys.argv[1]
ADDRESS = "127.82.3.4"
SIGNAL_INTERVAL_SECONDS = 0.5
POLL_INTERVAL_SECONDS = 0.02
CONNECTIONS_EACH = 8


def silent_server():
    """Returns a socket whose connections the kernel accepts and nobody answers."""
    server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind((ADDRESS, STORE_PORT))
    server.listen()
    return server


def silent_connections():
    """Returns connections to the instance that begin a request and never finish it."""
    connections = []
    for port in (READY_PORT, METRICS_PORT, PEER_PORT):
        for _ in range(CONNECTIONS_EACH):
            connections.append(socket.create_connection((ADDRESS, port), 1))
            connections[-1].sendall(b"G")
    return connections


def seconds_to_end(process):
    """Tells the process to stop. Returns how long it takes to end, at most STOP_SECONDS."""
    started = time.monotonic()
    next_signal = started
    while process.poll() is None and time.monotonic() < started + STOP_SECONDS:
        if time.monotonic() >= next_signal:
            process.send_signal(signal.SIGTERM)
            next_signal += SIGNAL_INTERVAL_SECONDS
        time.sleep(POLL_INTERVAL_SECONDS)
    return time.monotonic() - started


with tempfile.TemporaryDirectory() as directory:
    store = silent_server()
    reader, writer = full_pipe()
    instance = subprocess.Popen([os.path.join(BUILD, "src/daemon/kumquatpathd"),
                                 write_settings(directory, ADDRESS)], stdout=writer)
    try:
        wait_until_signals_are_handled(instance)
        time.sleep(SERVING_SECONDS)
        held = silent_connections()
        assert instance.poll() is None, "the instance ended while it served"
        seconds = seconds_to_end(instance)
        assert instance.poll() == 0, f"after {seconds:.2f} s: status {instance.poll()}"
        print(f"ended after {seconds:.2f} s")
    finally:
        instance.kill()
        instance.wait()
        os.close(writer)
        os.close(reader)
        store.close()
print("passed")
