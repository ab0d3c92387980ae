#!/bin/sh
# Exits with 1 if DENIED was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-3/headerlimit
[ -x "$program" ] && [ -x target/bin/damaskhollow-platform ] || exit 2
RECORD="$folder/record.txt" timeout -k 5 110 "$program"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
