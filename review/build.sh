#!/bin/sh
# The stand-ins are Python files that need the standard library alone: this only checks that they compile.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review
