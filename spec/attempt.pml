/*
 * One attempt of a caller at an ingress that calls backend servers directly, without claims:
 * the ingress tries up to SENDS servers in turn. A copy of the request that was sent may run
 * at once, later (its bytes were delayed) or never. Its answer may arrive, be lost, belong to
 * another attempt, or be a 503 from a server that has run it.
 *
 * Mirrors flow/plain.go and the package reach of the ingress: each copy has its own connection,
 * and a request is reported as "not run" only while no copy may have run.
 *
 * Properties: a non-idempotent request runs at most once. A request that is reported as not run
 * has not run and never will, whether idempotent or not. An answer that is delivered to the
 * caller is the answer to a copy of this attempt that ran.
 */
#define SENDS 3

/* states of a copy; NONE: not sent */
#define NONE 0
#define IN_FLIGHT 1 /* its server may start it at any time */
#define DONE 2      /* it ran, or its server reported that it never will */

mtype = { notsent, notrun, answer, plain503, cut, otherattempt };

byte copy[SENDS];
bool ran[SENDS];
byte runs;           /* number of copies that ran */
byte sends;
byte possibleRuns;   /* copies that may have run, as far as the ingress knows */
bool reportedNotRun; /* the caller received "not run" */
bool answered;
bool ended;
mtype outcome;

#define DISCARD(i) copy[i] = DONE

inline begin(i) {
	ran[i] = true;
	runs++;
	copy[i] = DONE;
#ifndef IDEMPOTENT
	assert(runs <= 1);
#endif
	assert(!reportedNotRun)
}

/* a server may start a copy that reached it at any time, also long after the ingress timed out */
active proctype servers() {
end:
	do
	:: atomic { copy[0] == IN_FLIGHT -> begin(0) }
	:: atomic { copy[1] == IN_FLIGHT -> begin(1) }
	:: atomic { copy[2] == IN_FLIGHT -> begin(2) }
	od
}

/* sends copy i and sets the outcome that the ingress observes */
inline send(i) {
	if
	:: outcome = notsent /* no connection, so no byte was sent */
	:: copy[i] = IN_FLIGHT ->
		if
		:: atomic { copy[i] == IN_FLIGHT -> DISCARD(i); outcome = notrun }
		:: atomic { ran[i] -> outcome = answer }
		:: outcome = plain503 /* a 503 that does not state "not run" */
		:: outcome = cut
		:: outcome = otherattempt
		fi
	fi
#ifdef MUTANT_KEPT_CONNECTION
	/* a reused connection breaks, and the HTTP library retries by itself */
	if
	:: outcome == cut && i + 1 < SENDS -> copy[i + 1] = IN_FLIGHT
	:: else
	fi
#endif
}

inline report_not_run() {
	ended = true;
	if
#ifndef MUTANT_REFUSAL_AFTER_A_RUN
	:: possibleRuns > 0 /* reported as unknown */
#endif
	:: else -> atomic { reportedNotRun = true; assert(runs == 0) }
	fi
}

active proctype ingress() {
	do
	:: ended -> break
	:: !ended && sends == SENDS -> report_not_run()
	:: !ended && sends < SENDS ->
		send(sends);
		sends++;
		if
		:: outcome == notsent || outcome == notrun /* try the next server */
		:: outcome == answer -> answered = true; ended = true; assert(ran[sends - 1])
#ifdef MUTANT_FOREIGN_ANSWER
		:: outcome == otherattempt -> answered = true; ended = true; assert(ran[sends - 1])
#else
		:: outcome == otherattempt -> possibleRuns++
#endif
#ifdef MUTANT_503_IS_A_WORD
		:: outcome == plain503
#else
		:: outcome == plain503 -> possibleRuns++
#endif
		:: outcome == cut -> possibleRuns++
		fi;
		if
#ifndef IDEMPOTENT
#ifndef MUTANT_RESEND
		:: !ended && possibleRuns > 0 -> ended = true /* reported as unknown */
#endif
#endif
		:: else
		fi
	od
}
