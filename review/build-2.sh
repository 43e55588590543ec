#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside target/apps/banyanledged. Their stand-ins are Python programs of
# review/fleet2.py and need no build; this only checks that they can be read.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, glob
for path in ["fleet2.py"] + sorted(glob.glob("[6-9]/case.py") + glob.glob("10/case.py")):
    with open(path) as file:
        ast.parse(file.read(), path)
CHECK
test -x ../target/apps/banyanledged || { echo "target/apps/banyanledged is missing" >&2; exit 1; }
