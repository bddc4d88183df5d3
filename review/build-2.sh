#!/bin/sh
# Builds what the scripts of review/6 to review/10 start. The stand-ins are Python and need the packages that the
# deploy file's build has installed; this compiles them, so that an error shows before a case runs.
cd "$(dirname "$0")" || exit 2
exec ../.venv/bin/python -m compileall -q standins2 6 7 8 9 10
