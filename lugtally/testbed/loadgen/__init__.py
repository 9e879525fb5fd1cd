"""The load generator: open-loop clients beside each sidecar.

It owns the clients with their retries, their connections and the records of their attempts.  It must not know the
sidecar but by its address, nor judge what it sees: the verifier does.
"""
