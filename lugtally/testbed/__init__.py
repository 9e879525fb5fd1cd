"""The testbed: scenarios, an emulated fleet on loopback, a load generator, verification, reports and experiments.

It owns the rehearsal of faults on one machine and its evaluation.  Of the daemon it knows the command line, the wire
and the public interface of the decisions (``lugtally.balancing``), and for the baselines ``daemon`` and ``config``.  It
shares no parser, clock or endpoint list decoder with the daemon that it verifies.  Its libraries are the extra
``lugtally[kit]``, which ``serve`` never imports.
"""
