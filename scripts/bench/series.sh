#!/usr/bin/env bash
# Runs one scenario RUNS times under one policy, with seeds 1 to RUNS; results go to DIR/POLICY/RUN.
# The same seeds give every policy the same load, so that `vload compare --dir DIR` can compare
# policies. Additional arguments are passed to vload.
#
#   scripts/bench/series.sh run|direct SCENARIO DIR POLICY RUNS [ARGUMENT...]
set -euo pipefail
if [ $# -lt 5 ]; then
  sed -n '6s/^#  *//p' "$0" >&2
  exit 2
fi
command=$1 scenario=$2 dir=$3 policy=$4 runs=$5
shift 5
vload=$(dirname "$0")/../../bin/vload
for ((run = 1; run <= runs; run++)); do
  out=$dir/$policy/$run
  mkdir -p "$out"
  "$vload" "$command" --scenario "$scenario" --out "$out" --policy "$policy" --seed "$run" --run "$run" "$@" >"$out/table.txt"
done
