"""The admin address of operators: its server, the admin calls, and the file of operators' drains.

It owns the paths of the calls, their responses and the format of the file.  It must not know how an endpoint is picked,
nor any downstream connection: the daemon executes the calls as an :class:`~lugtally.admin.calls.AdminBackend`.
"""
