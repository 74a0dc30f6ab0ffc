#!/usr/bin/env bash
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/rig-3 refused review/4
