#!/usr/bin/env bash
# Runs each scenario against every policy in turn, with the real programs and stand-ins at the
# sizes of a deployment: three regions, and three entries for each policy. The agents of the
# baselines queue first in, first out, and their entries admit every request; the agents of both
# queue modes share the same backend servers. Results go to OUT/SCENARIO/POLICY/RUN.
#
#   scripts/bench/policy.sh RUNS SCENARIO...
#
# Environment (defaults in brackets): OUT (out/policy), DURATION (5s), RATE (58 requests per
# second), OVERLOAD (106 requests per second, 1.3 times the capacity of the engines), POLICIES,
# FIRST (1: the number of the first run; a run's number is its seed, see load for the exception).
set -euo pipefail
cd "$(dirname "$0")/../.."
RUNS=${1:?number of runs}
shift
SCENARIOS=("$@")
OUT=${OUT:-out/policy}
DURATION=${DURATION:-5s}
RATE=${RATE:-58}
OVERLOAD=${OVERLOAD:-106}
FIRST=${FIRST:-1}
read -ra POLICIES <<<"${POLICIES:-random round-robin least-outstanding two-choices deadline}"
REGIONS=(osrednja stajerska primorska)
RUN=$(mktemp -d)
AGENT_FLAGS=(--trace.share 0 --log.level warn) ENTRY_FLAGS=(--trace.share 0 --log.level warn)
# shellcheck source=scripts/lib.sh
source scripts/lib.sh
cleanup() {
  stop_all
  [ -n "${KEEP_RUN:-}" ] && echo "kept: $RUN" || rm -rf "$RUN"
}
trap cleanup EXIT
OPERATOR=bench-operator
BOOTSTRAP=$(printf %s "$OPERATOR" | sha256sum | cut -d' ' -f1)
export VCTL_TOKEN=$OPERATOR

# backends prints a line for each backend server: name, kind, service, region, slots.
backends() {
  local n
  for n in $(seq 1 20); do echo "llm-$n engine llm ${REGIONS[$((n % 3))]} 2"; done
  for n in $(seq 1 5); do
    echo "enc-$n pool encoder ${REGIONS[$((n % 3))]} 4"
    echo "ret-$n pool retriever ${REGIONS[$((n % 3))]} 4"
    echo "rer-$n pool reranker ${REGIONS[$((n % 3))]} 4"
  done
  for n in 1 2 3; do echo "ord-$n service orders ${REGIONS[$((n % 3))]} 4"; done
}

start_backend() {
  case $3 in
    llm) start_fake "$1-server" engine --models model --token-interval 40ms --prefill 200us --cache-blocks 256 --slots "$5" ;;
    encoder) start_fake "$1-server" "$2" --slots "$5" --service-time 20ms ;;
    retriever) start_fake "$1-server" "$2" --slots "$5" --service-time 30ms ;;
    reranker) start_fake "$1-server" "$2" --slots "$5" --service-time 60ms ;;
    orders) start_fake "$1-server" "$2" --slots "$5" --service-time 20ms ;;
  esac
}

# start_agents MODE starts, for each backend server, an agent with that queue mode.
start_agents() {
  local name kind service region slots
  LIST=$(cat "$RUN/list-$1-${REGIONS[0]}.addr")
  while read -r name kind service region slots; do
    LIST=$(cat "$RUN/list-$1-$region.addr")
    AGENT_FLAGS=(--trace.share 0 --log.level warn --backend.queue-mode "$1")
    start_agent "$name-$1" "$service" "$region" "$region-1" "$(cat "$RUN/$name-server.addr")" tier=spare "$slots"
  done < <(backends)
}

# register_agents MODE registers the agents of that queue mode in the list of every region: the
# region's own agents with their own addresses, those of other regions with addresses of the
# region's relay.
register_agents() {
  local name kind service region slots here pid pids=()
  for here in "${REGIONS[@]}"; do
    while read -r name kind service region slots; do
      [ "$region" = "$here" ] || echo "$name-$1 $region $(address "$RUN/$name-$1.addr" peers)"
    done < <(backends) >"$RUN/targets-$1-$here"
    start_fake "relay-$1-$here" relay --delay 12ms --targets "$RUN/targets-$1-$here"
  done
  for here in "${REGIONS[@]}"; do
    wait_file "$RUN/relay-$1-$here.addr"
    LIST=$(cat "$RUN/list-$1-$here.addr")
    while read -r name kind service region slots; do
      local to
      to=$(address "$RUN/$name-$1.addr" peers)
      [ "$region" = "$here" ] || to=$(address "$RUN/relay-$1-$here.addr" "$name-$1")
      bin/fakes register --list "$LIST" --name "$name-$1" --role agent --service "$service" --region "$region" \
        --domain "$region-1" --labels tier=spare --address "$to" >>"$RUN/register.log" 2>&1 &
      pids+=("$!")
    done < <(backends)
    for pid in "${pids[@]}"; do wait "$pid" || die "register: $(tail -3 "$RUN/register.log")"; done
    pids=()
  done
}

