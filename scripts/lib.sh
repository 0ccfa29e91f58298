# Functions for scripts that start a small deployment on loopback. A script ends only processes
# that it started itself, and ends them by process id.
# shellcheck shell=bash

declare -A PID_OF=()

die() {
  echo "FAILED: $*" >&2
  exit 1
}

# start NAME PROGRAM ARGS... runs a program in the background, with its output in $RUN/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$RUN/$name.log" 2>&1 &
  PID_OF[$name]=$!
}

# wait_file FILE waits until a process has written its addresses.
wait_file() {
  local n
  for n in $(seq 1 400); do
    [ -s "$1" ] && return 0
    sleep 0.05
  done
  die "no address in $1"
}

# address FILE KEY prints one address that a process wrote.
address() {
  sed -n "s/^$2=//p" "$1"
}

# count_runs KEY prints how often the order with this idempotency key was run, summed over the
# ledgers of all order servers. A run writes one line when it starts and another, with "finished",
# when it ends.
count_runs() {
  cat "$RUN"/ord-*.ledger | grep -F "\"key\":\"$1\"" | grep -vc '"finished"' || true
}

# load_metric METRIC prints the metric's value for the class "all" in the load's report.
load_metric() {
  awk -v metric="$1" '$1 == "all" && $2 == metric { print $3 }' "$RUN/load.txt"
}

# stop NAME sends SIGTERM to a process and waits until it has ended.
stop() {
  local pid=${PID_OF[$1]:-}
  [ -n "$pid" ] || return 0
  kill -TERM "$pid" 2>/dev/null || true
  wait "$pid"
}

# stop_all ends all remaining processes, also after a failure: it sends SIGTERM and, if any still
# runs after about 15 s, SIGKILL, so that no hanging process is left behind. It signals only
# running children of this shell.
stop_all() {
  local pid n
  for pid in $(jobs -pr); do
    kill -TERM "$pid" 2>/dev/null || true
    # A process that was stopped with SIGSTOP handles SIGTERM only after SIGCONT.
    kill -CONT "$pid" 2>/dev/null || true
  done
  for n in $(seq 1 300); do
    [ -n "$(jobs -pr)" ] || break
    sleep 0.05
  done
  for pid in $(jobs -pr); do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

# cleanup ends all processes and removes the run's files; with KEEP_RUN set it keeps the files.
cleanup() {
  local code=$?
  trap '' INT TERM
  stop_all
  if [ -n "${KEEP_RUN:-}" ]; then echo "kept: $RUN"; else rm -rf "$RUN"; fi
  exit "$code"
}

# start_fake NAME KIND ARGS... starts a stand-in, which writes its addresses to $RUN/NAME.addr and
# $RUN/NAME.addr.control.
start_fake() {
  local name=$1 kind=$2
  shift 2
  start "$name" bin/fakes "$kind" --address-file "$RUN/$name.addr" "$@"
}

# start_agent NAME SERVICE REGION DOMAIN BACKEND_ADDRESS LABELS SLOTS starts an agent.
start_agent() {
  start "$1" bin/agent --instance.name "$1" --instance.region "$3" --instance.domain "$4" \
    --instance.labels "$6" --platform.store "$STORE" --platform.list "$LIST" \
    --peers.listen 127.0.0.1:0 --metrics.address-file "$RUN/$1.addr" \
    --backend.address "$5" --backend.service "$2" --backend.slots "$7" \
    --trace.file "$RUN/$1.spans" --stop.grace 10s "${AGENT_FLAGS[@]}"
}

# register_agent NAME SERVICE REGION DOMAIN LABELS registers an agent in the platform's list of
# instances.
register_agent() {
  bin/fakes register --list "$LIST" --name "$1" --role agent --service "$2" --region "$3" --domain "$4" \
    --labels "$5" --address "$(address "$RUN/$1.addr" peers)" >>"$RUN/register.log" 2>&1 || die "register $1"
}

# start_entry NAME REGION DOMAIN starts an entry.
start_entry() {
  start "$1" bin/entry --instance.name "$1" --instance.region "$2" --instance.domain "$3" \
    --platform.store "$STORE" --platform.list "$LIST" --platform.list-every 500ms \
    --callers.listen 127.0.0.1:0 --admin.listen 127.0.0.1:0 --metrics.address-file "$RUN/$1.addr" \
    --admin.bootstrap-sha256 "$BOOTSTRAP" --trace.file "$RUN/$1.spans" --stop.grace 10s "${ENTRY_FLAGS[@]}"
}

# register_entry NAME REGION DOMAIN registers an entry in the platform's list of instances.
register_entry() {
  bin/fakes register --list "$LIST" --name "$1" --role entry --region "$2" --domain "$3" \
    --address "$(address "$RUN/$1.addr" callers)" >>"$RUN/register.log" 2>&1 || die "register $1"
}

# wait_ready NAME waits until /readyz of a process returns success.
wait_ready() {
  local metrics n
  metrics=$(address "$RUN/$1.addr" metrics)
  for n in $(seq 1 200); do
    curl -sf "http://$metrics/readyz" >/dev/null && return 0
    sleep 0.05
  done
  die "$1 is not ready: $(tail -3 "$RUN/$1.log")"
}

# start_platform starts the stand-ins of the platform's key-value service and instance list.
start_platform() {
  start_fake kv kv
  start_fake list list --lag 200ms
  wait_file "$RUN/kv.addr"
  wait_file "$RUN/list.addr"
  STORE=$(cat "$RUN/kv.addr")
  LIST=$(cat "$RUN/list.addr")
}

# start_backends starts the backend servers of $BACKENDS, each with its agent, and registers the
# agents.
start_backends() {
  local line name kind service region labels slots
  for line in "${BACKENDS[@]}"; do
    read -r name kind service region labels slots <<<"$line"
    case $kind in
      engine) start_fake "$name-server" engine --models "$MODELS" --token-interval 4ms --slots "$slots" ;;
      *) start_fake "$name-server" "$kind" --slots "$slots" --service-time 5ms --ledger-file "$RUN/$name.ledger" ;;
    esac
  done
  for line in "${BACKENDS[@]}"; do
    read -r name kind service region labels slots <<<"$line"
    wait_file "$RUN/$name-server.addr"
    start_agent "$name" "$service" "$region" "$region-1" "$(cat "$RUN/$name-server.addr")" "$labels" "$slots"
  done
  for line in "${BACKENDS[@]}"; do
    read -r name kind service region labels slots <<<"$line"
    wait_file "$RUN/$name.addr"
    register_agent "$name" "$service" "$region" "$region-1" "$labels"
  done
}

# start_entries starts and registers an entry in each of the first two regions.
start_entries() {
  local region
  for region in "${REGIONS[0]}" "${REGIONS[1]}"; do
    start_entry "entry-$region" "$region" "$region-1"
  done
  for region in "${REGIONS[0]}" "${REGIONS[1]}"; do
    wait_file "$RUN/entry-$region.addr"
    register_entry "entry-$region" "$region" "$region-1"
  done
  CALLERS=$(address "$RUN/entry-${REGIONS[0]}.addr" callers)
  OTHER=$(address "$RUN/entry-${REGIONS[1]}.addr" callers)
  ADMIN=$(address "$RUN/entry-${REGIONS[0]}.addr" admin)
  METRICS=$(address "$RUN/entry-${REGIONS[0]}.addr" metrics)
}
