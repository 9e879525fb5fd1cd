"""What the program is told, decoded once from JSON or TOML into plain values, each fault named by its field.

It owns the formats and the checks.  It must not know what is done with a value: no socket, no decision.
"""