# mode_of POLICY prints the queue mode of the policy's agents; variants of the deadline policy are
# named deadline-...
mode_of() { case $1 in deadline*) echo fair ;; *) echo fifo ;; esac; }

# variant_flags POLICY prints the additional entry flags of a variant of the deadline policy.
variant_flags() {
  case $1 in
    deadline-open) echo "--admission.mode=off" ;;
  esac
}

# start_entries POLICY starts an entry in each region.
start_entries() {
  local region mode
  mode=$(mode_of "$1")
  for region in "${REGIONS[@]}"; do
    LIST=$(cat "$RUN/list-$mode-$region.addr")
    ENTRY_FLAGS=(--trace.share 0 --log.level warn --routing.policy "$1")
    [ "$mode" = fair ] || ENTRY_FLAGS+=(--routing.subset-size 20 --admission.mode off)
    # shellcheck disable=SC2207 # flags hold no spaces
    [ "$mode" = fifo ] || ENTRY_FLAGS=(--trace.share 0 --log.level warn --routing.policy deadline $(variant_flags "$1"))
    start_entry "entry-$1-$region" "$region" "$region-1"
  done
  for region in "${REGIONS[@]}"; do
    wait_file "$RUN/entry-$1-$region.addr"
    LIST=$(cat "$RUN/list-$mode-$region.addr")
    # Only the entries of the policy under test are registered as live: team limits are divided among
    # the registered entries.
    [ "$mode" = fifo ] || register_entry "entry-$1-$region" "$region" "$region-1"
  done
}

start_all() {
  local mode name rest region policy
  start_fake kv kv
  for mode in fifo fair; do
    for region in "${REGIONS[@]}"; do start_fake "list-$mode-$region" list; done
  done
  while read -r name rest; do
    # shellcheck disable=SC2086 # the line is split into its words
    start_backend "$name" $rest
  done < <(backends)
  wait_file "$RUN/kv.addr"
  for mode in fifo fair; do
    for region in "${REGIONS[@]}"; do wait_file "$RUN/list-$mode-$region.addr"; done
  done
  STORE=$(cat "$RUN/kv.addr")
  while read -r name rest; do wait_file "$RUN/$name-server.addr"; done < <(backends)
  for mode in fifo fair; do start_agents "$mode"; done
  for mode in fifo fair; do
    while read -r name rest; do wait_file "$RUN/$name-$mode.addr"; done < <(backends)
    register_agents "$mode"
  done
  for policy in "${POLICIES[@]}"; do start_entries "$policy"; done
}

apply() {
  local team sums=()
  for team in agency kranj maribor koper archive; do
    sums+=(-e "s|@${team^^}@|$(printf %s "bench-$team" | sha256sum | cut -d' ' -f1)|")
  done
  sed -e "s|@OPERATOR@|$BOOTSTRAP|; s|@COMMITTED@|${COMMITTED:-30.0}|" "${sums[@]}" scripts/bench/policy/config.toml >"$RUN/config.toml"
  bin/vctl apply --server "$(address "$RUN/entry-${POLICIES[0]}-${REGIONS[0]}.addr" admin)" "$RUN/config.toml" >"$RUN/apply.txt" 2>&1 || die "apply: $(cat "$RUN/apply.txt")"
}

# control NAME PATH BODY sends a PUT request to the control address of a stand-in.
control() { curl -sS -X PUT -d "$3" "http://$(cat "$RUN/$1.addr.control")$2" >/dev/null; }

# fault SCENARIO on|off injects or clears the scenario's fault.
fault() {
  local n name body='{}' here mode
  case $1 in
    slow-stage)
      [ "$2" = off ] || body='{"slow": "240ms"}'
      for n in 1 2 3 4 5; do control "rer-$n-server" /fault "$body"; done
      ;;
    replicas-gone)
      [ "$2" = off ] || body='{"down": true}'
      for n in 1 2 3 4 5 6 7; do control "llm-$n-server" /fault "$body"; done
      ;;
    kv-down)
      [ "$2" = off ] || body='{"down": true}'
      control kv /fault "$body"
      ;;
    region-cut)
      for mode in fifo fair; do
        for here in "${REGIONS[@]}"; do
          body='{"regions": ["primorska"]}'
          [ "$here" != primorska ] || body='{"regions": ["osrednja", "stajerska"]}'
          [ "$2" = on ] || body='{"regions": []}'
          control "relay-$mode-$here" /cut "$body"
        done
      done
      ;;
  esac
}

