"""Records of a run, and the verifier that checks them against the rules of the platform's protocol.

It owns the record types, their files, one check for each rule, the service score and its prices.  It does not know how
a run was executed: its input is the schedule and what was recorded outside the sidecar.
"""
