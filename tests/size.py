"""The limit on the policy files: their lines that are not blank, and the length of a line."""

from __future__ import annotations

import sys
import tomllib
from pathlib import Path

MAX_LINES = 750
MAX_COLUMNS = 110


def main() -> int:
    """Count the files that ``deploy/balancer.toml`` names as the policy."""
    deploy = tomllib.loads(Path("deploy/balancer.toml").read_text(encoding="utf-8"))
    count = longest = 0
    for name in deploy["policy"]:
        lines = Path(name).read_text(encoding="utf-8").splitlines()
        count += sum(1 for line in lines if line.strip())
        longest = max(longest, *map(len, lines))
    print(f"policy: {count} lines that are not blank, {MAX_LINES} allowed; longest {longest}")
    return int(count > MAX_LINES or longest > MAX_COLUMNS)


if __name__ == "__main__":
    sys.exit(main())
