#!/bin/bash
# Added control machines become the seeds, and one of them is restarted.
cd "$(dirname "$0")" || exit 2
. ../lib.sh
[ -x "$PROGRAM" ] || unable "no program; run the build of the deploy file"

configuration() {
    cat <<END
{"version":$1,"routes":[{"name":"r-$1","host":"desk.example","pathPrefix":"/p$1/","type":"idempotent","timeoutMs":1200,"sloMs":150,"priority":2,"service":"orderdesk","attempts":2,"public":true,"sticky":false}],"services":[{"name":"orderdesk","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}
END
}
configuration 1 > "$WORK/1.json"
configuration 2 > "$WORK/2.json"

# Sends a version to some controllers in turn, as the operator does, until one acknowledges it.
replace() {
    local version=$1 host status tries
    shift
    for ((tries = 0; tries < 20; tries++)); do
        for host in "$@"; do
            status=$(send_configuration "$host" "$WORK/$version.json")
            record "operator: Config.Replace of version $version at $NET.$host: $status"
            [ "$status" = 200 ] && return 0
        done
        sleep 0.3
    done
    return 1
}

leaders() {
    local host
    for host in 1 2 3 4 5 6 7 8; do
        [ "$(metric "$host" controller_leads)" = 1 ] && echo -n "$NET.$host "
    done
}

# Five control machines in three zones, as on the sheet.
ZONES=([1]=peristeri [2]=marousi [3]=pireas [4]=peristeri [5]=marousi
    [6]=peristeri [7]=marousi [8]=pireas)
for host in 1 2 3 4 5; do
    start_controller "$host" "${ZONES[$host]}" true 1 2 3
done
sleep 2
replace 1 1 2 3 4 5 || unable "the first configuration was never acknowledged"
sleep 6

# add_nodes: one spare control machine in each zone. Their disks are empty.
for host in 6 7 8; do
    start_controller "$host" "${ZONES[$host]}" false 1 2 3
done
sleep 8
record "leaders: $(leaders)"

# seed_turnover: the settings of all machines name the added machines, and SIGHUP tells so.
if [ "$TROUBLE" = 0 ]; then
    seeds=(1 2 3)
else
    seeds=(6 7 8)
fi
for host in 1 2 3 4 5 6 7 8; do
    sed -i "s/^seeds = .*/seeds = [$(seed_list "${seeds[@]}")]/" "$WORK/$host.toml"
    kill -HUP "${PIDS[$host]}"
done
record "the settings of all machines name the seeds ${seeds[*]}; SIGHUP sent"
sleep 6

# roll_term of one machine. It starts again at its address with its disk.
terminate 6
sleep 0.5
start_controller 6 "${ZONES[6]}" false "${seeds[@]}"
sleep 8
record "leaders: $(leaders)"

# The operator's next change, at the machine that is back.
replace 2 6 || replace 2 1 2 3 4 5 6 7 8 || unable "the second configuration was never acknowledged"
sleep 3

# Reads later than configApplyMs (2 s) after the acknowledgement.
broken=0
for round in 1 2 3; do
    for host in 1 2 3 4 5 6 7 8; do
        read -r status version <<< "$(fetch_version "$host")"
        record "operator: Config.Fetch at $NET.$host: $status version ${version:-none}"
        if [ "$status" = 200 ] && [ "$version" != 2 ]; then
            broken=1
        fi
    done
    sleep 1
done
record "leaders: $(leaders)"
for host in 1 2 3 4 5 6 7 8; do
    grep -h '"became leader"\|"started"' "$WORK/$host.log" | sed "s/^/$NET.$host: /" >> "$RECORD"
done
if [ "$broken" = 1 ]; then
    record "BROKEN: CONFIG: version 2 is acknowledged, and a machine answers a later read with version 1"
    exit 1
fi
record "held: all reads after the acknowledgement give version 2"
exit 0
