#!/usr/bin/env bash
# The stand-ins of the cases 4 to 8 are Python (standard library only, in review/lab): there is nothing to build but
# the check that they can be loaded.  The controller itself is built by the deploy file's command.
set -e
cd "$(dirname "$0")/lab"
python3 - <<'CHECK'
import ast, sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for name in ("wire", "services", "workers", "lab"):
    ast.parse(open(name + ".py").read())
CHECK
