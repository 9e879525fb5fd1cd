"""Scenario files, and the schedule that a seed draws from a scenario.

It defines the keys of scenario files, the named random streams and the ids of requests.  It does not depend on how a
run is executed or verified; of the emulator it uses only the server properties, which it draws.
"""
