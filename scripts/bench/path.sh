#!/usr/bin/env bash
# Measures the overhead that entry and agent add to a call: one run sends the same load directly to
# a backend server and through both. Results go to out/path.
#
#   scripts/bench/path.sh [echo|tokens|all] [DURATION]
set -euo pipefail
cd "$(dirname "$0")/../.."
PART=${1:-all}
DURATION=${2:-8s}
RUN=$(mktemp -d)
OUT=out/path
AGENT_FLAGS=(--trace.share 0) ENTRY_FLAGS=(--trace.share 0 --log.level warn)
# shellcheck source=scripts/lib.sh
source scripts/lib.sh
cleanup() { stop_all; rm -rf "$RUN"; }
trap cleanup EXIT
mkdir -p "$OUT"

TOKEN=bench-operator-token
BOOTSTRAP=$(printf %s "$TOKEN" | sha256sum | cut -d' ' -f1)
export VCTL_TOKEN=$TOKEN
start_fake kv kv
start_fake list list
start_fake echo-server service --service-time 0s --slots 20000
start_fake llm-server engine --models model --token-interval "${TOKEN_INTERVAL:-20ms}" --batch-growth 0 --prefill 1us --slots 20000
for name in kv list echo-server llm-server; do wait_file "$RUN/$name.addr"; done
STORE=$(cat "$RUN/kv.addr")
LIST=$(cat "$RUN/list.addr")
start_agent echo-1 echo north north-1 "$(cat "$RUN/echo-server.addr")" tier=bench 20000
start_agent llm-1 llm north north-1 "$(cat "$RUN/llm-server.addr")" tier=bench 20000
start_entry entry-1 north north-1
for name in echo-1 llm-1 entry-1; do wait_file "$RUN/$name.addr"; done
register_agent echo-1 echo north north-1 tier=bench
register_agent llm-1 llm north north-1 tier=bench
register_entry entry-1 north north-1
sed -e "s|@TEAM_DIGEST@|$(printf %s bench-team-token | sha256sum | cut -d' ' -f1)|" \
  -e "s|^token-sha256 = \"b9.*|token-sha256 = \"$BOOTSTRAP\"|" scripts/bench/path/config.toml >"$RUN/config.toml"
bin/vctl apply --server "$(address "$RUN/entry-1.addr" admin)" "$RUN/config.toml" >/dev/null
wait_ready entry-1
sleep 2

# cpu NAME prints the CPU seconds that a process has used.
cpu() {
  awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) / hz}' "/proc/${PID_OF[$1]}/stat"
}
# rss NAME prints the resident memory of a process in MiB.
rss() { awk '/VmRSS/ {print $2 / 1024}' "/proc/${PID_OF[$1]}/status"; }

# load TEMPLATE NAME POLICY KIND ADDRESS RATE MODE WORKERS TOKENS runs one load and appends a row
# to the table.
load() {
  local file=$RUN/$2-$3.toml before after
  sed -e "s|@NAME@|$2|; s|@POLICY@|$3|; s|@KIND@|$4|; s|@ADDRESS@|$5|; s|@RATE@|$6|; s|@MODE@|$7|; s|@WORKERS@|$8|; s|@TOKENS@|$9|; s|@DURATION@|$DURATION|" \
    "scripts/bench/path/$1.toml" >"$file"
  before="$(cpu entry-1) $(cpu echo-1) $(cpu llm-1)"
  mkdir -p "$OUT/$2/$3"
  bin/vload run --scenario "$file" --out "$OUT/$2/$3" >"$OUT/$2/$3/table.txt"
  after="$(cpu entry-1) $(cpu echo-1) $(cpu llm-1)"
  append_row "$2" "$3" "$before" "$after" "$OUT/$2/$3/table.txt"
}

# append_row prints the figures of one load and appends them to the table; the CPU seconds include the
# warm-up.
append_row() {
  awk -v name="$1" -v policy="$2" -v before="$3" -v after="$4" -v entry="$(rss entry-1)" -v agent="$(rss llm-1)" '
    $1 == "all" { value[$2] = $3 }
    END {
      split(before, b); split(after, a)
      printf "%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%.2f,%.2f,%.0f,%.0f\n", name, policy, value["offered"], value["attainment"],
        value["requests-per-second"], value["tokens-per-second"], value["latency-p50"], value["latency-p99"],
        value["first-token-p50"], value["first-token-p99"], a[1] - b[1], a[2] + a[3] - b[2] - b[3], entry, agent
    }' "$5" | tee -a "$OUT/table.csv"
}

echo "load,path,offered,attainment,requests/s,tokens/s,p50 ms,p99 ms,first token p50 ms,first token p99 ms,entry cpu s,agent cpu s,entry MB,agent MB" | tee "$OUT/table.csv"
ENTRY=$(address "$RUN/entry-1.addr" callers)
ECHO=$(cat "$RUN/echo-server.addr")
LLM=$(cat "$RUN/llm-server.addr")
if [ "$PART" != tokens ]; then
  for rate in 300 1200 2400; do
    load echo "open-$rate" direct http "$ECHO" "$rate" open 1 0
    load echo "open-$rate" through entry "$ENTRY" "$rate" open 1 0
  done
  load echo closed-64 direct http "$ECHO" 1000 closed 64 0
  load echo closed-64 through entry "$ENTRY" 1000 closed 64 0
fi
if [ "$PART" != echo ]; then
  for rate in ${TOKEN_RATES:-100 400 800}; do
    load tokens "tokens-$rate" direct engine "$LLM" "$rate" open 1 100
    load tokens "tokens-$rate" through entry "$ENTRY" "$rate" open 1 100
  done
fi
