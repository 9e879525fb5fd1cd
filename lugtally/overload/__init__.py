"""The sidecar's own overload: what it measures of itself, and what it refuses before it falls behind.

It owns the measures, the share to refuse and the order in which classes are refused; all of it is free of I/O and
clock, and ``probe.py`` alone reads the machine.  It must not know protocols, servers or retries: a request that has
been handed to the decision module is none of its business, so nothing that was sent is ever shed.
"""
