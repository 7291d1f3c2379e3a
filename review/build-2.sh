#!/usr/bin/env bash
# Prepares what the scripts of the second review start, beside the build of the deploy file: their
# stand-ins (review/standins-2) are in Python and use its standard library only, so they are checked.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
python3 - <<'PY'
import sys
assert sys.version_info >= (3, 9), "the stand-ins need Python 3.9 or later"
for name in ("platform_standin.py",):
    compile(open(name, encoding="utf-8").read(), name, "exec")
print("stand-ins: checked")
PY
