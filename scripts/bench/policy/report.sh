#!/usr/bin/env bash
# Sets the policies side by side: a table, the figures as CSV, one plot for each scenario.
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
awk -F, 'NR == 1 || ($2 ~ /^(all|priority:|team:)/ && $3 ~ /^(offered|attain|late|timeout|incomplete|refused|latency-p(50|95|99)|first-token-p(50|95|99)|send-lag-p99|jain|cost|cross|sent|retries|resends)/)' \
  "$WORK/compare.csv" >"$TO/compare.csv"
awk -F, -f scripts/bench/policy/table.awk "$TO/compare.csv" >"$TO/table.md"
echo "$TO/table.md"
