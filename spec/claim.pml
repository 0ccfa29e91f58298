/*
 * At-most-once claim of one key: two entries with two submissions each, one
 * agent that restarts, a key-value service that loses answers and lets
 * writes take effect late, dispatches that wait in buffers for any time and
 * may be delivered twice, callers that repeat the key at any moment.
 *
 * Mirrors Submission and Guard of share/decide/claim.
 *
 * Held: one run at most; "not run" is said only of an attempt that has not
 * run and never will; an answer is given only when the run has ended.
 */
#define ATTEMPTS 4
#define NONE 255

/*
 * Sizes: SUBMISSIONS of the first entry and OTHERS of the second, RESTARTS
 * of the agent; with -DECHO one dispatch arrives a second time.
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

/* states of an attempt at the agent */
#define UNSEEN 0
#define QUEUED 1
#define RUNNING 2
#define TOMBSTONED 3
#define FINISHED 4
#define LOST_ANSWER 5

/* what travels back to an entry */
#define SWAPPED 1
#define LOST 2
#define UNSURE 3
#define REFUSED 1
#define ANSWERED 2
#define CUT 3
#define T_TOMBSTONED 1
#define T_RUNNING 2
#define T_DONE 3
#define T_SILENT 4

byte kvState = ABSENT;
byte kvAttempt = NONE;
byte kvIndex;

byte lateIndex[ATTEMPTS] = NONE; /* a write that may take effect yet */

byte incarnation;                /* the agent's */
byte chosen[ATTEMPTS];           /* the incarnation an attempt names */
byte at[ATTEMPTS];               /* attempt's state at the agent */
bool underWay[ATTEMPTS];        /* the dispatch is in a buffer */
byte echo = NONE;                /* an attempt whose dispatch arrives a second time */
bool open[ATTEMPTS];             /* the entry still listens */
byte reply[ATTEMPTS];            /* on the dispatch's stream */

byte runs;
bool ran[ATTEMPTS];              /* kept while the entry may still say "not run" */
bool saidNotRun[ATTEMPTS];

inline notRun(a) {
	assert(!ran[a]);
	saidNotRun[a] = dispatched /* the others cannot run: a settled submission dispatches nothing */
}

#ifdef MUTANT_NO_REVISION
#define MATCHES(i) ((i) == (i))
#else
#define MATCHES(i) (kvIndex == (i))
#endif

/* drop forgets a late write whose index has passed: it can only be lost. */
inline drop(x) {
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
	drop(0);
	drop(1);
	drop(2);
	drop(3)
}

/* claim writes attempt a over index i: with or without an answer, at once or late. */
inline claim(a, i) {
	if
	:: MATCHES(i) -> apply(a, CLAIMED); result = SWAPPED
	:: MATCHES(i) -> apply(a, CLAIMED); result = UNSURE
	:: !MATCHES(i) -> result = LOST
	:: MATCHES(i) -> lateIndex[a] = i; result = UNSURE
	:: !MATCHES(i) -> result = UNSURE
	fi
}

inline answers(a, v) {
	if
	:: open[a] && v != 0 -> reply[a] = v
	:: else
	fi
}

/* ask is the agent's answer about attempt x of incarnation n. */
inline ask(x, n) {
	if
	:: told = T_SILENT
	:: n != incarnation ->
#ifdef MUTANT_RESTART_IS_TOMBSTONE
		told = T_TOMBSTONED
#else
		told = T_SILENT
#endif
	:: n == incarnation && at[x] == UNSEEN ->
#ifndef MUTANT_NO_TOMBSTONE
		at[x] = TOMBSTONED;
#endif
		told = T_TOMBSTONED
	:: n == incarnation && at[x] == QUEUED ->
#ifndef MUTANT_QUEUE_KEEPS_TOMBSTONED
		at[x] = TOMBSTONED;
		answers(x, REFUSED);
#endif
		told = T_TOMBSTONED
	:: n == incarnation && at[x] == TOMBSTONED -> told = T_TOMBSTONED
	:: n == incarnation && at[x] == RUNNING -> told = T_RUNNING
	:: n == incarnation && at[x] == FINISHED -> told = T_DONE
	:: n == incarnation && at[x] == LOST_ANSWER -> told = T_SILENT
	fi
}

/*
 * dispatch follows a claim that is known to hold. The time between the two
 * is part of the time that the dispatch spends in a buffer.
 */
inline dispatch(a) {
	held = kvIndex;
	if
	:: notRun(a); goto Release /* frozen past the deadline */
	:: goto Settled            /* the entry dies */
	:: underWay[a] = true; dispatched = true; goto Wait
	fi
}

