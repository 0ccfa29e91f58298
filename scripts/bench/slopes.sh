#!/usr/bin/env bash
# Measures the cost of control work and of traffic per process, varying one size at a time, with the
# real programs beside lightweight stand-ins on one machine.
#
#   scripts/bench/slopes.sh [PART...]
#
# Parts: peers list teams pipelines changes requests tokens orders store outage whole.
# Each part rewrites its own CSV files in docs/slopes. WINDOW and WINDOWS can shorten a trial, and
# OUT sets another output directory.
#
# The cost of control work is separated from that of traffic in two ways. A process without traffic
# does only control work, so all its CPU time and bytes count as control (parts peers to changes).
# Under traffic, a line fitted over the load has the control cost as its intercept and the traffic
# cost as its slope; the control loops' own accounting (busy-percent) has to stay constant.
set -euo pipefail
cd "$(dirname "$0")/../.."
OUT=${OUT:-docs/slopes}
WINDOW=${WINDOW:-5s}
WINDOWS=${WINDOWS:-3}
SETTLE=${SETTLE:-4}
PARTS=("$@")
[ ${#PARTS[@]} -gt 0 ] || PARTS=(peers list teams pipelines changes requests tokens orders store outage whole)
mkdir -p "$OUT"
RUN=$(mktemp -d)
# shellcheck source=scripts/lib.sh
source scripts/lib.sh
AGENT_FLAGS=() ENTRY_FLAGS=()
BOOTSTRAP=$(printf %s token-of-ana | sha256sum | cut -d' ' -f1)
export VCTL_TOKEN=token-of-ana
trap 'stop_all; rm -rf "$RUN"' EXIT

# start_point starts the processes of one measuring point: the platform's stand-ins and "admin", an
# entry in another domain that accepts configuration changes. It applies a configuration of TEAMS
# teams, PIPELINES pipelines and SERVICES engine services.
start_point() {
  AGENT_FLAGS=(--trace.file= --trace.share 0 --log.level error --platform.list-every "${LIST_EVERY:-600s}" "${EXTRA_AGENT[@]}")
  ENTRY_FLAGS=(--trace.file= --trace.share 0 --log.level error --platform.list-every "${LIST_EVERY:-600s}" "${EXTRA_ENTRY[@]}")
  start_fake kv kv
  start_fake list list
  wait_file "$RUN/kv.addr"
  wait_file "$RUN/list.addr"
  STORE=$(cat "$RUN/kv.addr")
  LIST=$(cat "$RUN/list.addr")
  STORE_CONTROL=$(cat "$RUN/kv.addr.control")
  LIST_CONTROL=$(cat "$RUN/list.addr.control")
  start_entry admin south south-1
  wait_file "$RUN/admin.addr"
  ADMIN=$(address "$RUN/admin.addr" admin)
  bin/vload draft --teams "${TEAMS:-100}" --pipelines "${PIPELINES:-1}" --services "${SERVICES:-1}" >"$RUN/draft.toml"
  sleep 0.5
  bin/vctl apply --server "$ADMIN" "$RUN/draft.toml" >"$RUN/apply.txt" 2>&1 || die "apply: $(tail -3 "$RUN/apply.txt")"
  wait_ready admin
}

# stop_point ends every process of a measuring point and removes its files.
stop_point() {
  stop_all
  PIDS=()
  PID_OF=()
  rm -f "$RUN"/*
}

# start_stand_ins ARGS... starts stand-ins with `vload stand` and waits until all are up.
start_stand_ins() {
  local name="stand-$((++STAND_IN_RUNS))"
  start "$name" bin/vload stand --list "$LIST" "$@"
  wait_file "$RUN/$name.log"
  grep -q up "$RUN/$name.log" || die "$(cat "$RUN/$name.log")"
}
STAND_IN_RUNS=0

# start_agent_under_test must be called before start_entry_under_test, so that the entry finds the
# agent in the instance list.
start_agent_under_test() {
  start_agent agent-1 real north north-1 127.0.0.1:9 tier=reserved 8
  wait_file "$RUN/agent-1.addr"
  wait_ready agent-1
  register_agent agent-1 real north north-1 tier=reserved
  AGENT_PEERS=$(address "$RUN/agent-1.addr" peers)
}

start_entry_under_test() {
  start_entry entry-1 north north-1
  wait_file "$RUN/entry-1.addr"
  wait_ready entry-1
  register_entry entry-1 north north-1
}

target() {
  echo "${PID_OF[$1]}@$(address "$RUN/$1.addr" metrics)"
}

# meter FILE ROW NAME... measures processes together and appends their mean to FILE.csv.
meter() {
  local file=$1 row=$2 targets="" name
  shift 2
  for name in "$@"; do targets+=",$(target "$name")"; done
  bin/vload meter --targets "${targets#,}" --store "$STORE_CONTROL" --list "$LIST_CONTROL" \
    --for "$WINDOW" --windows "$WINDOWS" --row "$row" --out "$OUT/$file.csv"
}

# meter_pair NAME ROW measures the entry and the agent under test side by side.
meter_pair() {
  meter "entry-$1" "$2" entry-1 &
  local first=$!
  meter "agent-$1" "$2" agent-1
  wait "$first"
}

remove_tables() {
  local name
  for name in "$@"; do rm -f "$OUT/$name.csv"; done
}

store_reads() {
  curl -sf "http://$STORE_CONTROL/stats" | sed -n 's/^{"calls":{[^}]*"read":\([0-9]*\).*/\1/p'
}

cpu_seconds() {
  curl -sf "http://$(address "$RUN/$1.addr" metrics)/debug/vars" | sed -n 's/.*"processor-seconds":\([0-9.e-]*\).*/\1/p'
}

part_peers() {
  remove_tables entry-peers agent-peers
  local point n heartbeat
  for point in "10 1" "30 1" "100 1" "300 1" "300 5"; do
    read -r n heartbeat <<<"$point"
    EXTRA_ENTRY=(--routing.subset-size "$n" --routing.subset-max "$n" --routing.beat-every "${heartbeat}s")
    EXTRA_AGENT=(--peers.beat-every "${heartbeat}s")
    start_point
    start_stand_ins --agents "$n" --services 1 --beat-every "${heartbeat}s"
    start_stand_ins --listed 40 --domain north-1
    start_agent_under_test
    start_stand_ins --entries "$n" --target "$AGENT_PEERS" --beat-every "${heartbeat}s"
    start_entry_under_test
    sleep "$SETTLE"
    meter_pair peers "peers=$n,beat-seconds=$heartbeat,exchanges=$((n / heartbeat))"
    stop_point
  done
}

part_list() {
  remove_tables entry-list agent-list
  local point agents listed
  for point in "40 20" "200 100" "400 200" "790 420"; do
    read -r agents listed <<<"$point"
    LIST_EVERY=2s EXTRA_AGENT=() EXTRA_ENTRY=(--routing.subset-size 1 --routing.subset-max 1)
    start_point
    start_stand_ins --agents "$agents" --services 27
    start_stand_ins --listed "$listed" --domain north-1
    start_agent_under_test
    start_entry_under_test
    sleep "$SETTLE"
    # A window of 6 s contains three reads of the list, one every 2 s.
    WINDOW=6s meter_pair list "instances=$((agents + listed)),list-bytes=$(list_bytes)"
    stop_point
    LIST_EVERY=
  done
}

list_bytes() {
  local role sum=0
  for role in agent entry; do
    sum=$((sum + $(curl -s -H "Accept-Encoding: gzip" "http://$LIST/v1/catalog/service/$role" | wc -c)))
  done
  echo "$sum"
}

part_teams() {
  remove_tables entry-teams agent-teams agent-start
  local reads before
  for TEAMS in 100 1000 5000 19000; do
    EXTRA_AGENT=() EXTRA_ENTRY=()
    start_point
    start_stand_ins --listed 40 --domain north-1
    start_stand_ins --agents 10
    sleep 1
    for repeat in 1 2 3; do
      before=$(store_reads)
      start_agent "start-$repeat" real north north-1 127.0.0.1:9 tier=reserved 8
      wait_file "$RUN/start-$repeat.addr"
      wait_ready "start-$repeat"
      reads=$(($(store_reads) - before))
      [ -s "$OUT/agent-start.csv" ] || echo "teams,store-reads,processor-seconds" >"$OUT/agent-start.csv"
      echo "$TEAMS,$reads,$(cpu_seconds "start-$repeat")" >>"$OUT/agent-start.csv"
      kill -TERM "${PID_OF[start-$repeat]}"
    done
    start_agent_under_test
    start_stand_ins --entries 10 --target "$AGENT_PEERS"
    start_entry_under_test
    sleep "$SETTLE"
    WINDOW=3s meter_pair teams "teams=$TEAMS"
    stop_point
  done
  TEAMS=
}

part_pipelines() {
  remove_tables entry-pipelines agent-pipelines
  local point
  for point in "1 1" "8 6" "16 12" "29 23"; do
    read -r PIPELINES SERVICES <<<"$point"
    EXTRA_AGENT=() EXTRA_ENTRY=()
    start_point
    start_stand_ins --listed 40 --domain north-1
    start_stand_ins --agents "$SERVICES" --services "$SERVICES"
    start_agent_under_test
    start_stand_ins --entries 10 --target "$AGENT_PEERS"
    start_entry_under_test
    sleep "$SETTLE"
    WINDOW=3s meter_pair pipelines "pipelines=$PIPELINES,services=$SERVICES"
    stop_point
  done
  PIPELINES=
  SERVICES=
}

# apply_changes_at RATE SECONDS applies changes of one team each, at RATE per minute for SECONDS.
apply_changes_at() {
  local n count=$(($1 * $2 / 60))
  for ((n = 1; n <= count; n++)); do
    bin/vload draft --teams "$TEAMS" --change "$((++CHANGES))" >"$RUN/change.toml"
    bin/vctl apply --server "$ADMIN" "$RUN/change.toml" >>"$RUN/changes.txt" 2>&1 || die "change: $(tail -2 "$RUN/changes.txt")"
    sleep "$(awk -v r="$1" 'BEGIN {print 60 / r - 0.2}')"
  done
}
CHANGES=0

head_bytes() {
  curl -s "http://$STORE/v1/kv/verbenaroad/config/head" | wc -c
}

part_changes() {
  remove_tables entry-changes agent-changes store-head
  local rate n
  # The list is read every 2 s, so that the domain's four processes find each other and only two of
  # them watch the store.
  TEAMS=19000 LIST_EVERY=2s EXTRA_AGENT=() EXTRA_ENTRY=()
  start_point
  for n in 1 2 3; do
    start_agent "agent-$n" real north north-1 127.0.0.1:9 tier=reserved 8
    wait_file "$RUN/agent-$n.addr"
    wait_ready "agent-$n"
    register_agent "agent-$n" real north north-1 tier=reserved
  done
  start_entry_under_test
  sleep "$SETTLE"
  for rate in 0 3 9 30; do
    WINDOW=20s WINDOWS=1 meter entry-changes "changes-per-minute=$rate" entry-1 &
    local first=$!
    WINDOW=20s WINDOWS=1 meter agent-changes "changes-per-minute=$rate" agent-1 agent-2 agent-3 &
    local second=$!
    [ "$rate" = 0 ] || apply_changes_at "$rate" 20
    wait "$first" "$second"
  done
  echo "moves,head-bytes" >"$OUT/store-head.csv"
  for n in 1 2 3 4; do
    echo "$((CHANGES + 1)),$(head_bytes)" >>"$OUT/store-head.csv"
    [ "$n" = 4 ] || apply_changes 35
  done
  stop_point
  TEAMS='' LIST_EVERY=''
}

# apply_changes N applies N changes without a pause between them.
apply_changes() {
  local n
  for ((n = 0; n < $1; n++)); do
    bin/vload draft --teams "$TEAMS" --change "$((++CHANGES))" >"$RUN/change.toml"
    bin/vctl apply --server "$ADMIN" "$RUN/change.toml" >>"$RUN/changes.txt" 2>&1 || die "change: $(tail -2 "$RUN/changes.txt")"
  done
}

# begin_traffic starts backend servers with their agents and the entry under test.
begin_traffic() {
  local line name kind service
  TEAMS=100 PIPELINES=1 SERVICES=1 EXTRA_AGENT=() EXTRA_ENTRY=()
  start_point
  BACKENDS=("enc pool encoder" "ret pool retriever" "rer pool reranker" "llm-1 engine service-00" "llm-2 engine service-00" "ord-1 service orders" "ord-2 service orders")
  for line in "${BACKENDS[@]}"; do
    read -r name kind service <<<"$line"
    case $kind in
      engine) start_fake "$name-server" engine --models model --token-interval 4ms --slots 64 --batch-growth 0 ;;
      *) start_fake "$name-server" "$kind" --slots 64 --service-time 5ms ;;
    esac
    wait_file "$RUN/$name-server.addr"
    start_agent "$name" "$service" north north-1 "$(cat "$RUN/$name-server.addr")" tier=reserved 64
    wait_file "$RUN/$name.addr"
    register_agent "$name" "$service" north north-1 tier=reserved
  done
  start_entry_under_test
  sleep "$SETTLE"
  CALLERS=$(address "$RUN/entry-1.addr" callers)
}

