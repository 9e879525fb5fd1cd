#!/bin/sh
# Play case 7; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review exec .venv/bin/python -B review/7/case.py
