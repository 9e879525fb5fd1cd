"""The command line, built with click: one module for each group of commands.  Commands import what they use when run.

It owns the names, options, texts and exit statuses of the commands.  It must not know how the program works.
"""