# start_load RATE CLASS starts a load in the background; CLASS is TOML text for the load's only class.
start_load() {
  local rate=$1
  cat >"$RUN/scene.toml" <<SCENE
name = "slopes"
seed = 7
[target]
addresses = ["$CALLERS"]
[[phase]]
name = "steady"
duration = "14s"
rate = $rate.0
arrivals = "uniform"
[[class]]
name = "all"
team = "team-00000"
token = "token-of-team-00000"
deadline = "4s"
$2
[class.prompt]
words = 50
SCENE
  bin/vload run --scenario "$RUN/scene.toml" >"$RUN/load.txt" 2>&1 &
  LOAD=$!
  sleep 2
}

# end_load waits for the load and fails unless its attainment is above 0.98.
end_load() {
  wait "$LOAD" || die "load: $(tail -3 "$RUN/load.txt")"
  awk '$1 == "all" && $2 == "attainment" {print "  attainment " $3; ok = ($3 > 0.98)} END {exit !ok}' "$RUN/load.txt" || die "attainment: $(cat "$RUN/load.txt")"
}

part_requests() {
  remove_tables entry-requests agent-requests
  local rate
  begin_traffic
  for rate in 5 20 60 120; do
    start_load "$rate" 'pipeline = "pipeline-00"
max-tokens = 4'
    WINDOW=3s meter entry-requests "requests=$rate" entry-1 &
    local first=$!
    WINDOW=3s meter agent-requests "requests=$rate" enc ret rer
    wait "$first"
    end_load
  done
  stop_point
}

