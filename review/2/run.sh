#!/usr/bin/env bash
# Plays the scenario silent-store. Build first: the deploy file's build, then review/build.sh.
# TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] && [ -x target/bin/damaskhollow-platform ] || exit 2
exec target/review/harness silent-store "$PWD/review/2"
