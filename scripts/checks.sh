# Load generation and checks shared by the fault injection scripts. Source it after fleet.sh, in scripts
# that set `entries` and `workers`.

failures=0

# fleet_document: prints a document with one pool of all workers, two services and a wave.
fleet_document() {
    cat <<DOC
[sections.fleet]
team = "operations"
[sections.fleet.teams.operations]
tokenHash = "$(printf operations-token | sha256sum | cut -d' ' -f1)"
$(pool fleet main 1 $workers)
[sections.fleet.services.invoice]
pool = "main"
idempotent = false
class = "urgent"
availability = 0.75
[sections.fleet.services.quote]
pool = "main"
availability = 0.75
[sections.fleet.waves.weekly]
pools = ["main"]
maintenanceMs = 1000
DOC
}

check() { # WHAT ACTUAL WANTED
    if [ "$2" = "$3" ]; then
        echo "  pass: $1 = $2"
    else
        echo "  FAIL: $1 = $2, wanted $3"
        failures=$((failures + 1))
    fi
}

check_within() { # SECONDS WHAT COMMAND...: fails unless the command succeeds in time
    local seconds=$1 what=$2 happened=yes
    shift 2
    wait_for "$seconds" "$@" || happened=no
    check "$what" "$happened" yes
}

platform_faults() { curl -sf -o /dev/null -d "$1" "http://$platform_address/standin/faults"; }
status_of() { curl -sf "http://$(admin_address "$1")/v1/status"; }
field() { python3 -c 'import json,sys; print(json.load(sys.stdin)[sys.argv[1]])' "$1"; }

live_at() { status_of "$1" | python3 -c 'import json,sys; print(len(json.load(sys.stdin)["live"]))'; }
sees() { [ "$(live_at "$1")" = "$2" ]; }
# all_see COUNT N...: waits until each of the entry VMs N reports COUNT live entry VMs; prints the time taken.
all_see() {
    local count=$1 begin n
    shift
    begin=$(date +%s%N)
    for n in "$@"; do wait_for 30 sees "$n" "$count"; done
    echo "  entry VMs $* see $count live after $((($(date +%s%N) - begin) / 1000000)) ms"
}

# load NAME SECONDS: starts a constant load that stops after SECONDS.
load() {
    local list="" n
    for ((n = 1; n <= entries; ++n)); do list+="${list:+,}$(caller_address "$n")"; done
    start "load-$1" "$fleet_bin/packages/standins/standin-load" --entries "$list" \
        --health "$admin_list" --workers "$(worker_address 1)" --worker-count $workers \
        --services "${load_services:-invoice:urgent:keyed,quote:normal}" --rate "${load_rate:-150}" --surge 1 --lull 1 \
        --phase-ms $(($2 * 1000 / 3)) --run-ms "${load_run_ms:-30}" --deadline-ms 3000 --pool-slots 96 \
        --seed "$((++load_seed))"
}
load_seed=0

# judge NAME: waits for a load to end and checks the invariants that hold under any fault. Sets $report.
judge() {
    local code=0
    end_quietly "load-$1" || code=$?
    report=$(tail -1 "$fleet_dir/load-$1.log")
    echo "  $report"
    check "$1: doubled, lost, strangers, run though told not run" "$code" 0
}
end_quietly() {
    local code=0
    wait "${fleet_pids[$1]}" || code=$?
    unset "fleet_pids[$1]"
    return $code
}
count() { python3 -c 'import json,sys; r=json.loads(sys.argv[1]); print(sum(c[sys.argv[2]] for c in r["classes"].values()))' "$report" "$1"; }

# conclude NAME: prints the summary line; fails if any check failed.
conclude() {
    [ $failures -eq 0 ] && echo "$1: all checks passed" || echo "$1: $failures checks failed"
    [ $failures -eq 0 ]
}
