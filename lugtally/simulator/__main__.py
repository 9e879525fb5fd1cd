"""``python -m lugtally.simulator``: reply to the simulator on standard output until standard input ends."""

from __future__ import annotations

import sys

from lugtally.simulator.adapter import run

if __name__ == "__main__":
    sys.exit(run(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
