"""Reports of runs: figures, pages, tables and comparisons.

It owns the report's document with its keys and schema, and all that is printed or drawn from it.  It must not know
how a run was played: it gets the schedule, the findings and the event log.
"""
