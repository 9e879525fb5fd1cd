"""Runs the script of a case, so that its exit status is 1 only if the rule was broken.

Usage: run_case.py CASE.  Whatever goes wrong outside the case's own verdict, such as a faulty stand-in, exits with 2.
"""

from __future__ import annotations

import runpy
import sys
import traceback

if __name__ == "__main__":
    try:
        runpy.run_path(sys.argv[1], run_name="__main__")
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
        sys.exit(2)
