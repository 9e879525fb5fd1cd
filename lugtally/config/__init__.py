"""The program's configuration, decoded at the border from JSON or TOML into plain values.

It owns the formats, the wire's keys, and the checks; each fault is named by its key.  It must not know what is done
with a value: no socket, no decision.
"""
