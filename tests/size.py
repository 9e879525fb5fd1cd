"""The limit on the decision module: its lines that are not blank, and their length."""

from __future__ import annotations

import sys
import tomllib
from pathlib import Path

MOST_LINES = 750
MOST_COLUMNS = 110


def main() -> int:
    """Count the files that ``deploy/balancer.toml`` names as the policy."""
    deploy = tomllib.loads(Path("deploy/balancer.toml").read_text(encoding="utf-8"))
    count = longest = 0
    for name in deploy["policy"]:
        text = Path(name).read_text(encoding="utf-8").splitlines()
        count += sum(1 for line in text if line.strip())
        longest = max(longest, *map(len, text))
    print(f"policy: {count} lines that are not blank, {MOST_LINES} allowed; longest {longest}")
    return int(count > MOST_LINES or longest > MOST_COLUMNS)


if __name__ == "__main__":
    sys.exit(main())
