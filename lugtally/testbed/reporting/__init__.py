"""Reports of runs: documents, pages, tables, plots and comparisons.

It owns the document of a report with its keys and schema, and everything that is printed or drawn from it.  It does
not know how a run was executed: its input is the schedule, the findings and the event log.
"""
