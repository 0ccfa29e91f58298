#!/usr/bin/env bash
# Detects memory growth: runs two ingresses between stand-ins under a steady load and prints the
# resident memory of each every 30 seconds. LENGTH is the duration in seconds (default 600).
set -euo pipefail
cd "$(dirname "$0")/../.."
LENGTH=${LENGTH:-600}
SAMPLE=30 # seconds between two samples
CALLERS=6 # concurrent callers per ingress; each sends an order and a review in turn
RUN=$(mktemp -d)
PIDS=()
cleanup() {
  for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$RUN"
}
trap cleanup EXIT

bin/fakes hosted >"$RUN/platform.log" 2>&1 &
PIDS+=($!)
until grep -q store= "$RUN/platform.log"; do sleep 0.1; done
STORE=$(sed -n 's/^store=//p' "$RUN/platform.log")
BASE_PORT=$((21000 + RANDOM % 9000))
for n in 0 1; do
  port=$((BASE_PORT + 10 * n))
  cat >"$RUN/ingress-$n.toml" <<TOML
[place]
name = "ingress-$n"
domain = "$([ $n = 0 ] && echo a1 || echo b1)"
region = "$([ $n = 0 ] && echo a || echo b)"
regions = "a1=a,b1=b"
[callers]
listen = "127.0.0.1:$port"
ready = "127.0.0.1:$((port + 1))"
[store]
address = "$STORE"
[peers]
listen = "127.0.0.1:$((port + 2))"
[metrics]
listen = "127.0.0.1:$((port + 3))"
TOML
  bin/ingress --config "$RUN/ingress-$n.toml" >/dev/null 2>&1 &
  PIDS+=($!)
done
for n in 0 1; do
  until curl -sf "http://127.0.0.1:$((BASE_PORT + 10 * n + 1))/readyz" >/dev/null; do sleep 0.1; done
done

# load sends requests to one ingress until LENGTH seconds have passed.
load() { # number of the ingress, number of the caller
  local port=$((BASE_PORT + 10 * $1)) count=0
  while [ $SECONDS -lt "$LENGTH" ]; do
    count=$((count + 1))
    for path in /order/1 /review/1; do
      curl -sS --max-time 10 -o /dev/null -H "Host: kits.example" -H "X-Verbenaroad-Attempt-Id: g$1$2n$count${path//\//}" \
        -H "X-Verbenaroad-Deadline-Ms: 8000" -H "X-Verbenaroad-Key: demo-key" -H "X-Verbenaroad-Segment-Count: 3" \
        -H "X-Verbenaroad-Segment-Key: 7c1e" -d "two boards of spruce" "http://127.0.0.1:$port$path" 2>/dev/null || true
    done
  done
}
for n in 0 1; do
  for c in $(seq $CALLERS); do
    load $n "$c" &
    PIDS+=($!)
  done
done

echo "seconds resident-kb-0 resident-kb-1 answered-0"
while [ $SECONDS -lt "$LENGTH" ]; do
  figures=$(curl -s "http://127.0.0.1:$((BASE_PORT + 3))/metrics")
  answered=$(awk '/^verbenaroad_request_seconds_count.*answered/ {n += $2} END {print n + 0}' <<<"$figures")
  echo "$SECONDS $(awk '/VmRSS/ {print $2}' "/proc/${PIDS[1]}/status") $(awk '/VmRSS/ {print $2}' "/proc/${PIDS[2]}/status") $answered"
  sleep $SAMPLE
done
