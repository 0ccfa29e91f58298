/*
 * At-most-once claim of one key: two entries with two submissions each, one agent that
 * restarts, a key-value service that loses answers and applies writes late, dispatches that
 * stay in buffers for any time and may be delivered twice, and callers that submit the key
 * again at any moment.
 *
 * Mirrors Submission and Guard of share/decide/claim.
 *
 * Properties: at most one attempt runs. "Not run" is reported only for an attempt that has not
 * run and never will. An answer is returned only when the run has ended.
 */
#define ATTEMPTS 4
#define NONE 255

/*
 * Sizes: SUBMISSIONS is the number of submissions of the first entry, OTHERS that of the second,
 * RESTARTS the number of the agent's restarts. With -DECHO one dispatch arrives a second time.
 */
#ifndef SUBMISSIONS
#define SUBMISSIONS 2
#endif

#ifndef OTHERS
#define OTHERS 2
#endif

#ifndef RESTARTS
#define RESTARTS 1
#endif

/* states of the record */
#define ABSENT 0
#define CLAIMED 1
#define TOMB 2
#define DONE 3

/* states of an attempt in the agent */
#define UNSEEN 0
#define QUEUED 1
#define RUNNING 2
#define TOMBSTONED 3
#define FINISHED 4
#define LOST_ANSWER 5

/* results that an entry receives: of a write, of a dispatch, and, with T_, of a query to the agent */
#define SWAPPED 1
#define LOST 2
#define UNKNOWN 3
#define REFUSED 1
#define ANSWERED 2
#define CUT 3
#define T_TOMBSTONED 1
#define T_RUNNING 2
#define T_DONE 3
#define T_NO_REPORT 4

byte kvState = ABSENT;
byte kvAttempt = NONE;
byte kvIndex;

byte lateIndex[ATTEMPTS] = NONE; /* the index of a write that may still take effect */

byte incarnation;             /* the agent's current incarnation */
byte incarnationOf[ATTEMPTS]; /* the agent's incarnation that an attempt names */
byte agentState[ATTEMPTS];    /* an attempt's state in the agent */
bool inTransit[ATTEMPTS];     /* the dispatch is in a buffer */
byte duplicate = NONE;        /* an attempt whose dispatch arrives a second time */
bool listening[ATTEMPTS];     /* the entry still waits for a reply */
byte reply[ATTEMPTS];         /* received on the dispatch's stream */

byte runs;
bool ran[ATTEMPTS]; /* kept while the entry may still report "not run" */
bool reportedNotRun[ATTEMPTS];

inline reportNotRun(a) {
	assert(!ran[a]);
	/* undispatched attempts need not be remembered: a settled submission dispatches nothing */
	reportedNotRun[a] = dispatched
}

#ifdef MUTANT_NO_REVISION
#define MATCHES(i) ((i) == (i))
#else
#define MATCHES(i) (kvIndex == (i))
#endif

/* dropLate forgets a late write whose index is outdated: it can no longer take effect. */
inline dropLate(x) {
#ifndef MUTANT_NO_REVISION
	lateIndex[x] = NONE
#else
	skip
#endif
}

inline apply(a, s) {
	kvState = s;
	kvAttempt = a;
	kvIndex++;
	dropLate(0);
	dropLate(1);
	dropLate(2);
	dropLate(3)
}

/* claim writes attempt a over index i: with or without an answer, immediately or late. */
inline claim(a, i) {
	if
	:: MATCHES(i) -> apply(a, CLAIMED); result = SWAPPED
	:: MATCHES(i) -> apply(a, CLAIMED); result = UNKNOWN
	:: !MATCHES(i) -> result = LOST
	:: MATCHES(i) -> lateIndex[a] = i; result = UNKNOWN
	:: !MATCHES(i) -> result = UNKNOWN
	fi
}

inline sendReply(a, v) {
	if
	:: listening[a] && v != 0 -> reply[a] = v
	:: else
	fi
}

