"""Overload protection of the sidecar itself: it measures its own delay and sheds requests before that delay grows.

It owns the measurements, the shed fraction and the order in which classes are shed.  It is free of clocks and I/O,
except for ``resource_monitor.py``, which reads the resources of the process.  It must not know protocols, endpoints or
retries: a request is admitted or shed before the balancer receives it, so a request that was sent is never shed.
"""
