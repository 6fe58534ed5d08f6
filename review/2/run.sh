#!/bin/sh
# Usage: sh review/2/run.sh, or TROUBLE=0 sh review/2/run.sh for the same without the disruption: no transcriber hangs.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run (any other end, too).
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
.venv/bin/python review/2/case.py &
child=$!
trap 'kill -TERM "$child"; wait "$child"; exit 2' TERM INT
wait "$child"
case $? in
    0) exit 0 ;;
    3) exit 1 ;; # The status of the Python part for a broken rule; 1 would be that of a traceback, too
    *) exit 2 ;;
esac
