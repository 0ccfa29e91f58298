#!/usr/bin/env bash
# Runs the product on loopback as on the users' platform: starts a stand-in of the platform with six
# servers and two ingresses, sends an order to each ingress and a review with a stage, and stops the
# ingresses gracefully. Exits with 0 only if every check passed.
set -euo pipefail
cd "$(dirname "$0")/../.."
RUN=$(mktemp -d)
PIDS=()
cleanup() {
  for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$RUN"
}
trap cleanup EXIT
die() { echo "demo: $*" >&2; exit 1; }

# wait_until COMMAND... retries a command until it succeeds, 0.1 s apart and for about ten seconds
# (100 attempts).
wait_until() {
  for _ in $(seq 100); do "$@" >/dev/null 2>&1 && return; sleep 0.1; done
  die "not in time: $*"
}

bin/fakes hosted >"$RUN/platform.log" 2>&1 &
PIDS+=($!)
wait_until grep -q store= "$RUN/platform.log"
STORE=$(sed -n 's/^store=//p' "$RUN/platform.log")
BASE_PORT=$((21000 + RANDOM % 9000))
echo "== start: the platform's stand-in at $STORE, two ingresses"
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
[stop]
grace = "4s"
admit = "500ms"
[metrics]
listen = "127.0.0.1:$((port + 3))"
TOML
  bin/ingress --config "$RUN/ingress-$n.toml" >"$RUN/ingress-$n.log" 2>&1 &
  PIDS+=($!)
done
for n in 0 1; do wait_until curl -sf "http://127.0.0.1:$((BASE_PORT + 10 * n + 1))/readyz"; done
wait_until sh -c "[ \$(grep -c event=server-seen $RUN/ingress-1.log) -ge 6 ]"

send() { # ingress, attempt id, path, further curl arguments
  local port=$((BASE_PORT + 10 * $1)) id=$2 path=$3
  shift 3
  curl -sS --max-time 10 -H "Host: kits.example" -H "X-Verbenaroad-Attempt-Id: $id" -H "X-Verbenaroad-Deadline-Ms: 8000" \
    -H "X-Verbenaroad-Key: demo-key" "$@" -d "two boards of spruce" "http://127.0.0.1:$port$path"
}

echo "== an order at each ingress"
for n in 0 1; do
  answer=$(send $n "order$n" /order/1) || die "order"
  echo "$answer"
  [[ $answer == *"to order$n" ]] || die "not its own answer"
done

echo "== a review with three results of a stage, as a stream"
send 1 review1 /review/1 -N -H "X-Verbenaroad-Segment-Count: 3" -H "X-Verbenaroad-Segment-Key: 7c1e" >"$RUN/review" || die "review"
grep '^id:' "$RUN/review" | tr '\n' ' '
echo
[ "$(grep -c '^data: review1' "$RUN/review")" = 6 ] || die "the stream is not whole"

echo "== what the logs say of it"
grep -h 'request=review1' "$RUN"/ingress-*.log | sed 's/^time=[^ ]* //'

echo "== graceful stop"
for n in 0 1; do kill -TERM "${PIDS[$((n + 1))]}"; done
for n in 0 1; do wait "${PIDS[$((n + 1))]}" || die "ingress-$n ended badly"; done
grep -h 'event=stopped' "$RUN"/ingress-*.log | grep -vq 'cut=0' && die "a request was cut"
echo "== all of it held"
