#!/bin/sh
# The stand-ins are Python files that need nothing but the standard library: this only compiles them.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
