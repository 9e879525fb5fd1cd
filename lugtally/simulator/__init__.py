"""Adapter for the simulator: runs many balancers behind a line protocol on standard input and output.

The package owns that protocol.  It must not depend on the daemon: it uses no socket and no event loop.
"""
