#!/usr/bin/env bash
# The stand-ins of the cases are Python programs on the standard library alone; this checks
# that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import ast, glob, sys
assert sys.version_info >= (3, 8), sys.version
for path in glob.glob("harness/*.py") + glob.glob("[0-9]/*.py"):
    ast.parse(open(path, encoding="utf-8").read(), path)
P
