#!/bin/bash
# Checks every model exhaustively, and checks that each mutant (a model with one guard removed)
# violates an assertion. Works in temporary directories; needs spin and gcc.
#   check.sh          the sizes that CI runs
#   check.sh --full   also the largest size of claim.pml: about 40 million states, 2.2 GB
set -u

here=$(cd "$(dirname "$0")" && pwd)
jobs=4 # models checked in parallel, each within 0.9 GB
limit=900 # memory limit of one model in megabytes
if [ "${1:-}" = --full ]; then
	limit=3500
fi
export here limit

for tool in spin gcc; do
	if ! command -v "$tool" >/dev/null; then
		echo "spec: $tool is missing; the models are not checked" >&2
		exit 2
	fi
done

# list prints the checks, one per line: kind | model | name | macros
list() {
	cat <<-'LIST'
		holds|claim|2+2 submissions, no restart|-DRESTARTS=0
		holds|lease|engine ignores the number, 3 processes with one write|-DIGNORES -DWRITES=1
		holds|lease|engine checks the number, 2 processes|-DPROCESSES=2
		holds|lease|engine ignores the number, 2 processes|-DIGNORES -DPROCESSES=2
		holds|claim|2+1 submissions, 1 restart|-DOTHERS=1
		holds|claim|1+1 submissions, 2 restarts, a dispatch arrives twice|-DECHO -DSUBMISSIONS=1 -DOTHERS=1 -DRESTARTS=2
		holds|config|two writers|-DWRITERS
		holds|config|spread between an entry and an agent, 1 restart|
		holds|drain|one instance, two senders, two stops, a return|
		holds|attempt|a request that may run once, three servers|
		holds|attempt|an idempotent request, three servers|-DIDEMPOTENT
		holds|feed|two that watch, a follower, 3 faults, a restore|
		holds|feed|two that watch, a follower, 2 faults, 3 changes, 2 restores|-DFAULTS=2 -DCHANGES=3 -DRESTORES=2
		holds|feed|two that watch, a follower, 5 faults, 3 changes|-DFAULTS=5 -DCHANGES=3 -DRESTORES=0
		holds|evacuate|one that places, one that sends, 3 changes, 3 faults|
		holds|limit|two ingresses learn of a limit, 3 changes, 2 faults|
		holds|limit|two ingresses learn of a limit, 5 changes, 4 faults|-DCHANGES=5 -DFAULTS=4
		holds|limit|requests to a server with a limit, a change of the placer|-DCOUNTING
		mutant|limit|an observed change has the version of the statement before|-DMUTANT_SAME_VERSION
		mutant|limit|any statement takes the place of the known one|-DMUTANT_ANY_VERSION
		mutant|limit|each ingress keeps to the limit by itself|-DCOUNTING -DMUTANT_EACH_COUNTS_ALONE
		mutant|limit|any number of requests waits for its stages|-DCOUNTING -DMUTANT_UNSENT_UNLIMITED
		mutant|evacuate|a request is sent where it was placed without another look|-DMUTANT_NO_LOOK_BEFORE_SENDING
		mutant|evacuate|an older word takes the place of a newer one|-DMUTANT_ANY_REVISION
		mutant|attempt|a request that may have run is sent again|-DMUTANT_RESEND
		mutant|attempt|a 503 without the server's word counts as not run|-DMUTANT_503_IS_A_WORD
		mutant|attempt|an idempotent request that may have run is told as not run|-DIDEMPOTENT -DMUTANT_REFUSAL_AFTER_A_RUN
		mutant|attempt|an answer to another attempt counts|-DMUTANT_FOREIGN_ANSWER
		mutant|attempt|a kept connection is sent on again by the library|-DMUTANT_KEPT_CONNECTION
		mutant|claim|no tombstone|-DOTHERS=1 -DMUTANT_NO_TOMBSTONE
		mutant|claim|no check of the incarnation|-DOTHERS=1 -DMUTANT_NO_INCARNATION
		mutant|claim|no read-back|-DOTHERS=1 -DMUTANT_NO_READ_BACK
		mutant|claim|no revision in the compare-and-swap|-DOTHERS=1 -DMUTANT_NO_REVISION
		mutant|claim|an attempt of a gone incarnation counts as tombstoned|-DOTHERS=1 -DMUTANT_RESTART_IS_TOMBSTONE
		mutant|claim|the queue keeps a tombstoned attempt|-DOTHERS=1 -DMUTANT_QUEUE_KEEPS_TOMBSTONED
		mutant|claim|the answer to a second copy counts|-DECHO -DSUBMISSIONS=1 -DOTHERS=1 -DRESTARTS=2 -DMUTANT_ECHO_ANSWERED
		mutant|config|retry on the new head without looking|-DWRITERS -DMUTANT_BLIND_RETRY
		mutant|config|no walk back through the history|-DWRITERS -DMUTANT_NO_WALK
		mutant|config|a head that has not moved counts as refused|-DWRITERS -DMUTANT_UNMOVED_IS_REFUSED
		mutant|config|any revision is applied|-DMUTANT_ANY_REVISION
		mutant|config|age counts from the arrival|-DMUTANT_AGE_FROM_ARRIVAL
		mutant|config|the entry does not let its snapshot expire|-DMUTANT_ENTRY_NO_EXPIRY
		mutant|config|the agent does not let its snapshot expire|-DMUTANT_AGENT_NO_EXPIRY
		mutant|config|a call's revision is ignored|-DMUTANT_NO_CALL_REVISION
		mutant|drain|no linger|-DMUTANT_NO_LINGER
		mutant|drain|linger of one round trip only|-DMUTANT_SHORT_LINGER
		mutant|drain|a second stop cuts|-DMUTANT_SECOND_STOP_CUTS
		mutant|drain|running work is not waited for|-DMUTANT_NO_WAIT_FOR_WORK
		mutant|drain|work is admitted while draining|-DMUTANT_ADMITS_WHILE_DRAINING
		mutant|drain|an earlier heartbeat takes the leaving back|-DMUTANT_TAKES_BACK
		mutant|feed|an older record takes the place of a newer one|-DMUTANT_ANY_REVISION
		mutant|feed|a source that the store does not answer is kept|-DMUTANT_NO_AGE
		mutant|feed|nobody reads for itself|-DMUTANT_NEVER_READS
		mutant|feed|a watch goes by numbers without their era|-DMUTANT_READ_BY_NUMBER
		mutant|feed|ingresses compare numbers without their era|-DMUTANT_PEERS_BY_NUMBER
		mutant|feed|what a restored store lacks is in force no longer|-DMUTANT_NO_HOLDS
		mutant|lease|no wait for the old lease|-DIGNORES -DPROCESSES=2 -DMUTANT_NO_OBSERVED_WAIT
		mutant|lease|no wait for the longest order|-DIGNORES -DPROCESSES=2 -DMUTANT_NO_ORDER_WAIT
		mutant|lease|the holder does not look at the clock|-DIGNORES -DPROCESSES=2 -DMUTANT_NO_CLOCK
		mutant|lease|release before the predecessor's order ended|-DIGNORES -DWRITES=1 -DMUTANT_EARLY_RELEASE
		mutant|lease|the number does not rise|-DPROCESSES=2 -DMUTANT_SAME_NUMBER
		mutant|lease|the second of two holders sends (reached, no guard removed)|-DIGNORES -DPROCESSES=2 -DREACH_SECOND_HOLDER
		mutant|lease|pause before sending, engine ignores the number (limit)|-DPROCESSES=2 -DMUTANT_ENGINE_IGNORES
	LIST
	if [ "${1:-}" = --full ]; then
		echo "holds|claim|2+2 submissions, 1 restart|"
	fi
}

