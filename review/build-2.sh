#!/bin/sh
# Builds what the cases 6 to 10 start, after the build of deploy/balancer.toml. Discovery, transcribers, clients and
# the platform are played by review/standins-2 and review/standins-4, which need nothing but the Python of that
# build, so they are only compiled.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins-[24]/*.py review/[0-9]*/case.py; do
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1], "rb").read(), sys.argv[1], "exec")' "$file"
done
