#!/usr/bin/env bash
# Builds the stand-ins of the cases with a script. They are Python programs of the standard library, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile controlgroup.py
rm -rf __pycache__