# check runs one line of list and prints its result. The result begins with FAIL if a model violates
# a property, a mutant passes, or the check does not complete.
check() {
	IFS='|' read -r kind model name macros <<<"$1"
	work=$(mktemp -d)
	cd "$work" || exit 1
	cp "$here/$model.pml" .
	# shellcheck disable=SC2086 # macros holds several words
	spin -a $macros "$model.pml" >spin.out 2>&1 &&
		gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=$limit -o pan pan.c 2>gcc.out &&
		timeout 300 ./pan -n -m200000 >pan.out 2>&1
	report "$kind" "$model" "$name"
	cd / && rm -rf "$work"
}

report() {
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.out 2>/dev/null)
	states=$(awk '/states, stored/ {print $1; exit}' pan.out 2>/dev/null)
	depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' pan.out 2>/dev/null)
	seconds=$(sed -n 's/.*elapsed time \([0-9.]*\).*/\1/p' pan.out 2>/dev/null)
	# A search that memory or depth cut short proves nothing.
	if [ -z "$errors" ] || { [ "$1" = holds ] && grep -qE 'max search depth too small|out of memory|reached -DMEMLIM|Search not completed' pan.out; }; then
		echo "FAIL   $2: $3: the search did not end"
		cat spin.out gcc.out pan.out 2>/dev/null | tail -5
	elif [ "$1" = holds ] && [ "$errors" = 0 ]; then
		echo "holds  $2: $3: $states states, depth $depth, $seconds s"
	elif [ "$1" = mutant ] && [ "$errors" != 0 ] && grep -q 'assertion violated' pan.out; then
		echo "found  $2: $3: in $(wc -l <"$2.pml.trail") steps"
	elif [ "$1" = mutant ]; then
		echo "FAIL   $2: $3: the mutant passes"
	else
		echo "FAIL   $2: $3: $(grep -m1 -E 'violated|invalid end' pan.out)"
	fi
}
export -f check report

start=$SECONDS
result=$(mktemp)
list "${1:-}" | xargs -d '\n' -P "$jobs" -I{} bash -c 'check "$1"' _ {} | tee "$result"
failed=$(grep -c '^FAIL' "$result")
passed=$(grep -cE '^(holds|found)' "$result")
expected=$(list "${1:-}" | wc -l)
echo "spec: $(grep -c '^holds' "$result") models hold, $(grep -c '^found' "$result") mutants found, $failed failed, $((SECONDS - start)) s"
rm -f "$result"
[ "$failed" = 0 ] && [ "$passed" = "$expected" ]
