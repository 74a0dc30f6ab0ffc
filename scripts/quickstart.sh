#!/usr/bin/env bash
# Builds the router, starts three instances and emulated upstreams on loopback,
# applies a catalogue, sends a streamed request through a pipeline of two stages
# and a request to a plain service, and drains all processes. The last line of a
# successful run is "quickstart: ok".
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --quiet --locked --bin laburnumquay --example emulator
bin=target/debug/laburnumquay
emulator=target/debug/examples/emulator
dir=$(mktemp -d)
pids=()

finish() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    rm -rf "$dir"
}
trap finish EXIT

wait_for() {
    local condition=$1
    shift
    for _ in $(seq 200); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    echo "quickstart: $condition didn't come; logs:" >&2
    tail -n 5 "$dir"/*.log >&2
    exit 1
}

printf 'fleet-secret-of-the-quickstart\n' >"$dir/fleet.key"
printf 'operator-secret-of-the-quickstart\n' >"$dir/operator.key"
printf 'caller-secret\n' >"$dir/caller.key"
printf 'pool-secret\n' >"$dir/pool.key"
export LQ_FLEET_KEY_FILE="$dir/fleet.key" LQ_OPERATOR_KEY_FILE="$dir/operator.key"
voters=1=127.0.0.1:7101,2=127.0.0.1:7201,3=127.0.0.1:7301
domains=(peristeri marousi pireas)

echo "starting three instances"
for i in 1 2 3; do
    "$bin" serve --instance-id "$i" --domain "${domains[i - 1]}" --voters "$voters" \
        --data-dir "$dir/data-$i" --caller-addr "127.0.0.1:7${i}00" \
        --peer-addr "127.0.0.1:7${i}01" --control-addr "127.0.0.1:7${i}02" \
        2>"$dir/instance-$i.log" &
    pids+=($!)
done
for i in 1 2 3; do
    wait_for "instance $i" curl -sf "127.0.0.1:7${i}00/readyz"
done

echo "applying a catalogue"
cat >"$dir/catalogue.toml" <<EOF
[[organisation]]
name = "kouvertoura"
keys = ["$("$bin" digest "$dir/caller.key")"]

[[pool]]
name = "attiki"
credential = "$("$bin" digest "$dir/pool.key")"

[[route]]
name = "quotations"
organisation = "kouvertoura"
target = { model = "quote-7b" }
class = "interactive"
pools = ["attiki"]
idempotent = true
limits = { requests = 100, tokens = 10000, concurrent = 50, queued = 100 }

[[route]]
name = "orders"
organisation = "kouvertoura"
target = { service = "orders" }
pools = ["attiki"]
limits = { requests = 100, tokens = 10000, concurrent = 50, queued = 100 }
EOF
"$bin" catalogue apply --target 127.0.0.1:7102 "$dir/catalogue.toml"

echo "starting engines in two failure domains and a plain service"
control=127.0.0.1:7102,127.0.0.1:7202,127.0.0.1:7302
engine() {
    "$emulator" --listen "127.0.0.1:$1" --id "$2" --domain "$3" --pool attiki \
        --credential pool-secret --announce "$control" "${@:4}" >"$dir/$2.log" 2>&1 &
    pids+=($!)
}
engine 7401 engine-1 peristeri --model quote-7b --layers 0..16 --total 32
engine 7402 engine-2 marousi --model quote-7b --layers 16..32 --total 32
engine 7403 orders-1 peristeri --service orders

complete() {
    curl -sfN "127.0.0.1:$1/v1/completions" -H "Authorization: Bearer caller-secret" \
        -d '{"model":"quotations","prompt":"two windows, 1.20 x 1.40 m","max_tokens":8,"stream":true}'
}
wait_for "a path through both engines" complete 7200

echo "a streamed answer through two stages, from instance 3:"
wait_for "a path through both engines" complete 7300
answer=$(complete 7300)
echo "$answer"
grep -q '\[DONE\]' <<<"$answer"

echo "an answer of the plain service, from instance 2:"
call() {
    curl -sf "127.0.0.1:7200/services/orders/lookup/17" -H "Authorization: Bearer caller-secret"
}
wait_for "the plain service" call
call
echo

echo "the state of instance 1:"
"$bin" state --target 127.0.0.1:7102 | head -n 12

echo "draining"
for ((n = ${#pids[@]} - 1; n >= 0; n--)); do
    kill -TERM "${pids[n]}"
    wait "${pids[n]}"
done
pids=()
echo "quickstart: ok"
