"""Compare admission controllers for the sidecar's own overload, on a model of its event loop in simulated time.

    python benchmarks/gates.py [--seeds 5]

The controllers are in ``admission_controllers.py``, the model in ``event_loop_model.py``.  Requests of the lowest
priority are rejected first.  The table has the mean over the seeds, and for the served weight its range as well.
"""

from __future__ import annotations

import argparse
from itertools import product

import numpy as np
from admission_controllers import CONTROLLER_FACTORIES, ControllerFactory
from event_loop_model import RetryPolicy, Simulation, SimulationResult, Workload

LOADS = (0.9, 1.5, 2.0, 4.0, 10.0)  # times the sustainable rate
HEADER = (
    "| controller | clients | load | served weight (range) | own delay p99 ms | deviation of shed share | recovery s "
    "| false alarms |\n| --- | --- | --- | --- | --- | --- | --- | --- |"
)


def simulate(make: ControllerFactory, workload: Workload) -> SimulationResult:
    """Run a workload with a new controller."""
    return Simulation(make(), workload).run()


def table_row(controller: str, clients: RetryPolicy, load: float, results: list[SimulationResult]) -> str:
    """Format the results of one controller and workload over all seeds as a row of the table."""
    served_weights = [result.served_weight_ratio for result in results]
    served_range = f"{min(served_weights):.2f} to {max(served_weights):.2f}"
    return (
        f"| {controller} | {clients} | {load:g} | {np.mean(served_weights):.2f} ({served_range}) "
        f"| {np.mean([result.p99_delay_ms for result in results]):.0f} "
        f"| {np.mean([result.shed_deviation for result in results]):.2f} "
        f"| {np.mean([result.recovery_s for result in results]):.1f} "
        f"| {np.mean([result.false_alarm_share for result in results]):.3f} |"
    )


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    print(HEADER)
    for make in CONTROLLER_FACTORIES:
        for clients, load in product((RetryPolicy.DELAYED, RetryPolicy.IMMEDIATE), LOADS):
            results = [simulate(make, Workload(load, seed, clients)) for seed in range(options.seeds)]
            print(table_row(make().name, clients, load, results), flush=True)


if __name__ == "__main__":
    main()
