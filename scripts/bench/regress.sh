#!/usr/bin/env bash
# Scores the deployments of regression runs, one after the other, with the users' bench.
# zavod-cembalo-large replaces the two oldest deployments (zavod-cembalo and legoff-formes in their
# first sizes).
#   regress.sh BENCH SITES   BENCH: the program; SITES: the directory of the site files
set -euo pipefail

bench=$1
sites=$2
why=${WHY:-regression run}
deployments="large/zavod-cembalo-large further/caroni-soilcarbon further-grown/caroni-soilcarbon-grown
	grown/zavod-cembalo-grown grown/legoff-formes-grown"

failed=0
for deployment in $deployments; do
	echo "== $deployment"
	output=$("$bench" score "$sites/$deployment.toml" --why "$why") || failed=1
	echo "$output"
	grep -q '^GATE passed' <<<"$output" || failed=1
done
exit "$failed"
