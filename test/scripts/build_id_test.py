#!/usr/bin/env python3
"""Checks that the daemon in a build directory names the sources that it was built from.

Guards against results of a program that an old build directory has kept.
"""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]


def output_of(*command):
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout


def main():
    build = pathlib.Path(sys.argv[1])
    expected = output_of("cmake", "-P", ROOT / "cmake" / "build_id.cmake").strip()
    version = output_of(build / "src" / "daemon" / "kumquatpathd", "--version")
    assert len(expected) == 12, expected
    assert expected in version, f"built from {expected}, says {version!r}"


if __name__ == "__main__":
    main()
