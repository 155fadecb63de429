#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python without dependencies, so this only
# checks that they compile.
cd "$(dirname "$0")/.." || exit 1
PYTHONPYCACHEPREFIX=target/review exec python3 -m compileall -q review/standins2 review/6 review/8 review/9 review/10
