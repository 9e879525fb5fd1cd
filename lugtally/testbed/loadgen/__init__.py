"""The load generator: open-loop clients beside each sidecar.

It owns the clients, their retries, their connections and the records of their attempts.  Of the sidecar it knows the
address alone.  It does not check responses against the rules: the verifier does.
"""
