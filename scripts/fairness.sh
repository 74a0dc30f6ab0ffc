#!/usr/bin/env bash
# Measures with real processes whether an organisation's burst delays another
# organisation: three instances and two pairs of engines with few slots. The
# organisation with a low rate runs alone at first, then next to one that keeps
# 400 requests waiting. Prints the time to first token of the low-rate one.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ -z "${LAB:-}" ]; then
    TOKEN_MS=5 SLOTS=8 SETTLE=8 exec scripts/lab.sh 3 3 2 bash "$0"
fi
load() {
    target/release/examples/load --target "$TARGETS" --tokens 16 --stream "$@"
}
modest() {
    load --key key-2 --route quotations-2 --requests 100 --rate 10 --concurrency 100 --seed "$1" |
        grep -E "first_ms|refused|violations" | sed "s/^/$2: /"
}
modest 1 alone
load --key key --route quotations --requests 4000 --concurrency 400 --seed 2 >"$LAB/burst" &
sleep 2
modest 3 "beside the burst"
wait
grep -E "first_ms|per_second|refused|violations" "$LAB/burst" | sed "s/^/the burst: /"