/* queryAgent sets agentReport to the agent's report on attempt x of incarnation n. */
inline queryAgent(x, n) {
	if
	:: agentReport = T_NO_REPORT
	:: n != incarnation ->
#ifdef MUTANT_RESTART_IS_TOMBSTONE
		agentReport = T_TOMBSTONED
#else
		agentReport = T_NO_REPORT
#endif
	:: n == incarnation && agentState[x] == UNSEEN ->
#ifndef MUTANT_NO_TOMBSTONE
		agentState[x] = TOMBSTONED;
#endif
		agentReport = T_TOMBSTONED
	:: n == incarnation && agentState[x] == QUEUED ->
#ifndef MUTANT_QUEUE_KEEPS_TOMBSTONED
		agentState[x] = TOMBSTONED;
		sendReply(x, REFUSED);
#endif
		agentReport = T_TOMBSTONED
	:: n == incarnation && agentState[x] == TOMBSTONED -> agentReport = T_TOMBSTONED
	:: n == incarnation && agentState[x] == RUNNING -> agentReport = T_RUNNING
	:: n == incarnation && agentState[x] == FINISHED -> agentReport = T_DONE
	:: n == incarnation && agentState[x] == LOST_ANSWER -> agentReport = T_NO_REPORT
	fi
}

/*
 * dispatch follows a claim that is known to hold. The time between the claim and the dispatch is
 * modeled as part of the time that the dispatch spends in a buffer.
 */
inline dispatch(a) {
	heldIndex = kvIndex;
	if
	:: reportNotRun(a); goto Release /* frozen past the deadline */
	:: goto Settled /* the entry crashes */
	:: inTransit[a] = true; dispatched = true; goto Wait
	fi
}

proctype Entry(byte first; byte limit) {
	byte s, a, heldIndex, result, agentReport, swaps;
	byte queried = NONE;
	bool writeUnknown, dispatched, noReport;

	do
	:: s == limit -> break
	:: s < limit ->
		d_step {
			a = first + s;
			s++;
			incarnationOf[a] = incarnation;
			listening[a] = true
		};
Swap:
		atomic {
			if
			:: swaps == 2 -> goto Settled
			:: else -> swaps++
			fi;
			claim(a, heldIndex);
			if
			:: result == SWAPPED -> result = 0; dispatch(a)
			:: result == LOST -> result = 0
			:: result == UNKNOWN ->
				result = 0;
#ifdef MUTANT_NO_READ_BACK
				dispatch(a)
#else
				writeUnknown = true
#endif
			fi
		};
Read:
		atomic {
			if
			:: !dispatched -> reportNotRun(a); goto Settled /* the service is down, or the deadline passed */
			:: dispatched -> goto Settled
			:: kvState == ABSENT ->
				if
				:: writeUnknown || dispatched ->
					if
					:: !dispatched -> reportNotRun(a)
					:: else
					fi;
					goto Settled
				:: else -> heldIndex = 0; goto Swap
				fi
			:: kvState == DONE -> assert(runs == 1); goto Settled
			:: kvState == TOMB ->
				if
				:: writeUnknown || dispatched -> reportNotRun(a); goto Settled
				:: else -> heldIndex = kvIndex; goto Swap
				fi
			:: kvState == CLAIMED ->
				if
				:: kvAttempt == a && !dispatched -> dispatch(a)
				:: (kvAttempt != a || dispatched) && (noReport || dispatched || writeUnknown) -> goto Settled
				:: kvAttempt != a && !noReport && !dispatched && !writeUnknown ->
					heldIndex = kvIndex; queried = kvAttempt
				fi
			fi
		};
Ask:
		atomic { queryAgent(queried, incarnationOf[queried]) };
		/* the agent's report may be delayed for any time */
		atomic {
			if
			:: agentReport == T_TOMBSTONED && dispatched -> agentReport = 0; reportNotRun(a); goto Release
			:: agentReport == T_TOMBSTONED && !dispatched -> agentReport = 0; queried = NONE; goto Swap
			:: agentReport == T_RUNNING -> goto Settled
			:: agentReport == T_DONE -> assert(runs == 1); goto Settled
			:: agentReport == T_NO_REPORT -> agentReport = 0; noReport = true; goto Read
			fi
		};
Wait:
		/* a refusal, an answer, a broken stream, the deadline, or a crash of the entry */
		atomic {
			if
			:: reply[a] == REFUSED -> reportNotRun(a); goto Release
			:: reply[a] == ANSWERED -> assert(runs == 1); goto Settled
			:: queried = a; goto Ask
			:: goto Settled
			fi
		};
Release:
		atomic {
			if
			:: MATCHES(heldIndex) -> apply(a, TOMB)
			:: skip
			fi
		};
Settled:
		atomic {
			listening[a] = false;
			ran[a] = false;
			reply[a] = 0;
			agentReport = 0;
			heldIndex = 0;
			queried = NONE;
			swaps = 0;
			writeUnknown = false;
			dispatched = false;
			noReport = false
		}
	od
}

