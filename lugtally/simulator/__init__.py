"""The simulator's side of the balancer: many balancers behind one line protocol on standard input and output.

It owns the simulator's wire.  It must not know the daemon: no socket, no event loop.
"""
