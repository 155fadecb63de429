#!/bin/sh
# The same fault with one outage and one lost disk; exits like `run.sh`.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:." exec \
    python3 -m review.standins.launch 2 lost_disk
