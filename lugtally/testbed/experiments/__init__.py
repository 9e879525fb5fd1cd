"""Playing one run, or a matrix of runs, and the baseline policies to compare with.

It owns the processes of a run and their end, whatever happens.  It must not know how they work inside: it starts
them, passes them words and signals, and hands their event logs to the verifier.
"""
