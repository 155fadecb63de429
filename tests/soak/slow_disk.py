"""Runs the egretford command with disk syncs delayed as set by a file next to its settings."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

from egretford.cli.main import main

SYNC_DELAY_FILE = "sync-seconds"


def delay_syncs(path: Path) -> None:
    """Delay each sync by the number of seconds in the file; no delay if the file is missing."""
    sync = os.fdatasync

    def delayed_sync(handle: int) -> None:
        if path.exists():
            time.sleep(float(path.read_text()))
        sync(handle)

    os.fdatasync = delayed_sync


if __name__ == "__main__":
    delay_syncs(Path(os.environ["EGRETFORD_BOOT"]).with_name(SYNC_DELAY_FILE))
    sys.exit(main())
