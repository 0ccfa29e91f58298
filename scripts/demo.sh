#!/usr/bin/env bash
# Starts a small version of a deployment, runs a pipeline and an order, changes a selector
# while requests are in flight, prints the results, and stops all processes gracefully.
# Exits with 0 only if every check passed.
set -euo pipefail
cd "$(dirname "$0")/.."
DEPLOYMENT=${1:-ljubljana}
RUN=$(mktemp -d)
KEEP_RUN=${KEEP_RUN:-}
AGENT_FLAGS=() ENTRY_FLAGS=()
# shellcheck source=scripts/lib.sh
source scripts/lib.sh
# shellcheck source=/dev/null
source "scripts/demo/$DEPLOYMENT.sh"

trap cleanup EXIT
trap 'trap "" INT TERM; exit 130' INT
trap 'trap "" INT TERM; exit 143' TERM

BOOTSTRAP=$(printf %s "$OPERATOR_TOKEN" | sha256sum | cut -d' ' -f1)
export VCTL_TOKEN=$OPERATOR_TOKEN

call_pipeline() {
  curl -sS --max-time 15 -H "Authorization: Bearer $TEAM_TOKEN" "$@" \
    -d "{\"input\": \"$QUESTION\", \"max-tokens\": 16}" "http://$CALLERS/v1/pipelines/$PIPELINE"
}

place_order() {
  curl -sS --max-time 15 -H "Authorization: Bearer $TEAM_TOKEN" -H "Idempotency-Key: $2" \
    -H 'Content-Type: application/json' -d "$ORDER_BODY" "http://$1/v1/services/$ORDER_SERVICE$ORDER_PATH"
}

echo "== start: $DEPLOYMENT, ${#REGIONS[@]} regions, 2 entries, ${#BACKENDS[@]} agents with their backend servers"
start_platform
start_backends
start_entries
sleep 0.5
echo "== apply the configuration"
bin/vctl apply --server "$ADMIN" deploy/"$DEPLOYMENT"/*.toml >"$RUN/apply.txt" || die "apply: $(cat "$RUN/apply.txt")"
tail -2 "$RUN/apply.txt"
for name in "entry-${REGIONS[0]}" "entry-${REGIONS[1]}"; do wait_ready "$name"; done
sleep 1.5

echo "== one pipeline, as JSON"
call_pipeline >"$RUN/answer.json" || die "pipeline"
cat "$RUN/answer.json"; echo
grep -q '"text":"' "$RUN/answer.json" || die "no text in the answer"
REQUEST=$(sed -n 's/.*"request-id":"\([^"]*\)".*/\1/p' "$RUN/answer.json")

echo "== the same as a stream (its end)"
call_pipeline -N -H 'Accept: text/event-stream' >"$RUN/answer.sse" || die "stream"
tail -n 3 "$RUN/answer.sse"
grep -q '"name":"ok"' "$RUN/answer.sse" || die "the stream has no end record"

echo "== one order, sent twice with its key: first to one entry, then to the other"
place_order "$CALLERS" demo-order-1 >"$RUN/order-1.json"; cat "$RUN/order-1.json"; echo
place_order "$OTHER" demo-order-1 >"$RUN/order-2.json"
cmp -s "$RUN/order-1.json" "$RUN/order-2.json" || die "the second answer differs: $(cat "$RUN/order-2.json")"
RUNS=$(count_runs demo-order-1)
echo "runs in the ledgers of the $ORDER_SERVICE servers: $RUNS"
[ "$RUNS" = 1 ] || die "the order ran $RUNS times"

echo "== change a selector while requests run"
bin/vload run --scenario <(sed -e "s|@ENTRY@|$CALLERS|; s|@OTHER@|$OTHER|; s|@METRICS@|$METRICS|; s|@TOKEN@|$TEAM_TOKEN|; s|@TEAM@|$TEAM|; s|@PIPELINE@|$PIPELINE|" scripts/demo/load.toml) --out "$RUN/load" >"$RUN/load.txt" 2>&1 &
LOAD=$!
sleep 2
cat >"$RUN/rule.toml" <<RULE
[[rule]]
name = "demo-avoid-llm-2"
server = "name=llm-2"
effect = "forbid"
RULE
bin/vctl apply --server "$ADMIN" "$RUN/rule.toml" || die "apply the rule"
sleep 1
LLM2=$(address "$RUN/llm-2.addr" metrics)
calls_of() { curl -sS "http://$1/debug/vars" | grep -o '"calls":[0-9]*' | head -1 | cut -d: -f2; }
BEFORE=$(calls_of "$LLM2")
wait "$LOAD" || die "load: $(tail -3 "$RUN/load.txt")"
AFTER=$(calls_of "$LLM2")
echo "calls at llm-2 one second after the change: $BEFORE, at the end: $AFTER"
[ "$BEFORE" = "$AFTER" ] || die "the forbidden backend server still got work"

echo "== attainment and cost by stage"
echo "requests $(load_metric offered), attained in time $(load_metric attained), attainment $(load_metric attainment)"
echo "whole answer p50 $(load_metric latency-p50) ms, p99 $(load_metric latency-p99) ms; first token p50 $(load_metric first-token-p50) ms; between regions $(load_metric cross-region-bytes) bytes"
awk '$1 == "all" && $2 ~ /^cost\// { sub("cost/", "", $2); printf "cost of %-28s %s %s\n", $2, $3, $4 }' "$RUN/load.txt"
[ "$(load_metric offered)" -gt 0 ] && [ "$(load_metric attained)" = "$(load_metric offered)" ] || die "not all were attained: $(cat "$RUN/load.txt")"

echo "== stop everything gracefully"
for region in "${REGIONS[0]}" "${REGIONS[1]}"; do stop "entry-$region" || die "entry-$region"; done
for line in "${BACKENDS[@]}"; do stop "${line%% *}" || die "${line%% *}"; done
for line in "${BACKENDS[@]}"; do stop "${line%% *}-server" || die "${line%% *}-server"; done
stop list || die list
stop kv || die kv

echo "== trace of request $REQUEST, hop by hop"
TRACE=$(grep -h "$REQUEST" "$RUN"/*.spans | grep -o '"TraceID":"[0-9a-f]*"' | head -1)
[ -n "$TRACE" ] || die "no span of $REQUEST"
grep -h "$TRACE" "$RUN"/*.spans | sed -E 's/.*"Name":"([^"]*)".*"StartTime":"[^T]*T([^Z+]*)[Z+].*"EndTime":"[^T]*T([^Z+]*)[Z+].*/\2  \3  \1/' | sort | head -40
[ "$(grep -h "$TRACE" "$RUN"/*.spans | wc -l)" -ge 10 ] || die "the trace lacks hops"
for line in "${BACKENDS[@]}"; do
  grep -q 'event=stopped' "$RUN/${line%% *}.log" || die "${line%% *} did not stop gracefully"
done
echo "OK"
