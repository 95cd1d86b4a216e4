#!/bin/sh
# Builds what the scripts of review/ start besides the deployed daemon. The stand-ins are Python
# programs of the standard library, so this only compiles them to find errors early.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - common/*.py */case.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
