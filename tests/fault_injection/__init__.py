"""Fault injection: real sidecar processes run under seeded faults, and what they send and receive is checked.

``__main__`` documents the command.
"""
