"""The testbed: scenarios, an emulated fleet on loopback, a load generator, verification, reports and experiments.

It runs sidecars on one machine, injects faults and evaluates the results.  It uses the daemon's command line and HTTP
interface, and the public interface of ``lugtally.balancing``; the baselines also use ``lugtally.daemon`` and
``lugtally.config``.  It shares no parser, clock or endpoint list decoder with the daemon, so that it does not repeat
the faults of the code that it verifies.  Its dependencies are the extra ``lugtally[kit]``, which ``serve`` never
imports.
"""
