#!/bin/sh
# Checks that the stand-ins compile; they are Python files and need no other build. The stand-ins of
# the project, in `tests/platform`, need what the build line of the deploy file installs.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import sys
from pathlib import Path

for path in [*Path("review").rglob("*.py"), Path("tests/platform/standins.py")]:
    compile(path.read_text(), str(path), "exec", dont_inherit=True)
PYTHON
