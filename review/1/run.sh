#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || { echo "the case could not run: build first" >&2; exit 2; }
exec .venv/bin/python review/1/case.py
