#!/bin/sh
# The stand-ins of review/6 to review/10 are Python and need no packages: they are compiled to byte code here.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/lib2
