"""The command line, built with click: one module for each group of commands.

A command imports the modules that it uses only when it runs.  The package owns the names, options, texts and exit
statuses of the commands.  It must not contain the logic of the program.
"""
