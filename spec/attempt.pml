/*
 * One attempt of a caller at an ingress that reaches backend servers directly,
 * without claims: up to SENDS servers are asked one after the other. A copy that
 * was sent may run at once, later (its bytes were held up) or never; its answer may
 * come, be lost, be another attempt's, or be a 503 of a server that has run it.
 *
 * Mirrors flow/plain.go and reach of the ingress: a connection of its own for each
 * copy, and a refusal that is told only while nothing may have run.
 *
 * Held: a request that is not idempotent runs once at most; one that is told as not
 * run has not run and never will, idempotent or not; what is told as the answer is
 * the answer to a copy of this very attempt that ran.
 */
#define SENDS 3

/* what became of a copy */
#define NONE 0
#define FLYING 1             /* its server may begin it at any time */
#define DONE 2               /* it ran, or its server said that it never will */

mtype = { notsent, word, answer, shed, cut, foreign };

byte copy[SENDS];
bool ran[SENDS];
byte runs;                   /* of all copies */
byte sends;
byte maybe;                  /* copies that ran or may have, as the ingress knows */
bool refused;                /* the caller was told: not run */
bool answered;
bool over;
mtype seen;

#define NEVER_AGAIN(i) copy[i] = DONE

inline begin(i) {
	ran[i] = true;
	runs++;
	copy[i] = DONE;
#ifndef IDEMPOTENT
	assert(runs <= 1);
#endif
	assert(!refused)
}

/* a server may begin what has reached it at any time, also long after the ingress gave up */
active proctype servers() {
end:
	do
	:: atomic { copy[0] == FLYING -> begin(0) }
	:: atomic { copy[1] == FLYING -> begin(1) }
	:: atomic { copy[2] == FLYING -> begin(2) }
	od
}

/* sends copy i and sets what the ingress sees of it */
inline send(i) {
	if
	:: seen = notsent                          /* no connection: no byte left */
	:: copy[i] = FLYING ->
		if
		:: atomic { copy[i] == FLYING -> NEVER_AGAIN(i); seen = word }
		:: atomic { ran[i] -> seen = answer }
		:: seen = shed                         /* a 503 without the server's word */
		:: seen = cut
		:: seen = foreign
		fi
	fi
#ifdef MUTANT_KEPT_CONNECTION
	/* a kept connection breaks, and the HTTP library sends again by itself */
	if
	:: seen == cut && i + 1 < SENDS -> copy[i + 1] = FLYING
	:: else
	fi
#endif
}

inline tell_refused() {
	over = true;
	if
#ifndef MUTANT_REFUSAL_AFTER_A_RUN
	:: maybe > 0                               /* told as unknown */
#endif
	:: else -> atomic { refused = true; assert(runs == 0) }
	fi
}

active proctype ingress() {
	do
	:: over -> break
	:: !over && sends == SENDS -> tell_refused()
	:: !over && sends < SENDS ->
		send(sends);
		sends++;
		if
		:: seen == notsent || seen == word     /* the next server */
		:: seen == answer -> answered = true; over = true; assert(ran[sends - 1])
#ifdef MUTANT_FOREIGN_ANSWER
		:: seen == foreign -> answered = true; over = true; assert(ran[sends - 1])
#else
		:: seen == foreign -> maybe++
#endif
#ifdef MUTANT_503_IS_A_WORD
		:: seen == shed
#else
		:: seen == shed -> maybe++
#endif
		:: seen == cut -> maybe++
		fi;
		if
#ifndef IDEMPOTENT
#ifndef MUTANT_RESEND
		:: !over && maybe > 0 -> over = true   /* told as unknown */
#endif
#endif
		:: else
		fi
	od
}
