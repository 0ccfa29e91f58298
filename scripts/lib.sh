# Functions for scripts that start a small deployment on loopback. Every
# process is started here, by the script, and ended by its id.
# shellcheck shell=bash

declare -a PIDS=()
declare -A PID_OF=()

die() {
  echo "FAILED: $*" >&2
  exit 1
}

# start NAME PROGRAM ARGS... runs a program in the background, its output in $RUN/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$RUN/$name.log" 2>&1 &
  PID_OF[$name]=$!
  PIDS+=("$!")
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

# stop NAME asks a process to end gracefully and waits for it.
stop() {
  local pid=${PID_OF[$1]:-}
  [ -n "$pid" ] || return 0
  kill -TERM "$pid" 2>/dev/null || true
  wait "$pid"
}

# stop_all ends whatever is left, also after a failure.
stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${PIDS[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
}

# start_fake NAME KIND ARGS... starts a stand-in; its addresses stand in $RUN/NAME.addr and $RUN/NAME.addr.control.
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

# register_agent NAME SERVICE REGION DOMAIN LABELS puts an agent on the platform's list.
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

# register_entry NAME REGION DOMAIN puts an entry on the platform's list.
register_entry() {
  bin/fakes register --list "$LIST" --name "$1" --role entry --region "$2" --domain "$3" \
    --address "$(address "$RUN/$1.addr" callers)" >>"$RUN/register.log" 2>&1 || die "register $1"
}

# wait_ready NAME waits until a process says that it is ready.
wait_ready() {
  local metrics n
  metrics=$(address "$RUN/$1.addr" metrics)
  for n in $(seq 1 200); do
    curl -sf "http://$metrics/readyz" >/dev/null && return 0
    sleep 0.05
  done
  die "$1 is not ready: $(tail -3 "$RUN/$1.log")"
}
