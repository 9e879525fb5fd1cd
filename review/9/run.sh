#!/bin/sh
# Play case 9; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review exec .venv/bin/python -B review/9/case.py
