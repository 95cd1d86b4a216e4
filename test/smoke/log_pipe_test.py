#!/usr/bin/env python3
"""Checks that the log never holds up an instance, whatever happens to its standard output.

A full pipe that nobody reads must not keep a stopping instance from ending, and a pipe that its
reader has closed must not end a serving one.
Usage: log_pipe_test.py BUILD_DIRECTORY
"""

import os
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from deployment import wait_until_signals_are_handled  # noqa: E402
from single_instance import (SERVING_SECONDS, STOP_SECONDS, full_pipe,  # noqa: E402
                             write_settings)

BUILD = sys.argv[1]
ADDRESS = "127.82.2.4"


def closed_pipe():
    """Returns the writing end of a pipe that nobody can read."""
    reader, writer = os.pipe()
    os.close(reader)
    return None, writer


def check(description, pipe, settings):
    reader, writer = pipe
    process = subprocess.Popen([os.path.join(BUILD, "src/daemon/kumquatpathd"), settings],
                               stdout=writer)
    try:
        wait_until_signals_are_handled(process)
        time.sleep(SERVING_SECONDS)
        assert process.poll() is None, f"{description}: the instance ended while it served"
        process.send_signal(signal.SIGTERM)
        status = process.wait(STOP_SECONDS)
        assert status == 0, f"{description}: the instance ended with {status}"
    finally:
        process.kill()
        process.wait()
        os.close(writer)
        if reader is not None:
            os.close(reader)


with tempfile.TemporaryDirectory() as directory:
    settings_file = write_settings(directory, ADDRESS)
    check("full pipe", full_pipe(), settings_file)
    check("closed pipe", closed_pipe(), settings_file)
print("passed")
