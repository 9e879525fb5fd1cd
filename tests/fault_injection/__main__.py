"""The command that injects seeded faults into real sidecars and checks every request; see README.md.

    python -m tests.fault_injection --seed N --seconds S --sidecars K [--only FAULT,...]

The exit status is 1 if a rule was violated.  ``--only`` takes the names of faults in ``behaviour.py``; without it every
fault is injected, and with ``--only none`` no fault is.
"""

from __future__ import annotations

import argparse
import sys

from tests.fault_injection.behaviour import ALL_FAULTS, Fault
from tests.fault_injection.checker import check
from tests.fault_injection.report import describe
from tests.fault_injection.scenario import Scenario, run_scenario


def _parse_faults(text: str) -> tuple[Fault, ...]:
    if text == "none":
        return ()
    names = text.split(",")
    if unknown := [name for name in names if name not in ALL_FAULTS]:
        raise argparse.ArgumentTypeError(f"{unknown[0]} is not one of {', '.join(ALL_FAULTS)}")
    return tuple(ALL_FAULTS[name] for name in names)


def main() -> int:
    """Run one scenario, print its verdict, and return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m tests.fault_injection")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--sidecars", type=int, default=3)
    parser.add_argument("--clients", type=int, default=60)
    parser.add_argument("--only", type=_parse_faults, default=tuple(ALL_FAULTS.values()))
    arguments = parser.parse_args()
    scenario = Scenario(
        seed=arguments.seed,
        duration_s=arguments.seconds,
        sidecars=arguments.sidecars,
        clients=arguments.clients,
        faults=arguments.only,
    )
    result = run_scenario(scenario)
    verdict = check(result.records)
    for line in describe(scenario, result, verdict):
        print(line)
    return 1 if verdict.violations else 0


if __name__ == "__main__":
    sys.exit(main())
