#!/usr/bin/env bash
# Measures the control-plane cost of an idle instance (processor time, memory and
# bytes) as the fleet, the upstreams and the catalogue grow. Prints two lines per
# fleet, one for voters and one for other instances, or only one if all vote:
#   instances voters upstreams organisations: voter/other cpu% rss_mb bytes_s
# Usage: scripts/rest.sh [SECONDS]; REST_ONLY="INSTANCES VOTERS PAIRS ORGANISATIONS"
# measures a single fleet; settings are taken from the environment.
set -euo pipefail
cd "$(dirname "$0")/.."
export IDLE_SECONDS=${1:-15}
measurement=$(mktemp)
trap 'rm -f "$measurement"' EXIT
cat >"$measurement" <<'EOF'
set -euo pipefail
# Adds organisations, each with a key and a route, 200 per change of the catalogue.
for ((start = 0; start < ORGANISATIONS; start += 200)); do
    file=$LAB/more.toml
    : >"$file"
    for ((index = start; index < start + 200 && index < ORGANISATIONS; index++)); do
        digest=$(printf 'organisation-key-%d' "$index" | sha256sum | cut -d' ' -f1)
        cat >>"$file" <<EOT
[[organisation]]
name = "organisation-$index"
keys = ["$digest"]
[[route]]
name = "route-$index"
organisation = "organisation-$index"
target = { model = "quote-7b" }
pools = ["lab"]
limits = { requests = 100, tokens = 10000, concurrent = 50, queued = 100 }
EOT
    done
    "$BIN" catalogue apply --target "${CONTROLS%%,*}" "$file" >/dev/null
done
sleep 6
read -ra pids <<<"$PIDS"
IFS=, read -ra controls <<<"$CONTROLS"
sample() {
    local i
    for i in "${!pids[@]}"; do
        local cpu rss bytes
        cpu=$(awk '{print $14 + $15}' "/proc/${pids[i]}/stat")
        rss=$(awk '/VmRSS/ {print $2}' "/proc/${pids[i]}/status")
        bytes=$(curl -s "${controls[i]}/metrics" | awk '/^peer_bytes_total/ {n += $2} END {print n + 0}')
        gossip=$("$BIN" state --json --target "${controls[i]}" |
            python3 -c 'import json,sys; t=json.load(sys.stdin)["fleet"]["traffic"]; print(t["written"]+t["read"])')
        echo "$i $cpu $rss $bytes $gossip"
    done
}
sample >"$LAB/before"
sleep "$IDLE_SECONDS"
sample >"$LAB/after"
paste -d' ' "$LAB/before" "$LAB/after" | awk -v voters="$VOTERS" -v secs="$IDLE_SECONDS" \
    -v head="$INSTANCES instances $VOTERS voters $UPSTREAMS upstreams $ORGANISATIONS organisations" '
    { kind = $1 < voters ? "voter" : "other"; n[kind]++
      cpu[kind] += ($7 - $2) / secs; rss[kind] += $8 / 1024
      peer[kind] += ($9 - $4) / secs; gossip[kind] += ($10 - $5) / secs }
    END { for (kind in n) printf "%s: %s cpu %.2f%% rss %.1f MB peer %.0f B/s gossip %.0f B/s\n",
        head, kind, cpu[kind] / n[kind], rss[kind] / n[kind], peer[kind] / n[kind], gossip[kind] / n[kind] }'
EOF
run() {
    export INSTANCES=$1 VOTERS=$2 UPSTREAMS=$(($3 * 2)) ORGANISATIONS=$4
    SETTLE=3 scripts/lab.sh "$1" "$2" "$3" bash "$measurement" 2>/dev/null
}
if [ -n "${REST_ONLY:-}" ]; then
    # shellcheck disable=SC2086
    run $REST_ONLY
    exit
fi
run 3 3 2 0
run 9 3 2 0
run 9 3 20 0
run 9 3 20 1000
run 9 5 20 0
run 27 3 20 0
run 54 3 20 0