part_tokens() {
  remove_tables entry-tokens agent-tokens
  local tokens
  begin_traffic
  for tokens in 8 60 200 400; do
    start_load 10 "pipeline = \"pipeline-00\"
stream = true
max-tokens = $tokens"
    WINDOW=3s meter entry-tokens "tokens=$((10 * tokens)),requests=10" entry-1 &
    local first=$!
    WINDOW=3s meter agent-tokens "tokens=$((5 * tokens)),requests=5" llm-1 llm-2
    wait "$first"
    end_load
  done
  stop_point
}

part_orders() {
  remove_tables entry-orders agent-orders
  local rate
  begin_traffic
  for rate in 2 10 30 60; do
    start_load "$rate" 'service = "orders"
path = "/orders"
key = "unique"
body = "{\"order\":1}"'
    WINDOW=3s meter entry-orders "orders=$rate" entry-1 &
    local first=$!
    WINDOW=3s meter agent-orders "orders=$rate" ord-1 ord-2
    wait "$first"
    end_load
  done
  stop_point
}

# start_fleet AGENTS ENTRIES starts real processes spread over seven domains and registers them.
start_fleet() {
  local i domain
  FLEET=()
  for ((i = 1; i <= $1; i++)); do
    domain=$((i % 7 + 1))
    start_agent "agent-$i" service-00 north "north-$domain" 127.0.0.1:9 tier=reserved 8
    FLEET+=("agent-$i")
  done
  for ((i = 1; i <= $1; i++)); do
    wait_file "$RUN/agent-$i.addr"
    register_agent "agent-$i" service-00 north "north-$((i % 7 + 1))" tier=reserved
  done
  for ((i = 1; i <= $2; i++)); do
    start_entry "entry-$i" north "north-$((i % 7 + 1))"
    FLEET+=("entry-$i")
  done
  for ((i = 1; i <= $2; i++)); do
    wait_file "$RUN/entry-$i.addr"
    register_entry "entry-$i" north "north-$((i % 7 + 1))"
  done
  for domain in "${FLEET[@]}"; do wait_ready "$domain"; done
}

