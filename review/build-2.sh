#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/rig review/standins-2/rig.rs
rustc -O --edition 2024 -o target/review-2/rig-3 review/standins-3/main.rs
