"""Records of a run, and the verifier that checks them against the rules of the platform's protocol.

The package owns the record types, the event log files, one check for each rule, the service score and its prices.  It
does not depend on how a run was executed: its input is the schedule and what was recorded outside the sidecar.
"""