part_store() {
  remove_tables store-processes
  local n
  for n in 18 40 70 110; do
    LIST_EVERY=2s EXTRA_AGENT=() EXTRA_ENTRY=(--routing.subset-size 120 --routing.subset-max 120)
    start_point
    start_fleet "$((n - 4))" 4
    sleep 4
    WINDOW=10s WINDOWS=1 meter store-processes "processes=$n" "${FLEET[@]}"
    stop_point
    LIST_EVERY=
  done
}

# fault JSON sets the fault of the key-value service's stand-in.
fault() {
  curl -sf -X PUT -d "$1" "http://$STORE_CONTROL/fault" >/dev/null || die "fault $1"
}

all_ready() {
  local name
  for name in "$@"; do
    curl -sf "http://$(address "$RUN/$name.addr" metrics)/readyz" >/dev/null || return 1
  done
}

# seconds_until_ready NAME... prints how long it takes until all are ready.
seconds_until_ready() {
  local started=$EPOCHREALTIME
  until all_ready "$@"; do sleep 0.05; done
  awk -v a="$started" -v b="$EPOCHREALTIME" 'BEGIN {printf "%.2f", b - a}'
}

# part_outage starts all processes of a domain while the key-value service refuses every call.
# Without peers they become ready once the service has recovered; if an entry of another domain has
# the configuration, they become ready at once.
part_outage() {
  remove_tables outage-alone outage-down outage-peers
  local n i before reads seconds
  for n in 5 10 20 40; do
    TEAMS=19000 LIST_EVERY=2s EXTRA_AGENT=() EXTRA_ENTRY=(--routing.subset-size 120 --routing.subset-max 120)
    start_point
    fault '{"status": 503}'
    start_domain "$n"
    sleep 2
    WINDOW=6s WINDOWS=1 meter outage-down "processes=$n" "${FLEET[@]}"
    before=$(store_reads)
    fault '{}'
    seconds=$(seconds_until_ready "${FLEET[@]}")
    reads=$(($(store_reads) - before))
    [ -s "$OUT/outage-alone.csv" ] || echo "processes,seconds-until-ready,reads-until-ready" >"$OUT/outage-alone.csv"
    echo "$n,$seconds,$reads" >>"$OUT/outage-alone.csv"
    stop_point
    start_point
    fault '{"status": 503}'
    start_domain "$n"
    before=$(store_reads)
    for ((i = 1; i <= n; i++)); do register_agent "agent-$i" service-00 north north-1 tier=reserved; done
    seconds=$(seconds_until_ready "${FLEET[@]}")
    reads=$(($(store_reads) - before))
    [ -s "$OUT/outage-peers.csv" ] || echo "processes,seconds-until-ready,reads-until-ready" >"$OUT/outage-peers.csv"
    echo "$n,$seconds,$reads" >>"$OUT/outage-peers.csv"
    fault '{}'
    stop_point
    LIST_EVERY= TEAMS=
  done
}