# scenario NAME POLICY writes the scenario file.
scenario() {
  local warm=1500ms phases=steady pipeline=answer prompt='words = 60' rate=$RATE entries="" metrics="" region
  case $1 in
    burst) phases=burst ;;
    overload) rate=$OVERLOAD warm=4s ;;
    cold) pipeline=draft prompt='words = 400' rate=$(awk -v r="$RATE" 'BEGIN { print r * 0.75 }') ;;
    prefixes) pipeline=draft prompt=$'words = 30\nprefixes = 40\nprefix-words = 400' ;;
  esac
  for region in "${REGIONS[@]}"; do
    entries+="\"$(address "$RUN/entry-$2-$region.addr" callers)\", "
    metrics+="\"$(address "$RUN/entry-$2-$region.addr" metrics)\", "
  done
  PROMPT=$prompt awk '{ gsub(/@PROMPT@/, ENVIRON["PROMPT"]); print }' \
    scripts/bench/policy/head.toml "scripts/bench/policy/$phases.toml" scripts/bench/policy/classes.toml |
    sed -e "s|@NAME@|$1|; s|@ENTRIES@|$entries|; s|@METRICS@|$metrics|; s|@DURATION@|$DURATION|" \
      -e "s|@RATE@|$rate|; s|@WARM@|$warm|; s|@PIPELINE@|$pipeline|" \
      -e "s|@BURST_RATE@|$(awk -v r="$rate" 'BEGIN { print r * 28.5 / 10.5 }')|" >"$RUN/scenario.toml"
}

# load SCENARIO POLICY RUN POSITION runs one load; a fault begins 1 s into the measured part.
# POSITION is the policy's position in the order of this run.
load() {
  local out=$OUT/$1/$2/$3 seed=$3 pid
  # The engines' caches persist from one policy to the next, so in the cache scenarios the seed, and
  # with it the prompts, also depends on the position.
  case $1 in cold | prefixes) seed=$(($3 * 100 + $4)) ;; esac
  mkdir -p "$out"
  scenario "$1" "$2"
  bin/vload run --scenario "$RUN/scenario.toml" --out "$out" --policy "$2" --run "$3" --seed "$seed" >"$out/table.txt" 2>&1 &
  pid=$!
  sleep 2.5
  fault "$1" on
  wait "$pid" || die "load: $(tail -3 "$out/table.txt")"
  fault "$1" off
  # shellcheck disable=SC2016 # the awk program names its own fields
  awk -v head="$1 $2 $3" '$1 == "all" && ($2 == "attainment" || $2 == "latency-p99" || $2 == "send-lag-p99") { head = head " " $2 "=" $3 }
    $1 == "priority:urgent" && $2 == "attainment" { head = head " urgent=" $3 } $2 == "cross-region-bytes-per-offered" || $2 == "sent-per-offered" || $2 == "retries-per-offered" || $2 == "resends-per-offered" { head = head " " $2 "=" $3 } END { print head }' "$out/table.txt"
  sleep 0.5
}

start_all
apply
for policy in "${POLICIES[@]}"; do
  for region in "${REGIONS[@]}"; do wait_ready "entry-$policy-$region"; done
done
sleep 2
echo "started ${#PID_OF[@]} processes"
read -r _ user nice system idle rest </proc/stat
for name in "${SCENARIOS[@]}"; do
  for ((run = FIRST; run < FIRST + RUNS; run++)); do
    for ((position = 0; position < ${#POLICIES[@]}; position++)); do
      load "$name" "${POLICIES[$(((position + run) % ${#POLICIES[@]}))]}" "$run" "$position"
    done
    # Sessions that were silent during the fault need time to recover; without the wait the next load
    # would begin while they still count as silent.
    case $name in region-cut | replicas-gone | kv-down) sleep 3 ;; esac
  done
done
read -r _ user2 nice2 system2 idle2 rest </proc/stat
echo "machine busy: $((100 * (user2 + nice2 + system2 - user - nice - system) / (user2 + nice2 + system2 + idle2 - user - nice - system - idle))) %"
