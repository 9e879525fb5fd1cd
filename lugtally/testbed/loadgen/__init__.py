"""The load generator: open-loop clients of each sidecar.

It contains the clients with their retries and connections, and records their attempts.  It uses nothing of a sidecar
but its address.  It does not check the responses against the rules; the verifier does.
"""
