"""Execution of a run or of a matrix of runs, and the baseline policies for comparisons.

The package owns the processes of a run and ends them even if the run fails.  It does not depend on how they work: it
starts them, sends them commands and signals, and passes their event logs to the verifier.
"""
