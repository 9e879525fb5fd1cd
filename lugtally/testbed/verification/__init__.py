"""Records of a run, and the verifier that holds them against the rules of the platform's protocol.

It owns the record types, the files that hold them, one check for each rule, the service score and its prices.  It
must not know how a run was played: all that it sees was recorded outside the sidecar, beside the schedule.
"""
