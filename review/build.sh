#!/bin/bash
# Checks the stand-ins, which are Python without further packages and need no build.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11"
for path in [*pathlib.Path("standin").glob("*.py"), *pathlib.Path(".").glob("[0-9]/*.py")]:
    compile(path.read_text(), str(path), "exec")
PYTHON