proctype Entry(byte first; byte limit) {
	byte s, a, held, result, told, swaps;
	byte asked = NONE;
	bool unsure, dispatched, silent;

	do
	:: s == limit -> break
	:: s < limit ->
		d_step {
			a = first + s;
			s++;
			chosen[a] = incarnation;
			open[a] = true
		};
Swap:
		atomic {
			if
			:: swaps == 2 -> goto Settled
			:: else -> swaps++
			fi;
			claim(a, held);
			if
			:: result == SWAPPED -> result = 0; dispatch(a)
			:: result == LOST -> result = 0
			:: result == UNSURE ->
				result = 0;
#ifdef MUTANT_NO_READ_BACK
				dispatch(a)
#else
				unsure = true
#endif
			fi
		};
Read:
		atomic {
			if
			:: !dispatched -> notRun(a); goto Settled /* service down, or the deadline passed */
			:: dispatched -> goto Settled
			:: kvState == ABSENT ->
				if
				:: unsure || dispatched ->
					if
					:: !dispatched -> notRun(a)
					:: else
					fi;
					goto Settled
				:: else -> held = 0; goto Swap
				fi
			:: kvState == DONE -> assert(runs == 1); goto Settled
			:: kvState == TOMB ->
				if
				:: unsure || dispatched -> notRun(a); goto Settled
				:: else -> held = kvIndex; goto Swap
				fi
			:: kvState == CLAIMED ->
				if
				:: kvAttempt == a && !dispatched -> dispatch(a)
				:: (kvAttempt != a || dispatched) && (silent || dispatched || unsure) -> goto Settled
				:: kvAttempt != a && !silent && !dispatched && !unsure ->
					held = kvIndex; asked = kvAttempt
				fi
			fi
		};
Ask:
		atomic { ask(asked, chosen[asked]) };
		/* the answer may wait here for any time */
		atomic {
			if
			:: told == T_TOMBSTONED && dispatched -> told = 0; notRun(a); goto Release
			:: told == T_TOMBSTONED && !dispatched -> told = 0; asked = NONE; goto Swap
			:: told == T_RUNNING -> goto Settled
			:: told == T_DONE -> assert(runs == 1); goto Settled
			:: told == T_SILENT -> told = 0; silent = true; goto Read
			fi
		};
Wait:
		/* a refusal, an answer, a cut stream, the deadline, or the entry dies */
		atomic {
			if
			:: reply[a] == REFUSED -> notRun(a); goto Release
			:: reply[a] == ANSWERED -> assert(runs == 1); goto Settled
			:: asked = a; goto Ask
			:: goto Settled
			fi
		};
Release:
		atomic {
			if
			:: MATCHES(held) -> apply(a, TOMB)
			:: skip
			fi
		};
Settled:
		atomic {
			open[a] = false;
			ran[a] = false;
			reply[a] = 0;
			told = 0;
			held = 0;
			asked = NONE;
			swaps = 0;
			unsure = false;
			dispatched = false;
			silent = false
		}
	od
}

inline begin(a) {
	at[a] = RUNNING;
	runs++;
	ran[a] = open[a];
	assert(runs <= 1);
	assert(!saidNotRun[a])
}

inline deliver(a) {
	if
#ifndef MUTANT_NO_INCARNATION
	:: chosen[a] != incarnation -> answer = REFUSED
	:: chosen[a] == incarnation && at[a] == UNSEEN -> at[a] = QUEUED
#else
	:: at[a] == UNSEEN -> at[a] = QUEUED
#endif
	:: chosen[a] == incarnation && at[a] == TOMBSTONED -> answer = REFUSED
	:: else
	fi
}

inline arrive(a) {
	underWay[a] = false;
	deliver(a);
	answers(a, answer);
	answer = 0;
	if
#ifdef ECHO
	:: echo == NONE -> echo = a
#endif
	:: skip
	fi
}

/* the answer to a second copy has no stream to go to */
inline arriveAgain(a) {
	echo = NONE;
	deliver(a);
#ifdef MUTANT_ECHO_ANSWERED
	answers(a, answer);
#endif
	answer = 0
}

inline arriveLate(a) {
	lateIndex[a] = NONE;
	apply(a, CLAIMED)
}

#define MOVES(a) \
	:: atomic { underWay[a] -> arrive(a) } \
	:: atomic { echo == a -> arriveAgain(a) } \
	:: atomic { at[a] == QUEUED -> begin(a) } \
	:: atomic { at[a] == QUEUED -> at[a] = TOMBSTONED; answers(a, REFUSED) } \
	:: atomic { at[a] == RUNNING -> at[a] = FINISHED; answers(a, ANSWERED) } \
	:: atomic { at[a] == RUNNING -> at[a] = LOST_ANSWER; answers(a, CUT) } \
	:: atomic { at[a] == FINISHED && kvAttempt == a && kvState != DONE -> apply(a, DONE) } \
	:: atomic { lateIndex[a] != NONE -> arriveLate(a) }

/* the agent, its buffers, and the key-value service's late writes */
active proctype Agent() {
	byte answer, restarts;

end:
	do
	MOVES(0)
	MOVES(1)
	MOVES(2)
	MOVES(3)
	:: atomic { restarts < RESTARTS ->
		restarts++;
		incarnation++;
		at[0] = UNSEEN;
		at[1] = UNSEEN;
		at[2] = UNSEEN;
		at[3] = UNSEEN
	   }
	od
}

init {
	atomic {
		run Entry(0, SUBMISSIONS);
		run Entry(2, OTHERS)
	}
}
