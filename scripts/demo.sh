#!/usr/bin/env bash
# Runs a complete site on this machine: stand-ins of the platform and of 50 endpoints, and 7 nodes
# behind a load balancer. Moves a VM and replaces a node under a mixed load. Then runs jobs on nodes
# of the job service and kills one of these nodes. Prints the results and exits. All traffic stays on
# 127.0.0.1.
#
# Usage: scripts/demo.sh [SITE] [RATE] [SECONDS]      SITE: hallein (default) or nilebite
set -euo pipefail
cd "$(dirname "$0")/.."

site=${1:-hallein}
rate=${2:-300}
seconds=${3:-15}
nodes=7
token=0123456789abcdef-demo
case $site in
hallein) pools=diary-intake,case-files,evidence-media,hearing-preparation,spare from=case-files to=spare zone=hallein-a ;;
nilebite) pools=counter-requests,grind-planning,photo-inspection,rescue-intake,spare from=photo-inspection to=spare zone=nilebite-a ;;
*) echo "unknown site: $site" >&2 && exit 2 ;;
esac

cargo build --release --locked --quiet --workspace --bins --examples
bin=$PWD/target/release
library=$PWD/library/python
run_directory=$(mktemp -d)
processes=()
stop_all() {
    kill "${processes[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$run_directory"
}
trap stop_all EXIT

# wait_line FILE PATTERN [TRIES]: waits until a process has printed a matching line to FILE.
wait_line() {
    for _ in $(seq "${3:-200}"); do
        grep -q "$2" "$1" 2>/dev/null && return
        sleep 0.05
    done
    echo "no line '$2' in $1" >&2
    cat "${1%.out}.err" >&2
    return 1
}

# launch NAME COMMAND...: starts a background process with its output in NAME.out and NAME.err.
launch() {
    local name=$1
    shift
    "$@" >"$run_directory/$name.out" 2>"$run_directory/$name.err" &
    processes+=($!)
    echo $! >"$run_directory/$name.pid"
}

# start_node NAME: writes the settings of a node and starts it.
start_node() {
    cat >"$run_directory/$1.ini" <<SETTINGS
[node]
name = $1
region = region-1
zone = $zone
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
admin_address = 127.0.0.1:0
stop_delay = 2s

[platform]
address = $platform

[admin]
root_token = $token
SETTINGS
    launch "$1" "$bin/tanagerladderd" --config "$run_directory/$1.ini"
}

# address NAME KIND: prints an address of a node from its output.
address() { sed -n "s/.*$2=\([^ ]*\).*/\1/p" "$run_directory/$1.out"; }

launch platform "$bin/examples/platform" --address 127.0.0.1:0 --list-lag 2s
launch endpoint "$bin/examples/endpoint" --address 127.0.0.1:0 --count 50
wait_line "$run_directory/platform.out" listening
wait_line "$run_directory/endpoint.out" ready
platform=$(awk '/^listening/ { print $2 }' "$run_directory/platform.out")
control_address=$(awk '/^control/ { print $2 }' "$run_directory/endpoint.out")

names=()
for number in $(seq $nodes); do names+=("entry-$number") && start_node "entry-$number"; done
for name in "${names[@]}"; do wait_line "$run_directory/$name.out" listening; done

echo "== $site: 50 endpoints, $nodes nodes; configuration printed by library/python"
python3 "$library/examples/$site.py" --endpoints "$run_directory/endpoint.out" >"$run_directory/site.json"
export TANAGERLADDER_TOKEN=$token
TANAGERLADDER_NODES=$(for name in "${names[@]}"; do address "$name" admin; done | paste -sd,)
export TANAGERLADDER_NODES
for _ in $(seq 100); do
    "$bin/tanagerladder" apply "$run_directory/site.json" --wait >"$run_directory/apply.txt" 2>&1 && break
    sleep 0.1
done
cat "$run_directory/apply.txt"
"$bin/tanagerladder" pools

