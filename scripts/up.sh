#!/usr/bin/env bash
# Starts a small version of a deployment, applies its configuration, prints its addresses and keeps
# it running until it is interrupted (Ctrl-C). The directory that it prints holds the processes'
# logs, and env.sh, which sets the addresses and tokens in other shells.
set -euo pipefail
cd "$(dirname "$0")/.."
DEPLOYMENT=${1:-ljubljana}
RUN=$(mktemp -d)
# Additional flags for every agent and entry, for experiments.
read -ra AGENT_FLAGS <<<"${AGENT_FLAGS:-}"
read -ra ENTRY_FLAGS <<<"${ENTRY_FLAGS:-}"
# shellcheck source=scripts/lib.sh
source scripts/lib.sh
# shellcheck source=/dev/null
source "scripts/demo/$DEPLOYMENT.sh"

trap cleanup EXIT
trap 'trap "" INT TERM; exit 0' INT TERM

BOOTSTRAP=$(printf %s "$OPERATOR_TOKEN" | sha256sum | cut -d' ' -f1)
export VCTL_TOKEN=$OPERATOR_TOKEN

start_platform
start_backends
start_entries
bin/vctl apply --server "$ADMIN" deploy/"$DEPLOYMENT"/*.toml >"$RUN/apply.txt" || die "apply: $(cat "$RUN/apply.txt")"
for name in "entry-${REGIONS[0]}" "entry-${REGIONS[1]}"; do wait_ready "$name"; done
for name in "${!PID_OF[@]}"; do echo "${PID_OF[$name]}" >"$RUN/$name.pid"; done
cat >"$RUN/env.sh" <<ENV
export RUN=$RUN
export VCTL_SERVER=$ADMIN
export VCTL_TOKEN=$OPERATOR_TOKEN
export CALLERS=$CALLERS
export METRICS=$METRICS
export TEAM_TOKEN=$TEAM_TOKEN
ENV
cat "$RUN/env.sh"
echo "# in another shell: source $RUN/env.sh; Ctrl-C here stops everything"
touch "$RUN/up"
while sleep 1; do :; done
