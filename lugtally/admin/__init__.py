"""The admin API: its server, the calls that operators make, and the file that stores operators' drains.

It owns the paths of the calls, their responses and the format of the file.  It must not know how an endpoint is
selected, nor use downstream connections: the daemon implements the calls as an
:class:`~lugtally.admin.calls.AdminBackend`.
"""