echo "== idle: 10 s without requests"
# cpu_ticks: prints the CPU time of each node in clock ticks.
cpu_ticks() {
    for name in "${names[@]}"; do
        awk '{ print $14 + $15 }' "/proc/$(cat "$run_directory/$name.pid")/stat"
    done | paste -sd' '
}
# loopback_bytes: prints the number of bytes received on the loopback interface.
loopback_bytes() { awk -F: '/^ *lo:/ { split($2, count, " "); print count[1] }' /proc/net/dev; }
ticks_before=$(cpu_ticks)
loopback_traffic=$(loopback_bytes)
sleep 10
ticks_after=$(cpu_ticks)
loopback_traffic=$(($(loopback_bytes) - loopback_traffic))
echo "cpu per node, % of a core: $(paste <(tr ' ' '\n' <<<"$ticks_before") <(tr ' ' '\n' <<<"$ticks_after") | awk '{ printf "%.1f ", ($2 - $1) / 10 }')"
echo "resident memory per node, MiB: $(for name in "${names[@]}"; do awk '/VmRSS/ { printf "%.1f ", $2 / 1024 }' "/proc/$(cat "$run_directory/$name.pid")/status"; done)"

echo "traffic per node, KB/s: at most $(awk -v sent="$loopback_traffic" -v nodes=$nodes 'BEGIN { printf "%.1f", 2 * sent / 10 / nodes / 1000 }') (all bytes of the loopback interface, each counted for two nodes)"

echo "== $rate requests/s for $seconds s; a VM moves and a node is replaced meanwhile"
callers=$(for name in "${names[@]}"; do address "$name" caller; done | paste -sd,)
admins=$(for name in "${names[@]}"; do address "$name" admin; done | paste -sd,)
launch balancer "$bin/examples/balancer" --address 127.0.0.1:0 --nodes "$callers" --ready "$admins"
wait_line "$run_directory/balancer.out" listening
balancer=$(awk '/^listening/ { print $2 }' "$run_directory/balancer.out")
"$bin/examples/load" --nodes "$balancer" --pools "$pools" --rate "$rate" --duration "${seconds}s" \
    --seed 1 --keyed 1 --retry --verify "$control_address" >"$run_directory/load.txt" &
load_pid=$!
sleep 2
vm=$("$bin/tanagerladder" vms --pool $from --json | python3 -c 'import json,sys; print(json.load(sys.stdin)["vms"][0]["vm"])')
"$bin/tanagerladder" move "$vm" $to --wait
kill -TERM "$(cat "$run_directory/entry-1.pid")"
start_node entry-8
wait_line "$run_directory/entry-8.out" listening
echo "replaced entry-1 by entry-8"
wait $load_pid && exit_status=0 || exit_status=$?
cat "$run_directory/load.txt"

echo "== the same mix sent directly to the endpoints"
endpoints=$(awk '/^endpoint / { print $3 }' "$run_directory/endpoint.out" | paste -sd,)
"$bin/examples/load" --direct "$endpoints" --pools "$pools" --rate "$rate" --duration 5s --seed 1 \
    --keyed 1 | tee "$run_directory/direct.txt"
median() { sed -n 's/^latency normal .*p50=\([0-9.]*\)ms.*/\1/p' "$1"; }
echo "== added latency of normal work, p50: $(awk -v a="$(median "$run_directory/load.txt")" -v b="$(median "$run_directory/direct.txt")" 'BEGIN { printf "%.1f", a - b }') ms"

echo "== jobs: 3 nodes of the job service, 8 workers; the owner of a cell is killed meanwhile"
launch site "$bin/examples/site" --directory "$run_directory" --nodes 3 --jobs 100
wait_line "$run_directory/site.out" ready
for number in 0 1 2; do launch "job-$number" "$bin/tanagerladderd" jobs --config "$run_directory/node-$number.json"; done
sleep 5
killed_pid=$(cat "$run_directory/job-1.pid")
kill -KILL "$killed_pid"
# Its ports become free when the process has exited.
wait "$killed_pid" 2>/dev/null || true
launch job-1 "$bin/tanagerladderd" jobs --config "$run_directory/node-1.json"
echo "killed and restarted job-1"
wait_line "$run_directory/site.out" verdict 1200
tail -2 "$run_directory/site.out"
grep -q 'verdict passed' "$run_directory/site.out" || exit_status=1
exit $exit_status
