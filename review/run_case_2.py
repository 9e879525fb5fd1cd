"""Runs one case of the second review; the exit status is 2, not 1, if its code or its stand-ins fail."""

from __future__ import annotations

import runpy
import sys
import traceback
from pathlib import Path

EXIT_NOT_RUN = 2


def main(case_number: str) -> int:
    """Run ``review/N/case.py`` as a program and return its exit status."""
    folder = Path(__file__).parent
    sys.path.insert(0, str(folder))
    try:
        runpy.run_path(str(folder / case_number / "case.py"), run_name="__main__")
    except Exception:
        traceback.print_exc()
    return EXIT_NOT_RUN  # a case that runs ends with its own status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
