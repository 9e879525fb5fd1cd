#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.  With TROUBLE=0 there is no restart.
cd "$(dirname "$0")/../.." && test -x .venv/bin/python || exit 2
exec .venv/bin/python -B review/run_case.py review/3/case.py