inline begin(a) {
	agentState[a] = RUNNING;
	runs++;
	ran[a] = listening[a];
	assert(runs <= 1);
	assert(!reportedNotRun[a])
}

inline deliver(a) {
	if
#ifndef MUTANT_NO_INCARNATION
	:: incarnationOf[a] != incarnation -> answer = REFUSED
	:: incarnationOf[a] == incarnation && agentState[a] == UNSEEN -> agentState[a] = QUEUED
#else
	:: agentState[a] == UNSEEN -> agentState[a] = QUEUED
#endif
	:: incarnationOf[a] == incarnation && agentState[a] == TOMBSTONED -> answer = REFUSED
	:: else
	fi
}

inline arrive(a) {
	inTransit[a] = false;
	deliver(a);
	sendReply(a, answer);
	answer = 0;
	if
#ifdef ECHO
	:: duplicate == NONE -> duplicate = a
#endif
	:: skip
	fi
}

/* the reply to a second copy has no stream and is discarded */
inline arriveAgain(a) {
	duplicate = NONE;
	deliver(a);
#ifdef MUTANT_ECHO_ANSWERED
	sendReply(a, answer);
#endif
	answer = 0
}

inline arriveLate(a) {
	lateIndex[a] = NONE;
	apply(a, CLAIMED)
}

#define TRANSITIONS(a) \
	:: atomic { inTransit[a] -> arrive(a) } \
	:: atomic { duplicate == a -> arriveAgain(a) } \
	:: atomic { agentState[a] == QUEUED -> begin(a) } \
	:: atomic { agentState[a] == QUEUED -> agentState[a] = TOMBSTONED; sendReply(a, REFUSED) } \
	:: atomic { agentState[a] == RUNNING -> agentState[a] = FINISHED; sendReply(a, ANSWERED) } \
	:: atomic { agentState[a] == RUNNING -> agentState[a] = LOST_ANSWER; sendReply(a, CUT) } \
	:: atomic { agentState[a] == FINISHED && kvAttempt == a && kvState != DONE -> apply(a, DONE) } \
	:: atomic { lateIndex[a] != NONE -> arriveLate(a) }

/* the agent, the network's buffers, and the key-value service's late writes */
active proctype Agent() {
	byte answer, restarts;

end:
	do
	TRANSITIONS(0)
	TRANSITIONS(1)
	TRANSITIONS(2)
	TRANSITIONS(3)
	:: atomic { restarts < RESTARTS ->
		restarts++;
		incarnation++;
		agentState[0] = UNSEEN;
		agentState[1] = UNSEEN;
		agentState[2] = UNSEEN;
		agentState[3] = UNSEEN
	   }
	od
}

init {
	atomic {
		run Entry(0, SUBMISSIONS);
		run Entry(2, OTHERS)
	}
}
