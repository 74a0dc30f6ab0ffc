#!/usr/bin/env bash
# Processor time and memory of an instance under load: three instances, four
# pairs of engines, streamed answers of 32 tokens at several rates, then the
# same with every request claimed. Prints one line a rate.
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
for share in 0 1; do
    for rate in 50 150 300; do
        before=$(cpu)
        out=$(target/release/examples/load --target "$TARGETS" --key key --route quotations \
            --requests $((rate * 10)) --rate "$rate" --concurrency 1000 --tokens 32 --stream \
            --non-idempotent "$share" --seed "$rate$share")
        after=$(cpu)
        rss=$(awk '/VmRSS/ {print $2 / 1024}' "/proc/${pids[0]}/status")
        first=$(grep first_ms <<<"$out" | sed 's/.*p50 \([0-9.]*\).*p99 \([0-9.]*\),.*/first token p50 \1 p99 \2 ms/')
        echo "claimed $share rate $rate: cpu $(((after - before) * 10)) ms for $((rate * 10)) requests, rss $rss MB, $first, $(grep violations <<<"$out")"
    done
done
