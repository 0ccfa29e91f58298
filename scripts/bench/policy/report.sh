#!/usr/bin/env bash
# Compares the policies: writes a table, the figures as CSV and one plot per scenario.
# SECONDS_MEASURED is the length of a run without its warm-up; COMMITTED is the committed capacity
# of the engine pool in cost units per second.
#
#   scripts/bench/policy/report.sh DIR TO
set -euo pipefail
cd "$(dirname "$0")/../../.."
DIR=$1
TO=$2
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
mkdir -p "$TO"
bin/vload compare --dir "$DIR" --to "$WORK" --class '^(all|priority:.*)$' >/dev/null
mv "$WORK"/*.svg "$TO"/
awk -F, 'NR == 1 || ($2 ~ /^team:/ && $3 == "attainment") || ($2 ~ /^(all|priority:)/ && $3 ~ /^(offered|attain|late|timeout|incomplete|refused|latency-p(50|95|99)|first-token-p(50|95|99)|send-lag-p99|jain|cost|cross|sent|retries|resends)/)' \
  "$WORK/compare.csv" >"$TO/compare.csv"
awk -F, -v seconds="${SECONDS_MEASURED:-5}" -v committed="${COMMITTED:-30}" -f scripts/bench/policy/table.awk "$TO/compare.csv" >"$TO/table.md"
echo "$TO/table.md"
