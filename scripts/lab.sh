#!/usr/bin/env bash
# Runs a command with a fleet on loopback, in release mode, for measurements and
# trials.
#
#   scripts/lab.sh INSTANCES VOTERS PAIRS COMMAND...
#
# Starts INSTANCES instances, of which the first VOTERS are voters, and PAIRS
# pairs of emulated engines that hold half a model each, runs COMMAND and stops
# all processes. COMMAND's environment has LAB (a folder), TARGETS, CONTROLS and
# EMULATORS (comma-separated addresses), PIDS (of the instances, separated by
# spaces) and BIN (the router's binary).
set -euo pipefail
cd "$(dirname "$0")/.."
instances=$1 voters=$2 pairs=$3
shift 3

cargo build --quiet --release --locked --bin laburnumquay --example emulator --example load
BIN=$PWD/target/release/laburnumquay
emulator=target/release/examples/emulator
LAB=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait "${pids[@]}" 2>/dev/null || true
    [ -n "${KEEP_LAB:-}" ] || rm -rf "$LAB"
}
trap finish EXIT

base_port=${LAB_PORT:-20000}
printf 'fleet-secret-of-the-lab\n' >"$LAB/fleet.key"
printf 'operator-secret-of-the-lab\n' >"$LAB/operator.key"
printf 'key\n' >"$LAB/caller.key"
printf 'key-2\n' >"$LAB/caller-2.key"
printf 'pool-secret\n' >"$LAB/pool.key"
export LQ_FLEET_KEY_FILE="$LAB/fleet.key" LQ_OPERATOR_KEY_FILE="$LAB/operator.key"
domains=(peristeri marousi pireas)

LQ_VOTERS=""
for ((i = 1; i <= voters; i++)); do
    LQ_VOTERS+="$i=127.0.0.1:$((base_port + i * 3 + 1)),"
done
export LQ_VOTERS=${LQ_VOTERS%,}
TARGETS="" CONTROLS="" PIDS="" EMULATORS=""
for ((i = 1; i <= instances; i++)); do
    data_args=()
    [ "$i" -gt "$voters" ] || data_args=(--data-dir "$LAB/data-$i")
    "$BIN" serve --instance-id "$i" --domain "${domains[i % 3]}" "${data_args[@]}" \
        --caller-addr "127.0.0.1:$((base_port + i * 3))" \
        --peer-addr "127.0.0.1:$((base_port + i * 3 + 1))" \
        --control-addr "127.0.0.1:$((base_port + i * 3 + 2))" 2>"$LAB/instance-$i.log" &
    pids+=($!)
    PIDS+="$! "
    TARGETS+="127.0.0.1:$((base_port + i * 3)),"
    CONTROLS+="127.0.0.1:$((base_port + i * 3 + 2)),"
done
TARGETS=${TARGETS%,} CONTROLS=${CONTROLS%,}
for ((i = 1; i <= instances; i++)); do
    for _ in $(seq 300); do
        curl -sf "127.0.0.1:$((base_port + i * 3))/readyz" >/dev/null 2>&1 && break
        sleep 0.1
    done
done

limits='{ requests = 100000, tokens = 100000000, concurrent = 10000, queued = 10000 }'
{
    for suffix in "" -2; do
        cat <<EOF
[[organisation]]
name = "lab$suffix"
keys = ["$("$BIN" digest "$LAB/caller$suffix.key")"]

[[route]]
name = "quotations$suffix"
organisation = "lab$suffix"
target = { model = "quote-7b" }
class = "interactive"
pools = ["lab"]
idempotent = true
limits = $limits

[[route]]
name = "orders$suffix"
organisation = "lab$suffix"
target = { service = "orders" }
pools = ["lab"]
limits = $limits

EOF
    done
    cat <<EOF
[[pool]]
name = "lab"
credential = "$("$BIN" digest "$LAB/pool.key")"
EOF
} >"$LAB/catalogue.toml"
"$BIN" catalogue apply --target "${CONTROLS%%,*}" "$LAB/catalogue.toml" >&2

for ((pair = 1; pair <= pairs; pair++)); do
    for layers in 0..16 16..32; do
        port=$((base_port + 3000 + pair * 2))
        [ "$layers" = 0..16 ] || port=$((port + 1))
        "$emulator" --listen "127.0.0.1:$port" --id "engine-$pair-${layers%%..*}" --pool lab \
            --domain "${domains[pair % 3]}" --model quote-7b --layers "$layers" --total 32 \
            --credential pool-secret --announce "$CONTROLS" --token-ms "${TOKEN_MS:-5}" \
            --slots "${SLOTS:-64}" --rate "${RATE:-0}" \
            >"$LAB/engine-$pair-${layers%%..*}.log" 2>&1 &
        pids+=($!)
        EMULATORS+="127.0.0.1:$port,"
    done
done
EMULATORS=${EMULATORS%,}
sleep "${SETTLE:-4}"
export LAB TARGETS CONTROLS PIDS EMULATORS BIN
"$@"
