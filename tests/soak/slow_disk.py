"""The real program, on a disk whose syncs take as long as a file beside its settings says."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

from egretford.cli.main import main

SYNC_FILE = "sync-seconds"


def slow_down_syncs(path: Path) -> None:
    """Have each sync wait first, for as many seconds as the file holds; not at all without it."""
    sync = os.fdatasync

    def sync_slowly(handle: int) -> None:
        if path.exists():
            time.sleep(float(path.read_text()))
        sync(handle)

    os.fdatasync = sync_slowly


if __name__ == "__main__":
    slow_down_syncs(Path(os.environ["EGRETFORD_BOOT"]).with_name(SYNC_FILE))
    sys.exit(main())
