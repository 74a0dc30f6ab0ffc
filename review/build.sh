#!/bin/bash
# Builds the stand-ins that the scripts start, with the toolchain alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/engine review/standins/engine.rs
