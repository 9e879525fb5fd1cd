"""Builds one sidecar from its configuration, runs it, controls it by signals and stops it gracefully.

The package owns the order in which the components of the sidecar are built and started, the maintenance tasks,
operators' drains and the status socket.  It must not parse a protocol or make a balancing decision.
"""
