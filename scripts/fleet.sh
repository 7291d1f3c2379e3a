# Starts and stops the processes of a small fleet on loopback addresses. Sourced by the scripts that need
# a fleet; all processes are started here and stopped by their own process id.
#
# Ports: the platform at BASE; for entry VM N (from 1) callers at BASE+10+N, administration at BASE+30+N and
# peers at BASE+50+N; workers from BASE+100.

fleet_dir=${FLEET_DIR:-$(mktemp -d)}
fleet_bin=${FLEET_BIN:-build}
base=${FLEET_BASE:-21000}
declare -A fleet_pids=()

platform_address="127.0.0.1:$base"
caller_address() { echo "127.0.0.1:$((base + 10 + $1))"; }
admin_address() { echo "127.0.0.1:$((base + 30 + $1))"; }
peer_address() { echo "127.0.0.1:$((base + 50 + $1))"; }
worker_address() { echo "127.0.0.1:$((base + 99 + $1))"; }

# start NAME COMMAND...: starts a background process that logs to the fleet's folder.
start() {
    local name=$1
    shift
    "$@" >>"$fleet_dir/$name.log" 2>&1 &
    fleet_pids[$name]=$!
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; fails after the timeout.
wait_for() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $end ] || { echo "timed out: $*" >&2; return 1; }
        sleep 0.05
    done
}

# end NAME [SIGNAL]: signals a process and waits for it; returns its exit code.
end() {
    local pid=${fleet_pids[$1]}
    kill "-${2:-TERM}" "$pid" 2>/dev/null || true
    local code=0
    wait "$pid" || code=$?
    unset "fleet_pids[$1]"
    return $code
}

end_all() {
    local name
    for name in "${!fleet_pids[@]}"; do
        kill -KILL "${fleet_pids[$name]}" 2>/dev/null || true
        wait "${fleet_pids[$name]}" 2>/dev/null || true
    done
    fleet_pids=()
}

start_platform() {
    # Another fleet on the same ports would answer requests meant for this one.
    if curl -s -o /dev/null "http://$platform_address/"; then
        echo "ports from $base on are in use; set FLEET_BASE" >&2
        exit 1
    fi
    start platform "$fleet_bin/packages/standins/standin-platform" --listen "$platform_address" "$@"
    wait_for 10 curl -sf -o /dev/null "http://$platform_address/v1/vms?state=leaving"
}

# start_workers COUNT [OPTIONS]: starts workers w1 to wCOUNT in one process.
start_workers() {
    local count=$1
    shift
    start workers "$fleet_bin/packages/standins/standin-worker" --listen "$(worker_address 1)" \
        --name w --count "$count" "$@"
    wait_for 10 curl -sf -o /dev/null "http://$(worker_address "$count")/standin/runs"
}

# write_settings N COUNT: writes the settings of entry VM N of COUNT and appends FLEET_EXTRA.
write_settings() {
    local n=$1 count=$2 i
    {
        echo "name = \"e$n\""
        echo "dataCentre = \"dc$(((n - 1) % 4 + 1))\""
        echo "callers = \"$(caller_address "$n")\""
        echo "admin = \"$(admin_address "$n")\""
        echo "peer = \"$(peer_address "$n")\""
        echo "platform = \"$platform_address\""
        echo "trafficThreads = ${FLEET_THREADS:-1}"
        for ((i = 1; i <= count; ++i)); do
            [ "$i" -eq "$n" ] && continue
            printf '[[peers]]\nname = "e%d"\naddress = "%s"\n' "$i" "$(peer_address "$i")"
        done
        printf '%b' "${FLEET_EXTRA:-}"
    } >"$fleet_dir/e$n.toml"
}

start_entry() { start "e$1" "$fleet_bin/packages/entry/sassafrasferryd" --settings "$fleet_dir/e$1.toml"; }

start_entries() {
    local count=$1 n
    for ((n = 1; n <= count; ++n)); do
        write_settings "$n" "$count"
        start_entry "$n"
    done
    admin_list=""
    for ((n = 1; n <= count; ++n)); do
        wait_for 10 curl -s -o /dev/null "http://$(admin_address "$n")/v1/status"
        admin_list+="${admin_list:+,}$(admin_address "$n")"
    done
    export SASSAFRASFERRY_ADMIN=$admin_list
}

# vm N: prints the TOML table of worker N; workers spread over four data centres of two racks each.
vm() {
    printf 'name = "w%d"\naddress = "%s"\ndataCentre = "dc%d"\nrack = "r%d"\n' \
        "$1" "$(worker_address "$1")" $((($1 - 1) / 4 % 4 + 1)) $((($1 - 1) / 4 + 1))
}

# pool SECTION POOL FIRST LAST: prints a pool of the workers FIRST to LAST.
pool() {
    local i
    for ((i = $3; i <= $4; ++i)); do
        printf '[[sections.%s.pools.%s.vms]]\n' "$1" "$2"
        vm "$i"
    done
}

fleet_cli() { "$fleet_bin/packages/cli/sassafrasferry" "$@"; }

# healthy N: succeeds if entry VM N is healthy.
healthy() { curl -sf -o /dev/null "http://$(admin_address "$1")/healthz"; }
