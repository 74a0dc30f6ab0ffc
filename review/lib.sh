# Functions that the scripts of the cases share. Source it after `cd` into the case's folder.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
PROGRAM=$ROOT/target/release/laburnumquay
CASE=$PWD
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)
# A network of its own in the loopback range, so that fixed ports are free.
NET=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 2))
PEER_PORT=21340
METRICS_PORT=21355
CONTROL_PORT=21229
FRONT_PORT=21227
READY_PORT=21220
# Process ids of the programs by name.
declare -A PIDS=()

: > "$RECORD"
BEGAN=$(date +%s%N)

# Writes one line with the seconds since the start into record.txt.
record() {
    local ms=$((($(date +%s%N) - BEGAN) / 1000000))
    printf '%3d.%03d %s\n' $((ms / 1000)) $((ms % 1000)) "$*" | tee -a "$RECORD"
}

# Ends all processes that the script started.
finish() {
    local pid
    # Not the notices of the shell about the processes that it ends.
    exec 2>/dev/null
    for pid in "${PIDS[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$WORK"
}
trap finish EXIT
trap 'exit 2' INT TERM

# The case couldn't run.
unable() {
    record "UNABLE: $*"
    exit 2
}

# settings FILE ROLE HOST ZONE FIRST_START SEEDS LISTEN EXTRA
settings() {
    cat > "$1" <<END
node = "$2-$3"
role = "$2"
machineClass = "$([ "$2" = entry ] && echo edge || echo core)"
ip = "$NET.$3"
zone = "$4"
region = "attiki"
portRange = [$PEER_PORT,$METRICS_PORT]
seeds = [$6]
firstStart = $5
failureCounted = $([ "$2" = entry ] && echo false || echo true)
discovery = "self_register"
entry = "vip"
beatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","layers"]
configMode = "highest"
$8
[listen]
$7
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
strictRevoke = true
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 202
recoveryS = 12
eventLagMs = 120
retryAfterS = 0
stall_ms = 2500
fencing = true
END
}

# Control addresses of controllers as a TOML list, for `settings`.
seed_list() {
    local host list=""
    for host in "$@"; do
        list+="${list:+,}\"$NET.$host:$CONTROL_PORT\""
    done
    echo "$list"
}

# start_controller HOST ZONE FIRST_START SEED_HOST...
start_controller() {
    local host=$1 zone=$2 first=$3
    shift 3
    mkdir -p "$WORK/data-$host"
    settings "$WORK/$host.toml" controller "$host" "$zone" "$first" "$(seed_list "$@")" \
        "control = \"$NET.$host:$CONTROL_PORT\"" "dataDir = \"$WORK/data-$host\""
    (cd "$ROOT" && LABURNUMQUAY_BOOT=$WORK/$host.toml exec "$PROGRAM" controller \
        --metrics-port $METRICS_PORT --direct-entries 100) >> "$WORK/$host.log" 2>&1 &
    PIDS[$host]=$!
    record "controller $NET.$host starts, firstStart=$first, seeds: $*"
}

# start_entry HOST ZONE SEED_HOST...
start_entry() {
    local host=$1 zone=$2
    shift 2
    settings "$WORK/$host.toml" entry "$host" "$zone" true "$(seed_list "$@")" \
        "front = \"$NET.$host:$FRONT_PORT\"
readiness = \"$NET.$host:$READY_PORT\"" ""
    (cd "$ROOT" && LABURNUMQUAY_BOOT=$WORK/$host.toml exec "$PROGRAM" entry \
        --metrics-port $METRICS_PORT) >> "$WORK/$host.log" 2>&1 &
    PIDS[$host]=$!
    record "entry $NET.$host starts, seeds: $*"
}

# terminate HOST: SIGTERM, then SIGKILL after `graceS`.
terminate() {
    local pid=${PIDS[$1]} tries
    kill -TERM "$pid"
    for ((tries = 0; tries < 80; tries++)); do
        kill -0 "$pid" 2>/dev/null || break
        sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
    record "$NET.$1 was stopped with SIGTERM"
}

# Sends a configuration to a controller as the operator does: follows a 307 twice, and gives up a call
# after a second. Prints the status. send_configuration HOST FILE
send_configuration() {
    curl -s -o /dev/null -w '%{http_code}' --max-time 1 -L --max-redirs 2 --post301 --post302 \
        -H 'Content-Type: application/json' --data-binary "@$2" \
        "http://$NET.$1:$CONTROL_PORT/v1/Config.Replace"
}

# Prints status and version of the configuration that a controller returns. fetch_version HOST
fetch_version() {
    local body status
    body=$(curl -s -w '\n%{http_code}' --max-time 1 "http://$NET.$1:$CONTROL_PORT/v1/Config.Fetch")
    status=${body##*$'\n'}
    echo "$status $(sed -n 's/^{"version":\([0-9]*\),.*/\1/p' <<< "$body" | head -n 1)"
}

# Prints a gauge of a program. metric HOST NAME
metric() {
    curl -s --max-time 1 "http://$NET.$1:$METRICS_PORT/metrics" | sed -n "s/^$2 //p" | head -n 1
}

# start_engine HOST ID SERVICE ZONE WORK_MS CONTROL_HOST...
# ENGINE_OPTIONS: further arguments of the stand-in.
ENGINE_OPTIONS=()
ENGINE_PORT=21080
start_engine() {
    local host=$1 id=$2 service=$3 zone=$4 work=$5 controls="" control
    shift 5
    for control in "$@"; do
        controls+="${controls:+,}$NET.$control:$CONTROL_PORT"
    done
    "$ROOT/target/review/engine" "listen=$NET.$host:$ENGINE_PORT" "id=$id" "service=$service" \
        "zone=$zone" "controls=$controls" "log=$WORK/engine-$host.txt" "work_ms=$work" \
        "${ENGINE_OPTIONS[@]}" > "$WORK/engine-$host.log" 2>&1 &
    PIDS[engine-$host]=$!
    record "engine $NET.$host starts: $id of $service in $zone"
}

# Waits until an entry instance is ready, for 30 s at most. wait_ready HOST
wait_ready() {
    local tries status
    for ((tries = 0; tries < 150; tries++)); do
        status=$(curl -s -o /dev/null -w '%{http_code}' --max-time 1 "http://$NET.$1:$READY_PORT/v1/readyz")
        [ "$status" = 200 ] && return 0
        sleep 0.2
    done
    return 1
}

# kill_machine HOST: SIGKILL, as when a machine loses power.
kill_machine() {
    kill -KILL "${PIDS[$1]}"
    wait "${PIDS[$1]}" 2>/dev/null
    record "$NET.$1 was killed with SIGKILL"
}
