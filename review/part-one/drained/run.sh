#!/usr/bin/env bash
# Plays the case; claim.txt tells what it shows. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec target/review-3/rig drained "review/part-one/drained"
