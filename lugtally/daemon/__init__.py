"""One running sidecar: it is built from its configuration, controlled by signals and stopped gracefully.

It owns the components of the sidecar and the order in which they are built, the maintenance tasks, operators' drains
and the status socket.  It must not parse a protocol or make a balancing decision.
"""
