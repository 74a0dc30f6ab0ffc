#!/usr/bin/env bash
# Measures processor time and memory under load, with three instances and four
# pairs of engines: streamed answers of 32 tokens at several rates, then the same
# with every request claimed (non-idempotent). Prints one line per rate.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ -z "${LAB:-}" ]; then
    TOKEN_MS=5 SLOTS=256 SETTLE=8 exec scripts/lab.sh 3 3 4 bash "$0"
fi
read -ra pids <<<"$PIDS"
cpu() {
    local pid sum=0
    for pid in "${pids[@]}"; do
        sum=$((sum + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
    done
    echo "$sum"
}
for claimed_share in 0 1; do
    for rate in 50 150 300; do
        before=$(cpu)
        output=$(target/release/examples/load --target "$TARGETS" --key key --route quotations \
            --requests $((rate * 10)) --rate "$rate" --concurrency 1000 --tokens 32 --stream \
            --non-idempotent "$claimed_share" --seed "$rate$claimed_share")
        after=$(cpu)
        rss=$(awk '/VmRSS/ {print $2 / 1024}' "/proc/${pids[0]}/status")
        first_token=$(grep first_ms <<<"$output" | sed 's/.*p50 \([0-9.]*\).*p99 \([0-9.]*\),.*/first token p50 \1 p99 \2 ms/')
        echo "claimed $claimed_share rate $rate: cpu $(((after - before) * 10)) ms for $((rate * 10)) requests, rss $rss MB, $first_token, $(grep violations <<<"$output")"
    done
done