# start_domain N starts N agents of one domain without registering them in the instance list.
start_domain() {
  local i
  FLEET=()
  for ((i = 1; i <= $1; i++)); do
    start_agent "agent-$i" service-00 north north-1 127.0.0.1:9 tier=reserved 8
    FLEET+=("agent-$i")
  done
  for ((i = 1; i <= $1; i++)); do wait_file "$RUN/agent-$i.addr"; done
}

# part_whole measures one entry and one agent at all sizes of the capacity target at once, with the
# settings of docs/CAPACITY.md, so that the calculated rows can be compared with a measurement.
# gc is the Go runtime's GOGC, on which memory depends.
part_whole() {
  remove_tables entry-whole agent-whole
  local gc
  TEAMS=19000 PIPELINES=29 SERVICES=23
  EXTRA_ENTRY=(--routing.subset-size 8 --routing.subset-max 16 --routing.beat-every 5s)
  EXTRA_AGENT=(--peers.beat-every 5s)
  for gc in 100 50; do
    GOGC=$gc start_point
    start_stand_ins --agents 790 --services 29 --beat-every 5s
    start_stand_ins --listed 297 --domain north-1
    GOGC=$gc start_agent_under_test
    start_stand_ins --entries 123 --target "$AGENT_PEERS" --beat-every 5s
    GOGC=$gc start_entry_under_test
    sleep "$SETTLE"
    WINDOW=10s WINDOWS=2 meter_pair whole "gogc=$gc"
    stop_point
  done
  TEAMS='' PIPELINES='' SERVICES=''
}

for part in "${PARTS[@]}"; do
  echo "== $part"
  "part_$part"
done
