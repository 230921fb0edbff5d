#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0: without the cuts, the restart and the kill.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/citrongauge ] && [ -x target/standins-3 ] || { echo "build first: the deploy file, then review/build-3.sh"; exit 2; }
export TROUBLE=${TROUBLE:-1} RECORD=review/15/record.txt
exec target/standins-3 unknownlife
