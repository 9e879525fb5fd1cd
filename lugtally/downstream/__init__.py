"""Serves client connections: receives requests and sends exactly one final response to each.

The package accepts connections, reads, validates and answers requests, and shuts down gracefully.  It must not make
balancing decisions, nor know how an attempt reaches an endpoint.  ``docs/connections.md`` describes the states of a
connection.
"""
