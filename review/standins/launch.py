"""Runs the case in a folder, or another script there; exits with 2 if it cannot be imported."""

from __future__ import annotations

import importlib
import sys
import traceback


def main() -> None:
    """Import the case and run it."""
    try:
        script = sys.argv[2] if len(sys.argv) > 2 else "case"
        module = importlib.import_module(f"review.{sys.argv[1]}.{script}")
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    module.main()


if __name__ == "__main__":
    main()
