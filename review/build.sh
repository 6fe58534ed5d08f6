#!/bin/sh
# The stand-ins are Python programs of the standard library alone, run by the interpreter of the deploy file's
# build. There is nothing to compile; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python -c "
import sys
sys.path.insert(0, 'review/standins')
import deployment, server
"
