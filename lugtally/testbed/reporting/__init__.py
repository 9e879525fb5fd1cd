"""Reports of runs: JSON documents, HTML pages, tables, plots and comparisons.

The package owns the JSON document of a report, with its keys and schema, and everything that is printed or drawn from
it.  It does not depend on how a run was executed: its input is the schedule, the findings and the event log.
"""
