"""What a rehearsal plays: scenario files, and the schedule that a seed draws from them.

It owns the keys of scenario files, the named random streams and the ids of requests.  It must not know how a run is
played or judged, only the properties of servers that it draws for the emulator's model.
"""
