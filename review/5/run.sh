#!/usr/bin/env bash
# Plays the case dark-rack (review/standins). TROUBLE=0 leaves the disruption out.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-standins dark-rack review/5/record.txt
