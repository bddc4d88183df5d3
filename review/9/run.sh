#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../.venv/bin/python ] || { echo "could not run: build first" >&2; exit 2; }
PYTHONPATH=.. ../../.venv/bin/python case.py &
case=$!
trap 'kill "$case"; wait "$case"; exit 2' INT TERM HUP
wait "$case"
case $? in
0) exit 0 ;;
3) exit 1 ;; # not 1, with which Python ends at any error, such as a stand-in that cannot be imported
*) exit 2 ;;
esac
