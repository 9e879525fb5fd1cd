"""Emulated servers, discovery service and network on loopback, driven by a server model and scheduled faults.

It emulates everything upstream of a sidecar and records the requests that arrive there.  It communicates with the
sidecar through sockets only, and uses a different HTTP parser and a different event loop than the sidecar.
"""
