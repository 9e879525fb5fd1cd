#!/bin/sh
# Build what the scripts of the second review start beside the sidecar.  The stand-ins are Python that needs only the
# standard library, so this only compiles them, with the interpreter that the build of the deploy file has set up.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/standins_2 review/6 review/7 review/8 review/9 review/10
