"""The operators' address: its listener, the calls that it takes, and the file of drains by operators.

It owns the paths of the calls, their responses and the file's format.  It must not know how an endpoint is picked,
nor any downstream connection: the daemon's :class:`~lugtally.admin.calls.AdminBackend` answers the calls.
"""
