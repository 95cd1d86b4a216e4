#!/usr/bin/env bash
# The stand-ins of the cases 6 and above are Python programs in common-2/: nothing is compiled.
# Checks that they can be read by the Python that is here.
set -euo pipefail
cd "$(dirname "$0")"
for each in common-2/*.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$each"
done
python3 -c 'import tomllib'
