"""Client connections: requests are received, and each gets exactly one final response.

The package owns accepting, reading, validating and answering, and the graceful shutdown.  It must not make balancing
decisions, nor know how an attempt reaches an endpoint.  ``docs/connections.md`` describes the states of a connection.
"""
