"""The scheduler of one process, its clocks and its timers: greenlets over ``select.poll``.

It owns every wait.  It must not know what is waited for: no protocol, no decision, no configuration.
"""
