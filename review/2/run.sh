#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0 plays the same without the disruption, and must pass.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 118 python3 run.py
