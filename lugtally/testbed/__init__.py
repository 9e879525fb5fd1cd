"""The testbed: scenarios, an emulated fleet on loopback, a load generator, verification, reports and experiments.

It owns everything that is needed to rehearse a bad day on one machine and to say how it went.  Of the daemon it
knows the command line, the wire and the public interface of the decisions (``lugtally.balancing``), nothing else: it
must not share a parser, a clock or an endpoint list decoder with what it verifies.  Its libraries are the extra
``lugtally[kit]`` and are never imported by ``serve``.
"""
