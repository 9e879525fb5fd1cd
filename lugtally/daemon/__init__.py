"""One running sidecar: built from its configuration, controlled by signals, stopped in order.

It owns what is built and in which order, the tasks that maintain it, drains by operators and the status socket.
It must not parse a protocol or take a decision.
"""
