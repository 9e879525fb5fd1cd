#!/bin/sh
# Checks and compiles the stand-ins.  They are Python and use only its standard library: run the build of the deploy
# file first, which makes the .venv that they run with.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
