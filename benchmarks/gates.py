"""Compare admission controllers of an overloaded sidecar on a model of its event loop, in simulated time.

    python benchmarks/gates.py [--seeds 5]

The controllers are in ``admission_controllers.py``, the model in ``event_loop_model.py``.  Request classes with the
lowest priority weight are shed first.  The table shows means over the seeds, and the range of the served weight too.
"""

from __future__ import annotations

import argparse
from itertools import product

import numpy as np
from admission_controllers import CONTROLLER_FACTORIES, ControllerFactory
from event_loop_model import RetryPolicy, Simulation, SimulationResult, Workload

LOADS = (0.9, 1.5, 2.0, 4.0, 10.0)  # multiples of the sustainable rate
TABLE_HEADER = (
    "| controller | clients | load | served weight (range) | queueing delay p99 ms | deviation of shed share "
    "| recovery s | false alarms |\n| --- | --- | --- | --- | --- | --- | --- | --- |"
)


def simulate(make_controller: ControllerFactory, workload: Workload) -> SimulationResult:
    """Simulate a workload with a new controller."""
    return Simulation(make_controller(), workload).run()


def table_row(controller_name: str, retry_policy: RetryPolicy, load: float, results: list[SimulationResult]) -> str:
    """Return a row of the table: the results of one controller, retry policy and load, over all seeds."""
    served_weight_ratios = [result.served_weight_ratio for result in results]
    served_range = f"{min(served_weight_ratios):.2f} to {max(served_weight_ratios):.2f}"
    return (
        f"| {controller_name} | {retry_policy} | {load:g} | {np.mean(served_weight_ratios):.2f} ({served_range}) "
        f"| {np.mean([result.p99_delay_ms for result in results]):.0f} "
        f"| {np.mean([result.shed_deviation for result in results]):.2f} "
        f"| {np.mean([result.recovery_s for result in results]):.1f} "
        f"| {np.mean([result.false_alarm_share for result in results]):.3f} |"
    )


def main() -> None:
    """Simulate all combinations and print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    print(TABLE_HEADER)
    for make_controller in CONTROLLER_FACTORIES:
        for retry_policy, load in product((RetryPolicy.DELAYED, RetryPolicy.IMMEDIATE), LOADS):
            results = [simulate(make_controller, Workload(load, seed, retry_policy)) for seed in range(options.seeds)]
            print(table_row(make_controller().name, retry_policy, load, results), flush=True)


if __name__ == "__main__":
    main()
