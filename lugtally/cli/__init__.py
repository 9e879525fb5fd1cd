"""The command line, on click: one module for each group of commands, with imports inside the commands.

It owns names, options, texts and exit statuses.  It must not know how anything works.
"""
