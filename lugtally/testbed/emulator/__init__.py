"""Emulated servers, discovery service and network on loopback, driven by a server model and a script of faults.

It owns everything upstream of a sidecar, and the records of the requests that arrive there.  It knows the sidecar by
its bytes alone and uses another HTTP parser and another event loop than the sidecar.
"""
