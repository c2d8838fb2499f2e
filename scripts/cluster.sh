# Functions that start and stop the fakes and daemons of a local cluster. Sourced by scripts/demo,
# scripts/drill, scripts/bench and the tests of tests/ with the repository root as the working directory.
# Processes are signalled by their process id only.

BUILD=${BUILD:-build}
PORT_BASE=${PORT_BASE:-20000}
ZONES=(fukuoka kumamoto kagoshima)
OPERATOR_KEY=operator-example-key-01
CLUSTER_KEY=cluster-example-key-0001
ORGANISATION_KEY=hinokuni-example-key-0001
export ACACIASPRING_OPERATOR_KEY=$OPERATOR_KEY
WORK=$(mktemp -d)
declare -A PIDS=()

http_port() { echo $((PORT_BASE + 100 + $1)); }
peer_port() { echo $((PORT_BASE + 200 + $1)); }
engine_port() { echo $((PORT_BASE + 300 + $1)); }
log_port() { echo $((PORT_BASE + 1)); }
vms_port() { echo $((PORT_BASE + 2)); }
tools_port() { echo $((PORT_BASE + 3)); }

# Starts a process in the background; its output goes to $WORK/NAME.log. Usage: start_process NAME COMMAND...
start_process() {
  local name=$1
  shift
  "$@" >>"$WORK/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# Usage: send_signal SIGNAL NAME
send_signal() { kill "-$1" "${PIDS[$2]}" 2>/dev/null || true; }

# Waits until a process has ended and returns its exit status. Usage: wait_for_exit NAME
wait_for_exit() {
  wait "${PIDS[$1]}" 2>/dev/null
  local status=$?
  unset "PIDS[$1]"
  return $status
}

stop_all() {
  local name
  for name in "${!PIDS[@]}"; do
    kill -CONT "${PIDS[$name]}" 2>/dev/null
    kill -KILL "${PIDS[$name]}" 2>/dev/null
    wait "${PIDS[$name]}" 2>/dev/null
  done
  rm -rf "$WORK"
}
trap stop_all EXIT

# Repeats a command until it succeeds; fails after the time limit. Usage: wait_for SECONDS DESCRIPTION COMMAND...
wait_for() {
  local deadline=$((SECONDS + $1)) description=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "timed out waiting for $description" >&2
      return 1
    fi
    sleep 0.05
  done
}

# Usage: set_fault PORT JSON
set_fault() { curl -sS -X POST -d "$2" "http://127.0.0.1:$1/faults" >/dev/null; }
is_ready() { curl -sf "http://127.0.0.1:$(http_port "$1")/readyz"; }
responds() { curl -sf "http://127.0.0.1:$1/stats"; }
ctl() { local daemon=$1; shift; "$BUILD/acaciaspringctl" --server "127.0.0.1:$(http_port "$daemon")" "$@"; }

# Starts the fake log, tool service, VM list and engines. Usage: start_platform ENGINES [engine options...]
start_platform() {
  local engines=$1
  shift
  start_process log "$BUILD/fake_log" --listen "127.0.0.1:$(log_port)" --retention-ms 3600000
  start_process tools "$BUILD/fake_tools" --listen "127.0.0.1:$(tools_port)"
  start_process vms "$BUILD/fake_vms" --listen "127.0.0.1:$(vms_port)"
  local i
  for i in $(seq "$engines"); do
    start_engine "$i" "$@"
  done
  wait_for 10 "the log" responds "$(log_port)"
  wait_for 10 "the tool service" responds "$(tools_port)"
  for i in $(seq "$engines"); do
    wait_for 10 "engine $i" responds "$(engine_port "$i")"
  done
  ENGINES=$engines
}

# Usage: start_engine NUMBER [engine options...]
start_engine() {
  local i=$1
  shift
  start_process "engine$i" "$BUILD/fake_engine" --listen "127.0.0.1:$(engine_port "$i")" --models model-a \
    --kv-capacity-tokens 400000 "$@"
}

# Usage: start_daemon NUMBER SEED_COUNT
start_daemon() {
  local i=$1 seeds="" j
  for j in $(seq "$2"); do
    seeds="$seeds\"127.0.0.1:$(peer_port "$j")\","
  done
  cat >"$WORK/d$i.json" <<SETTINGS
{
  "daemon": "d$i", "zone": "${ZONES[$(((i - 1) % 3))]}", "region": "kyushu", "vm": "vm-$i",
  "http": "127.0.0.1:$(http_port "$i")", "peer": "127.0.0.1:$(peer_port "$i")",
  "seeds": [${seeds%,}],
  "log": "127.0.0.1:$(log_port)",
  "cluster_key": "$CLUSTER_KEY", "operator_key": "$OPERATOR_KEY",
  "trace": { "file": "$WORK/d$i.traces" },
  "entries_ttl_ms": 1000, "log_unavailable_after_ms": 2000, "log_appends_per_second": 80,
  "probe_period_ms": 200, "suspect_after_ms": 1000, "call_deadline_ms": 30000
}
SETTINGS
  start_process "d$i" "$BUILD/acaciaspringd" --settings "$WORK/d$i.json"
}

# Writes the configuration folder for the started engines. Usage: write_config_folder
write_config_folder() {
  mkdir -p "$WORK/config"
  cp examples/ticket-desk/10-priority-classes.json examples/ticket-desk/20-limits.json \
    examples/ticket-desk/30-organisations.json "$WORK/config/"
  local i entries=""
  for i in $(seq "$ENGINES"); do
    entries="$entries\"engine-$i\": { \"address\": \"127.0.0.1:$(engine_port "$i")\",
      \"zone\": \"${ZONES[$(((i - 1) % 3))]}\", \"kind\": \"engine\", \"models\": [\"model-a\"], \"concurrency\": 16,
      \"checks_fencing\": true, \"can_resume\": true, \"state\": \"active\", \"prefill_tokens_per_second\": 100000,
      \"decode_tokens_per_second\": 200, \"kv_capacity_tokens\": 400000 },"
  done
  echo "{ \"endpoints\": { ${entries%,} } }" >"$WORK/config/40-endpoints.json"
  sed "s/127.0.0.1:9401/127.0.0.1:$(tools_port)/" examples/ticket-desk/50-services.json >"$WORK/config/50-services.json"
}

# Starts the fakes and daemons, applies the configuration and waits until the cluster is ready.
# Usage: start_cluster DAEMONS ENGINES [engine options...]
start_cluster() {
  DAEMONS=$1
  shift
  start_platform "$@"
  local i
  for i in $(seq "$DAEMONS"); do
    start_daemon "$i" "$DAEMONS"
  done
  write_config_folder
  wait_for 20 "daemon 1" ctl 1 entries
  wait_for 20 "the log at daemon 1" log_caught_up
  ctl 1 apply "$WORK/config"
  for i in $(seq "$DAEMONS"); do
    wait_for 20 "daemon $i to be ready" is_ready "$i"
  done
  wait_for 30 "all shards to have an owner" all_shards_owned
}

log_caught_up() { ctl 1 --json status | grep -q '"caught_up" : true'; }
all_shards_owned() {
  local owned
  owned=$(ctl 1 --json status | sed -n 's/.*"owned_shards" : \([0-9]*\).*/\1/p' | paste -sd+ | bc)
  [ "$owned" = 4096 ]
}
# Prints the HTTP addresses of all daemons, separated by commas.
entries_list() {
  local i list=""
  for i in $(seq "$DAEMONS"); do
    list="$list,127.0.0.1:$(http_port "$i")"
  done
  echo "${list#,}"
}
