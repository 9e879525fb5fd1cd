"""The sidecar's own overload: what it measures of itself, and which requests it sheds before it falls behind.

It owns the measurements, the fraction to shed and the order in which classes are shed; all of it is free of I/O and
clocks, and ``resource_monitor.py`` alone reads the machine.  It must not know protocols, endpoints or retries: a
request that has been handed to the balancer is none of its business, so nothing that was sent is ever shed.
"""
