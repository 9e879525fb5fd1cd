"""Scenario files, and the schedule that a seed draws from a scenario.

It owns the keys of scenario files, the named random streams and the ids of requests.  It does not know how a run is
executed or verified; of the emulator it knows the server properties that it draws.
"""
