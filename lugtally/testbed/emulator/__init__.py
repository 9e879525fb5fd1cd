"""Emulated servers, discovery and network on loopback, driven by a model of servers and a script of faults.

It owns everything that a sidecar talks to behind it, and the records of what arrived there.  It must not know the
sidecar but by its bytes: HTTP is read by another parser, on another event loop.
"""
