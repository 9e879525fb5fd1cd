"""Execution of a run or of a matrix of runs, and the baseline policies for comparisons.

It owns the processes of a run and ends them in any case.  It does not know their insides: it starts them, sends them
commands and signals, and passes their event logs to the verifier.
"""
