#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python programs of this folder, and the programs under test come from the build
# of the deploy file. Nothing else has to be built.
set -e
cd "$(dirname "$0")/.."
test -x target/apps/banyanledged
python3 -m py_compile review/harness-3/fleet.py
rm -rf review/harness-3/__pycache__
