"""Overload protection of the sidecar itself: sheds requests before they wait too long for this process.

This package measures the scheduling delay, that is, how long requests wait until this process handles them.  It owns
the measurements, the shed fraction and the order in which request classes are shed.  It uses no clock and no I/O,
except for ``resource_monitor.py``, which reads the resources of the process.  It must not depend on protocols,
endpoints or retries: a request is admitted or shed before the balancer receives it, so a request that was sent is never
shed.
"""
