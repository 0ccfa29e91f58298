#!/usr/bin/env bash
# Measures what control and traffic cost per process, against one size at a
# time, with the real programs beside light stand-ins on one machine.
#
#   scripts/bench/slopes.sh [PART...]
#
# Parts: peers list teams pipelines changes requests tokens orders store outage whole.
# Each rewrites its own CSV files in docs/slopes; WINDOW and WINDOWS shorten a trial,
# OUT takes the files elsewhere.
#
# Control is told from traffic in two ways: a process without traffic does
# control alone, so its processor time and bytes are all control (peers to
# changes); under traffic, the line over the load has the control cost as its
# intercept and the traffic cost as its slope, and the control loops' own
# accounting (busy-percent) has to stay level.
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

# begin starts the platform with a configuration of TEAMS teams, PIPELINES pipelines and
# SERVICES engine services; "admin" is an entry in another domain that takes the changes.
begin() {
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

# finish ends every process of a point.
finish() {
  stop_all
  PIDS=()
  PID_OF=()
  rm -f "$RUN"/*
}

# stand ARGS... starts stand-ins and waits until all are up.
stand() {
  local name="stand-$((++STANDS))"
  start "$name" bin/vload stand --list "$LIST" "$@"
  wait_file "$RUN/$name.log"
  grep -q up "$RUN/$name.log" || die "$(cat "$RUN/$name.log")"
}
STANDS=0

# start_agent_under_test goes before start_entry_under_test, so that the entry finds the agent on the list.
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

# meter FILE ROW NAME... measures processes together and records their mean.
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

fresh() {
  local name
  for name in "$@"; do rm -f "$OUT/$name.csv"; done
}

store_reads() {
  curl -sf "http://$STORE_CONTROL/stats" | sed -n 's/^{"calls":{[^}]*"read":\([0-9]*\).*/\1/p'
}

used_seconds() {
  curl -sf "http://$(address "$RUN/$1.addr" metrics)/debug/vars" | sed -n 's/.*"processor-seconds":\([0-9.e-]*\).*/\1/p'
}

part_peers() {
  fresh entry-peers agent-peers
  local point n beat
  for point in "10 1" "30 1" "100 1" "300 1" "300 5"; do
    read -r n beat <<<"$point"
    EXTRA_ENTRY=(--routing.subset-size "$n" --routing.subset-max "$n" --routing.beat-every "${beat}s")
    EXTRA_AGENT=(--peers.beat-every "${beat}s")
    begin
    stand --agents "$n" --services 1 --beat-every "${beat}s"
    stand --listed 40 --domain north-1
    start_agent_under_test
    stand --entries "$n" --target "$AGENT_PEERS" --beat-every "${beat}s"
    start_entry_under_test
    sleep "$SETTLE"
    meter_pair peers "peers=$n,beat-seconds=$beat,exchanges=$((n / beat))"
    finish
  done
}

part_list() {
  fresh entry-list agent-list
  local point agents listed
  for point in "40 20" "200 100" "400 200" "790 420"; do
    read -r agents listed <<<"$point"
    LIST_EVERY=2s EXTRA_AGENT=() EXTRA_ENTRY=(--routing.subset-size 1 --routing.subset-max 1)
    begin
    stand --agents "$agents" --services 27
    stand --listed "$listed" --domain north-1
    start_agent_under_test
    start_entry_under_test
    sleep "$SETTLE"
    # A window holds three reads of the list.
    WINDOW=6s meter_pair list "instances=$((agents + listed)),list-bytes=$(list_bytes)"
    finish
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
  fresh entry-teams agent-teams agent-start
  local reads before
  for TEAMS in 100 1000 5000 19000; do
    EXTRA_AGENT=() EXTRA_ENTRY=()
    begin
    stand --listed 40 --domain north-1
    stand --agents 10
    sleep 1
    for repeat in 1 2 3; do
      before=$(store_reads)
      start_agent "start-$repeat" real north north-1 127.0.0.1:9 tier=reserved 8
      wait_file "$RUN/start-$repeat.addr"
      wait_ready "start-$repeat"
      reads=$(($(store_reads) - before))
      [ -s "$OUT/agent-start.csv" ] || echo "teams,store-reads,processor-seconds" >"$OUT/agent-start.csv"
      echo "$TEAMS,$reads,$(used_seconds "start-$repeat")" >>"$OUT/agent-start.csv"
      kill -TERM "${PID_OF[start-$repeat]}"
    done
    start_agent_under_test
    stand --entries 10 --target "$AGENT_PEERS"
    start_entry_under_test
    sleep "$SETTLE"
    WINDOW=3s meter_pair teams "teams=$TEAMS"
    finish
  done
  TEAMS=
}

part_pipelines() {
  fresh entry-pipelines agent-pipelines
  local point
  for point in "1 1" "8 6" "16 12" "29 23"; do
    read -r PIPELINES SERVICES <<<"$point"
    EXTRA_AGENT=() EXTRA_ENTRY=()
    begin
    stand --listed 40 --domain north-1
    stand --agents "$SERVICES" --services "$SERVICES"
    start_agent_under_test
    stand --entries 10 --target "$AGENT_PEERS"
    start_entry_under_test
    sleep "$SETTLE"
    WINDOW=3s meter_pair pipelines "pipelines=$PIPELINES,services=$SERVICES"
    finish
  done
  PIPELINES=
  SERVICES=
}

# change_at RATE SECONDS applies one-team changes at a rate a minute.
change_at() {
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
  fresh entry-changes agent-changes store-head
  local rate n
  # The list is read often, so that only two of the domain's four processes watch.
  TEAMS=19000 LIST_EVERY=2s EXTRA_AGENT=() EXTRA_ENTRY=()
  begin
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
    [ "$rate" = 0 ] || change_at "$rate" 20
    wait "$first" "$second"
  done
  echo "moves,head-bytes" >"$OUT/store-head.csv"
  for n in 1 2 3 4; do
    echo "$((CHANGES + 1)),$(head_bytes)" >>"$OUT/store-head.csv"
    [ "$n" = 4 ] || many_changes 35
  done
  finish
  TEAMS='' LIST_EVERY=''
}

# many_changes N applies N changes one after the other.
many_changes() {
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
  begin
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

# offer RATE CLASS... offers load while the processes are measured.
offer() {
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

# end_load waits for the load and fails unless nearly all of it was whole.
end_load() {
  wait "$LOAD" || die "load: $(tail -3 "$RUN/load.txt")"
  awk '$1 == "all" && $2 == "attainment" {print "  attainment " $3; ok = ($3 > 0.98)} END {exit !ok}' "$RUN/load.txt" || die "attainment: $(cat "$RUN/load.txt")"
}

part_requests() {
  fresh entry-requests agent-requests
  local rate
  begin_traffic
  for rate in 5 20 60 120; do
    offer "$rate" 'pipeline = "pipeline-00"
max-tokens = 4'
    WINDOW=3s meter entry-requests "requests=$rate" entry-1 &
    local first=$!
    WINDOW=3s meter agent-requests "requests=$rate" enc ret rer
    wait "$first"
    end_load
  done
  finish
}

part_tokens() {
  fresh entry-tokens agent-tokens
  local tokens
  begin_traffic
  for tokens in 8 60 200 400; do
    offer 10 "pipeline = \"pipeline-00\"
stream = true
max-tokens = $tokens"
    WINDOW=3s meter entry-tokens "tokens=$((10 * tokens)),requests=10" entry-1 &
    local first=$!
    WINDOW=3s meter agent-tokens "tokens=$((5 * tokens)),requests=5" llm-1 llm-2
    wait "$first"
    end_load
  done
  finish
}

part_orders() {
  fresh entry-orders agent-orders
  local rate
  begin_traffic
  for rate in 2 10 30 60; do
    offer "$rate" 'service = "orders"
path = "/orders"
key = "unique"
body = "{\"order\":1}"'
    WINDOW=3s meter entry-orders "orders=$rate" entry-1 &
    local first=$!
    WINDOW=3s meter agent-orders "orders=$rate" ord-1 ord-2
    wait "$first"
    end_load
  done
  finish
}

# start_many AGENTS ENTRIES starts real processes over seven domains and registers them.
start_many() {
  local i domain
  MANY=()
  for ((i = 1; i <= $1; i++)); do
    domain=$((i % 7 + 1))
    start_agent "agent-$i" service-00 north "north-$domain" 127.0.0.1:9 tier=reserved 8
    MANY+=("agent-$i")
  done
  for ((i = 1; i <= $1; i++)); do
    wait_file "$RUN/agent-$i.addr"
    register_agent "agent-$i" service-00 north "north-$((i % 7 + 1))" tier=reserved
  done
  for ((i = 1; i <= $2; i++)); do
    start_entry "entry-$i" north "north-$((i % 7 + 1))"
    MANY+=("entry-$i")
  done
  for ((i = 1; i <= $2; i++)); do
    wait_file "$RUN/entry-$i.addr"
    register_entry "entry-$i" north "north-$((i % 7 + 1))"
  done
  for domain in "${MANY[@]}"; do wait_ready "$domain"; done
}

part_store() {
  fresh store-processes
  local n
  for n in 18 40 70 110; do
    LIST_EVERY=2s EXTRA_AGENT=() EXTRA_ENTRY=(--routing.subset-size 120 --routing.subset-max 120)
    begin
    start_many "$((n - 4))" 4
    sleep 4
    WINDOW=10s WINDOWS=1 meter store-processes "processes=$n" "${MANY[@]}"
    finish
    LIST_EVERY=
  done
}

# fault JSON sets the key-value stand-in's fault.
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

# part_outage starts all processes of a domain while the key-value service
# refuses every call: without peers they become ready once it is back, with an
# entry of another domain that has the configuration, at once.
part_outage() {
  fresh outage-alone outage-down outage-peers
  local n i before reads seconds
  for n in 5 10 20 40; do
    TEAMS=19000 LIST_EVERY=2s EXTRA_AGENT=() EXTRA_ENTRY=(--routing.subset-size 120 --routing.subset-max 120)
    begin
    fault '{"status": 503}'
    start_domain "$n"
    sleep 2
    WINDOW=6s WINDOWS=1 meter outage-down "processes=$n" "${MANY[@]}"
    before=$(store_reads)
    fault '{}'
    seconds=$(seconds_until_ready "${MANY[@]}")
    reads=$(($(store_reads) - before))
    [ -s "$OUT/outage-alone.csv" ] || echo "processes,seconds-until-ready,reads-until-ready" >"$OUT/outage-alone.csv"
    echo "$n,$seconds,$reads" >>"$OUT/outage-alone.csv"
    finish
    begin
    fault '{"status": 503}'
    start_domain "$n"
    before=$(store_reads)
    for ((i = 1; i <= n; i++)); do register_agent "agent-$i" service-00 north north-1 tier=reserved; done
    seconds=$(seconds_until_ready "${MANY[@]}")
    reads=$(($(store_reads) - before))
    [ -s "$OUT/outage-peers.csv" ] || echo "processes,seconds-until-ready,reads-until-ready" >"$OUT/outage-peers.csv"
    echo "$n,$seconds,$reads" >>"$OUT/outage-peers.csv"
    fault '{}'
    finish
    LIST_EVERY= TEAMS=
  done
}

# start_domain N starts N agents of one domain, not yet on the list.
start_domain() {
  local i
  MANY=()
  for ((i = 1; i <= $1; i++)); do
    start_agent "agent-$i" service-00 north north-1 127.0.0.1:9 tier=reserved 8
    MANY+=("agent-$i")
  done
  for ((i = 1; i <= $1; i++)); do wait_file "$RUN/agent-$i.addr"; done
}

# part_whole puts one entry and one agent into the target's state at once, with
# the settings of docs/CAPACITY.md, to hold the worked-out rows against; GC is
# the runtime's GOGC, on which memory depends.
part_whole() {
  fresh entry-whole agent-whole
  local gc
  TEAMS=19000 PIPELINES=29 SERVICES=23
  EXTRA_ENTRY=(--routing.subset-size 8 --routing.subset-max 16 --routing.beat-every 5s)
  EXTRA_AGENT=(--peers.beat-every 5s)
  for gc in 100 50; do
    GOGC=$gc begin
    stand --agents 790 --services 29 --beat-every 5s
    stand --listed 297 --domain north-1
    GOGC=$gc start_agent_under_test
    stand --entries 123 --target "$AGENT_PEERS" --beat-every 5s
    GOGC=$gc start_entry_under_test
    sleep "$SETTLE"
    WINDOW=10s WINDOWS=2 meter_pair whole "gogc=$gc"
    finish
  done
  TEAMS='' PIPELINES='' SERVICES=''
}

for part in "${PARTS[@]}"; do
  echo "== $part"
  "part_$part"
done
