#!/usr/bin/env bash
# Checks guarantees on a running cluster: KV cache holds end with their program, a leaving endpoint gets no new
# work, a configuration takes effect on every daemon, and a rolling restart under load loses nothing. Waits for
# events instead of fixed times; the time limits are those of the guarantees.
set -uo pipefail
cd "$(dirname "$0")/.."
PORT_BASE=${PROMISES_PORT_BASE:-27000}
source scripts/cluster.sh
readonly CONFIG_LIMIT_S=16
start_cluster 3 3 --decode-tokens-per-second 200 --prefill-tokens-per-second 100000 || exit 1

failures=0
passes=0
# Usage: check NAME COMMAND...
check() {
  if "${@:2}"; then
    passes=$((passes + 1))
  else
    failures=$((failures + 1))
    echo "FAILED $1"
  fi
}
base="http://127.0.0.1:$(http_port 1)"
auth="authorization: Bearer $ORGANISATION_KEY"
# Whether any engine holds the KV cache of a program. Usage: held PROGRAM
held() {
  local i
  for i in 1 2 3; do
    curl -sS "http://127.0.0.1:$(engine_port "$i")/kv/holds" | grep -q "$1" && return 0
  done
  return 1
}
not_held() { ! held "$1"; }

# KV cache holds: an engine holds the cache of a live program and releases it when the program ends.
program=$(curl -sS -H "$auth" -H 'idempotency-key: hold' -d '{"class":"chat"}' "$base/v1/programs" |
  sed -n 's/.*"program" *: *"\([0-9a-f]*\)".*/\1/p')
curl -sS -o /dev/null -H "$auth" -H 'idempotency-key: h1' \
  -d '{"model":"model-a","messages":[{"role":"user","content":"hello"}],"max_tokens":8}' "$base/v1/programs/$program/chat/completions"
check "a live program keeps its hold" held "$program"
curl -sS -o /dev/null -X DELETE -H "$auth" "$base/v1/programs/$program"
check "the hold of an ended program is released" wait_for 10 "the release of the hold" not_held "$program"

# Usage: start_load SEED PROGRAMS RATE
start_load() {
  "$BUILD/acaciaspring_load" --entries "$(entries_list)" --organisation-key "$ORGANISATION_KEY" --model model-a \
    --programs "$2" --arrival-rate "$3" --concurrency 64 --seed "$1" --run-id "run$1" --turns 2..4 \
    --classes stop-line:0.2,chat:0.4,dispatch:0.4 --tool-service manual-search --effect-service parts-order \
    --effect-probability 0.3 --tool-pause-ms 50 --max-tokens 64 --deadline-s 40 --time-limit-s 90 >"$WORK/load$1.txt" 2>&1 &
  load_pid=$!
}
# Prints a counter of the report of a load run. Usage: load_counter SEED NAME
load_counter() { sed -n "s/^$2 \([0-9]*\).*/\1/p" "$WORK/load$1.txt"; }
engine_stat() { curl -sS "http://127.0.0.1:$(engine_port "$1")/stats" | sed -n "s/.*\"$2\" *: *\([0-9]*\).*/\1/p"; }
engine_has_completed_calls() { [ "$(engine_stat "$1" completed)" -gt 5 ]; }

# Leaving endpoint: the engine counts requests that arrive more than 3 s after it started to leave.
start_load 1 160 20
wait_for 20 "work on engine 1" engine_has_completed_calls 1
set_fault "$(engine_port 1)" '{"leaving":true}'
wait $load_pid
late_requests=$(engine_stat 1 requests_after_leaving_grace)
check "a leaving engine gets no new work after 3 s" [ "${late_requests:-0}" = 0 ]
check "calls continue on other engines" [ "$(load_counter 1 programs_failed)" = 0 ]
check "answers are complete while the engine leaves" [ "$(load_counter 1 answers_incomplete)" = 0 ]
set_fault "$(engine_port 1)" '{"leaving":false}'

# Configuration: a change accepted by one daemon takes effect on all daemons.
sed -i 's/"max_output_tokens": [0-9]*/"max_output_tokens": 1024/' "$WORK/config/20-limits.json"
ctl 2 apply "$WORK/config" >"$WORK/applied"
revision=$(sed -n 's/accepted: revision //p' "$WORK/applied")
in_force_everywhere() {
  [ "$(ctl 1 --json status | grep -c "\"revision\" : $revision,")" -ge 3 ] &&
    [ "$(ctl 1 --json status | sed -n 's/^\t\t\t"revision" : \([0-9]*\).*/\1/p' | sort -u)" = "$revision" ]
}
check "a configuration is in force on every daemon" wait_for $CONFIG_LIMIT_S "revision $revision" in_force_everywhere

# Rolling restart of every daemon under load: no answer is cut, no program fails, and the configuration stays in
# force.
has_served() {
  curl -sS "http://127.0.0.1:$(http_port "$1")/metrics" |
    awk -v served="${served[$1]:-0}" '/^acaciaspring_calls.*model_call.*completed/ {calls = $2} END {exit !(calls >= served + 20)}'
}
served=()
for i in 1 2 3; do
  served[i]=$(curl -sS "http://127.0.0.1:$(http_port "$i")/metrics" |
    awk '/^acaciaspring_calls.*model_call.*completed/ {calls = $2} END {print calls + 0}')
done
start_load 2 500 20
for i in 1 2 3; do
  wait_for 20 "calls through daemon $i" has_served "$i"
  send_signal TERM "d$i"
  check "daemon $i shuts down gracefully" wait_for_exit "d$i"
  start_daemon "$i" 3
  wait_for 20 "daemon $i to be ready again" is_ready "$i"
done
wait $load_pid
check "no answer is cut by a rolling restart" [ "$(load_counter 2 answers_cut)" = 0 ]
check "no call is unknown after a rolling restart" [ "$(load_counter 2 calls_unknown)$(load_counter 2 effects_unknown)" = 00 ]
check "no program fails in a rolling restart" [ "$(load_counter 2 programs_failed)" = 0 ]
check "histories survive a rolling restart" [ "$(load_counter 2 histories_wrong)$(load_counter 2 answers_incomplete)" = 00 ]
check "the configuration survives the restart of all daemons" wait_for $CONFIG_LIMIT_S "revision $revision" in_force_everywhere
check "no order runs twice" [ "$(curl -sS "http://127.0.0.1:$(tools_port)/executions" |
  grep -o '{[^{}]*"operation":"parts-order"[^{}]*}' | grep -vc '"count":1,')" = 0 ]
if [ $failures != 0 ]; then
  cat "$WORK"/load?.txt
  [ -n "${KEEP:-}" ] && cp -r "$WORK" "$KEEP"
fi
echo "$passes passed, $failures failed"
[ $failures = 0 ]
